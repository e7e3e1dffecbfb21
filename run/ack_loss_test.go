package run_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/run"
)

// lossyNeighbours loses a third of the calls to all workers but one. Of the first start of a submission, the first
// copy gets no answer.
type lossyNeighbours struct {
	*standin.Fleet
	worker     tw.WorkerID
	submission tw.SubmissionID

	mu    sync.Mutex
	calls int
	calm  bool
	order tw.StartOrder // of which a copy has no answer
	acks  int           // polls of the worker that acknowledge ends
}

const lostCallInterval = 3

// lose reports whether a call to a worker gets no answer.
func (l *lossyNeighbours) lose(to tw.WorkerRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if to.ID == l.worker || l.calm {
		return false
	}
	l.calls++
	return l.calls%lostCallInterval == 0
}

func awaitEnd(ctx context.Context) error {
	<-ctx.Done()
	return fmt.Errorf("%w: %w", tw.ErrAmbiguous, ctx.Err())
}

// Hold implements tw.WorkerOrders.
func (l *lossyNeighbours) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	if l.lose(to) {
		return tw.HoldReport{}, awaitEnd(ctx)
	}
	l.mu.Lock()
	if to.ID == l.worker && order.AckedSequence > 0 {
		l.acks++
	}
	l.mu.Unlock()
	return l.Fleet.Hold(ctx, to, order)
}

// Start implements tw.WorkerOrders.
func (l *lossyNeighbours) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	l.mu.Lock()
	first := l.order.Run == 0 && order.Subtask.Submission == l.submission
	if first {
		l.order = order
	}
	l.mu.Unlock()
	if first || l.lose(to) {
		return 0, errors.WithStack(awaitEnd(ctx))
	}
	return l.Fleet.Start(ctx, to, order)
}

func (l *lossyNeighbours) acknowledgements() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acks
}

func (l *lossyNeighbours) endLosses() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calm = true
}

// besideLossyNeighbours runs work of count subtasks on the first worker of a pool, while calls to the others are lost.
func (r *rig) besideLossyNeighbours(count int, estimate time.Duration) (*run.Owner, *lossyNeighbours) {
	r.setStartTimes()
	orders := &lossyNeighbours{Fleet: r.fleet, worker: workerID(0), submission: "s1"}
	entry := r.list[orders.worker]
	entry.Labels = append(entry.Labels, "only")
	r.list[entry.ID] = entry
	o := r.newOwnerWith("a", r.kv, orders)
	time.Sleep(time.Second)
	background := longRunning("background", 6)
	background.Steps[0].MaxPerWorker, background.Steps[0].Need.CPU = 1, 100
	r.submit(o, background)
	time.Sleep(3 * time.Second) // that answers are lost is known
	s := submission("s1", count)
	s.Steps[0].Label, s.Steps[0].Estimate = "only", estimate
	r.submit(o, s)
	r.eventually(o, "s1", tw.SubmissionSucceeded, 20*time.Second)
	return o, orders
}

// TestDoneSubtaskIsNotStartedByLateCopy guards against a subtask that a late copy of its order starts on the next
// incarnation of its worker though it is known to be done: its end has been acknowledged by then.
func TestDoneSubtaskIsNotStartedByLateCopy(t *testing.T) {
	runCase(t, "the copy comes before the restart is noticed", 6, func(r *rig) {
		_, orders := r.besideLossyNeighbours(1, 800*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
		r.fleet.Restart(orders.worker, startTimeNow())
		r.fleet.DeliverLate(orders.worker, orders.order)
		time.Sleep(time.Second)
	})
}

// ackTimeout is the calm time after which the platform asks for acknowledgements.
const ackTimeout = 4 * time.Second

// TestAcknowledgementsAfterLosses checks that ends are acknowledged soon once no more answers are lost.
func TestAcknowledgementsAfterLosses(t *testing.T) {
	runCase(t, "one end", 6, func(r *rig) {
		_, orders := r.besideLossyNeighbours(1, 800*time.Millisecond)
		orders.endLosses()
		r.Eventually(orders.acknowledgements, ackTimeout, 50*time.Millisecond).Should(BeNumerically(">=", 1))
	})
}

// TestAcknowledgementsOfManyEnds checks that ends are acknowledged before reports become long, also while answers
// are lost.
func TestAcknowledgementsOfManyEnds(t *testing.T) {
	runCase(t, "60 ends", 6, func(r *rig) {
		_, orders := r.besideLossyNeighbours(60, 200*time.Millisecond)
		r.Expect(orders.acknowledgements()).To(BeNumerically(">=", 2))
	})
}
