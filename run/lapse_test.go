package run_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindworks/tamarindworks/internal/standin"
)

// A worker's clock may run 2% slow. The owner reckons it from the last answer, and a
// worker on which nothing runs is not asked for long: after a minute the owner takes
// the clock to be 1.2 s ahead of where it is, and the deadline of a start is as much
// too late. A start that the worker carries out at once is cut to the longest hold.
// But one that is not answered and carried out later, 1.5 s here, runs until that
// deadline. The owner counted 6.3 s from its decision ("all that ran there has
// lapsed") and started the subtask elsewhere, a second too soon.
func TestLapseOnAWorkerWhoseClockIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		defer r.end()
		o := r.open("a", r.kv, &slowClocks{WorkerOrders: r.fleet, share: 0.02})
		time.Sleep(time.Minute)
		r.fleet.Set(workerID(0), func(w *standin.SimWorker) { w.LateStarts = 1 })
		r.submit(o, lasting("s1", 1))
		time.Sleep(latency + latency/4) // the order has come, a look has not
		r.fleet.Set(workerID(0), func(w *standin.SimWorker) { w.Silent = true })
		time.Sleep(1500 * time.Millisecond)
		r.fleet.DoLate()
		time.Sleep(2 * maxHold)
		r.kept()
	})
}
