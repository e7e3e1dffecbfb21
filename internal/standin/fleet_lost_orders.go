package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// LostOrders makes workers leave a share of all orders unanswered. The zero value answers all.
	LostOrders struct {
		// Share is the share of orders without an answer, 0 to 1.
		Share float64
		Fate  OrderFate
		// MinDelay and MaxDelay bound the time after which an order with OrderLate is executed.
		MinDelay, MaxDelay time.Duration
		// AcrossRestarts lets late orders reach the next incarnation of a worker that has started
		// again under its ID.
		AcrossRestarts bool
		// Rand picks the orders and their delays; required if Share is not 0.
		Rand *rand.Rand
	}

	// OrderFate tells what becomes of an order without an answer.
	OrderFate int
)

const (
	// OrderDropped orders are never executed.
	OrderDropped OrderFate = iota
	// OrderExecuted orders are executed at once.
	OrderExecuted
	// OrderLate orders are executed after a delay, after newer ones. They end with the worker
	// unless AcrossRestarts is set.
	OrderLate
)

// SetLostOrders changes which orders get no answer from now on.
func (f *Fleet) SetLostOrders(lost LostOrders) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = lost
}

// lose reports whether an order to a worker gets no answer, and executes it now or later if that is
// its fate. f.mu must be held.
func (f *Fleet) lose(w *SimWorker, execute func(at *SimWorker)) bool {
	if f.lost.Share == 0 || f.lost.Rand.Float64() >= f.lost.Share {
		return false
	}
	switch f.lost.Fate {
	case OrderDropped:
	case OrderExecuted:
		execute(w)
	case OrderLate:
		delay := f.lost.MinDelay + time.Duration(f.lost.Rand.Float64()*float64(f.lost.MaxDelay-f.lost.MinDelay))
		across := f.lost.AcrossRestarts
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			current := f.workers[w.Entry.ID]
			if current != nil && !current.dead && (current == w || across) {
				f.advance(current)
				execute(current)
			}
		})
	}
	return true
}

// DeliverLate executes a start that its caller has given up, on the incarnation of the worker that now has
// the ID.
func (f *Fleet) DeliverLate(id tw.WorkerID, order tw.StartOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil && !w.dead {
		_, _ = f.start(w, order, true) // the caller has already got an ambiguous result
	}
}

// DeliverLateHold executes a hold that its caller has given up, on the incarnation of the worker that now has
// the ID.
func (f *Fleet) DeliverLateHold(id tw.WorkerID, order tw.HoldOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil && !w.dead {
		_ = f.extend(w, order)
	}
}

// awaitTimeout waits until the caller gives up an order and returns the error that it gets.
func awaitTimeout(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(noAnswerTimeout):
	}
	return fmt.Errorf("standin: the answer is lost: %w: %w", tw.ErrAmbiguous, context.DeadlineExceeded)
}
