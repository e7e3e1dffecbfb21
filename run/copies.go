package run

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

// Answers of workers may be lost, while the order is carried out at once, later or never. An order
// without an answer is therefore sent again, unchanged, on another connection: a worker that has
// already started a run answers a copy of its start like the first one, and one that has ended or
// stopped the run refuses the copy. The first answer counts.

type (
	// orderResult is what is known of an order after it was sent.
	orderResult struct {
		clock tw.WorkerTime
		// firstSentAt is when the order was first sent; zero if it was not. sentAt is when the
		// copy was sent that was answered, answeredAt when it was answered.
		firstSentAt, sentAt, answeredAt time.Time
		// copies is how often it was sent, answeredCopy which of these copies was answered
		// first, beginning with 1; zero if none was.
		copies, answeredCopy int
		// unanswered: at least one copy has no answer, and may still be carried out.
		unanswered bool
		// connectionLost: a connection was closed before the order was answered.
		connectionLost bool
		// lost: no copy was answered, but orders that were sent later were.
		lost bool
	}

	// copyResult is the result of one copy of an order.
	copyResult struct {
		number             int // beginning with 1
		sentAt, answeredAt time.Time
		clock              tw.WorkerTime
		err                error
	}

	// orderCopies sends the copies of one order. The goroutine that sends the first one also handles
	// its result, unless that takes longer than the hedge delay: another one then takes over.
	orderCopies struct {
		s          *session
		order      *openOrder
		sessionCtx context.Context
		ctx        context.Context // ends with the timeout of the order
		cancel     context.CancelFunc
		limit      time.Duration // the timeout of the order
		done       func(orderResult, error)

		// mu guards results, which is nil until another goroutine takes over, and firstEnded.
		mu      sync.Mutex
		results chan copyResult
		// firstEnded: the first copy has a result, and nothing is to be taken over.
		firstEnded bool

		result orderResult
		// open are the times at which the copies without a result were sent, in this order.
		open      []time.Time
		firstOpen [1]time.Time // the memory of open while there is one copy
		// lastSentAt is when the last copy was sent.
		lastSentAt time.Time
		// timedOut is the number of copies that ended without an answer, lost the number of open
		// ones that are taken for lost, as a later copy was answered.
		timedOut, lost int
		// refused is the error of a copy that was certainly not carried out.
		refused error
	}
)

// maxCopies bounds how often an order is sent.
const maxCopies = maxUnanswered

// errCopyUnanswered is the error of a start of which one copy was refused while another has no
// answer. The other one may have been carried out, or may be later.
var errCopyUnanswered = errors.Wrap(tw.ErrAmbiguous, "run: refused, but another copy of the order was not answered")

// sendCopies sends an order until a copy is answered, the order's timeout has passed or further
// copies are of no use. It calls done with the outcome, maybe after it has returned.
func (s *session) sendCopies(ctx context.Context, now time.Time, order *openOrder, done func(orderResult, error)) {
	limit := s.orderTimeout.current(now)
	callCtx, cancel := context.WithTimeout(ctx, limit)
	c := &orderCopies{s: s, order: order, sessionCtx: ctx, ctx: callCtx, cancel: cancel, limit: limit, done: done}
	c.open = c.firstOpen[:0]
	c.noteSent(now)
	delay, _ := s.hedge.current()
	s.late.Add(1)
	timer := time.AfterFunc(delay, func() {
		defer s.late.Done()
		c.takeOver(now.Add(delay), delay)
	})
	r := c.call(1, now)
	if timer.Stop() {
		s.late.Done()
	}
	if results := c.endFirst(); results != nil {
		results <- r
		return
	}
	_, err := c.handle(r) // the outcome is known, as no copy is open
	c.finish(err)
}

// call sends a copy and returns its result.
func (c *orderCopies) call(number int, sentAt time.Time) copyResult {
	clock, err := c.order.send(c.ctx)
	return copyResult{number: number, sentAt: sentAt, answeredAt: c.s.clock.Now(), clock: clock, err: err}
}

// endFirst records that the first copy has a result. It returns the channel for that result if
// another goroutine has taken over.
func (c *orderCopies) endFirst() chan<- copyResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstEnded = true
	return c.results
}

// takeOver waits for the outcome of the order, unless the first copy has a result.
func (c *orderCopies) takeOver(due time.Time, delay time.Duration) {
	c.mu.Lock()
	if c.firstEnded {
		c.mu.Unlock()
		return
	}
	c.results = make(chan copyResult, maxCopies)
	c.mu.Unlock()
	c.finish(c.wait(due, delay))
	c.awaitLateAnswers()
	c.cancel()
}

// finish passes on the outcome of the order.
func (c *orderCopies) finish(err error) {
	if c.sessionCtx.Err() == nil {
		c.noteOutcome()
	}
	if len(c.open) == 0 {
		c.cancel()
	}
	c.done(c.result, err)
}

func (c *orderCopies) noteSent(now time.Time) {
	if c.result.copies == 0 {
		c.result.firstSentAt = now
	} else {
		c.s.copiesSent.Inc()
	}
	c.result.copies++
	c.lastSentAt = now
	c.s.hedge.noteSent(now)
	c.open = append(c.open, now)
}

// sendAgain sends another copy.
func (c *orderCopies) sendAgain() {
	sentAt := c.s.clock.Now()
	c.noteSent(sentAt)
	number, results := c.result.copies, c.results
	go func() { results <- c.call(number, sentAt) }()
}

// wait returns the outcome of the order. due is when the hedge delay has passed for the first time.
func (c *orderCopies) wait(due time.Time, delay time.Duration) error {
	for {
		now := c.s.clock.Now()
		if now.Sub(due) < delay { // else this process was paused, and answers may be waiting
			if c.refused != nil {
				return errCopyUnanswered
			}
			c.handleOverdue(now)
		}
		due = now.Add(delay)
		timer := c.s.clock.After(delay)
		for overdue := false; !overdue; {
			select {
			case r := <-c.results:
				if done, err := c.handle(r); done {
					return err
				}
			case <-timer:
				overdue = true
			}
		}
	}
}

// handleOverdue sends another copy, if that is allowed and may help.
func (c *orderCopies) handleOverdue(now time.Time) {
	delay, useful := c.s.hedge.current()
	if !useful || now.Sub(c.lastSentAt) < delay || !c.s.hedge.overdue(c.lastSentAt) {
		return
	}
	limit := unansweredLimit(c.s.loss.share(now))
	if c.order.isStop || c.s.silence.explains(len(c.open), limit) {
		c.s.leaveGate(c.order) // the answer may be lost, and a stop must not wait for others
	}
	if c.order.repeatable && c.result.copies <= limit && c.result.copies < maxCopies && c.ctx.Err() == nil && c.s.maySend(c.order.workOrder, now) {
		c.sendAgain()
	}
}

// handle handles the result of a copy. It returns done if the outcome of the order is known.
func (c *orderCopies) handle(r copyResult) (done bool, err error) {
	c.remove(r.sentAt)
	switch {
	case tw.Answered(r.err):
		c.result.clock, c.result.sentAt, c.result.answeredAt, c.result.answeredCopy = r.clock, r.sentAt, r.answeredAt, r.number
		if r.err == nil || c.conclusive(r.err) {
			return true, r.err
		}
		c.refused = r.err
		return len(c.open) == 0, errCopyUnanswered
	case tw.NotApplied(r.err):
		// A connection that can't be made takes until the timeout, or shows at once that the
		// worker has ended.
		return len(c.open) == 0 || c.ctx.Err() == nil, c.failure(r.err)
	case tw.TimedOut(r.err):
		c.timedOut++
		return len(c.open) == 0, c.failure(r.err)
	}
	c.result.connectionLost = true
	return true, c.failure(r.err)
}

// conclusive reports whether a refusal tells the outcome of the whole order. A copy of a start may
// be refused because another one was carried out, or be refused before another one is carried out.
func (c *orderCopies) conclusive(refusal error) bool {
	return !c.order.isStart || len(c.open) == 0 && c.timedOut == 0 ||
		tw.RefusedFor(refusal, tw.RefusedStaleFence) || tw.RefusedFor(refusal, tw.RefusedOtherIncarnation)
}

// failure returns the error of an order of which a copy has failed with err.
func (c *orderCopies) failure(err error) error {
	switch {
	case len(c.open) == 0 && c.timedOut == 0 && tw.NotApplied(err) && c.refused != nil:
		return c.refused
	case c.refused != nil:
		return errCopyUnanswered
	case tw.NotApplied(err) && (len(c.open) > 0 || c.timedOut > 0):
		return errors.Wrap(tw.ErrAmbiguous, "run: not sent, but another copy of the order was not answered")
	}
	return err
}

func (c *orderCopies) remove(sentAt time.Time) {
	if i := slices.IndexFunc(c.open, sentAt.Equal); i >= 0 {
		c.open = slices.Delete(c.open, i, i+1)
	}
}

// noteOutcome updates what is known of answers from the outcome of the order.
func (c *orderCopies) noteOutcome() {
	now := c.s.clock.Now()
	c.result.unanswered = len(c.open) > 0 || c.timedOut > 0 || c.result.connectionLost
	switch {
	case !c.result.answeredAt.IsZero():
		for _, sentAt := range c.open {
			if sentAt.Before(c.result.sentAt) {
				c.lost++
			}
		}
		c.s.noteAnswer(now, c.result.sentAt, c.result.answeredAt.Sub(c.result.sentAt), c.lost+c.timedOut)
	case c.ctx.Err() != nil:
		c.result.lost = c.s.noteTimeout(now, c.limit, c.lastSentAt, c.result.copies)
	default:
		c.s.silence.markSilent() // the connection was closed or refused
	}
}

// awaitLateAnswers waits for the other copies until the order's timeout, so that slow answers are
// not taken for lost ones.
func (c *orderCopies) awaitLateAnswers() {
	for range len(c.open) {
		r := <-c.results
		if !tw.Answered(r.err) {
			continue
		}
		now := c.s.clock.Now()
		if c.lost > 0 && r.sentAt.Before(c.result.sentAt) {
			c.lost--
			c.s.loss.noteLate(now)
		}
		c.s.noteAnswer(now, r.sentAt, r.answeredAt.Sub(r.sentAt), 0)
	}
}
