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
	// batcher collects the orders for the workers of one data hall into batches.
	batcher struct {
		orders *Orders
		hall   tw.HallID

		mu sync.Mutex
		// queue holds the orders of the next batches; collecting means that sending them is
		// scheduled.
		queue      []*pendingOrder
		collecting bool
	}

	// pendingOrder is an order that is waiting for its answer.
	pendingOrder struct {
		start tw.RelayedStart
		ctx   context.Context
		// via is the relay that was given the order last; the batcher's goroutine sets it
		// before the answer.
		via *peer
		// answer receives exactly one value.
		answer   chan tw.RelayedAnswer
		answered bool
	}
)

const (
	// batchDelay is how long orders are collected before they are sent.
	batchDelay = 15 * time.Millisecond
	// transitMargin is an upper bound for the network transit of a batch and its answers.
	transitMargin = 200 * time.Millisecond
)

// start sends an order through a relay. It fails with errNotRelayed if certainly no relay sent
// it. It repeats an order whose spec the relay does not have.
func (b *batcher) start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	for {
		p := &pendingOrder{start: tw.RelayedStart{To: to, Order: order}, ctx: ctx, answer: make(chan tw.RelayedAnswer, 1)}
		b.submit(p)
		select {
		case a := <-p.answer:
			if !errors.Is(a.Err, tw.ErrSpecUnknown) {
				return a.Clock, a.Err
			}
			p.via.forgetSpec(order.Subtask.Submission)
		case <-ctx.Done():
			return 0, ambiguousErr()
		}
	}
}

// submit adds an order to the next batch.
func (b *batcher) submit(p *pendingOrder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, p)
	if !b.collecting {
		b.collecting = true
		b.orders.batches.Go(b.sendQueued)
	}
}

// sendQueued sends the orders that arrive within batchDelay.
func (b *batcher) sendQueued() {
	<-b.orders.config.Clock.After(batchDelay)
	pending := b.takeQueue()
	peers, perRelay := b.orders.peers(b.hall)
	for _, s := range shares(len(pending), perRelay, states(peers, b.orders.config.Clock.Now())) {
		orders := pending[:s.count]
		pending = pending[s.count:]
		via := peers[s.relay]
		batch := via.take(orders)
		b.orders.batches.Go(func() { b.sendBatch(via, batch, orders) })
	}
	for _, p := range pending {
		b.deliver(p, tw.RelayedAnswer{Err: errNotRelayed})
	}
}

// takeQueue takes the queued orders. Orders that have expired or were cancelled are left out and
// fail with errNotRelayed.
func (b *batcher) takeQueue() []*pendingOrder {
	b.mu.Lock()
	queue := b.queue
	b.queue, b.collecting = nil, false
	b.mu.Unlock()
	var out []*pendingOrder
	for _, p := range queue {
		p.start.Limit = maxOrderTime
		if deadline, bounded := p.ctx.Deadline(); bounded {
			p.start.Limit = deadline.Sub(b.orders.config.Clock.Now())
		}
		if p.ctx.Err() != nil || p.start.Limit <= 0 {
			b.deliver(p, tw.RelayedAnswer{Err: errNotRelayed})
			continue
		}
		out = append(out, p)
	}
	return out
}

// sendBatch sends a batch through a relay and delivers the answers.
func (b *batcher) sendBatch(via *peer, batch []tw.RelayedStart, pending []*pendingOrder) {
	longest := time.Duration(0)
	for n := range batch {
		longest = max(longest, batch[n].Limit)
	}
	ctx, cancel := context.WithTimeout(b.orders.ctx, longest+transitMargin)
	defer cancel()
	startedAt := b.orders.config.Clock.Now()
	err := b.orders.config.Relays.Start(ctx, via.address, batch, func(a tw.RelayedAnswer) {
		if a.Index < 0 || a.Index >= len(pending) || pending[a.Index].answered {
			return
		}
		if errors.Is(a.Err, tw.ErrUnavailable) {
			a.Err = errors.Wrapf(errNotRelayed, "relay: %s: %v", via.address, a.Err)
		}
		via.ended(1)
		b.deliver(pending[a.Index], a)
	})
	b.failUnanswered(via, pending, err)
	b.logBatch(via, pending, b.orders.config.Clock.Now().Sub(startedAt), err)
}

// failUnanswered fails the orders of a batch that got no answer and, if there are any, avoids
// the relay for a while.
func (b *batcher) failUnanswered(via *peer, pending []*pendingOrder, err error) {
	outcome := ambiguousErr()
	if errors.Is(err, tw.ErrNotListening) || errors.Is(err, tw.ErrUnavailable) {
		outcome = errNotRelayed
	}
	unanswered := 0
	for _, p := range pending {
		if !p.answered {
			unanswered++
			b.deliver(p, tw.RelayedAnswer{Err: outcome})
		}
	}
	if unanswered > 0 {
		via.ended(unanswered)
		via.avoidUntil(b.orders.config.Clock.Now().Add(relayBackoff))
	}
}

// ambiguousErr returns the error of an order with an unknown outcome. tw.TimedOut reports
// true for it, as no connection was seen to be closed by the worker.
func ambiguousErr() error {
	return fmt.Errorf("relay: no answer: %w: %w", tw.ErrAmbiguous, context.DeadlineExceeded)
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

// logBatch logs the run numbers of a batch, so that the relay of each start can be traced.
func (b *batcher) logBatch(via *peer, pending []*pendingOrder, took time.Duration, err error) {
	runs := make([]int64, len(pending))
	for n, p := range pending {
		runs[n] = int64(p.start.Order.Run)
	}
	b.orders.config.Log.Info("orders: batch relayed", zap.String("relay", via.address), zap.Int64s("runs", runs),
		zap.Duration("took", took), logsink.Err(err))
}
