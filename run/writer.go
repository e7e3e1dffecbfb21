package run

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type (
	// writer records changes in the ledger. It makes one write at a time, with the changes that
	// have accumulated since the last, and concurrent writes only while the store is slow. Its
	// goroutine only waits for the store; everything else runs in the loop.
	writer struct {
		o    *Owner
		book *ledger.Book
		jobs chan writeJob
		done chan struct{}

		newSubmissions []*submission
		// dirty are the submissions with changes that are in no write yet, inFlight those with
		// changes in a write in flight. lastChange is the number of the last change.
		dirty, inFlight map[*submission]changeMark
		lastChange      int64
		// workersWithUnrecordedEnds are the workers with reported ends that must not be
		// acknowledged yet.
		workersWithUnrecordedEnds map[*worker]bool
		messagesToDelete          []ledger.InboxRecord
		submissionsToDelete       []tw.SubmissionID

		writingSince time.Time // zero if no sequential write is in flight
		lastSent     time.Time
		confirmed    time.Time // when the last successful write was sent
		// mustConfirmAfter: the ownership must soon be confirmed by a write sent after this time.
		mustConfirmAfter time.Time
		retryAt          time.Time
		lastError        error
		idleCallbacks    []func()

		// lastWriteTime is how long the last sequential write took.
		lastWriteTime time.Duration
		// parallelWrites is the number of writes in flight beside the sequential one.
		parallelWrites int
		parallelDone   sync.WaitGroup
		nextParallelAt time.Time // earliest start of another one
	}

	// writeJob is one write with the callbacks for the results of its changes.
	writeJob struct {
		changes   []ledger.Change
		callbacks []func(err error)
		size      int // in entries
		sent      time.Time
		// changed are the submissions whose progress or end it contains.
		changed map[*submission]changeMark
	}
)

func newWriter(o *Owner, book *ledger.Book) *writer {
	w := &writer{
		o: o, book: book, jobs: make(chan writeJob, 1), done: make(chan struct{}),
		dirty: map[*submission]changeMark{}, inFlight: map[*submission]changeMark{}, workersWithUnrecordedEnds: map[*worker]bool{}, confirmed: book.ConfirmedAt(), lastSent: o.now,
	}
	go func() {
		defer close(w.done)
		w.writeLoop()
	}()
	return w
}

func (w *writer) close() {
	<-w.done
	w.parallelDone.Wait()
}

// writeLoop sends jobs until the owner ends.
func (w *writer) writeLoop() {
	for {
		select {
		case <-w.o.ctx.Done():
			return
		case job := <-w.jobs:
			results, err := w.book.Write(w.o.ctx, job.changes)
			if !w.o.post(w.o.ctx, func() { w.writeAnswered(job, results, err) }) {
				return
			}
		}
	}
}

// accept queues a new submission to be recorded.
func (w *writer) accept(sub *submission) { w.newSubmissions = append(w.newSubmissions, sub) }

// withdraw drops a new submission that waits to be recorded. It ignores one that was sent.
func (w *writer) withdraw(sub *submission) {
	w.newSubmissions = slices.DeleteFunc(w.newSubmissions, func(other *submission) bool { return other == sub })
}

// deleteMessage queues the removal of a message from the inbox.
func (w *writer) deleteMessage(m ledger.InboxRecord) {
	if !slices.Contains(w.messagesToDelete, m) {
		w.messagesToDelete = append(w.messagesToDelete, m)
	}
}

// confirmAfter requests that the ownership is confirmed soon, by a write sent after a given time.
func (w *writer) confirmAfter(at time.Time) { w.mustConfirmAfter = at }

// whenIdle calls f once nothing waits to be written.
func (w *writer) whenIdle(f func()) { w.idleCallbacks = append(w.idleCallbacks, f) }

// acceptError returns why new submissions can't be recorded at present, or nil.
func (w *writer) acceptError() error {
	now := w.o.now
	if now.Before(w.retryAt) {
		return w.lastError
	}
	if !w.writingSince.IsZero() && now.Sub(w.writingSince) > writeStallTimeout {
		return errors.Wrap(tw.ErrUnavailable, "run: the store does not answer")
	}
	return nil
}

// failingSince returns since when the store has accepted no write; zero if it accepts them.
func (w *writer) failingSince() time.Time {
	if w.lastError == nil && (w.writingSince.IsZero() || w.o.now.Sub(w.writingSince) < writeStallTimeout) {
		return time.Time{}
	}
	return w.confirmed
}

// flush sends the pending changes if it may, and returns when it is due again.
func (w *writer) flush() time.Time {
	now := w.o.now
	parallelAt := w.flushParallel()
	if !w.writingSince.IsZero() {
		w.rejectStalled()
		return earlier(now.Add(writeStallTimeout), parallelAt)
	}
	if w.empty() {
		w.updateRecordedEnds()
		for _, f := range w.idleCallbacks {
			f()
		}
		w.idleCallbacks = nil
		if at := w.confirmed.Add(confirmInterval); now.Before(at) && w.confirmed.After(w.mustConfirmAfter) {
			return at
		}
	}
	if at := w.lastSent.Add(flushInterval); now.Before(at) && !w.batchFull() {
		return at
	}
	if now.Before(w.retryAt) {
		return w.retryAt
	}
	job := w.buildWrite()
	job.sent = now
	w.writingSince, w.lastSent = now, now
	w.jobs <- job
	return now.Add(writeStallTimeout)
}

// rejectStalled refuses the submissions that wait behind a write that the store does not answer.
// They were certainly not sent.
func (w *writer) rejectStalled() {
	if w.o.now.Sub(w.writingSince) <= writeStallTimeout || len(w.newSubmissions) == 0 {
		return
	}
	rejected := w.newSubmissions
	w.newSubmissions = nil
	for _, sub := range rejected {
		w.o.refusedByStore(sub, errors.Wrap(tw.ErrUnavailable, "run: the store does not answer"))
	}
}

func (w *writer) empty() bool {
	return w.parallelWrites == 0 && len(w.newSubmissions) == 0 && len(w.dirty) == 0 && len(w.messagesToDelete) == 0 && len(w.submissionsToDelete) == 0
}

// batchFull reports whether the pending changes fill a write, so that waiting for more would only
// delay it. With at most one write per 15 ms, only some 400 submissions a second could be stored
// and ended, without any progress recorded beside them.
func (w *writer) batchFull() bool {
	const entries = 2 // of a new submission: its precondition and its record
	return entries*len(w.newSubmissions)+len(w.dirty) >= ledger.MaxEntries
}

// adder returns a function that adds changes to a job as long as they fit.
func (j *writeJob) adder() addChange {
	j.changed = map[*submission]changeMark{}
	return func(change ledger.Change, callback func(err error)) bool {
		if j.size+change.Size() > ledger.MaxEntries {
			return false
		}
		j.size += change.Size()
		j.changes = append(j.changes, change)
		j.callbacks = append(j.callbacks, callback)
		return true
	}
}

// buildWrite collects the changes for one write.
func (w *writer) buildWrite() writeJob {
	var job writeJob
	add := job.adder()
	w.addOldest(&job, add)
	if !w.slow() {
		w.addAllNew(add)
	}
	w.addAll(&job, add, func(sub *submission) bool { return sub.pendingFinal != "" })
	w.addAll(&job, add, func(*submission) bool { return true })
	for len(w.messagesToDelete) > 0 && add(ledger.RemoveMessage(w.o.pool, w.messagesToDelete[0]), w.messageCallback(w.messagesToDelete[0])) {
		w.messagesToDelete = w.messagesToDelete[1:]
	}
	for len(w.submissionsToDelete) > 0 && add(ledger.DeleteSubmission(w.submissionsToDelete[0]), func(error) {}) {
		w.submissionsToDelete = w.submissionsToDelete[1:]
	}
	return job
}

// awaitingAccept reports whether a submission is still to be stored. Its end must not be written
// before that, as this would create the submission even if the store has refused it.
func (w *writer) awaitingAccept(sub *submission) bool {
	return !sub.durable && w.o.submissions[sub.ID] == sub
}

func (w *writer) addAllNew(add addChange) {
	for len(w.newSubmissions) > 0 && w.addNew(w.newSubmissions[0], add) {
		w.newSubmissions = w.newSubmissions[1:]
	}
}

type addChange func(change ledger.Change, callback func(err error)) bool

func (w *writer) addNew(sub *submission, add addChange) bool {
	return add(ledger.AcceptSubmission(&sub.Submission), func(err error) {
		var existing *ledger.ExistsError
		switch {
		case err == nil:
			w.o.submissionStored(sub)
		case errors.As(err, &existing):
			w.o.alreadyStored(sub, existing.Item)
		default:
			w.o.refusedByStore(sub, err)
		}
	})
}

func (w *writer) addDirty(sub *submission, add addChange) bool {
	if sub.pendingFinal == "" {
		return add(ledger.SaveProgress(w.o.pool, sub.ID, &sub.progress), func(err error) {
			if err != nil {
				w.markDirty(sub)
				return
			}
			sub.recordedAt = w.lastSent
		})
	}
	return add(ledger.EndSubmission(w.o.pool, &sub.Submission, sub.pendingFinal, w.o.stoppingUsage(sub)), func(err error) {
		if err != nil {
			w.markDirty(sub)
			return
		}
		w.o.endRecorded(sub)
	})
}

func (w *writer) messageCallback(m ledger.InboxRecord) func(error) {
	return func(err error) {
		if err != nil {
			w.deleteMessage(m)
			return
		}
		w.o.messageRemoved(m)
	}
}

// writeAnswered handles the result of a sequential write.
func (w *writer) writeAnswered(job writeJob, results []error, err error) {
	o := w.o
	o.now = o.clock.Now()
	o.metrics.writeTime.Update(o.now.Sub(job.sent).Seconds())
	w.writingSince = time.Time{}
	w.lastWriteTime = o.now.Sub(job.sent)
	w.handleWriteResult(job, results, err)
}

// writeFailed handles a write that failed: it was certainly not applied, or its outcome is unknown.
func (w *writer) writeFailed(job writeJob, err error) {
	o := w.o
	if !tw.NotApplied(err) {
		// The outcome of a write is unknown only if the owner has ended.
		o.log.Warn("owner: outcome of a write unknown", logsink.Err(err))
		return
	}
	if w.lastError == nil {
		o.log.Warn("owner: the store takes no writes", logsink.Err(err))
	}
	w.lastError = err
	w.retryAt = o.now.Add(flushRetryDelay)
	for _, callback := range job.callbacks {
		callback(err)
	}
}

// writeSucceeded handles a write that was applied. results are those of its changes.
func (w *writer) writeSucceeded(job writeJob, results []error) {
	o := w.o
	if w.lastError != nil {
		o.log.Info("owner: the store takes writes again")
		w.lastError = nil
	}
	if job.sent.After(w.confirmed) {
		w.confirmed = job.sent
	}
	o.placeRequested, o.recordsChanged = true, true
	o.permit.extend(job.sent.Add(permitTTL))
	for i, callback := range job.callbacks {
		callback(results[i])
	}
	w.updateRecordedEnds()
	o.deleteExpired()
}

// deleteExpired drops submissions that ended long ago, here and in the store.
func (o *Owner) deleteExpired() {
	if len(o.writer.submissionsToDelete) > 0 || len(o.submissions) < deleteExpiredAbove {
		return
	}
	for len(o.ended) > 0 && o.now.Sub(o.ended[0].endedAt) > o.bounds.KeepEnded+retentionSlack {
		sub := o.ended[0]
		o.ended[0], o.ended = nil, o.ended[1:]
		if o.submissions[sub.ID] == sub {
			delete(o.submissions, sub.ID)
			o.writer.submissionsToDelete = append(o.writer.submissionsToDelete, sub.ID)
		}
	}
	slices.Sort(o.writer.submissionsToDelete)
}

const (
	// deleteExpiredAbove is the number of submissions below which deleteExpired does nothing, to
	// save the search while there is little to delete.
	deleteExpiredAbove = 2000
	// retentionSlack covers repeated requests, which come seconds after an answer.
	retentionSlack = 30 * time.Second
)
