package run

import (
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// A worker may start again under its id and address, so that orders to its former life reach the
// new one. Which life answers is told by when it was born. The new life is another worker here:
// what is still to be recorded of the former one must not be confirmed to it.

// clockRounding is by how much an answer's clock may seem to lag behind.
const clockRounding = 5 * time.Millisecond

// sameLife tells whether a look was answered by the life that is known. If it is another one,
// that is taken up.
func (o *Owner) sameLife(w *worker, born tw.WorkerBirth) bool {
	switch {
	case born == 0 || born == w.born:
		return true
	case w.born == 0:
		w.born = born
		return true
	case born < w.born:
		w.nextLook = o.now // a late answer of a former life
		return false
	}
	entry := w.entry
	entry.Born = born
	o.beginLife(w, entry)
	return false
}

// beginLife has another life take the place of a worker. Runs that were seen have ended with the
// former one. Other orders to start may still be carried out, also where the former life was
// told to forbid them.
func (o *Owner) beginLife(w *worker, entry tw.WorkerEntry) *worker {
	o.log.Info("worker: has started again", zap.String("worker", string(entry.ID)), zap.Int64("born", int64(entry.Born)),
		zap.Int64("before", int64(w.born)), zap.Int("runs", len(w.runs)))
	o.forget(w, "it has started again")
	o.blame(w, true)
	next := o.addWorker(entry)
	next.listed, next.missingFrom, next.leaving = w.listed, w.missingFrom, w.leaving
	for _, r := range w.runs {
		if r.seenFrom != 0 || !r.sent.Load() {
			o.runGone(r, "its worker has started again")
			continue
		}
		w.remove(r)
		r.w, r.phase, r.visibleFrom = next, unclear, o.lookSeq+1
		next.add(r)
	}
	return next
}

// startedOver tells whether the clock in the answer to an order can't be that of the life that is
// known: it is behind what that life's clock showed at least when the order was sent.
func (w *worker) startedOver(clock tw.WorkerClock, sentAt time.Time) bool {
	if w.born == 0 || clock == 0 || w.clockAt.IsZero() {
		return false
	}
	since := sentAt.Sub(w.clockAt)
	if since > 0 {
		since = time.Duration(float64(since) / clockDrift)
	}
	return clock.Add(clockRounding) < w.clock.Add(since)
}

// confirmable is up to which end a worker may be told that its ends are recorded: none while
// another life may answer, which counts its ends anew.
func (w *worker) confirmable() int64 {
	if w.born != 0 && w.unanswered > 0 {
		return 0
	}
	return w.recorded
}
