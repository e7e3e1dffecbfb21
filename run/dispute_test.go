package run_test

import (
	"testing"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

// TestDisputedAddress checks that a worker that has answered at another address is called there, though the
// entry with that address is of the incarnation before the one that answers.
func TestDisputedAddress(t *testing.T) {
	runCase(t, "restarts twice, the second time before its entry is written", 1, func(r *rig) {
		r.setStartTimes()
		o := r.newOwner("a")
		time.Sleep(time.Second)
		const address = "10.0.0.99:1"
		entry := r.restart(0)
		entry.Address = address
		r.restart(0)
		r.fleet.UpdateWorker(entry.ID, func(w *standin.SimWorker) { w.Entry.Address = address })
		r.relistWorker(o, entry)
		time.Sleep(2 * time.Second)
		r.submit(o, submission("s1", 4))
		r.eventually(o, "s1", tw.SubmissionSucceeded, 8*time.Second)
	})
}
