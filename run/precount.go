package run

import (
	"slices"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// A start that may be one of several under which workers have ended is recorded as a crash before
// it is ordered: an owner that ends in between leaves its successor a count that is too high, not one
// that is too low. The record names the worker that the start is meant for. A successor takes back
// what that worker has survived, so that only starts whose workers have ended, or cannot be reached,
// count against a subtask.

// precountCrash counts the start of a placed run as a crash before it is ordered. Otherwise, if
// the ownership ended before a crash was recorded, the next owner would not know of it.
func (o *Owner) precountCrash(r *runState) {
	t := r.task
	if t.crashes == 0 && t.step.rep.sub.inherited {
		t.noteUncounted()
	}
	t.setPrecounted(append(t.precounted, precountOf(r)))
	t.setCrashes(t.crashes + 1)
	t.crashedAt = o.now
	o.writer.markDirty(t.step.rep.sub)
	o.log.Info("run: counted before its start", zap.Stringer("subtask", t.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(r.w.entry.ID)), zap.Int("workers", t.crashes), zap.Bool("uncounted_start", t.uncounted))
}

// precountOf returns a run's start as it is recorded before it is ordered.
func precountOf(r *runState) ledger.PrecountedStart {
	return ledger.PrecountedStart{Worker: r.w.entry.ID, StartTime: r.w.startTime, Run: r.run}
}

// isPrecounted reports whether the start of a run is among the crashes, and may not have been one.
func (t *task) isPrecounted(r *runState) bool { return t.precountIndex(r.run) >= 0 }

// precountIndex returns the index of a precounted start, or -1. Each start of a subtask has another
// run number.
func (t *task) precountIndex(run tw.RunNumber) int {
	return slices.IndexFunc(t.precounted, func(s ledger.PrecountedStart) bool { return s.Run == run })
}

// forgetPrecount makes the precounted start of a run a crash like any other. It reports whether the
// start was precounted.
func (t *task) forgetPrecount(r *runState) bool {
	i := t.precountIndex(r.run)
	if i < 0 {
		return false
	}
	t.setPrecounted(slices.Delete(slices.Clone(t.precounted), i, i+1))
	return true
}

// resolvePrecounted takes back the starts that previous owners counted on workers that have survived
// them. A worker that has answered this owner accepts no start of a previous one any more, and a start
// that it had accepted would be among its runs or its ends. Such an owner has ended before it ordered
// the start, or the run has ended in another way. What is taken back is recorded with the next start,
// until which the next owner can learn it from the same workers.
func (o *Owner) resolvePrecounted(t *task) {
	if len(t.precounted) == 0 {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(t.precounted), func(s ledger.PrecountedStart) bool {
		w := o.workers[s.Worker]
		return w != nil && w.stateKnown && w.startTime == s.StartTime && w.runs[runKey{task: t.id, run: s.Run}] == nil
	})
	survived := len(t.precounted) - len(kept)
	if survived == 0 {
		return
	}
	t.setPrecounted(kept)
	t.setCrashes(max(0, t.crashes-survived))
	o.log.Info("run: workers have survived starts of previous owners", zap.Stringer("subtask", t.id), zap.Int("survived", survived),
		zap.Int("workers", t.crashes), zap.Any("precounted", t.precounted))
}

// indexPrecounted notes the workers that were to get precounted starts of a loaded submission.
func (o *Owner) indexPrecounted(sub *submission) {
	for k, rep := range sub.progress.Repetitions {
		for i, step := range rep.Steps {
			for index, starts := range step.PrecountedStarts {
				t := sub.task(tw.SubtaskID{Submission: sub.ID, Repetition: k, Step: i, Index: index})
				if t == nil {
					continue // its repetition is not open yet
				}
				for _, s := range starts {
					o.precountedOn[s.Worker] = append(o.precountedOn[s.Worker], t)
				}
			}
		}
	}
}

// resolvePrecountedOn takes back what a worker has survived when it first answers: it may end before
// its subtasks are placed, which can be long after that while other workers are silent.
func (o *Owner) resolvePrecountedOn(w *worker) {
	for _, t := range o.precountedOn[w.entry.ID] {
		o.resolvePrecounted(t)
	}
	delete(o.precountedOn, w.entry.ID)
}

// needsPrecount reports whether the next start must be counted in advance: for suspects, for
// subtasks that may have been started without being counted or that a previous owner may have
// started, and for a copy of a run whose worker may have ended under it. So the first start of a new
// submission waits for no record, and no second start goes uncounted.
func (t *task) needsPrecount() bool {
	if t.crashes >= t.uncertainCrashLimit() {
		return false
	}
	return t.suspect() || t.uncounted || t.step.rep.sub.inherited || t.mayHaveCrashedWorker()
}

// uncountCrash undoes precountCrash for a run that ended in another way than by a crash.
func (o *Owner) uncountCrash(r *runState) {
	t := r.task
	sub := t.step.rep.sub
	if t.done || sub.closed() || !t.forgetPrecount(r) {
		return
	}
	t.setCrashes(max(0, t.crashes-1))
	o.writer.markDirty(sub)
}

// precountedCrashes is the number of crashes that were counted in advance and may not happen, as
// their runs go on.
func (t *task) precountedCrashes() int {
	n := 0
	for _, r := range t.runs {
		if t.isPrecounted(r) {
			n++
		}
	}
	return n
}

// setPrecounted sets the starts of which the outcome is unknown, also in the recorded progress.
func (t *task) setPrecounted(starts []ledger.PrecountedStart) {
	t.precounted = starts
	p := t.progress()
	if len(starts) == 0 {
		delete(p.PrecountedStarts, t.id.Index)
		return
	}
	if p.PrecountedStarts == nil {
		p.PrecountedStarts = map[int][]ledger.PrecountedStart{}
	}
	p.PrecountedStarts[t.id.Index] = starts
}
