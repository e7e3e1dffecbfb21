package run

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

// openRepetitions opens the repetitions that have become due and returns when the next one is
// due.
func (o *Owner) openRepetitions() time.Time {
	var next time.Time
	for _, sub := range o.scheduled {
		if sub.closed() {
			continue
		}
		begun, due := sub.beginDue(o.now)
		o.placeRequested = o.placeRequested || begun
		next = earlier(next, due)
		if due := sub.Due(sub.nextRep); sub.nextRep < sub.Repetitions() && o.now.Before(due) {
			next = earlier(next, due)
			continue
		}
		if !sub.hasFutureRepetitions() || sub.nextRep < sub.Repetitions() {
			o.open(sub)
		}
	}
	return next
}

// placeIfDue makes a placement pass if one was requested or is due without a request, and the last
// one is long enough ago; otherwise it returns when the next one may be made.
func (o *Owner) placeIfDue() time.Time {
	if !o.placeRequested && (o.placeRetryAt.IsZero() || o.now.Before(o.placeRetryAt)) {
		return o.placeRetryAt
	}
	if o.now.Before(o.nextPlaceAt) {
		return o.nextPlaceAt
	}
	o.placeRequested = false
	began := o.clock.Now()
	o.place()
	o.nextPlaceAt = o.now.Add(max(placeInterval, placePauseFactor*o.clock.Now().Sub(began)))
	return time.Time{}
}

const (
	// placePauseFactor: after a placement pass none is made for this many times its duration.
	placePauseFactor = 4
	// placeInterval is the minimum time between two passes, so that work that arrives at nearly
	// the same time is placed together.
	placeInterval = 10 * time.Millisecond
)

// place assigns waiting subtasks to workers and orders their starts.
func (o *Owner) place() {
	if !o.mayOrderStarts() {
		return
	}
	began := o.clock.Now()
	groups, trials := o.groups()
	if len(groups)+len(trials) == 0 {
		return
	}
	offers, bounded := o.offers()
	budgets := o.caps.budgets(o)
	offers = o.placeTrials(trials, offers, budgets)
	placements, limited := schedule.PlaceUpTo(groups, offers, budgets, o.window.available(o.now))
	o.caps.notePass(o, budgets)
	o.noteRoom(groups, placements)
	o.logWaiting(groups, offers, placements)
	o.startPlaced(placements)
	if limited || limitedByOrders(groups, placements, offers, bounded) {
		o.window.noteLimited(o.now)
		o.placeRetryAt = o.now.Add(preemptAfter) // waiting work may fit once starts are answered
		if o.window.short(o.now) {
			o.logShort()
		}
	} else {
		o.preempt(groups, offers, placements)
	}
	if len(trials) > 0 {
		// The remaining suspects are tried as soon as a worker has no recent starts.
		o.placeRetryAt = earlier(o.now.Add(trialRetry), o.placeRetryAt)
	}
	o.metrics.placeTime.Update(o.clock.Now().Sub(began).Seconds())
}

// mayOrderStarts reports whether starts may be ordered at present. It applies the latest list of
// evacuated halls.
func (o *Owner) mayOrderStarts() bool {
	return o.permit.valid(o.now) && o.now.Sub(o.writer.confirmed) <= maxConfirmAge && o.updateEvacuations()
}

// offers returns the workers that may be given work, each for as many subtasks as it can be
// expected to start soon. bounded are those that have too many starts in flight at present.
func (o *Owner) offers() (offers, bounded []*schedule.Worker) {
	offers = make([]*schedule.Worker, 0, len(o.workers))
	for _, w := range o.placementOrder() {
		if !w.usable(o.now) || w.vacating || w.tally.trials > 0 {
			continue
		}
		if limit := o.window.workerLimit(w.startLatency) - w.startsInFlight; limit > 0 {
			offers = append(offers, w.offer(limit))
		} else {
			bounded = append(bounded, w.offer(0))
		}
	}
	return offers, bounded
}

// limitedByOrders reports whether most workers have too many starts in flight and unplaced work
// would fit on one of these: then the owner is slow, not the workers.
func limitedByOrders(groups []*schedule.Group, placements []schedule.Placement, offers, bounded []*schedule.Worker) bool {
	workers := len(offers) + len(bounded)
	for _, offer := range offers {
		if offer.AtLimit() {
			bounded = append(bounded, offer)
		}
	}
	if 2*len(bounded) <= workers {
		return false
	}
	placed := map[tw.SubtaskID]bool{}
	for _, p := range placements {
		placed[p.Subtask] = true
	}
	return schedule.AnyRoom(groups, bounded, func(g *schedule.Group) bool { return !placed[g.Subtasks[len(g.Subtasks)-1]] })
}

// maxConfirmAge is how old the last confirmed write may be for new work to be placed. After a
// worker's capacity has shrunk, starts may rely on its previous capacity for another 4.5 s: as
// long as a daemon may be out of contact with the store, and one status report. Starts may be
// queued for up to maxStartAge of that.
const maxConfirmAge = 4 * time.Second

// trialRetry is the interval of placement passes while suspects wait.
const trialRetry = 50 * time.Millisecond

// startPlaced orders the starts of placed subtasks.
func (o *Owner) startPlaced(placements []schedule.Placement) {
	gangRuns := map[*step]tw.RunNumber{}
	runs := make([]*runState, 0, len(placements))
	for _, p := range placements {
		t := o.submissions[p.Subtask.Submission].task(p.Subtask)
		run := gangRuns[t.step]
		if run == 0 {
			run = o.nextRun()
		}
		if t.step.spec.Gang {
			gangRuns[t.step] = run
		}
		runs = append(runs, o.assign(t, o.workers[p.Worker.ID], run))
	}
	for _, r := range runs {
		if r.task.allCrashesRecorded() {
			o.order(r)
		} else {
			o.unrecorded = append(o.unrecorded, r)
		}
	}
}

// placementOrder returns the workers in approximately the order in which placement uses them, so
// that it has little to sort.
func (o *Owner) placementOrder() []*worker {
	if o.sortedWorkers == nil {
		o.sortedWorkers = slices.SortedFunc(maps.Values(o.workers), func(a, b *worker) int {
			return cmp.Or(
				cmp.Compare(a.entry.Hall, b.entry.Hall),
				cmp.Compare(a.entry.Rack(), b.entry.Rack()),
				cmp.Compare(a.rank, b.rank),
			)
		})
	}
	return o.sortedWorkers
}

// logWaiting logs subtasks that have waited long for a worker, with what limits their placement.
func (o *Owner) logWaiting(groups []*schedule.Group, offers []*schedule.Worker, placements []schedule.Placement) {
	if o.now.Before(o.nextWaitLogAt) {
		return
	}
	o.nextWaitLogAt = o.now.Add(waitCheckInterval)
	placed := map[tw.SubtaskID]bool{}
	for _, p := range placements {
		placed[p.Subtask] = true
	}
	for _, g := range groups {
		first := g.Subtasks[0]
		t := o.submissions[first.Submission].task(first)
		since := t.waitingSince()
		if placed[first] || o.now.Sub(since) < waitLogAfter {
			continue
		}
		o.nextWaitLogAt = o.now.Add(waitLogInterval)
		fits, full := g.CountWorkers(offers)
		o.log.Info("run: waits for a worker", zap.Stringer("subtask", first), zap.Duration("since", o.now.Sub(since)),
			zap.Int("subtasks", len(g.Subtasks)), zap.Int64("cpu", int64(g.Step.Need.CPU)), zap.Int64("memory_mb", g.Step.Need.MemoryMB),
			zap.String("label", g.Step.Label), zap.Int("most_on_worker", g.Step.MaxPerWorker), zap.Bool("gang", g.Step.Gang),
			zap.Bool("filler", g.Step.Filler), zap.Bool("lasting", g.Step.LongRunning), zap.Int("grade", int(g.Urgency.Grade)),
			zap.Int("workers", len(o.workers)), zap.Int("evacuated_halls", len(o.evacuated.Halls)), zap.Int("usable", len(offers)), zap.Int("with_room", fits), zap.Int("full_of_step", full),
			zap.String("organisation", string(g.Organisation)), zap.Int("withheld_by_cap", g.Withheld))
	}
}

const (
	// waitLogAfter is how long a subtask waits before its wait is logged. waitCheckInterval is the
	// minimum time between two passes that look for such waits, waitLogInterval the one after a pass
	// that has logged some.
	waitLogAfter      = 2 * time.Second
	waitCheckInterval = 100 * time.Millisecond
	waitLogInterval   = time.Second
)

// groups collects the waiting subtasks by step, and separately the suspects that need a trial.
func (o *Owner) groups() (groups, trials []*schedule.Group) {
	mayHaveInherited := o.mayHaveInheritedRuns()
	for _, sub := range o.live {
		if sub.closed() || sub.inboxPending || sub.inherited && mayHaveInherited {
			continue
		}
		if sub.mayBeExhausted && o.giveUpIfExhausted(sub) {
			continue
		}
		for _, rep := range sub.reps {
			if !rep.early {
				groups, trials = o.groupsOf(rep, groups, trials)
			}
		}
	}
	o.publishClasses()
	return groups, trials
}

func (o *Owner) groupsOf(rep *repetition, groups, trials []*schedule.Group) (_, _ []*schedule.Group) {
	var paths []time.Duration
	var buffer [maxUsualSteps]time.Duration
	grade := schedule.GradeFiller
	for _, st := range rep.steps {
		if st.done == st.spec.Count || !st.ready() {
			continue
		}
		if st.readyAt.IsZero() {
			st.readyAt = o.now
		}
		g, suspects := o.group(st)
		if g == nil {
			continue
		}
		if paths == nil {
			paths = o.criticalPaths(rep, buffer[:0])
		}
		g.Urgency = o.urgency(st, paths[st.index])
		if !st.spec.LongRunning {
			grade = min(grade, g.Urgency.Grade)
		}
		if len(suspects) > 0 {
			trial := *g
			trial.Subtasks = suspects
			trials = append(trials, &trial)
		}
		if len(g.Subtasks) > 0 {
			groups = append(groups, o.splitStarving(g, st)...)
		}
	}
	o.noteClass(rep, grade)
	return groups, trials
}

// group returns the step's waiting subtasks, or nil if none can be placed now, and separately the
// suspects that need a trial.
func (o *Owner) group(st *step) (g *schedule.Group, suspects []tw.SubtaskID) {
	if st.waiting == 0 && !st.spec.AllowCopies {
		return nil, nil
	}
	g = &schedule.Group{Step: st.spec, Organisation: st.rep.sub.Organisation}
	if st.spec.MaxPerWorker > 0 {
		g.OnWorker = st.runsPerWorker()
	}
	if !st.changed {
		g.Subtasks = st.allIDs()
	} else {
		suspects = o.fillGroup(st, g)
	}
	if len(g.Subtasks)+len(suspects) == 0 {
		return nil, nil
	}
	if st.spec.Gang && len(g.Subtasks) < st.spec.Count {
		return nil, nil // members of the previous run have not ended yet
	}
	if st.rep.sub.Policy.Advice.Required() {
		allowed, known := o.advisor.allowed(st)
		if !known {
			return nil, nil
		}
		g.Allowed = allowed
	}
	return g, suspects
}

// fillGroup adds the waiting subtasks of a step to its group. It returns the suspects that need a
// trial, which are not added.
func (o *Owner) fillGroup(st *step, g *schedule.Group) (suspects []tw.SubtaskID) {
	for _, t := range st.tasks {
		o.resolvePrecounted(t)
		switch {
		case t.done:
		case !t.active() && (!o.writer.confirmed.After(t.lostAt) || !t.crashesRecorded()):
		case !t.active() && o.awaitsTrial(t):
			suspects = append(suspects, t.id)
		case !t.active():
			g.Subtasks = append(g.Subtasks, t.id)
			o.avoidLastWorker(g, t)
		case o.wantsCopy(t):
			g.Subtasks = append(g.Subtasks, t.id)
			g.Avoid = addAvoided(g.Avoid, t.id.Index, t.runs[0].w.entry.ID)
		}
	}
	return suspects
}

// runsPerWorker counts the step's runs by worker.
func (st *step) runsPerWorker() map[tw.WorkerID]int {
	out := map[tw.WorkerID]int{}
	for _, t := range st.tasks {
		for _, r := range t.runs {
			out[r.w.entry.ID]++
		}
	}
	return out
}

// avoidLastWorker keeps a subtask off the worker on which it failed last, if there are others.
func (o *Owner) avoidLastWorker(g *schedule.Group, t *task) {
	if t.lastFailedOn == "" || len(o.workers) < 2 || o.now.Sub(t.endedAt) > avoidTime {
		return
	}
	g.Avoid = addAvoided(g.Avoid, t.id.Index, t.lastFailedOn)
}

func addAvoided(avoid map[int]map[tw.WorkerID]bool, index int, id tw.WorkerID) map[int]map[tw.WorkerID]bool {
	if avoid == nil {
		avoid = map[int]map[tw.WorkerID]bool{}
	}
	avoid[index] = map[tw.WorkerID]bool{id: true}
	return avoid
}

// wantsCopy reports whether a speculative second run of a subtask is worth its cost.
func (o *Owner) wantsCopy(t *task) bool {
	if !t.step.spec.AllowCopies || t.step.spec.Gang || t.step.spec.LongRunning || len(t.runs) != 1 {
		return false
	}
	if t.suspect() {
		return false // it would be started twice before the outcome of the first start is known
	}
	r := t.runs[0]
	if !r.w.survived(r) && o.now.Sub(r.startedAt) < copyAfter {
		return false // it may be the reason why its worker does not answer
	}
	return r.phase != placed && r.phase != starting && (o.overdue(r) || r.w.silent())
}

func (o *Owner) urgency(st *step, criticalPath time.Duration) schedule.Urgency {
	policy := st.rep.sub.Policy
	switch {
	case st.spec.Filler:
		return schedule.Urgency{Grade: schedule.GradeFiller, Priority: policy.Priority, Deadline: st.rep.due}
	case st.spec.LongRunning:
		return schedule.Urgency{Grade: schedule.GradeLongRunning, Priority: policy.Priority, Deadline: st.rep.due}
	}
	objective := o.objective(st.rep)
	urgency := schedule.UrgencyOf(o.now, st.rep.due, objective, criticalPath, policy.Priority)
	if ahead := st.rep.sub.ahead; ahead > 0 {
		urgency = urgency.BeyondWeight(st.rep.due.Add(schedule.LateFactor*objective), ahead)
	}
	return urgency.WithSizePenalty(o.typical.relativeSize(o.remainingWork(st.rep).CPU), o.typical.objective)
}

// copyAfter is the minimum age at which a run that its worker has not survived may get a copy: if
// it has crashed the worker, that is known by then.
const copyAfter = time.Second

// avoidTime is how long a subtask is kept off the worker on which it failed.
const avoidTime = time.Second
