package run

import "time"

// An owner's writes are sequential, so that after a lost answer a retry shows whether the write was
// applied. To a slow store they carry fewer entries than a pool at peak load gets submissions. New
// submissions and ends depend on no other write in flight, so they are written concurrently while
// the store is slow.

const (
	// slowWriteTime is the write time from which the store counts as slow. It usually answers
	// in 4 ms, under load in some tens of milliseconds.
	slowWriteTime = 80 * time.Millisecond
	// maxParallelWrites bounds the concurrent writes.
	maxParallelWrites = 8
)

// slow reports whether the store is slow at present.
func (w *writer) slow() bool {
	return w.lastWriteTime >= slowWriteTime || !w.writingSince.IsZero() && w.o.now.Sub(w.writingSince) >= slowWriteTime
}

// flushParallel writes new submissions and ends beside the sequential write while the store is
// slow. It returns when it is due again; zero if that is unknown.
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

// writeParallel sends a job beside the sequential write. The loop handles its result.
func (w *writer) writeParallel(job writeJob) {
	results, err := w.book.WriteConcurrent(w.o.ctx, job.changes)
	w.o.post(w.o.ctx, func() {
		w.parallelWrites--
		w.handleWriteResult(job, results, err)
	})
}
