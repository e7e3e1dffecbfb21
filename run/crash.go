package run

import (
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// A subtask may bring down each worker that starts it. What tells it from one whose
// workers end for reasons of their own is how soon that comes after its start, and that
// it comes again: so a run that its worker has not outlasted makes its subtask a suspect,
// suspects are tried apart from each other and from what was started just before, and
// one that goes down with several workers in a row is given up.

const (
	// survivalTime is for how long a worker must live on, by its own clock, after a run has
	// begun, so that the run is not taken for the cause of its end. Subtasks that crash
	// their workers did so within 10 ms; a start waits for its answer up to 0.2 s.
	survivalTime = 150 * time.Millisecond
	// trialTime is how long a trial takes by the owner's clock: the start is answered within
	// some milliseconds, and the worker's clock may run slow.
	trialTime = survivalTime + survivalTime/10
	// minRestartTime is less than a machine takes to run a worker again that a subtask has
	// brought down: that takes some seconds.
	minRestartTime = time.Second
	// recentAnswer is within which time after its last answer a worker counts as alive.
	recentAnswer = 100 * time.Millisecond
	// maxCrashes is after how many workers in a row a subtask is given up. It may be
	// after two, and must not be started for the third time after the third. With two,
	// work that is only unlucky is given up far more often where many workers crash.
	maxCrashes = 3
	// crashDetectTime is how soon after a start an owner that isn't slow knows that the worker
	// has ended under it, unless the worker was silent: 560 of 563 crashes on days of deadly
	// subtasks were known by then, the others 0.52 s after the start.
	crashDetectTime = 500 * time.Millisecond
	// maxUncertainCrashes is the count at which a subtask is given up though it may have had no part
	// in some of them: one start more would be the third after the third crash. They were
	// counted before a start by an owner that was replaced before it recorded what came of it,
	// were learned so late that the worker may have outlasted the subtask, or work of other
	// submissions may have caused the last one. With three in any case, innocent work was given
	// up on 8 of 1,000 seeds of TestAllSoak, in which owners are short.
	maxUncertainCrashes = maxCrashes + 2
)

// survived tells whether the run's worker has lived on for so long that the run is not
// what ends it. Members of a gang only begin to work when all are there.
func (w *worker) survived(r *runState) bool {
	if r.firstSeen == 0 || r.task.step.spec.Gang && r.percent == 0 {
		return false
	}
	return w.clock >= r.firstSeen.Add(survivalTime)
}

// noteSeen notes that a run is on its worker, by the worker's clock.
func (r *runState) noteSeen(clock tw.WorkerTime) {
	if r.firstSeen == 0 {
		r.firstSeen = clock
	}
}

// attributeCrash counts the end of a worker against the subtasks that may have caused it. followed: another
// life of its machine answers by now.
func (o *Owner) attributeCrash(w *worker, followed bool) {
	if w.entry.Draining {
		return
	}
	var candidates []*runState
	for _, r := range w.runs {
		switch {
		case w.survived(r):
			o.clearSuspect(r.task)
		case followed && o.now.Sub(r.startedAt) < minRestartTime:
			o.log.Info("run: has not ended its worker, which is back too soon", zap.Stringer("subtask", r.task.id),
				zap.String("worker", string(w.entry.ID)), zap.Duration("since_start", o.now.Sub(r.startedAt)))
		case r.reachedWorker():
			candidates = append(candidates, r)
		}
	}
	company := severalSubmissions(candidates)
	for _, r := range candidates {
		o.countCrash(w, r, company)
	}
}

// severalSubmissions tells whether runs are of more than one submission.
func severalSubmissions(runs []*runState) bool {
	return slices.ContainsFunc(runs, func(r *runState) bool { return r.task.id.Submission != runs[0].task.id.Submission })
}

// reachedWorker tells whether the order to start the run came to a living worker: it was
// answered, its connection broke before it was, or the worker had answered just before. A
// worker that nothing runs on is not looked at, and may lie dead for long.
func (r *runState) reachedWorker() bool {
	return r.firstSeen != 0 || r.sent.Load() && (r.connectionLost || r.sinceLastAnswer <= recentAnswer)
}

// countCrash counts the end of a worker against a run; company: work of other submissions may
// have caused it as well.
func (o *Owner) countCrash(w *worker, r *runState, company bool) {
	t := r.task
	sub := t.step.rep.sub
	if t.done || sub.closed() {
		return
	}
	if !r.precounted {
		t.setCrashes(t.crashes + 1)
	}
	r.precounted = false
	t.crashedAt = o.now
	sinceStart := o.now.Sub(r.startedAt)
	t.crashesUncertain = t.crashesUncertain || sinceStart > o.crashDetectLimit()
	most := t.crashLimit(company)
	o.metrics.suspectedRuns.Inc()
	o.writer.markDirty(sub)
	o.log.Info("run: may have ended its worker", zap.Stringer("subtask", t.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(w.entry.ID)), zap.Int("workers", t.crashes), zap.Bool("on_trial", r.trial),
		zap.Duration("since_start", sinceStart), zap.Bool("company", company), zap.Int("give_up_at", most))
	if t.crashes-t.precountedCrashes() >= most {
		o.giveUp(t)
	}
}

// crashDetectLimit is how soon after a start it is known that the worker has ended under it. The
// looks of an owner that is slow come late: any that comes after probation leaves a doubt.
func (o *Owner) crashDetectLimit() time.Duration {
	if o.window.latency >= slowStartLatency {
		return survivalTime
	}
	return crashDetectTime
}

// crashLimit is the count at which a subtask is given up after a crash; company: work of other
// submissions may have caused it as well.
func (t *task) crashLimit(company bool) int {
	if t.crashesUncertain || company {
		return t.uncertainCrashLimit()
	}
	return maxCrashes
}

// uncertainCrashLimit is crashesInDoubt, less the start that may have gone uncounted.
func (t *task) uncertainCrashLimit() int {
	if t.uncounted {
		return maxUncertainCrashes - 1
	}
	return maxUncertainCrashes
}

// progress is what is recorded of the subtask's step.
func (t *task) progress() *ledger.StepProgress {
	return t.step.rep.sub.progress.Step(t.id.Repetition, t.id.Step)
}

// precountedCrashes is how many of the crashes are counted for starts whose workers may live on.
func (t *task) precountedCrashes() int {
	n := 0
	if t.startPrecounted {
		n++
	}
	for _, r := range t.runs {
		if r.precounted {
			n++
		}
	}
	return n
}

func (o *Owner) giveUp(t *task) {
	o.endSubmission(t.step.rep.sub, tw.SubmissionFailed, "workers have ended under subtask "+t.id.String()+" each time it was started")
}

// exhausted tells whether former owners have started a subtask as often as it may be.
func (s *submission) exhausted() bool { return s.firstTask((*task).exhausted) != nil }

// exhausted tells whether the subtask must not be started again.
func (t *task) exhausted() bool {
	return !t.done && !t.startPrecounted && t.crashes >= t.uncertainCrashLimit()
}

// giveUpIfExhausted gives a submission up of which a subtask would have to be started once more
// than it may be, and tells whether it did. Until all workers are known it isn't: the last
// start may be alive, and one of 2,000 seeds of TestSoak lost innocent work whose run went on.
func (o *Owner) giveUpIfExhausted(sub *submission) bool {
	t := sub.firstTask(func(t *task) bool { return !t.active() && t.exhausted() })
	if t == nil {
		return false
	}
	o.giveUp(t)
	return true
}

// firstTask is a subtask of the open repetitions for which a condition holds, or nil.
func (s *submission) firstTask(is func(*task) bool) *task {
	for _, rep := range s.reps {
		for _, st := range rep.steps {
			if i := slices.IndexFunc(st.tasks, is); i >= 0 {
				return st.tasks[i]
			}
		}
	}
	return nil
}

// precountCrash counts the next start of a subtask as a crash before it is made. Else, if the
// ownership ended before a crash is recorded, the next owner would not know of it.
func (o *Owner) precountCrash(t *task) {
	t.startPrecounted = true
	if t.crashes == 0 && t.step.rep.sub.inherited {
		t.noteUncounted()
	}
	t.setCrashes(t.crashes + 1)
	t.crashedAt = o.now
	o.writer.markDirty(t.step.rep.sub)
}

// needsPrecount tells whether that is to be done: for suspects, for what a former owner may have
// started, and for a copy of a run whose worker may have ended under it, so that the first
// start of a new submission waits for no record, and no second one goes uncounted.
func (t *task) needsPrecount() bool {
	if t.startPrecounted || t.crashes >= t.uncertainCrashLimit() {
		return false
	}
	return t.suspect() || t.step.rep.sub.inherited || t.mayHaveCrashedWorker()
}

// mayHaveCrashedWorker tells whether a worker may have ended under a run of the subtask.
func (t *task) mayHaveCrashedWorker() bool {
	return slices.ContainsFunc(t.runs, func(r *runState) bool { return !r.w.survived(r) })
}

// uncountCrash takes back that a run was counted as a crash, as it ended in another way.
func (o *Owner) uncountCrash(r *runState) {
	t := r.task
	sub := t.step.rep.sub
	if !r.precounted || t.crashes == 0 || t.done || sub.closed() {
		return
	}
	r.precounted = false
	t.setCrashes(t.crashes - 1)
	o.writer.markDirty(sub)
}

// clearSuspect clears a subtask of suspicion, as a worker has outlasted a run of it.
func (o *Owner) clearSuspect(t *task) {
	if t.crashes == 0 {
		return
	}
	t.setCrashes(0)
	o.placeRequested = true
	sub := t.step.rep.sub
	if !sub.closed() {
		o.writer.markDirty(sub)
	}
	for _, r := range t.runs {
		r.precounted = false
		r.w.endTrial(r)
	}
	o.log.Info("run: cleared, its worker lives on", zap.Stringer("subtask", t.id))
}

// clearSurvived clears the suspects that a worker has outlasted.
func (o *Owner) clearSurvived(w *worker) {
	if w.tally.trials == 0 {
		return
	}
	for _, r := range w.runs {
		if r.trial && w.survived(r) {
			o.clearSuspect(r.task)
		}
	}
}

// setCrashes keeps how many workers in a row have ended under the subtask, also in
// what is recorded of it.
func (t *task) setCrashes(n int) {
	t.crashes = n
	p := t.progress()
	if n == 0 {
		t.crashesUncertain, t.uncounted = false, false
		delete(p.Crashes, t.id.Index)
		delete(p.UncountedStarts, t.id.Index)
		return
	}
	if p.Crashes == nil {
		p.Crashes = map[int]int{}
	}
	p.Crashes[t.id.Index] = n
}

// noteUncounted notes that a former owner may have started the subtask without counting that.
func (t *task) noteUncounted() {
	t.uncounted = true
	p := t.progress()
	if p.UncountedStarts == nil {
		p.UncountedStarts = map[int]bool{}
	}
	p.UncountedStarts[t.id.Index] = true
}

// suspect tells whether workers have ended under the subtask, or may have.
func (t *task) suspect() bool { return t.crashes > 1 || t.crashes > 0 && !t.startPrecounted }

// endTrial notes that a run is not on trial any more.
func (w *worker) endTrial(r *runState) {
	if r.trial && w.runs[w.key(r)] == r {
		w.tally.trials--
	}
	r.trial = false
}

// trialDue is when the suspects on a worker will have been outlasted, if it lives on.
func (w *worker) trialDue() time.Time {
	var due time.Time
	for _, r := range w.runs {
		if r.trial {
			due = later(due, r.startedAt.Add(trialTime))
		}
	}
	return due
}
