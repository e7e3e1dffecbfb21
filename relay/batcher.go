package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

type (
	// batcher collects the orders for one relay into batches.
	batcher struct {
		orders  *Orders
		address string

		mu sync.Mutex
		// queue holds the orders of the next batch; collecting means that sending it is
		// scheduled.
		queue      []*pendingOrder
		collecting bool
		// sentSpecs holds the submissions whose spec was sent to the relay, without texts.
		sentSpecs *specCache
		// inFlight is the number of orders in flight.
		inFlight int
		// backoffUntil is the time until which the relay gets no orders.
		backoffUntil time.Time
	}

	// pendingOrder is an order that is waiting for its answer.
	pendingOrder struct {
		start tw.RelayedStart
		ctx   context.Context
		// answer receives exactly one value.
		answer   chan tw.RelayedAnswer
		answered bool
	}
)

const (
	// batchDelay is how long orders are collected before a batch is sent.
	batchDelay = 15 * time.Millisecond
	// A relay with preferredInFlight orders in flight gets more only if no other relay has
	// fewer than that. A relay never gets more than maxInFlight.
	preferredInFlight = 8
	maxInFlight       = 64
	// transitMargin is an upper bound for the network transit of a batch and its answers.
	transitMargin = 200 * time.Millisecond
)

// state returns the number of orders in flight and whether the relay may get more.
func (b *batcher) state(now time.Time) (inFlight int, usable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inFlight, now.After(b.backoffUntil)
}

// start sends an order through the relay. It fails with errNotRelayed if the relay certainly
// did not send it. It repeats an order whose spec the relay does not have.
func (b *batcher) start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	for {
		a := b.submit(ctx, to, order)
		if !errors.Is(a.Err, tw.ErrSpecUnknown) {
			return a.Clock, a.Err
		}
		b.mu.Lock()
		b.sentSpecs.remove(order.Subtask.Submission)
		b.mu.Unlock()
	}
}

// submit adds an order to the next batch and waits for its answer.
func (b *batcher) submit(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) tw.RelayedAnswer {
	p := &pendingOrder{start: tw.RelayedStart{To: to, Order: order}, ctx: ctx, answer: make(chan tw.RelayedAnswer, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, p)
	b.inFlight++
	if !b.collecting {
		b.collecting = true
		b.orders.batches.Go(b.sendBatch)
	}
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.inFlight--
	}()
	select {
	case a := <-p.answer:
		return a
	case <-ctx.Done():
		return tw.RelayedAnswer{Err: b.ambiguousErr()}
	}
}

// sendBatch sends the orders that arrive within batchDelay.
func (b *batcher) sendBatch() {
	<-b.orders.config.Clock.After(batchDelay)
	batch, pending := b.takeBatch()
	if len(batch) == 0 {
		return
	}
	longest := time.Duration(0)
	for n := range batch {
		longest = max(longest, batch[n].Limit)
	}
	ctx, cancel := context.WithTimeout(b.orders.ctx, longest+transitMargin)
	defer cancel()
	startedAt := b.orders.config.Clock.Now()
	err := b.orders.config.Relays.Start(ctx, b.address, batch, func(a tw.RelayedAnswer) {
		if a.Index < 0 || a.Index >= len(pending) || pending[a.Index].answered {
			return
		}
		if errors.Is(a.Err, tw.ErrUnavailable) {
			a.Err = errors.Wrapf(errNotRelayed, "relay: %s: %v", b.address, a.Err)
		}
		b.deliver(pending[a.Index], a)
	})
	b.failUnanswered(pending, err)
	b.logBatch(pending, b.orders.config.Clock.Now().Sub(startedAt), err)
}

// takeBatch takes the queued orders. Orders that have expired or were
// cancelled are left out and fail with errNotRelayed.
func (b *batcher) takeBatch() ([]tw.RelayedStart, []*pendingOrder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	queue := b.queue
	b.queue, b.collecting = nil, false
	var batch []tw.RelayedStart
	var pending []*pendingOrder
	for _, p := range queue {
		p.start.Limit = maxOrderTime
		if deadline, bounded := p.ctx.Deadline(); bounded {
			p.start.Limit = deadline.Sub(b.orders.config.Clock.Now())
		}
		if p.ctx.Err() != nil || p.start.Limit <= 0 {
			b.deliver(p, tw.RelayedAnswer{Err: errNotRelayed})
			continue
		}
		if id := p.start.Order.Subtask.Submission; b.sentSpecs.has(id) {
			p.start.Order.Spec, p.start.SpecCached = "", true
		} else {
			b.sentSpecs.add(id, "")
		}
		batch = append(batch, p.start)
		pending = append(pending, p)
	}
	return batch, pending
}

// failUnanswered fails the orders of a batch that got no answer and, if there are any, avoids
// the relay for a while.
func (b *batcher) failUnanswered(pending []*pendingOrder, err error) {
	outcome := b.ambiguousErr()
	if errors.Is(err, tw.ErrNotListening) || errors.Is(err, tw.ErrUnavailable) {
		outcome = errNotRelayed
	}
	unanswered := false
	for _, p := range pending {
		if !p.answered {
			unanswered = true
			b.deliver(p, tw.RelayedAnswer{Err: outcome})
		}
	}
	if !unanswered {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backoffUntil = b.orders.config.Clock.Now().Add(relayBackoff)
	b.sentSpecs.clear()
}

// ambiguousErr returns the error of an order with an unknown outcome. tw.TimedOut reports
// true for it, as no connection was seen to be closed by the worker.
func (b *batcher) ambiguousErr() error {
	return fmt.Errorf("relay: no answer from %s: %w: %w", b.address, tw.ErrAmbiguous, context.DeadlineExceeded)
}

func (b *batcher) deliver(p *pendingOrder, a tw.RelayedAnswer) {
	p.answered = true
	switch {
	case tw.Answered(a.Err):
		b.orders.counts.answered.Inc()
	case errors.Is(a.Err, errNotRelayed), errors.Is(a.Err, tw.ErrSpecUnknown):
		b.orders.counts.notRelayed.Inc()
	default:
		b.orders.counts.ambiguous.Inc()
	}
	p.answer <- a
}

// logBatch logs the subtasks of a batch, so that the relay of each start can be traced.
func (b *batcher) logBatch(pending []*pendingOrder, took time.Duration, err error) {
	subtasks := make([]string, len(pending))
	for n, p := range pending {
		subtasks[n] = p.start.Order.Subtask.String()
	}
	b.orders.config.Log.Info("orders: batch relayed", zap.String("relay", b.address), zap.Strings("subtasks", subtasks),
		zap.Duration("took", took), logsink.Err(err))
}
