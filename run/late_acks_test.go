package run_test

import (
	"math/rand/v2"
	"testing"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

// TestLateAcknowledgementOnNextIncarnation guards against a subtask that is started after it was done: an
// acknowledgement to the previous incarnation of its worker, which got no answer, is carried out by the next one. That
// one numbers its ends from one again, and forgets the end of the subtask before it has reported it.
func TestLateAcknowledgementOnNextIncarnation(t *testing.T) {
	runCase(t, "the end comes while the worker is cut off", 2, func(r *rig) {
		const late = 4 * time.Second
		r.setStartTimes()
		o := r.newOwner("a")
		time.Sleep(time.Second)
		r.submit(o, submission("s1", 8))
		r.eventually(o, "s1", tw.SubmissionSucceeded, 3*time.Second)
		r.fleet.SetLostOrders(standin.LostOrders{
			Share: 1, Fate: standin.OrderLate, MinDelay: late, MaxDelay: late, AcrossRestarts: true, Rand: rand.New(rand.NewPCG(1, 2)),
		})
		time.Sleep(900 * time.Millisecond) // the ends are acknowledged to both workers
		r.fleet.SetLostOrders(standin.LostOrders{})
		r.restart(0)
		time.Sleep(time.Second) // the restart is noticed
		s := submission("s2", 8)
		s.Steps[0].Estimate = time.Second
		r.submit(o, s)
		time.Sleep(900 * time.Millisecond)
		r.fleet.UpdateWorker(workerID(0), func(w *standin.SimWorker) { w.Silent = true })
		time.Sleep(late)
		r.fleet.UpdateWorker(workerID(0), func(w *standin.SimWorker) { w.Silent = false })
		r.eventually(o, "s2", tw.SubmissionSucceeded, 20*time.Second)
	})
}
