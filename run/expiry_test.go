package run_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindworks/tamarindworks/internal/standin"
)

// TestExpiryWithSlowWorkerClock guards against restarting a subtask while its previous run still
// exists. The owner estimates a worker's clock from the last answer. An idle worker is not polled
// for a long time, so with a clock that is 2% slow the estimate is 1.2 s ahead after a minute, and
// the deadline of a start is too late by as much. A start that is executed at once is limited to
// the longest hold. But one that is not answered and is executed late, 1.5 s here, runs until that
// deadline. The owner waited 6.3 s from its decision to start it and then started the subtask
// elsewhere, a second too soon.
func TestExpiryWithSlowWorkerClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		defer r.end()
		o := r.newOwnerWith("a", r.kv, &slowClocks{WorkerOrders: r.fleet, fraction: 0.02})
		time.Sleep(time.Minute)
		r.fleet.UpdateWorker(workerID(0), func(w *standin.SimWorker) { w.LateStarts = 1 })
		r.submit(o, longRunning("s1", 1))
		time.Sleep(latency + latency/4) // the order has arrived, a poll has not
		r.fleet.UpdateWorker(workerID(0), func(w *standin.SimWorker) { w.Silent = true })
		time.Sleep(1500 * time.Millisecond)
		r.fleet.DeliverLateStarts()
		time.Sleep(2 * maxHold)
		r.expectNoViolations()
	})
}
