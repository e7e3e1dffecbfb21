package run

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// readyPercent is the progress at which a long-running subtask is ready to serve.
	readyPercent = 100
	// stopSettleMargin is added to the time that a stop of the previous owner takes to be seen, for
	// answers under way.
	stopSettleMargin = 200 * time.Millisecond
	// minReadyPollWait is the minimum wait of a poll that expects a subtask to become ready.
	minReadyPollWait = 50 * time.Millisecond
)

// moveLongRunning stops long-running subtasks on workers that must be vacated or are draining, and
// then on those whose machines a wave will take down later, if another worker has capacity for
// them. On workers that are not draining, it stops at most as many of a step at a time as may be
// unavailable. Runs of limited duration are left to end by themselves, unless their worker ends
// before.
func (o *Owner) moveLongRunning() {
	for _, w := range o.workers {
		if w.vacating || w.entry.Draining {
			o.moveLongRunningOff(w, "its worker is to be emptied")
		}
	}
	if len(o.upcoming) == 0 {
		return
	}
	for _, w := range o.workers {
		if w.maintenanceDue && !w.vacating && !w.entry.Draining {
			o.moveLongRunningOff(w, "its machine is due for maintenance")
		}
	}
}

func (o *Owner) moveLongRunningOff(w *worker, why string) {
	for _, r := range w.runs {
		if o.remainReason(r) == remainsNot {
			o.stop(r, why)
		}
	}
}

// mayInterrupt reports whether stopping a run keeps its step within the number of subtasks that
// may be unavailable.
func (o *Owner) mayInterrupt(r *runState) bool {
	st := r.task.step
	unavailable := 0
	for _, t := range st.tasks {
		if t != r.task && !o.longRunningReady(t) {
			unavailable++
		}
	}
	return unavailable < max(1, st.spec.MaxDisrupted)
}

// longRunningReady reports whether a long-running subtask was ready at the last poll, and had not been
// stopped by the previous owner: then it would be listed for up to StopTime after its worker first
// answered this one.
func (o *Owner) longRunningReady(t *task) bool {
	if len(t.runs) != 1 {
		return false
	}
	r := t.runs[0]
	if r.w.polledAt.Sub(r.w.knownSince) <= o.bounds.StopTime+stopSettleMargin {
		return false
	}
	return r.phase == running && r.percent >= readyPercent && r.w.unanswered == 0 && !r.w.entry.Draining
}

// capacityElsewhere reports whether another worker has capacity for a subtask of a step, at once or
// after its runs of limited duration have ended: placement reserves that capacity. For a subtask that
// need not leave yet, only capacity that is free now counts, on workers that stay: it would otherwise
// be placed on another one that is due for maintenance. A worker that has as many subtasks of the step
// as it may have does not count, unless a machine is due for maintenance or wanted empty: that can't
// wait for a worker that its pool may never have to spare.
func (o *Owner) capacityElsewhere(exclude *worker, st *step) bool {
	spec := st.spec
	mustLeave := exclude.vacating || exclude.entry.Draining
	limited := spec.MaxPerWorker > 0 && !exclude.maintenanceDue && !o.vacate[exclude.entry.Instance]
	var runs map[tw.WorkerID]int
	if limited {
		runs = st.runsPerWorker()
	}
	for _, w := range o.workers {
		if w == exclude || w.vacating || !w.usable(o.now) || !mustLeave && w.maintenanceDue {
			continue
		}
		if limited && runs[w.entry.ID] >= spec.MaxPerWorker {
			continue
		}
		capacity := w.attainable()
		if !mustLeave {
			capacity = w.free()
		}
		if capacity.Fits(spec.Reservation()) && w.entry.HasLabel(spec.Label) {
			return true
		}
	}
	return false
}

// readyPollWait returns how long a worker may wait before it answers a poll while a long-running
// run there is not ready: until the run should be, as others of its step may have to wait for it
// before they can be moved.
func (o *Owner) readyPollWait(r *runState) time.Duration {
	took := r.progressAt.Sub(r.startedAt)
	if r.percent == 0 || took <= 0 {
		return shortPollWait
	}
	readyAt := r.startedAt.Add(took * readyPercent / time.Duration(r.percent))
	return min(max(minReadyPollWait, readyAt.Sub(o.now)), shortPollWait)
}

// noteProgress records the progress of a run. Once a long-running run is ready, another one of its
// step may be moved.
func (o *Owner) noteProgress(r *runState, percent int) {
	if percent == r.percent {
		return
	}
	if r.percent < readyPercent && percent >= readyPercent && r.task.step.spec.LongRunning {
		o.nextRunWatchAt = o.now
	}
	r.percent, r.progressAt = percent, o.now
}
