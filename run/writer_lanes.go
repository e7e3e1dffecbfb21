package run

import "time"

// An owner's writes follow each other, so that a lost answer is cleared up by the next
// try. With 30 entries each that is 2,000 a second in a store that answers in 4 ms, and
// 115 in one that takes 0.26 s, where a pool's height alone brings 150 submissions a second.
// New submissions and ends depend on nothing else that is being written, so in a slow store
// they are written side by side.

const (
	// slowWrite is how long a write takes in a slow store: the usual one answers in 4 ms,
	// under load in some tens.
	slowWrite = 80 * time.Millisecond
	// mostLanes bounds the writes that are made side by side. With 15 submissions each
	// they keep 460 submissions a second in a store that takes 0.26 s.
	mostLanes = 8
)

// slow tells whether the store is slow at present.
func (w *writer) slow() bool {
	return w.lastTook >= slowWrite || !w.busyFrom.IsZero() && w.o.now.Sub(w.busyFrom) >= slowWrite
}

// flushApart writes new submissions and ends beside the chain while the store is slow. It
// returns when more may be written so; zero if that is not known.
func (w *writer) flushApart() time.Time {
	now := w.o.now
	switch {
	case len(w.fresh) == 0 && len(w.dirty) == 0:
		return time.Time{}
	case !w.slow() && !w.busyFrom.IsZero():
		return w.busyFrom.Add(slowWrite)
	case !w.slow() || w.lanes >= mostLanes:
		return time.Time{}
	case now.Before(w.laneFrom):
		return w.laneFrom
	case now.Before(w.retryAt):
		return w.retryAt
	}
	var job writeJob
	add := job.adder()
	w.addAllFresh(add)
	w.addAll(&job, add, func(sub *submission) bool { return sub.ending != "" })
	if len(job.changes) == 0 {
		return time.Time{}
	}
	job.sent = now
	w.laneFrom = now.Add(flushGap)
	w.lanes++
	w.lanesDone.Go(func() { w.writeApart(job) })
	return w.laneFrom
}

// writeApart sends a job beside the chain. Its effects are the loop's.
func (w *writer) writeApart(job writeJob) {
	results, err := w.book.WriteApart(w.o.ctx, job.changes)
	w.o.post(w.o.ctx, func() {
		w.lanes--
		w.settled(job, results, err)
	})
}
