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
	// writer brings changes into the ledger, one write at a time, each with
	// what has gathered since the last. Its goroutine only waits for the
	// store; all else belongs to the loop.
	writer struct {
		o    *Owner
		book *ledger.Book
		jobs chan writeJob
		done chan struct{}

		newSubmissions []*submission
		// dirty are the submissions with changes that are in no write yet, sent those with
		// changes in a write under way. marks is the number of the last change.
		dirty, sent map[*submission]changeMark
		lastChange  int64
		// unconfirmedEnds are the workers with unconfirmedEnds that may not be confirmed yet.
		unconfirmedEnds map[*worker]bool
		messages        []ledger.InboxRecord
		toDelete        []tw.SubmissionID

		writingSince time.Time // zero when no write is under way
		lastSent     time.Time
		confirmed    time.Time // when the last successful write was sent
		// mustConfirmAfter is a moment after which a confirmation is mustConfirmAfter soon.
		mustConfirmAfter time.Time
		retryAt          time.Time
		lastError        error
		idleCallbacks    []func()

		// lastWriteTime is how long the last write took.
		lastWriteTime time.Duration
		// parallelWrites are the writes that are made beside the one of the chain.
		parallelWrites int
		parallelDone   sync.WaitGroup
		nextParallelAt time.Time // before when no other is begun
	}

	// writeJob is one write with what its success means.
	writeJob struct {
		changes []ledger.Change
		effects []func(err error)
		size    int // in entries
		sent    time.Time
		// changed are the submissions whose progress or end it has.
		changed map[*submission]changeMark
	}
)

func newWriter(o *Owner, book *ledger.Book) *writer {
	w := &writer{
		o: o, book: book, jobs: make(chan writeJob, 1), done: make(chan struct{}),
		dirty: map[*submission]changeMark{}, sent: map[*submission]changeMark{}, unconfirmedEnds: map[*worker]bool{}, confirmed: book.ConfirmedAt(), lastSent: o.now,
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

// accept has a new submission recorded.
func (w *writer) accept(sub *submission) { w.newSubmissions = append(w.newSubmissions, sub) }

// withdraw drops a new submission that waits to be recorded; one that was sent is no harm.
func (w *writer) withdraw(sub *submission) {
	w.newSubmissions = slices.DeleteFunc(w.newSubmissions, func(other *submission) bool { return other == sub })
}

// deleteMessage has a message taken out of the inbox.
func (w *writer) deleteMessage(m ledger.InboxRecord) {
	if !slices.Contains(w.messages, m) {
		w.messages = append(w.messages, m)
	}
}

// confirmAfter has the ownership confirmed soon by a write sent after a moment.
func (w *writer) confirmAfter(at time.Time) { w.mustConfirmAfter = at }

// whenIdle calls f once nothing waits to be written.
func (w *writer) whenIdle(f func()) { w.idleCallbacks = append(w.idleCallbacks, f) }

// acceptError tells why new submissions can't be kept at present.
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

// failingSince is since when the store has taken no write; zero if it takes them.
func (w *writer) failingSince() time.Time {
	if w.lastError == nil && (w.writingSince.IsZero() || w.o.now.Sub(w.writingSince) < writeStallTimeout) {
		return time.Time{}
	}
	return w.confirmed
}

// flush sends what has gathered, if it may, and returns when it may next.
func (w *writer) flush() time.Time {
	now := w.o.now
	laneAt := w.flushParallel()
	if !w.writingSince.IsZero() {
		w.rejectStalled()
		return earlier(now.Add(writeStallTimeout), laneAt)
	}
	if w.empty() {
		w.confirmEnds()
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

// rejectStalled refuses the submissions that wait behind a write which the
// store does not answer: they were surely not sent.
func (w *writer) rejectStalled() {
	if w.o.now.Sub(w.writingSince) <= writeStallTimeout || len(w.newSubmissions) == 0 {
		return
	}
	fresh := w.newSubmissions
	w.newSubmissions = nil
	for _, sub := range fresh {
		w.o.refusedByStore(sub, errors.Wrap(tw.ErrUnavailable, "run: the store does not answer"))
	}
}

func (w *writer) empty() bool {
	return w.parallelWrites == 0 && len(w.newSubmissions) == 0 && len(w.dirty) == 0 && len(w.messages) == 0 && len(w.toDelete) == 0
}

// batchFull tells whether what waits batchFull a write, so that waiting for more would only
// delay it: with a write each 15 ms at most some 400 submissions a second could be
// kept and ended, and no progress beside them.
func (w *writer) batchFull() bool {
	const entries = 2 // of a new submission: its condition and its record
	return entries*len(w.newSubmissions)+len(w.dirty) >= ledger.MaxEntries
}

// adder is what adds changes to a job as long as they fit.
func (j *writeJob) adder() addChange {
	j.changed = map[*submission]changeMark{}
	return func(change ledger.Change, effect func(err error)) bool {
		if j.size+change.Size() > ledger.MaxEntries {
			return false
		}
		j.size += change.Size()
		j.changes = append(j.changes, change)
		j.effects = append(j.effects, effect)
		return true
	}
}

// buildWrite gathers what fits into one write.
func (w *writer) buildWrite() writeJob {
	var job writeJob
	add := job.adder()
	w.addOldest(&job, add)
	if !w.slow() {
		w.addAllNew(add)
	}
	w.addAll(&job, add, func(sub *submission) bool { return sub.pendingFinal != "" })
	w.addAll(&job, add, func(*submission) bool { return true })
	for len(w.messages) > 0 && add(ledger.RemoveMessage(w.o.pool, w.messages[0]), w.messageEffect(w.messages[0])) {
		w.messages = w.messages[1:]
	}
	for len(w.toDelete) > 0 && add(ledger.DeleteSubmission(w.toDelete[0]), func(error) {}) {
		w.toDelete = w.toDelete[1:]
	}
	return job
}

// awaitingAccept tells whether a submission is still to be kept. Its end must not be written before:
// it would make a submission of one that the store refuses.
func (w *writer) awaitingAccept(sub *submission) bool {
	return !sub.durable && w.o.submissions[sub.ID] == sub
}

func (w *writer) addAllNew(add addChange) {
	for len(w.newSubmissions) > 0 && w.addNew(w.newSubmissions[0], add) {
		w.newSubmissions = w.newSubmissions[1:]
	}
}

type addChange func(change ledger.Change, effect func(err error)) bool

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
	return add(ledger.EndSubmission(w.o.pool, &sub.Submission, sub.pendingFinal, sub.capUsage()), func(err error) {
		if err != nil {
			w.markDirty(sub)
			return
		}
		w.o.endRecorded(sub)
	})
}

func (w *writer) messageEffect(m ledger.InboxRecord) func(error) {
	return func(err error) {
		if err != nil {
			w.deleteMessage(m)
			return
		}
		w.o.messageRemoved(m)
	}
}

// writeAnswered takes up the outcome of a write.
func (w *writer) writeAnswered(job writeJob, results []error, err error) {
	o := w.o
	o.now = o.clock.Now()
	o.metrics.writeTime.Update(o.now.Sub(job.sent).Seconds())
	w.writingSince = time.Time{}
	w.lastWriteTime = o.now.Sub(job.sent)
	w.handleWriteResult(job, results, err)
}

// writeFailed takes up a write that was surely not done.
func (w *writer) writeFailed(job writeJob, err error) {
	o := w.o
	if !tw.NotApplied(err) {
		// Only the end of the owner leaves a write in doubt.
		o.log.Warn("owner: a write stays in doubt", logsink.Err(err))
		return
	}
	if w.lastError == nil {
		o.log.Warn("owner: the store takes no writes", logsink.Err(err))
	}
	w.lastError = err
	w.retryAt = o.now.Add(flushRetryDelay)
	for _, effect := range job.effects {
		effect(err)
	}
}

// writeSucceeded takes up a write that was done. results are those of its changes.
func (w *writer) writeSucceeded(job writeJob, results []error) {
	o := w.o
	if w.lastError != nil {
		o.log.Info("owner: the store takes writes again")
		w.lastError = nil
	}
	if job.sent.After(w.confirmed) {
		w.confirmed = job.sent
	}
	o.placeRequested = true
	o.permit.extend(job.sent.Add(permitTTL))
	for i, effect := range job.effects {
		effect(results[i])
	}
	w.confirmEnds()
	o.deleteExpired()
}

// deleteExpired drops submissions that ended long ago.
func (o *Owner) deleteExpired() {
	if len(o.writer.toDelete) > 0 || len(o.submissions) < deleteExpiredAbove {
		return
	}
	for id, sub := range o.submissions {
		if sub.final != "" && o.now.Sub(sub.endedAt) > o.bounds.KeepEnded+retentionSlack {
			delete(o.submissions, id)
			o.writer.toDelete = append(o.writer.toDelete, id)
		}
	}
	slices.Sort(o.writer.toDelete)
}

const (
	// deleteExpiredAbove spares the search while there is little to forget.
	deleteExpiredAbove = 2000
	// retentionSlack covers repeated requests, which come seconds after an answer.
	retentionSlack = 30 * time.Second
)
