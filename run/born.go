package run

import (
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// A worker may start again under its id and address, so that orders to its former life reach the
// new one. Which life answers is told by when it was born. The new life is another worker here:
// what is still to be recorded of the former one must not be confirmed to it.

// clockTolerance is by how much an answer's clock may seem to lag behind.
const clockTolerance = 5 * time.Millisecond

// sameIncarnation tells whether a look was answered by the life that is known. If it is another one,
// that is taken up.
func (o *Owner) sameIncarnation(w *worker, born tw.WorkerStartTime) bool {
	switch {
	case born == 0 || born == w.startTime:
		return true
	case w.startTime == 0:
		w.startTime = born
		return true
	case born < w.startTime:
		w.nextPoll = o.now // a late answer of a former life
		return false
	}
	entry := w.entry
	entry.StartTime = born
	o.replaceIncarnation(w, entry)
	return false
}

// replaceIncarnation has another life take the place of a worker. Runs that were seen have ended with the
// former one. Other orders to start may still be carried out, also where the former life was
// told to forbid them.
func (o *Owner) replaceIncarnation(w *worker, entry tw.WorkerEntry) *worker {
	o.log.Info("worker: has started again", zap.String("worker", string(entry.ID)), zap.Int64("born", int64(entry.StartTime)),
		zap.Int64("before", int64(w.startTime)), zap.Int("runs", len(w.runs)))
	o.removeWorker(w, "it has started again")
	o.attributeCrash(w, true)
	next := o.addWorker(entry)
	next.listed, next.missingSince, next.vacating = w.listed, w.missingSince, w.vacating
	for _, r := range w.runs {
		if r.firstSeen != 0 || !r.sent.Load() {
			o.runGone(r, "its worker has started again")
			continue
		}
		w.remove(r)
		r.w, r.phase, r.firstVisiblePoll = next, unconfirmed, o.pollSeq+1
		next.add(r)
	}
	return next
}

// clockRestarted tells whether the clock in the answer to an order can't be that of the life that is
// known: it is behind what that life's clock showed at least when the order was sent.
func (w *worker) clockRestarted(clock tw.WorkerTime, sentAt time.Time) bool {
	if w.startTime == 0 || clock == 0 || w.clockAt.IsZero() {
		return false
	}
	since := sentAt.Sub(w.clockAt)
	if since > 0 {
		since = time.Duration(float64(since) / clockDrift)
	}
	return clock.Add(clockTolerance) < w.clock.Add(since)
}

// confirmableEnd is up to which end a worker may be told that its ends are recorded: none while
// another life may answer, which counts its ends anew.
func (w *worker) confirmableEnd() int64 {
	if w.startTime != 0 && w.unanswered > 0 {
		return 0
	}
	return w.recordedEnd
}
