package run_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

// incarnationTickets is an advice service, with the workers that check its tickets: each ticket is valid
// for one incarnation of a worker.
type incarnationTickets struct {
	*standin.Fleet
	mu      sync.Mutex
	refused int
}

// Advise implements tw.Advisor.
func (a *incarnationTickets) Advise(_ context.Context, _ tw.SubtaskID, workers []tw.WorkerID) (tw.Advice, error) {
	advice := tw.Advice{Tickets: map[tw.WorkerID]string{}, Valid: 10 * time.Second}
	for _, id := range workers {
		advice.Tickets[id] = a.ticketFor(id)
	}
	return advice, nil
}

// ticketFor returns the ticket for the current incarnation of a worker.
func (a *incarnationTickets) ticketFor(id tw.WorkerID) string {
	var startTime tw.WorkerStartTime
	a.UpdateWorker(id, func(w *standin.SimWorker) { startTime = w.Entry.StartTime })
	return fmt.Sprintf("%s/%d", id, startTime)
}

// Start implements tw.WorkerOrders.
func (a *incarnationTickets) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	if order.Ticket != a.ticketFor(to.ID) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.refused++
		return 0, &tw.OrderRefusedError{Reason: tw.RefusedTicket}
	}
	return a.Fleet.Start(ctx, to, order)
}

func (a *incarnationTickets) refusals() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}

// TestTicketsOfPreviousIncarnations checks that no start is ordered with a ticket for the previous incarnation
// of its worker.
func TestTicketsOfPreviousIncarnations(t *testing.T) {
	runCase(t, "two workers, one of which restarts", 2, func(r *rig) {
		r.setStartTimes()
		service := &incarnationTickets{Fleet: r.fleet}
		r.advisor = service
		o := r.newOwnerWith("a", r.kv, service)
		s := submission("s1", 16)
		s.Policy.Advice = tw.AdvicePolicy{Decide: time.Millisecond, Each: time.Millisecond, Valid: 10 * time.Second}
		r.submit(o, s)
		time.Sleep(300 * time.Millisecond)
		r.relistWorker(o, r.restart(0))
		r.eventually(o, "s1", tw.SubmissionSucceeded, 8*time.Second)
		r.Expect(service.refusals()).To(BeZero())
		r.expectNoViolations()
	})
}
