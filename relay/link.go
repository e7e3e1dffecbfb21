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
	// batcher gathers the orders for one relay into batches.
	batcher struct {
		orders  *Orders
		address string

		mu sync.Mutex
		// queue waits for the next batch, which is under way if gathering.
		queue      []*pendingOrder
		collecting bool
		// sentSpecs are those that the relay was sent; their texts are not kept.
		sentSpecs *specCache
		// inFlight counts the orders without an answer.
		inFlight int
		// backoffUntil is until when the relay gets no orders.
		backoffUntil time.Time
	}

	// pendingOrder is an order that waits for its answer.
	pendingOrder struct {
		start tw.RelayedStart
		ctx   context.Context
		// answer gets one value.
		answer   chan tw.RelayedAnswer
		answered bool
	}
)

const (
	// batchDelay passes before a batch is sent.
	batchDelay = 15 * time.Millisecond
	// preferredInFlight orders without an answer are enough for one relay if there are others,
	// openMost are in any case.
	preferredInFlight = 8
	maxInFlight       = 64
	// transitMargin is more than a batch and its answers are on their way.
	transitMargin = 200 * time.Millisecond
)

// state is how many orders have no answer yet, and whether the relay may get more.
func (l *batcher) state(now time.Time) (open int, usable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight, now.After(l.backoffUntil)
}

// start gives an order over the relay. It fails with errNotRelayed if the relay surely did
// not give it.
func (l *batcher) start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	for {
		a := l.submit(ctx, to, order)
		if !errors.Is(a.Err, tw.ErrSpecUnknown) {
			return a.Clock, a.Err
		}
		l.mu.Lock()
		l.sentSpecs.remove(order.Subtask.Submission)
		l.mu.Unlock()
	}
}

// submit waits for the answer to an order of the next batch.
func (l *batcher) submit(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) tw.RelayedAnswer {
	i := &pendingOrder{start: tw.RelayedStart{To: to, Order: order}, ctx: ctx, answer: make(chan tw.RelayedAnswer, 1)}
	l.mu.Lock()
	l.queue = append(l.queue, i)
	l.inFlight++
	if !l.collecting {
		l.collecting = true
		l.orders.batches.Go(l.sendBatch)
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.inFlight--
	}()
	select {
	case a := <-i.answer:
		return a
	case <-ctx.Done():
		return tw.RelayedAnswer{Err: l.unclearErr()}
	}
}

// sendBatch sends what has come within gatherTime.
func (l *batcher) sendBatch() {
	<-l.orders.config.Clock.After(batchDelay)
	batch, items := l.takeBatch()
	if len(batch) == 0 {
		return
	}
	longest := time.Duration(0)
	for n := range batch {
		longest = max(longest, batch[n].Limit)
	}
	ctx, cancel := context.WithTimeout(l.orders.ctx, longest+transitMargin)
	defer cancel()
	began := l.orders.config.Clock.Now()
	err := l.orders.config.Relays.Start(ctx, l.address, batch, func(a tw.RelayedAnswer) {
		if a.Index < 0 || a.Index >= len(items) || items[a.Index].answered {
			return
		}
		if errors.Is(a.Err, tw.ErrUnavailable) {
			a.Err = errors.Wrapf(errNotRelayed, "relay: %s: %v", l.address, a.Err)
		}
		l.deliver(items[a.Index], a)
	})
	l.failUnanswered(items, err)
	l.logBatch(items, l.orders.config.Clock.Now().Sub(began), err)
}

// takeBatch takes the queue. Orders whose time is over are left out.
func (l *batcher) takeBatch() ([]tw.RelayedStart, []*pendingOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue, l.collecting = nil, false
	var batch []tw.RelayedStart
	var items []*pendingOrder
	for _, i := range queue {
		i.start.Limit = maxOrderTime
		if deadline, bounded := i.ctx.Deadline(); bounded {
			i.start.Limit = deadline.Sub(l.orders.config.Clock.Now())
		}
		if i.ctx.Err() != nil || i.start.Limit <= 0 {
			l.deliver(i, tw.RelayedAnswer{Err: errNotRelayed})
			continue
		}
		if id := i.start.Order.Subtask.Submission; l.sentSpecs.has(id) {
			i.start.Order.Spec, i.start.SpecCached = "", true
		} else {
			l.sentSpecs.add(id, "")
		}
		batch = append(batch, i.start)
		items = append(items, i)
	}
	return batch, items
}

// failUnanswered ends the orders of a batch that have no answer.
func (l *batcher) failUnanswered(items []*pendingOrder, err error) {
	rest := l.unclearErr()
	if errors.Is(err, tw.ErrNotListening) || errors.Is(err, tw.ErrUnavailable) {
		rest = errNotRelayed
	}
	open := false
	for _, i := range items {
		if !i.answered {
			open = true
			l.deliver(i, tw.RelayedAnswer{Err: rest})
		}
	}
	if !open {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backoffUntil = l.orders.config.Clock.Now().Add(relayBackoff)
	l.sentSpecs.clear()
}

// unclearErr is the error of an order of which nothing is known. As the worker closed no
// connection, that is a time-out.
func (l *batcher) unclearErr() error {
	return fmt.Errorf("relay: no answer from %s: %w: %w", l.address, tw.ErrAmbiguous, context.DeadlineExceeded)
}

func (l *batcher) deliver(i *pendingOrder, a tw.RelayedAnswer) {
	i.answered = true
	switch {
	case tw.Answered(a.Err):
		l.orders.counts.answered.Inc()
	case errors.Is(a.Err, errNotRelayed), errors.Is(a.Err, tw.ErrSpecUnknown):
		l.orders.counts.notRelayed.Inc()
	default:
		l.orders.counts.unclear.Inc()
	}
	i.answer <- a
}

// logBatch names the subtasks of a batch, so that the relay of each start can be told.
func (l *batcher) logBatch(items []*pendingOrder, took time.Duration, err error) {
	subtasks := make([]string, len(items))
	for n, i := range items {
		subtasks[n] = i.start.Order.Subtask.String()
	}
	l.orders.config.Log.Info("orders: batch relayed", zap.String("relay", l.address), zap.Strings("subtasks", subtasks),
		zap.Duration("took", took), logsink.Err(err))
}
