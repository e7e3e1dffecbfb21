package run_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// slowStarts delays each order to start.
type slowStarts struct {
	tw.WorkerOrders
	takes time.Duration
}

func (s slowStarts) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	time.Sleep(s.takes)
	return s.WorkerOrders.Start(ctx, to, order)
}

// TestOrdersThatWaitTooLong guards against starts that expire in the queue again and again.
// Orders that cannot be sent in time are dropped and queued again at workers whose queues are as
// long as before. An owner that is short of processor time then spends it on orders that are
// never sent: it dropped 6,241 of 8,605, and some work was never started.
func TestOrdersThatWaitTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		defer r.end()
		r.addWorker(0)
		entry := r.fleet.Resize(workerID(0), tw.Resources{CPU: 40000, MemoryMB: 80000})
		r.list[entry.ID] = entry
		o := r.newOwnerWith("a", r.kv, slowStarts{WorkerOrders: r.fleet, takes: 60 * time.Millisecond})
		s := submission("00000000000000aa", 40)
		s.Steps[0].Estimate = 10 * time.Second
		r.submit(o, s)
		time.Sleep(8 * time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(40))
		dropped := r.metricSet.GetOrCreateCounter(`tamarind_starts_total{pool="checks",outcome="outdated"}`).Get()
		r.Expect(dropped).To(BeNumerically("<=", 10))
	})
}
