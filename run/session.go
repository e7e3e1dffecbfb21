package run

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// session sends orders to one incarnation of a worker, and polls it. Orders are sent one
	// after the other, except for starts where several at once are of use; an order whose answer
	// may be lost does not hold up those behind it, and only stops hold up stops. All goroutines end
	// with the session's context.
	session struct {
		ref    tw.WorkerRef
		orders tw.WorkerOrders
		clock  tw.Clock
		permit *permit
		// orderTimeout, hedge and loss are shared by the sessions of an owner.
		orderTimeout *orderTimeout
		hedge        *hedgeDelay
		loss         *answerLoss
		copiesSent   *metrics.Counter
		polls        chan pollRequest
		work, stops  chan workOrder
		events       chan<- func()
		cancel       context.CancelFunc
		// silence tells lost answers from a worker that does not answer.
		silence silence
		// gate bounds the orders of work that are sent at the same time, stopGate the stops.
		gate, stopGate gate
		open           openOrders
		// late counts the goroutines that wait, or may have to, for answers to copies of orders.
		late sync.WaitGroup

		// pollMu guards pollCtx, the context of the open polls; nil if there are none.
		pollMu      sync.Mutex
		pollCtx     context.Context
		cancelPolls context.CancelFunc
	}

	// permit is the time until which the sessions of an owner may send orders. A daemon that
	// was paused finds it expired.
	permit struct{ until atomic.Pointer[time.Time] }

	pollRequest struct {
		hold tw.HoldOrder
		seq  int64
		// timeout bounds the poll; with zero only the client's own timeout applies.
		timeout time.Duration
		done    func(result pollResult)
	}

	pollResult struct {
		seq    int64
		report tw.HoldReport
		err    error
		// lost: it was not answered, but calls that were sent later were.
		lost bool
		// answeredAt is when it was answered; zero if it was not.
		answeredAt time.Time
	}

	// workOrder is a start, a stop or a change of pace.
	workOrder struct {
		send func(ctx context.Context) (tw.WorkerTime, error)
		done func(result orderResult, err error)
		// stale reports whether the order must not be sent any more; nil if it always may be.
		stale func(now time.Time) bool
		// subtask is the subtask that the order is about.
		subtask tw.SubtaskID
		// isStart: the order is a start; isStop: it is a stop.
		isStart, isStop bool
		// repeatable: it may be sent again while it has no answer.
		repeatable bool
		// queuedAt is when it was queued.
		queuedAt time.Time
	}
)

const (
	// maxParallelStarts bounds the starts that are sent to a worker at the same time.
	maxParallelStarts = 4
	// maxParallelStops bounds the stops that are sent to a worker at the same time once they have
	// waited for maxStopQueueTime. Before that they are sent one after the other, which takes one
	// connection.
	maxParallelStops = 8
	maxStopQueueTime = 250 * time.Millisecond
)

// errNotSent is the result of an order that was outdated or no longer permitted before it was sent,
// or of a poll that the owner itself has interrupted.
var errNotSent = errors.New("order not sent, it was outdated")

func (p *permit) extend(until time.Time) { p.until.Store(&until) }

func (p *permit) valid(now time.Time) bool {
	until := p.until.Load()
	return until != nil && now.Before(*until)
}

// newSession starts a session. It runs until close is called or the owner ends.
func newSession(o *Owner, ref tw.WorkerRef) *session {
	ctx, cancel := context.WithCancel(o.ctx)
	s := &session{
		ref: ref, orders: o.orders, clock: o.clock, permit: &o.permit, orderTimeout: &o.orderTimeout, hedge: &o.hedge, loss: &o.loss,
		copiesSent: o.metrics.copies, events: o.events, cancel: cancel,
		polls: make(chan pollRequest, maxOpenPolls), work: make(chan workOrder, sessionQueueSize), stops: make(chan workOrder, stopQueueSize),
	}
	pollLoopDone := make(chan struct{})
	go func() {
		defer close(pollLoopDone)
		s.pollLoop(ctx)
	}()
	o.sessions.Go(func() {
		s.orderLoop(ctx)
		<-pollLoopDone
	})
	return s
}

func (s *session) close() { s.cancel() }

func (s *session) pollLoop(ctx context.Context) {
	polls := newReusedGoroutines()
	defer polls.wait()
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-s.polls:
			polls.run(ctx, func() {
				result := s.poll(ctx, request)
				s.report(ctx, func() { request.done(result) })
			})
		}
	}
}

// poll sends one hold.
func (s *session) poll(ctx context.Context, request pollRequest) pollResult {
	result := pollResult{seq: request.seq, err: errNotSent}
	sentAt := s.clock.Now()
	if !s.permit.valid(sentAt) {
		return result
	}
	pollCtx := s.interruptible(ctx)
	callCtx := pollCtx
	if request.timeout > 0 {
		limited, cancel := context.WithTimeout(pollCtx, request.timeout)
		defer cancel()
		callCtx = limited
	}
	if request.hold.Wait == 0 {
		s.hedge.noteSent(sentAt)
	}
	result.report, result.err = s.orders.Hold(callCtx, s.ref, request.hold)
	now := s.clock.Now()
	switch {
	case result.err != nil && pollCtx.Err() != nil:
		result.err = errNotSent
	case tw.Answered(result.err):
		result.answeredAt = now
		if request.hold.Wait == 0 {
			s.hedge.noteAnswer(sentAt, now.Sub(sentAt))
		}
		s.noteLost(now, 1, s.silence.noteAnswer(sentAt))
	case tw.NotApplied(result.err) || !tw.TimedOut(result.err):
		s.silence.markSilent()
	case s.wasLost(sentAt.Add(request.hold.Wait)): // before that no answer was due
		result.lost = true
	default:
		s.silence.noteUnanswered(1, unansweredLimit(s.loss.share(now)))
	}
	return result
}

// interruptible returns the context of a poll, which interruptPolls ends.
func (s *session) interruptible(ctx context.Context) context.Context {
	s.pollMu.Lock()
	defer s.pollMu.Unlock()
	if s.pollCtx == nil {
		s.pollCtx, s.cancelPolls = context.WithCancel(ctx)
	}
	return s.pollCtx
}

// interruptPolls cancels the open polls.
func (s *session) interruptPolls() {
	s.pollMu.Lock()
	defer s.pollMu.Unlock()
	if s.pollCtx != nil {
		s.cancelPolls()
		s.pollCtx = nil
	}
}

func (s *session) orderLoop(ctx context.Context) {
	defer s.late.Wait()
	var stops sync.WaitGroup
	defer stops.Wait()
	stops.Go(func() { s.sendOrders(ctx, s.stops, &s.stopGate) })
	s.sendOrders(ctx, s.work, &s.gate)
}

// sendOrders sends the orders of a queue.
func (s *session) sendOrders(ctx context.Context, queue <-chan workOrder, gate *gate) {
	orders := newReusedGoroutines()
	defer orders.wait()
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-queue:
			limit := 1
			switch {
			case w.isStart:
				limit = s.parallelStarts()
			case w.isStop && s.clock.Now().Sub(w.queuedAt) > maxStopQueueTime:
				limit = maxParallelStops
			}
			gate.enter(ctx, limit)
			order := &openOrder{workOrder: w, gate: gate}
			earlier := s.open.add(order)
			orders.run(ctx, func() { s.executeOrder(ctx, order, earlier) })
		}
	}
}

// executeOrder sends an order once the earlier one for its subtask has ended; earlier is nil if
// there is none.
func (s *session) executeOrder(ctx context.Context, order *openOrder, earlier <-chan struct{}) {
	if earlier != nil {
		s.leaveGate(order)
		<-earlier
	}
	s.send(ctx, order, func(result orderResult, err error) {
		s.report(ctx, func() { order.done(result, err) })
		s.leaveGate(order)
		s.open.end(order)
	})
}

// leaveGate lets other orders pass, if that was not done yet.
func (s *session) leaveGate(order *openOrder) {
	if !order.left && order.gate != nil {
		order.left = true
		order.gate.leave()
	}
}

// parallelStarts returns how many starts may be sent at the same time.
func (s *session) parallelStarts() int {
	if s.loss.share(s.clock.Now()) > 0 {
		return maxParallelStarts // each may take several hedge delays
	}
	if starter, ok := s.orders.(tw.ParallelStarter); ok {
		return max(1, min(starter.MaxParallelStarts(), maxParallelStarts))
	}
	return 1
}

// send sends an order unless it is outdated or no longer permitted. It calls done with the outcome,
// maybe after it has returned.
func (s *session) send(ctx context.Context, order *openOrder, done func(orderResult, error)) {
	now := s.clock.Now()
	if !s.maySend(order.workOrder, now) {
		done(orderResult{}, errNotSent)
		return
	}
	s.sendCopies(ctx, now, order, done)
}

// maySend reports whether an order is neither outdated nor forbidden.
func (s *session) maySend(w workOrder, now time.Time) bool {
	outdated := w.stale != nil && (s.silence.isSilent() || w.stale(now))
	return !outdated && s.permit.valid(now)
}

// noteAnswer records an answer to a call, how long it took and how many copies of the call were
// lost.
func (s *session) noteAnswer(now, sentAt time.Time, took time.Duration, lost int) {
	s.orderTimeout.noteAnswer(now, took)
	s.hedge.noteAnswer(sentAt, took)
	s.noteLost(now, 1, lost+s.silence.noteAnswer(sentAt))
}

// noteLost counts answered and lost calls. While answers are slow, calls that seem lost are not
// counted.
func (s *session) noteLost(now time.Time, answered, lost int) {
	if _, useful := s.hedge.current(); !useful {
		lost = 0
	}
	s.loss.note(now, answered, lost)
}

// noteTimeout records that an order was not answered within its timeout. It reports whether the
// answers must have been lost.
func (s *session) noteTimeout(now time.Time, limit time.Duration, lastSentAt time.Time, copies int) (lost bool) {
	explained := unansweredLimit(s.loss.share(now))
	if copies >= explained {
		s.orderTimeout.noteTimeout(now, limit)
	}
	if s.wasLost(lastSentAt) {
		s.loss.note(now, 0, copies)
		return true
	}
	s.silence.noteUnanswered(copies, explained)
	return false
}

// wasLost reports whether an unanswered call must have been lost, as a later one was answered. While
// answers are slow it may be late instead.
func (s *session) wasLost(sentAt time.Time) bool {
	_, useful := s.hedge.current()
	return useful && s.silence.answeredSince(sentAt)
}

// report passes a result to the loop.
func (s *session) report(ctx context.Context, event func()) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

// enqueue queues an order. It returns false if the queue is full.
func (s *session) enqueue(w workOrder) bool {
	w.queuedAt = s.clock.Now()
	queue := s.work
	if w.isStop {
		queue = s.stops
	}
	select {
	case queue <- w:
		return true
	default:
		return false
	}
}
