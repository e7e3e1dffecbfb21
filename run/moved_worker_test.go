package run_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/run"
)

// orderCounter counts the orders that a worker has carried out or answered.
type orderCounter struct {
	*standin.Fleet
	worker        tw.WorkerID
	holds, starts atomic.Int64
}

// Hold implements tw.WorkerOrders.
func (c *orderCounter) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	report, err := c.Fleet.Hold(ctx, to, order)
	if to.ID == c.worker && tw.Answered(err) {
		c.holds.Add(1)
	}
	return report, err
}

// Start implements tw.WorkerOrders.
func (c *orderCounter) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	clock, err := c.Fleet.Start(ctx, to, order)
	if to.ID == c.worker && tw.Answered(err) {
		c.starts.Add(1)
	}
	return clock, err
}

// TestMovedWorkerIsLeftToItsPool checks that the owner of a pool does not use a worker whose machine has been moved
// to another pool and that starts there under its ID and address, while its previous entry is still listed. A poll
// would raise its fence, so that the owner of its pool would be taken for an older one.
func TestMovedWorkerIsLeftToItsPool(t *testing.T) { playMovedWorker(t, true) }

// TestMovedWorkerWithoutNotice is TestMovedWorkerIsLeftToItsPool without a notice of the machine manager, whose order
// had no answer or which does not reach the owner.
func TestMovedWorkerWithoutNotice(t *testing.T) { playMovedWorker(t, false) }

func playMovedWorker(t *testing.T, notice bool) {
	for _, away := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		runCase(t, fmt.Sprintf("away for %s", away), 2, func(r *rig) {
			r.setStartTimes()
			id := workerID(0)
			orders := &orderCounter{Fleet: r.fleet, worker: id}
			o := r.newOwnerWith("a", r.kv, orders)
			time.Sleep(takeoverSettleTime)
			s := submission("s1", 16)
			s.Steps[0].Estimate = 20 * time.Second
			r.submit(o, s)
			time.Sleep(time.Second)
			r.fleet.Kill(id)
			r.moveMachine(id, "", tw.MachineMoving)
			if notice {
				_, err := o.Report(r.ctx, run.Directions{Gone: []tw.WorkerID{id}})
				r.Expect(err).NotTo(HaveOccurred())
			}
			time.Sleep(away)
			r.moveMachine(id, "another", tw.MachineUp)
			r.fleet.Restart(id, startTimeNow())
			r.fleet.UpdateWorker(id, func(w *standin.SimWorker) { w.Entry.Pool = "another" })
			orders.holds.Store(0)
			orders.starts.Store(0)
			time.Sleep(2 * time.Second)
			delete(r.list, id)
			r.publishWorkers(o)
			time.Sleep(2 * time.Second)
			r.Expect(orders.starts.Load()).To(BeZero())
			r.Expect(orders.holds.Load()).To(BeZero())
		})
	}
}

// moveMachine shows the machine of a worker in a state in the list of machines. It runs the worker if it is up.
func (r *rig) moveMachine(id tw.WorkerID, to tw.PoolID, state tw.MachineState) {
	entry := r.list[id]
	machine := tw.Machine{ID: entry.Instance, Pool: to, State: state, Capacity: entry.Capacity, Labels: entry.Labels}
	if state == tw.MachineUp {
		machine.Worker = id
	}
	r.cloud.Add(machine)
}
