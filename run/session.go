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
	// session talks to one life of a worker: one goroutine looks, another gives orders one
	// after the other, but for starts where these may be given at once. Both end with the
	// session's context.
	session struct {
		ref    tw.WorkerRef
		orders tw.WorkerOrders
		clock  tw.Clock
		permit *permit
		// patience is shared by the sessions of an owner.
		patience *patience
		looks    chan lookOrder
		work     chan workOrder
		events   chan<- func()
		cancel   context.CancelFunc
		done     chan struct{}
		// silent: the last order was not answered. Starts that wait are then
		// not sent, as each would keep the others waiting.
		silent atomic.Bool
		// stopLook ends the look that is under way.
		stopLook atomic.Pointer[context.CancelFunc]
	}

	// permit tells sessions until when the owner may give orders. A daemon
	// that was paused meanwhile finds it expired.
	permit struct{ until atomic.Pointer[time.Time] }

	lookOrder struct {
		hold tw.HoldOrder
		seq  int64
		// limit bounds the look; zero for as long as its wait and an order take.
		limit time.Duration
		done  func(look lookResult)
	}

	lookResult struct {
		seq    int64
		report tw.HoldReport
		err    error
	}

	// workOrder is a start, a stop or a pace; send gives it.
	workOrder struct {
		send func(ctx context.Context) (tw.WorkerClock, error)
		done func(clock tw.WorkerClock, err error)
		// stale tells whether the order must not be sent any more; nil if it
		// always may.
		stale func(now time.Time) bool
		// start: it is a start.
		start bool
	}
)

// mostAtOnce bounds the starts that are given to a worker at once.
const mostAtOnce = 4

// errNotSent is the outcome of an order that was not sent because it was
// outdated, or of a look that the owner itself has interrupted.
var errNotSent = errors.New("order not sent, it was outdated")

func (p *permit) extend(until time.Time) { p.until.Store(&until) }

func (p *permit) valid(now time.Time) bool {
	until := p.until.Load()
	return until != nil && now.Before(*until)
}

// newSession starts a session; close ends it.
func newSession(o *Owner, ref tw.WorkerRef) *session {
	ctx, cancel := context.WithCancel(o.ctx)
	s := &session{
		ref: ref, orders: o.orders, clock: o.clock, permit: &o.permit, patience: &o.patience, events: o.events, cancel: cancel,
		looks: make(chan lookOrder, 1), work: make(chan workOrder, sessionQueue), done: make(chan struct{}),
	}
	lookerDone := make(chan struct{})
	go func() {
		defer close(lookerDone)
		s.look(ctx)
	}()
	go func() {
		defer close(s.done)
		s.order(ctx)
		<-lookerDone
	}()
	return s
}

func (s *session) close() { s.cancel() }

func (s *session) look(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-s.looks:
			result := lookResult{seq: l.seq, err: errNotSent}
			if s.permit.valid(s.clock.Now()) {
				result.report, result.err = s.lookOnce(ctx, l)
			}
			s.report(ctx, func() { l.done(result) })
		}
	}
}

// lookOnce gives one hold, unless it is interrupted.
func (s *session) lookOnce(ctx context.Context, l lookOrder) (tw.HoldReport, error) {
	lookCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.stopLook.Store(&cancel)
	callCtx := lookCtx
	if l.limit > 0 {
		limited, cancelCall := context.WithTimeout(lookCtx, l.limit)
		defer cancelCall()
		callCtx = limited
	}
	report, err := s.orders.Hold(callCtx, s.ref, l.hold)
	if err != nil && lookCtx.Err() != nil && ctx.Err() == nil {
		return report, errNotSent
	}
	s.heard(err)
	return report, err
}

// interrupt ends the look that is under way, so that another can begin.
func (s *session) interrupt() {
	if cancel := s.stopLook.Load(); cancel != nil {
		(*cancel)()
	}
}

func (s *session) order(ctx context.Context) {
	var starts sync.WaitGroup
	defer starts.Wait()
	slots := make(chan struct{}, mostAtOnce)
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-s.work:
			if !w.start || s.startsAtOnce() < 2 {
				starts.Wait() // a stop must not overtake the start that it is for
				s.orderOnce(ctx, w)
				continue
			}
			slots <- struct{}{}
			starts.Go(func() {
				s.orderOnce(ctx, w)
				<-slots
			})
		}
	}
}

func (s *session) orderOnce(ctx context.Context, w workOrder) {
	clock, err := s.send(ctx, w)
	s.report(ctx, func() { w.done(clock, err) })
}

// startsAtOnce is how many starts may be given at once.
func (s *session) startsAtOnce() int {
	if parallel, is := s.orders.(tw.ParallelStarts); is {
		return min(parallel.StartsAtOnce(), mostAtOnce)
	}
	return 1
}

// send gives an order unless it is outdated by now.
func (s *session) send(ctx context.Context, w workOrder) (tw.WorkerClock, error) {
	now := s.clock.Now()
	outdated := w.stale != nil && (s.silent.Load() || w.stale(now))
	if outdated || !s.permit.valid(now) {
		return 0, errNotSent
	}
	limit := s.patience.limit(now)
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	clock, err := w.send(callCtx)
	done := s.clock.Now()
	switch {
	case tw.Answered(err):
		s.patience.answered(done, done.Sub(now))
	case callCtx.Err() != nil && ctx.Err() == nil:
		s.patience.unanswered(done, limit)
	}
	s.heard(err)
	return clock, err
}

// heard notes whether the worker answers.
func (s *session) heard(err error) { s.silent.Store(!tw.Answered(err)) }

// report hands a result to the loop.
func (s *session) report(ctx context.Context, event func()) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

// give queues an order. It returns false if too many wait already.
func (s *session) give(w workOrder) bool {
	select {
	case s.work <- w:
		return true
	default:
		return false
	}
}
