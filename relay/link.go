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
	// link gathers the orders for one relay into batches.
	link struct {
		orders  *Orders
		address string

		mu sync.Mutex
		// queue waits for the next batch, which is under way if gathering.
		queue     []*item
		gathering bool
		// specs are those that the relay was sent; their texts are not kept.
		specs *specs
		// open counts the orders without an answer.
		open int
		// avoidUntil is until when the relay gets no orders.
		avoidUntil time.Time
	}

	// item is an order that waits for its answer.
	item struct {
		start tw.RelayedStart
		ctx   context.Context
		// answer gets one value.
		answer   chan tw.RelayedAnswer
		answered bool
	}
)

const (
	// gatherTime passes before a batch is sent.
	gatherTime = 15 * time.Millisecond
	// openPerRelay orders without an answer are enough for one relay if there are others,
	// openMost are in any case.
	openPerRelay = 8
	openMost     = 64
	// wayTime is more than a batch and its answers are on their way.
	wayTime = 200 * time.Millisecond
)

// state is how many orders have no answer yet, and whether the relay may get more.
func (l *link) state(now time.Time) (open int, usable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, now.After(l.avoidUntil)
}

// start gives an order over the relay. It fails with errNotRelayed if the relay surely did
// not give it.
func (l *link) start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerClock, error) {
	for {
		a := l.give(ctx, to, order)
		if !errors.Is(a.Err, tw.ErrSpecUnknown) {
			return a.Clock, a.Err
		}
		l.mu.Lock()
		l.specs.forget(order.Subtask.Submission)
		l.mu.Unlock()
	}
}

// give waits for the answer to an order of the next batch.
func (l *link) give(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) tw.RelayedAnswer {
	i := &item{start: tw.RelayedStart{To: to, Order: order}, ctx: ctx, answer: make(chan tw.RelayedAnswer, 1)}
	l.mu.Lock()
	l.queue = append(l.queue, i)
	l.open++
	if !l.gathering {
		l.gathering = true
		l.orders.batches.Go(l.send)
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open--
	}()
	select {
	case a := <-i.answer:
		return a
	case <-ctx.Done():
		return tw.RelayedAnswer{Err: l.unclear()}
	}
}

// send sends what has come within gatherTime.
func (l *link) send() {
	<-l.orders.config.Clock.After(gatherTime)
	batch, items := l.batch()
	if len(batch) == 0 {
		return
	}
	longest := time.Duration(0)
	for n := range batch {
		longest = max(longest, batch[n].Limit)
	}
	ctx, cancel := context.WithTimeout(l.orders.ctx, longest+wayTime)
	defer cancel()
	began := l.orders.config.Clock.Now()
	err := l.orders.config.Relays.Start(ctx, l.address, batch, func(a tw.RelayedAnswer) {
		if a.Index < 0 || a.Index >= len(items) || items[a.Index].answered {
			return
		}
		if errors.Is(a.Err, tw.ErrUnavailable) {
			a.Err = errors.Wrapf(errNotRelayed, "relay: %s: %v", l.address, a.Err)
		}
		l.answer(items[a.Index], a)
	})
	l.settle(items, err)
	l.log(items, l.orders.config.Clock.Now().Sub(began), err)
}

// batch takes the queue. Orders whose time is over are left out.
func (l *link) batch() ([]tw.RelayedStart, []*item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue, l.gathering = nil, false
	var batch []tw.RelayedStart
	var items []*item
	for _, i := range queue {
		i.start.Limit = mostTime
		if deadline, bounded := i.ctx.Deadline(); bounded {
			i.start.Limit = deadline.Sub(l.orders.config.Clock.Now())
		}
		if i.ctx.Err() != nil || i.start.Limit <= 0 {
			l.answer(i, tw.RelayedAnswer{Err: errNotRelayed})
			continue
		}
		if id := i.start.Order.Subtask.Submission; l.specs.has(id) {
			i.start.Order.Spec, i.start.SpecKnown = "", true
		} else {
			l.specs.add(id, "")
		}
		batch = append(batch, i.start)
		items = append(items, i)
	}
	return batch, items
}

// settle ends the orders of a batch that have no answer.
func (l *link) settle(items []*item, err error) {
	rest := l.unclear()
	if errors.Is(err, tw.ErrGone) || errors.Is(err, tw.ErrUnavailable) {
		rest = errNotRelayed
	}
	open := false
	for _, i := range items {
		if !i.answered {
			open = true
			l.answer(i, tw.RelayedAnswer{Err: rest})
		}
	}
	if !open {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidUntil = l.orders.config.Clock.Now().Add(avoidTime)
	l.specs.clear()
}

// unclear is the error of an order of which nothing is known. As the worker closed no
// connection, that is a time-out.
func (l *link) unclear() error {
	return fmt.Errorf("relay: no answer from %s: %w: %w", l.address, tw.ErrUnclear, context.DeadlineExceeded)
}

func (l *link) answer(i *item, a tw.RelayedAnswer) {
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

// log names the subtasks of a batch, so that the relay of each start can be told.
func (l *link) log(items []*item, took time.Duration, err error) {
	subtasks := make([]string, len(items))
	for n, i := range items {
		subtasks[n] = i.start.Order.Subtask.String()
	}
	l.orders.config.Log.Info("orders: batch relayed", zap.String("relay", l.address), zap.Strings("subtasks", subtasks),
		zap.Duration("took", took), logsink.Err(err))
}
