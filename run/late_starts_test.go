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
)

// lostStart withholds the first start of a submission, and has its worker refuse all later ones.
type lostStart struct {
	*standin.Fleet
	submission tw.SubmissionID

	mu    sync.Mutex
	to    tw.WorkerID
	order tw.StartOrder
}

// Start implements tw.WorkerOrders.
func (l *lostStart) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	l.mu.Lock()
	first := l.to == "" && order.Subtask.Submission == l.submission
	if first {
		l.to, l.order = to.ID, order
	}
	refuses := l.to == to.ID && l.submission != ""
	l.mu.Unlock()
	switch {
	case first:
		<-ctx.Done()
		return 0, fmt.Errorf("%w: %w", tw.ErrAmbiguous, ctx.Err())
	case refuses:
		return 0, errors.WithStack(&tw.OrderRefusedError{Reason: tw.RefusedNoCapacity})
	}
	return l.Fleet.Start(ctx, to, order)
}

// TestIdleWorkerRestartsBeforeLateStart guards against a subtask that runs twice: its first start got no answer
// and was revoked, and the worker, which has no runs, starts again and is given the order then. Its entry does
// not tell that yet, and nothing else makes the owner call it.
func TestIdleWorkerRestartsBeforeLateStart(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second, 15 * time.Second} {
		runCase(t, fmt.Sprintf("restart after %s", after), 2, func(r *rig) {
			r.setStartTimes()
			orders := &lostStart{Fleet: r.fleet, submission: "s1"}
			o := r.newOwnerWith("a", r.kv, orders)
			time.Sleep(time.Second)
			s := submission("s1", 1)
			s.Steps[0].Estimate = time.Minute
			r.submit(o, s)
			r.Eventually(r.fleet.Starts, 5*time.Second, 10*time.Millisecond).Should(Equal(1))
			time.Sleep(after)
			r.fleet.Restart(orders.to, startTimeNow())
			time.Sleep(500 * time.Millisecond) // longer than until an interrupted poll is repeated
			r.fleet.DeliverLate(orders.to, orders.order)
			time.Sleep(time.Second)
			r.expectNoViolations()
		})
	}
}

// TestRestartBeforeLateStartOfPreviousOwner is TestIdleWorkerRestartsBeforeLateStart with an owner that is replaced
// before the restart. A restarted worker has forgotten the fence of the next owner.
func TestRestartBeforeLateStartOfPreviousOwner(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 5 * time.Second, 15 * time.Second} {
		runCase(t, fmt.Sprintf("restart after %s", after), 2, func(r *rig) {
			r.setStartTimes()
			orders := &lostStart{Fleet: r.fleet, submission: "s1"}
			o := r.newOwnerWith("a", r.kv, orders)
			time.Sleep(time.Second)
			s := submission("s1", 1)
			s.Steps[0].Estimate = time.Minute
			r.submit(o, s)
			r.Eventually(r.fleet.Starts, 5*time.Second, 10*time.Millisecond).Should(Equal(1))
			o.Close()
			r.newOwner("b")
			time.Sleep(after)
			r.fleet.Restart(orders.to, startTimeNow())
			time.Sleep(500 * time.Millisecond)
			r.fleet.DeliverLate(orders.to, orders.order)
			time.Sleep(time.Second)
			r.expectNoViolations()
		})
	}
}

// TestLateStartTakesCapacity checks that a run that a late order has started on the next incarnation of its worker
// counts there until it has stopped.
func TestLateStartTakesCapacity(t *testing.T) {
	runCase(t, "a run that takes three quarters of the worker", 1, func(r *rig) {
		r.setStartTimes()
		orders := &lostStart{Fleet: r.fleet, submission: "s1"}
		o := r.newOwnerWith("a", r.kv, orders)
		time.Sleep(time.Second)
		s := submission("s1", 1)
		s.Steps[0].Need.CPU = 3000
		r.submit(o, s)
		time.Sleep(1500 * time.Millisecond) // the start is revoked
		r.Expect(o.Cancel(r.ctx, "", "s1")).To(Succeed())
		orders.open()
		r.fleet.Restart(orders.to, startTimeNow())
		r.fleet.DeliverLate(orders.to, orders.order)
		time.Sleep(350 * time.Millisecond) // the restart is noticed
		r.submit(o, submission("s2", 4))
		r.eventually(o, "s2", tw.SubmissionSucceeded, 5*time.Second)
	})
}

// open has the worker refuse no more starts.
func (l *lostStart) open() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submission = ""
}
