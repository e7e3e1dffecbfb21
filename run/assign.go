package run

import (
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// assign reserves capacity on a worker for a new run of a subtask. It counts the start as a crash if
// that must be recorded before the start is ordered.
func (o *Owner) assign(t *task, w *worker, run tw.RunNumber) *runState {
	r := &runState{
		task: t, run: run, w: w, phase: placed, reservation: t.step.spec.Reservation(),
		startedAt: o.now, progressAt: o.now, pace: fullPace, trial: t.suspect(),
	}
	precount := t.needsPrecount()
	r.pending = o.window.addStart(o.now)
	w.startsInFlight++
	t.trialWaitSince = time.Time{}
	t.addRun(r)
	w.add(r)
	if precount {
		o.precountCrash(r)
	}
	return r
}

// orderRecorded orders the starts that have been recorded as possible crashes meanwhile.
func (o *Owner) orderRecorded() {
	if !o.recordsChanged || len(o.unrecorded) == 0 || !o.mayOrderStarts() {
		return
	}
	o.recordsChanged = false
	waiting := o.unrecorded
	o.unrecorded = nil
	for _, r := range waiting {
		switch {
		case r.phase != placed || r.w.runs[r.w.key(r)] != r:
			o.releaseStart(r) // it has been stopped, or its worker has ended
		case !r.task.allCrashesRecorded():
			o.unrecorded = append(o.unrecorded, r)
		case !o.mayOrder(r):
			o.withdraw(r, "its worker is not usable any more")
		default:
			o.order(r)
		}
	}
}

// mayOrder reports whether the start of a placed run, or of the whole gang, may be ordered now.
func (o *Owner) mayOrder(r *runState) bool {
	usable := func(r *runState) bool { return r != nil && r.phase != stopping && r.w.usable(o.now) && !r.w.vacating }
	if !r.task.step.spec.Gang {
		return usable(r)
	}
	for _, member := range r.task.step.tasks {
		if !usable(member.findRun(r.run)) {
			return false
		}
	}
	return true
}

// withdraw drops a placed run, of which the start has not been ordered.
func (o *Owner) withdraw(r *runState, reason string) {
	t := r.task
	o.log.Info("run: withdrawn", zap.Stringer("subtask", t.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(r.w.entry.ID)), zap.String("why", reason))
	o.releaseStart(r)
	r.w.remove(r)
	o.uncountCrash(r)
	t.removeRun(r)
	o.placeRequested = true
}

// withdrawUnrecorded takes back the counts of starts that will not be ordered any more.
func (o *Owner) withdrawUnrecorded() {
	for _, r := range o.unrecorded {
		if r.phase == placed && r.w.runs[r.w.key(r)] == r {
			o.withdraw(r, "the ownership ends")
		}
	}
	o.unrecorded = nil
}

// releaseStart stops counting a start against the send windows.
func (o *Owner) releaseStart(r *runState) {
	o.window.release(r.pending)
	r.w.startsInFlight = max(0, r.w.startsInFlight-1)
}
