package run

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// session talks to one life of a worker: one goroutine looks, another
	// gives orders one after the other. Both end with the session's context.
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
		done func(look lookResult)
	}

	lookResult struct {
		seq    int64
		report tw.HoldReport
		err    error
	}

	// workOrder is a start, or a stop or a pace, which send gives.
	workOrder struct {
		start *tw.StartOrder
		send  func(ctx context.Context) (tw.WorkerClock, error)
		done  func(clock tw.WorkerClock, err error)
		// stale tells whether the order must not be sent any more; nil if it
		// always may.
		stale func(now time.Time) bool
	}
)

// startsAtOnce bounds how many starts a worker is given with one call.
const startsAtOnce = 16

// ErrNotSent is the outcome of an order that was not sent because it was
// outdated, or of a look that the owner itself has interrupted.
var ErrNotSent = errors.New("order not sent, it was outdated")

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
			result := lookResult{seq: l.seq, err: ErrNotSent}
			if s.permit.valid(s.clock.Now()) {
				result.report, result.err = s.lookOnce(ctx, l.hold)
			}
			s.report(ctx, func() { l.done(result) })
		}
	}
}

// lookOnce gives one hold, unless it is interrupted.
func (s *session) lookOnce(ctx context.Context, hold tw.HoldOrder) (tw.HoldReport, error) {
	lookCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.stopLook.Store(&cancel)
	report, err := s.orders.Hold(lookCtx, s.ref, hold)
	if err != nil && lookCtx.Err() != nil && ctx.Err() == nil {
		return report, ErrNotSent
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
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-s.work:
			for w.start != nil {
				starts, next := s.gather(w)
				s.startAll(ctx, starts)
				w = next
			}
			if w.send == nil {
				continue
			}
			clock, err := s.send(ctx, w)
			s.report(ctx, func() { w.done(clock, err) })
		}
	}
}

// gather takes the starts that wait behind one, and the order that follows them,
// which has neither a start nor a send if none does.
func (s *session) gather(first workOrder) (starts []workOrder, next workOrder) {
	starts = []workOrder{first}
	for len(starts) < startsAtOnce {
		select {
		case w := <-s.work:
			if w.start == nil {
				return starts, w
			}
			starts = append(starts, w)
		default:
			return starts, workOrder{}
		}
	}
	return starts, workOrder{}
}

// startAll gives the starts that are not outdated by now, and hands all outcomes to
// the loop at once.
func (s *session) startAll(ctx context.Context, starts []workOrder) {
	now := s.clock.Now()
	results := make([]tw.StartResult, len(starts))
	var orders []tw.StartOrder
	var sent []int
	for i, w := range starts {
		if s.outdated(w, now) {
			results[i].Err = ErrNotSent
			continue
		}
		orders = append(orders, *w.start)
		sent = append(sent, i)
	}
	if len(orders) > 0 {
		for n, result := range s.giveStarts(ctx, now, orders) {
			results[sent[n]] = result
		}
	}
	s.report(ctx, func() {
		for i, w := range starts {
			w.done(results[i].Clock, results[i].Err)
		}
	})
}

// giveStarts gives starts to the worker.
func (s *session) giveStarts(ctx context.Context, now time.Time, orders []tw.StartOrder) []tw.StartResult {
	limit := s.patience.limit(now)
	var results []tw.StartResult
	if batches, able := s.orders.(tw.StartBatches); able {
		results = batches.StartAll(ctx, s.ref, limit, orders)
	} else {
		results = StartEach(ctx, s.orders, s.ref, limit, orders)
	}
	took := s.clock.Now().Sub(now)
	for _, result := range results {
		if errors.Is(result.Err, ErrNotSent) {
			continue
		}
		if answered(result.Err) {
			s.patience.answered(now.Add(took), took/time.Duration(len(results)))
		}
		s.heard(result.Err)
	}
	return results
}

// StartEach gives starts to a worker one after the other, each within a time. After
// one that gets no answer the others are not sent, as each would wait as long.
func StartEach(ctx context.Context, orders tw.WorkerOrders, to tw.WorkerRef, each time.Duration, starts []tw.StartOrder) []tw.StartResult {
	out := make([]tw.StartResult, len(starts))
	silent := false
	for i, order := range starts {
		if silent || ctx.Err() != nil {
			out[i].Err = ErrNotSent
			continue
		}
		startCtx, cancel := context.WithTimeout(ctx, each)
		out[i].Clock, out[i].Err = orders.Start(startCtx, to, order)
		cancel()
		silent = !answered(out[i].Err)
	}
	return out
}

// send gives an order unless it is outdated by now.
func (s *session) send(ctx context.Context, w workOrder) (tw.WorkerClock, error) {
	now := s.clock.Now()
	if s.outdated(w, now) {
		return 0, ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, s.patience.limit(now))
	defer cancel()
	clock, err := w.send(ctx)
	if answered(err) {
		done := s.clock.Now()
		s.patience.answered(done, done.Sub(now))
	}
	s.heard(err)
	return clock, err
}

// outdated tells whether an order must not be sent any more.
func (s *session) outdated(w workOrder, now time.Time) bool {
	stale := w.stale != nil && (s.silent.Load() || w.stale(now))
	return stale || !s.permit.valid(now)
}

// heard notes whether the worker answers.
func (s *session) heard(err error) { s.silent.Store(!answered(err)) }

// answered tells whether a worker has answered an order, if only to refuse it.
func answered(err error) bool {
	var refused *tw.OrderRefused
	return err == nil || errors.As(err, &refused)
}

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
