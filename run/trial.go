package run

import (
	"cmp"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

const (
	// maxQuietWait is how long a suspect waits for a worker without recent starts. After that it
	// is tried beside recent starts, but not beside another suspect: an innocent subtask that
	// was placed together with a crashing one each time lost four workers in a row.
	maxQuietWait = 1500 * time.Millisecond
	// maxTrialWait is how long a suspect waits for any trial. After that it is placed like all
	// other work, as work must not wait long for trials where the owner is slow to clear suspects.
	maxTrialWait = 2 * maxQuietWait
)

// awaitsTrial reports whether a subtask needs a trial apart from other suspects. The members of a
// gang have to be started together.
func (o *Owner) awaitsTrial(t *task) bool {
	return t.suspect() && !t.step.spec.Gang && (t.trialWaitSince.IsZero() || o.now.Sub(t.trialWaitSince) < maxTrialWait)
}

// quietWaitOver reports whether a step's suspects have waited too long for a worker without
// recent starts.
func (o *Owner) quietWaitOver(g *schedule.Group) bool {
	first := g.Subtasks[0]
	t := o.submissions[first.Submission].task(first)
	return o.now.Sub(t.trialWaitSince) > maxQuietWait
}

// allCrashesRecorded reports whether the crashes of a subtask are recorded in the store. Before
// that it must not be started, as the next owner would count too few. A gang waits for all of its
// members.
func (t *task) allCrashesRecorded() bool {
	if !t.step.spec.Gang {
		return t.crashesRecorded()
	}
	for _, member := range t.step.tasks {
		if !member.crashesRecorded() {
			return false
		}
	}
	return true
}

func (t *task) crashesRecorded() bool {
	return t.crashes == 0 || !t.step.rep.sub.recordedAt.Before(t.crashedAt)
}

// placeTrials starts suspects. Those of each step go to a worker without recent starts, so that it
// is clear which subtask is the cause if the worker ends, and to one where a crash would harm little
// else. It returns the offers that are left for other work: a worker tries the suspects of one step
// at a time, and gets no new work until they are cleared. If every worker has recent starts, the
// one that will be quiet first gets no new work either.
func (o *Owner) placeTrials(trials []*schedule.Group, offers []*schedule.Worker, budgets schedule.Budgets) []*schedule.Worker {
	if len(trials) == 0 || len(offers) == 0 {
		return offers
	}
	slices.SortStableFunc(trials, schedule.CompareUrgency)
	quiet := make(map[tw.WorkerID]time.Time, len(offers))
	for _, offer := range offers {
		quiet[offer.ID] = o.workers[offer.ID].quietAt(o.now)
	}
	offers = slices.Clone(offers)
	slices.SortStableFunc(offers, func(a, b *schedule.Worker) int {
		return cmp.Or(quiet[a.ID].Compare(quiet[b.ID]), o.workers[a.ID].compareImpact(o.workers[b.ID]))
	})
	for _, g := range trials {
		o.noteTrialWaits(g)
		for len(g.Subtasks) > 0 {
			index, placed := o.placeTrial(g, offers, quiet, budgets)
			if index < 0 {
				break
			}
			offers = slices.Delete(offers, index, index+1)
			g.Subtasks = g.Subtasks[placed:]
			if placed == 0 {
				break
			}
		}
	}
	return offers
}

// noteTrialWaits records since when subtasks have waited for a trial.
func (o *Owner) noteTrialWaits(g *schedule.Group) {
	for _, id := range g.Subtasks {
		if t := o.submissions[id.Submission].task(id); t.trialWaitSince.IsZero() {
			t.trialWaitSince = o.now
		}
	}
}

// placeTrial starts as many of a step's suspects as fit on the first suitable worker, or none if
// that worker must first become quiet or answer a poll. index is that of the worker, or -1 if there
// is none, and placed the number of suspects started.
func (o *Owner) placeTrial(
	g *schedule.Group, offers []*schedule.Worker, quiet map[tw.WorkerID]time.Time, budgets schedule.Budgets,
) (index, placed int) {
	waitOver := o.quietWaitOver(g)
	for i, offer := range offers {
		one := offers[i : i+1]
		if !waitOver && quiet[offer.ID].After(o.now) {
			if fits, full := g.CountWorkers(one); fits == 0 || full > 0 {
				continue
			}
			return i, 0
		}
		if !waitOver && o.now.Sub(o.workers[offer.ID].clockAt) > recentAnswer {
			if fits, _ := g.CountWorkers(one); fits == 0 {
				continue
			}
			o.pollBeforeTrial(o.workers[offer.ID])
			return i, 0
		}
		placements := schedule.Place([]*schedule.Group{g}, one, budgets)
		if len(placements) > 0 {
			o.startPlaced(placements)
			return i, len(placements)
		}
	}
	return -1, 0
}

// pollBeforeTrial polls a worker on which a suspect is to be tried: if the worker is dead
// already, its end must not count against the suspect.
func (o *Owner) pollBeforeTrial(w *worker) {
	if w.probing() {
		return
	}
	w.probeSince = o.now
	o.requestPoll(w)
}

// quietAt is when all starts on the worker are older than survivalTime; now if they are
// already.
func (w *worker) quietAt(now time.Time) time.Time {
	quiet := now
	for _, r := range w.runs {
		quiet = later(quiet, r.startedAt.Add(survivalTime))
	}
	return quiet
}

// compareImpact orders workers by how much work would be lost if they ended.
func (w *worker) compareImpact(other *worker) int {
	return cmp.Or(
		cmp.Compare(w.tally.longRunningRuns, other.tally.longRunningRuns),
		cmp.Compare(len(w.runs), len(other.runs)),
	)
}
