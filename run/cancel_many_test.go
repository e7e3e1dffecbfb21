package run_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// slowOrders takes a time for each order, and as long for its answer.
type slowOrders struct {
	*faultyOrders
	each time.Duration
}

// Start implements tw.WorkerOrders.
func (o slowOrders) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	return o.call(ctx, func() (tw.WorkerTime, error) { return o.faultyOrders.Start(ctx, to, order) })
}

// Stop implements tw.WorkerOrders.
func (o slowOrders) Stop(ctx context.Context, to tw.WorkerRef, order tw.StopOrder) (tw.WorkerTime, error) {
	return o.call(ctx, func() (tw.WorkerTime, error) { return o.faultyOrders.Stop(ctx, to, order) })
}

func (o slowOrders) call(ctx context.Context, send func() (tw.WorkerTime, error)) (tw.WorkerTime, error) {
	if err := pause(ctx, o.each); err != nil {
		return 0, err
	}
	clock, err := send()
	if late := pause(ctx, o.each); late != nil {
		return 0, late
	}
	return clock, err
}

// manyRunsCases are the number of runs on one worker, the faults of their stops, and how long each order
// takes in one direction.
var manyRunsCases = map[string]struct {
	runs int
	stop orderFault
	each time.Duration
}{
	"5 ms each way":                 {runs: 160, each: 5 * time.Millisecond},
	"10 ms each way":                {runs: 160, each: 10 * time.Millisecond},
	"answers lost":                  {runs: 160, stop: stopFaults["stop done, answer lost"]},
	"dropped, 10 ms each way":       {runs: 160, stop: stopFaults["stop dropped"], each: 10 * time.Millisecond},
	"unhealthy":                     {runs: 160, stop: stopFaults["stop unhealthy"]},
	"unhealthy, 10 ms each way":     {runs: 160, stop: stopFaults["stop unhealthy"], each: 10 * time.Millisecond},
	"prompt, seven times the queue": {runs: 450},
}

// TestCancelOfManyRuns cancels more runs on one worker than stops fit into its queue.
func TestCancelOfManyRuns(t *testing.T) {
	t.Parallel()
	for name, c := range manyRunsCases {
		runCase(t, name, 1, func(r *rig) {
			orders := newFaultyOrders(r, "s1", orderFault{}, c.stop)
			o := r.newOwnerWith("a", r.kv, slowOrders{orders, c.each})
			time.Sleep(time.Second)
			s := submission("s1", c.runs)
			s.Steps[0].Need, s.Steps[0].Estimate = tw.Resources{CPU: 5, MemoryMB: 10}, time.Minute
			r.submit(o, s)
			r.Eventually(func() int { return r.fleet.SubmissionRuns("s1") }, 20*time.Second, 50*time.Millisecond).Should(Equal(c.runs))
			time.AfterFunc(faultsAfterCancel, orders.heal)
			r.Expect(o.Cancel(r.ctx, "", "s1")).To(Succeed())
			r.fleet.NoteCancelled("s1")
			time.Sleep(faultsAfterCancel + latest(c.stop) + 3400*time.Millisecond)
			r.Expect(r.fleet.SubmissionRuns("s1")).To(BeZero())
		})
	}
}
