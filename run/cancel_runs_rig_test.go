package run_test

import (
	"context"
	"errors"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

type (
	// orderFault is what becomes of an order. The zero value carries it out and answers it.
	orderFault struct {
		// refusal is the reason for which the order is refused; empty for none.
		refusal tw.RefusalReason
		// unsent: no connection can be made. lost: there is no answer until the caller gives up. reset: the
		// connection is closed instead of an answer.
		unsent, lost, reset bool
		// done: an order without an answer, or with a refusal, is carried out at once.
		done bool
		// late is the time after which an order without an answer is carried out; zero for never.
		late time.Duration
		// slow is how long the order takes to arrive, and its answer to come back.
		slow time.Duration
	}

	// faultyOrders applies faults to the orders to start and stop runs of one submission.
	faultyOrders struct {
		*standin.Fleet
		id tw.SubmissionID
		// sent is closed once the first start of the submission is sent.
		sent chan struct{}
		once sync.Once

		mu          sync.Mutex
		start, stop orderFault
	}
)

func newFaultyOrders(r *rig, id tw.SubmissionID, start, stop orderFault) *faultyOrders {
	return &faultyOrders{Fleet: r.fleet, id: id, sent: make(chan struct{}), start: start, stop: stop}
}

// heal ends the faults for orders that are sent from now on.
func (f *faultyOrders) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.start, f.stop = orderFault{}, orderFault{}
}

// faults returns the present faults.
func (f *faultyOrders) faults() (start, stop orderFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.start, f.stop
}

// Start implements tw.WorkerOrders.
func (f *faultyOrders) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	if order.Subtask.Submission != f.id {
		return f.Fleet.Start(ctx, to, order)
	}
	f.once.Do(func() { close(f.sent) })
	fault, _ := f.faults()
	return f.apply(ctx, fault,
		func(ctx context.Context) (tw.WorkerTime, error) { return f.Fleet.Start(ctx, to, order) },
		func() { f.Fleet.DeliverLate(to.ID, order) },
	)
}

// Stop implements tw.WorkerOrders.
func (f *faultyOrders) Stop(ctx context.Context, to tw.WorkerRef, order tw.StopOrder) (tw.WorkerTime, error) {
	_, fault := f.faults()
	send := func(ctx context.Context) (tw.WorkerTime, error) { return f.Fleet.Stop(ctx, to, order) }
	if order.Subtask.Submission != f.id {
		return send(ctx)
	}
	return f.apply(ctx, fault, send, func() { _, _ = send(context.Background()) }) // the caller is gone
}

// apply sends an order with a fault. sendLate carries it out after its caller has given up.
func (f *faultyOrders) apply(ctx context.Context, fault orderFault, send func(context.Context) (tw.WorkerTime, error), sendLate func()) (tw.WorkerTime, error) {
	if fault == (orderFault{}) {
		return send(ctx)
	}
	f.NoteDisturbance()
	defer f.NoteDisturbance()
	if ctx.Err() != nil {
		return 0, tw.ErrUnavailable
	}
	if fault.done {
		if _, err := send(ctx); err != nil {
			return 0, err
		}
	}
	if fault.late > 0 {
		time.AfterFunc(fault.late, sendLate)
	}
	switch {
	case fault.refusal != "":
		return 0, &tw.OrderRefusedError{Reason: fault.refusal}
	case fault.unsent:
		return 0, tw.ErrUnavailable
	case fault.reset:
		return 0, tw.ErrAmbiguous
	case fault.lost:
		<-ctx.Done()
		return 0, errors.Join(tw.ErrAmbiguous, context.DeadlineExceeded)
	}
	if err := pause(ctx, fault.slow); err != nil {
		time.AfterFunc(fault.slow, sendLate) // it is under way
		return 0, err
	}
	clock, err := send(ctx)
	if late := pause(ctx, fault.slow); late != nil {
		return 0, late
	}
	return clock, err
}

// pause waits for d. It fails if the caller gives up before.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Join(tw.ErrAmbiguous, context.DeadlineExceeded)
	case <-time.After(d):
		return nil
	}
}

// startFaults and stopFaults are the ways in which an order to start or to stop a run may end.
var (
	startFaults = map[string]orderFault{
		"start answered":                {},
		"start answered slowly":         {slow: 60 * time.Millisecond},
		"start outdated":                {slow: 400 * time.Millisecond},
		"start done, answer lost":       {lost: true, done: true},
		"start dropped":                 {lost: true},
		"start done after 2 s":          {lost: true, late: 2 * time.Second},
		"start done after 5 s":          {lost: true, late: 5 * time.Second},
		"start done after 12 s":         {lost: true, late: 12 * time.Second},
		"start refused":                 {refusal: tw.RefusedNoCapacity},
		"start refused, old":            {refusal: tw.RefusedStaleRun},
		"start unhealthy":               {refusal: tw.RefusedUnhealthy},
		"start not sent":                {unsent: true},
		"start done, connection reset":  {reset: true, done: true},
		"start reset, done after 0.1 s": {reset: true, late: 100 * time.Millisecond},
		"start reset, done after 2 s":   {reset: true, late: 2 * time.Second},
	}
	stopFaults = map[string]orderFault{
		"stop answered":               {},
		"stop answered slowly":        {slow: 60 * time.Millisecond},
		"stop outdated":               {slow: 400 * time.Millisecond},
		"stop done, answer lost":      {lost: true, done: true},
		"stop dropped":                {lost: true},
		"stop done after 2 s":         {lost: true, late: 2 * time.Second},
		"stop done after 12 s":        {lost: true, late: 12 * time.Second},
		"stop of an unknown run":      {refusal: tw.RefusedStaleRun, done: true},
		"stop unhealthy":              {refusal: tw.RefusedUnhealthy},
		"stop not sent":               {unsent: true},
		"stop done, connection reset": {reset: true, done: true},
		"stop connection reset":       {reset: true},
	}
)

// latest returns when the last order with one of these faults is carried out, after it was sent.
func latest(faults ...orderFault) time.Duration {
	out := time.Duration(0)
	for _, f := range faults {
		out = max(out, f.late, f.slow)
	}
	return out
}
