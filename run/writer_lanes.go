package run

import "time"

// An owner's writes follow each other, so that a lost answer is cleared up by the next
// try. With 30 entries each that is 2,000 a second in a store that answers in 4 ms, and
// 115 in one that takes 0.26 s, where a pool's height alone brings 150 submissions a second.
// New submissions and ends depend on nothing else that is being written, so in a slow store
// they are written side by side.

const (
	// slowWriteTime is how long a write takes in a slow store: the usual one answers in 4 ms,
	// under load in some tens.
	slowWriteTime = 80 * time.Millisecond
	// maxParallelWrites bounds the writes that are made side by side. With 15 submissions each
	// they keep 460 submissions a second in a store that takes 0.26 s.
	maxParallelWrites = 8
)

// slow tells whether the store is slow at present.
func (w *writer) slow() bool {
	return w.lastWriteTime >= slowWriteTime || !w.writingSince.IsZero() && w.o.now.Sub(w.writingSince) >= slowWriteTime
}

// flushParallel writes new submissions and ends beside the chain while the store is slow. It
// returns when more may be written so; zero if that is not known.
func (w *writer) flushParallel() time.Time {
	now := w.o.now
	switch {
	case len(w.newSubmissions) == 0 && len(w.dirty) == 0:
		return time.Time{}
	case !w.slow() && !w.writingSince.IsZero():
		return w.writingSince.Add(slowWriteTime)
	case !w.slow() || w.parallelWrites >= maxParallelWrites:
		return time.Time{}
	case now.Before(w.nextParallelAt):
		return w.nextParallelAt
	case now.Before(w.retryAt):
		return w.retryAt
	}
	var job writeJob
	add := job.adder()
	w.addAllNew(add)
	w.addAll(&job, add, func(sub *submission) bool { return sub.pendingFinal != "" })
	if len(job.changes) == 0 {
		return time.Time{}
	}
	job.sent = now
	w.nextParallelAt = now.Add(flushInterval)
	w.parallelWrites++
	w.parallelDone.Go(func() { w.writeParallel(job) })
	return w.nextParallelAt
}

// writeParallel sends a job beside the chain. Its effects are the loop's.
func (w *writer) writeParallel(job writeJob) {
	results, err := w.book.WriteConcurrent(w.o.ctx, job.changes)
	w.o.post(w.o.ctx, func() {
		w.parallelWrites--
		w.handleWriteResult(job, results, err)
	})
}
