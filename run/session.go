package run

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// session sends orders to one incarnation of a worker. One goroutine polls it, another
	// sends the other orders one at a time, except for starts if the client allows several
	// at once. Both end with the session's context.
	session struct {
		ref    tw.WorkerRef
		orders tw.WorkerOrders
		clock  tw.Clock
		permit *permit
		// orderTimeout is shared by the sessions of an owner.
		orderTimeout *orderTimeout
		polls        chan pollRequest
		work         chan workOrder
		events       chan<- func()
		cancel       context.CancelFunc
		done         chan struct{}
		// silent: the last order was not answered. Queued starts are not sent then, as
		// each would delay the others.
		silent atomic.Bool
		// cancelPoll cancels the poll in flight.
		cancelPoll atomic.Pointer[context.CancelFunc]
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
	}

	// workOrder is a start, a stop or a change of pace.
	workOrder struct {
		send func(ctx context.Context) (tw.WorkerTime, error)
		done func(clock tw.WorkerTime, err error)
		// stale reports whether the order must not be sent any more; nil if it always may be.
		stale func(now time.Time) bool
		// isStart: the order is a start.
		isStart bool
	}
)

// maxParallelStarts bounds the starts that are sent to a worker at the same time.
const maxParallelStarts = 4

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
		ref: ref, orders: o.orders, clock: o.clock, permit: &o.permit, orderTimeout: &o.orderTimeout, events: o.events, cancel: cancel,
		polls: make(chan pollRequest, 1), work: make(chan workOrder, sessionQueueSize), done: make(chan struct{}),
	}
	pollLoopDone := make(chan struct{})
	go func() {
		defer close(pollLoopDone)
		s.pollLoop(ctx)
	}()
	go func() {
		defer close(s.done)
		s.orderLoop(ctx)
		<-pollLoopDone
	}()
	return s
}

func (s *session) close() { s.cancel() }

func (s *session) pollLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-s.polls:
			result := pollResult{seq: request.seq, err: errNotSent}
			if s.permit.valid(s.clock.Now()) {
				result.report, result.err = s.pollOnce(ctx, request)
			}
			s.report(ctx, func() { request.done(result) })
		}
	}
}

// pollOnce sends one hold, unless it is interrupted.
func (s *session) pollOnce(ctx context.Context, request pollRequest) (tw.HoldReport, error) {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.cancelPoll.Store(&cancel)
	callCtx := pollCtx
	if request.timeout > 0 {
		limited, cancelCall := context.WithTimeout(pollCtx, request.timeout)
		defer cancelCall()
		callCtx = limited
	}
	report, err := s.orders.Hold(callCtx, s.ref, request.hold)
	if err != nil && pollCtx.Err() != nil && ctx.Err() == nil {
		return report, errNotSent
	}
	s.noteAnswer(err)
	return report, err
}

// interrupt cancels the poll in flight, so that another can begin.
func (s *session) interrupt() {
	if cancel := s.cancelPoll.Load(); cancel != nil {
		(*cancel)()
	}
}

func (s *session) orderLoop(ctx context.Context) {
	var starts sync.WaitGroup
	defer starts.Wait()
	slots := make(chan struct{}, maxParallelStarts)
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-s.work:
			if !w.isStart || s.parallelStarts() < 2 {
				starts.Wait() // a stop must not overtake its start
				s.executeOrder(ctx, w)
				continue
			}
			slots <- struct{}{}
			starts.Go(func() {
				s.executeOrder(ctx, w)
				<-slots
			})
		}
	}
}

func (s *session) executeOrder(ctx context.Context, w workOrder) {
	clock, err := s.send(ctx, w)
	s.report(ctx, func() { w.done(clock, err) })
}

// parallelStarts returns how many starts may be sent at the same time.
func (s *session) parallelStarts() int {
	if starter, ok := s.orders.(tw.ParallelStarter); ok {
		return min(starter.MaxParallelStarts(), maxParallelStarts)
	}
	return 1
}

// send sends an order unless it is outdated or no longer permitted.
func (s *session) send(ctx context.Context, w workOrder) (tw.WorkerTime, error) {
	now := s.clock.Now()
	outdated := w.stale != nil && (s.silent.Load() || w.stale(now))
	if outdated || !s.permit.valid(now) {
		return 0, errNotSent
	}
	limit := s.orderTimeout.current(now)
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	clock, err := w.send(callCtx)
	done := s.clock.Now()
	switch {
	case tw.Answered(err):
		s.orderTimeout.noteAnswer(done, done.Sub(now))
	case callCtx.Err() != nil && ctx.Err() == nil:
		s.orderTimeout.noteTimeout(done, limit)
	}
	s.noteAnswer(err)
	return clock, err
}

// noteAnswer records whether the worker has answered.
func (s *session) noteAnswer(err error) { s.silent.Store(!tw.Answered(err)) }

// report passes a result to the loop.
func (s *session) report(ctx context.Context, event func()) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

// enqueue queues an order. It returns false if the queue is full.
func (s *session) enqueue(w workOrder) bool {
	select {
	case s.work <- w:
		return true
	default:
		return false
	}
}
