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

		fresh []*submission
		// dirty are the submissions with changes that are in no write yet, sent those with
		// changes in a write under way. marks is the number of the last change.
		dirty, sent map[*submission]changeMark
		marks       int64
		// ends are the workers with ends that may not be confirmed yet.
		ends     map[*worker]bool
		messages []ledger.InboxRecord
		forget   []tw.SubmissionID

		busyFrom  time.Time // zero when no write is under way
		lastSent  time.Time
		confirmed time.Time // when the last successful write was sent
		// wanted is a moment after which a confirmation is wanted soon.
		wanted    time.Time
		retryAt   time.Time
		lastError error
		idle      []func()

		// lastTook is how long the last write took.
		lastTook time.Duration
		// lanes are the writes that are made beside the one of the chain.
		lanes     int
		lanesDone sync.WaitGroup
		laneFrom  time.Time // before when no other is begun
	}

	// writeJob is one write with what its success means.
	writeJob struct {
		changes []ledger.Change
		effects []func(err error)
		size    int // in entries
		sent    time.Time
		// of are the submissions whose progress or end it has.
		of map[*submission]changeMark
	}
)

func newWriter(o *Owner, book *ledger.Book) *writer {
	w := &writer{
		o: o, book: book, jobs: make(chan writeJob, 1), done: make(chan struct{}),
		dirty: map[*submission]changeMark{}, sent: map[*submission]changeMark{}, ends: map[*worker]bool{}, confirmed: book.Confirmed(), lastSent: o.now,
	}
	go func() {
		defer close(w.done)
		w.write()
	}()
	return w
}

func (w *writer) close() {
	<-w.done
	w.lanesDone.Wait()
}

// write sends jobs until the owner ends.
func (w *writer) write() {
	for {
		select {
		case <-w.o.ctx.Done():
			return
		case job := <-w.jobs:
			results, err := w.book.Write(w.o.ctx, job.changes)
			if !w.o.post(w.o.ctx, func() { w.finished(job, results, err) }) {
				return
			}
		}
	}
}

// accept has a new submission recorded.
func (w *writer) accept(sub *submission) { w.fresh = append(w.fresh, sub) }

// withdraw drops a new submission that waits to be recorded; one that was sent is no harm.
func (w *writer) withdraw(sub *submission) {
	w.fresh = slices.DeleteFunc(w.fresh, func(other *submission) bool { return other == sub })
}

// emptied has a message taken out of the inbox.
func (w *writer) emptied(m ledger.InboxRecord) {
	if !slices.Contains(w.messages, m) {
		w.messages = append(w.messages, m)
	}
}

// confirmAfter has the ownership confirmed soon by a write sent after a moment.
func (w *writer) confirmAfter(at time.Time) { w.wanted = at }

// whenIdle calls f once nothing waits to be written.
func (w *writer) whenIdle(f func()) { w.idle = append(w.idle, f) }

// refuses tells why new submissions can't be kept at present.
func (w *writer) refuses() error {
	now := w.o.now
	if now.Before(w.retryAt) {
		return w.lastError
	}
	if !w.busyFrom.IsZero() && now.Sub(w.busyFrom) > stalledAfter {
		return errors.Wrap(tw.ErrUnavailable, "run: the store does not answer")
	}
	return nil
}

// trouble is since when the store has taken no write; zero if it takes them.
func (w *writer) trouble() time.Time {
	if w.lastError == nil && (w.busyFrom.IsZero() || w.o.now.Sub(w.busyFrom) < stalledAfter) {
		return time.Time{}
	}
	return w.confirmed
}

// flush sends what has gathered, if it may, and returns when it may next.
func (w *writer) flush() time.Time {
	now := w.o.now
	laneAt := w.flushApart()
	if !w.busyFrom.IsZero() {
		w.dropStalled()
		return earlier(now.Add(stalledAfter), laneAt)
	}
	if w.empty() {
		w.confirmEnds()
		for _, f := range w.idle {
			f()
		}
		w.idle = nil
		if at := w.confirmed.Add(confirmEvery); now.Before(at) && w.confirmed.After(w.wanted) {
			return at
		}
	}
	if at := w.lastSent.Add(flushGap); now.Before(at) && !w.fills() {
		return at
	}
	if now.Before(w.retryAt) {
		return w.retryAt
	}
	job := w.compose()
	job.sent = now
	w.busyFrom, w.lastSent = now, now
	w.jobs <- job
	return now.Add(stalledAfter)
}

// dropStalled refuses the submissions that wait behind a write which the
// store does not answer: they were surely not sent.
func (w *writer) dropStalled() {
	if w.o.now.Sub(w.busyFrom) <= stalledAfter || len(w.fresh) == 0 {
		return
	}
	fresh := w.fresh
	w.fresh = nil
	for _, sub := range fresh {
		w.o.refusedByStore(sub, errors.Wrap(tw.ErrUnavailable, "run: the store does not answer"))
	}
}

func (w *writer) empty() bool {
	return w.lanes == 0 && len(w.fresh) == 0 && len(w.dirty) == 0 && len(w.messages) == 0 && len(w.forget) == 0
}

// fills tells whether what waits fills a write, so that waiting for more would only
// delay it: with a write each 15 ms at most some 400 submissions a second could be
// kept and ended, and no progress beside them.
func (w *writer) fills() bool {
	const entries = 2 // of a new submission: its condition and its record
	return entries*len(w.fresh)+len(w.dirty) >= ledger.MaxEntries
}

// adder is what adds changes to a job as long as they fit.
func (j *writeJob) adder() addChange {
	j.of = map[*submission]changeMark{}
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

// compose gathers what fits into one write.
func (w *writer) compose() writeJob {
	var job writeJob
	add := job.adder()
	w.addAged(&job, add)
	if !w.slow() {
		w.addAllFresh(add)
	}
	w.addAll(&job, add, func(sub *submission) bool { return sub.ending != "" })
	w.addAll(&job, add, func(*submission) bool { return true })
	for len(w.messages) > 0 && add(ledger.Emptied(w.o.pool, w.messages[0]), w.messageEffect(w.messages[0])) {
		w.messages = w.messages[1:]
	}
	for len(w.forget) > 0 && add(ledger.Forget(w.forget[0]), func(error) {}) {
		w.forget = w.forget[1:]
	}
	return job
}

// unkept tells whether a submission is still to be kept. Its end must not be written before:
// it would make a submission of one that the store refuses.
func (w *writer) unkept(sub *submission) bool {
	return !sub.durable && w.o.submissions[sub.ID] == sub
}

func (w *writer) addAllFresh(add addChange) {
	for len(w.fresh) > 0 && w.addFresh(w.fresh[0], add) {
		w.fresh = w.fresh[1:]
	}
}

type addChange func(change ledger.Change, effect func(err error)) bool

func (w *writer) addFresh(sub *submission, add addChange) bool {
	return add(ledger.Accept(&sub.Submission), func(err error) {
		var existing *ledger.Existing
		switch {
		case err == nil:
			w.o.accepted(sub)
		case errors.As(err, &existing):
			w.o.existsAlready(sub, existing.Item)
		default:
			w.o.refusedByStore(sub, err)
		}
	})
}

func (w *writer) addDirty(sub *submission, add addChange) bool {
	if sub.ending == "" {
		return add(ledger.Advance(w.o.pool, sub.ID, &sub.progress), func(err error) {
			if err != nil {
				w.mark(sub)
				return
			}
			sub.recordedAt = w.lastSent
		})
	}
	return add(ledger.End(w.o.pool, &sub.Submission, sub.ending, sub.running()), func(err error) {
		if err != nil {
			w.mark(sub)
			return
		}
		w.o.concluded(sub)
	})
}

func (w *writer) messageEffect(m ledger.InboxRecord) func(error) {
	return func(err error) {
		if err != nil {
			w.emptied(m)
			return
		}
		w.o.messageGone(m)
	}
}

// finished takes up the outcome of a write.
func (w *writer) finished(job writeJob, results []error, err error) {
	o := w.o
	o.now = o.clock.Now()
	o.metrics.writeTime.Update(o.now.Sub(job.sent).Seconds())
	w.busyFrom = time.Time{}
	w.lastTook = o.now.Sub(job.sent)
	w.settled(job, results, err)
}

// failed takes up a write that was surely not done.
func (w *writer) failed(job writeJob, err error) {
	o := w.o
	if !tw.SurelyNotDone(err) {
		// Only the end of the owner leaves a write in doubt.
		o.log.Warn("owner: a write stays in doubt", logsink.Err(err))
		return
	}
	if w.lastError == nil {
		o.log.Warn("owner: the store takes no writes", logsink.Err(err))
	}
	w.lastError = err
	w.retryAt = o.now.Add(flushRetry)
	for _, effect := range job.effects {
		effect(err)
	}
}

// succeeded takes up a write that was done. results are those of its changes.
func (w *writer) succeeded(job writeJob, results []error) {
	o := w.o
	if w.lastError != nil {
		o.log.Info("owner: the store takes writes again")
		w.lastError = nil
	}
	if job.sent.After(w.confirmed) {
		w.confirmed = job.sent
	}
	o.placeSoon = true
	o.permit.extend(job.sent.Add(permitTime))
	for i, effect := range job.effects {
		effect(results[i])
	}
	w.confirmEnds()
	o.forgetOld()
}

// forgetOld drops submissions that ended long ago.
func (o *Owner) forgetOld() {
	if len(o.writer.forget) > 0 || len(o.submissions) < forgetAbove {
		return
	}
	for id, sub := range o.submissions {
		if sub.final != "" && o.now.Sub(sub.endedAt) > o.bounds.KeepEnded+forgetSlack {
			delete(o.submissions, id)
			o.writer.forget = append(o.writer.forget, id)
		}
	}
	slices.Sort(o.writer.forget)
}

const (
	// forgetAbove spares the search while there is little to forget.
	forgetAbove = 2000
	// forgetSlack covers repeated requests, which come seconds after an answer.
	forgetSlack = 30 * time.Second
)
