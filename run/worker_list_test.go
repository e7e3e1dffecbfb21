package run_test

import (
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tamarindworks/tamarindworks/run"
)

// TestStoreOutageRemovesNoWorker guards against workers that are dropped, with what is known of them, because their
// entries are missing while the store does not answer.
func TestStoreOutageRemovesNoWorker(t *testing.T) {
	runCase(t, "no store", 2, func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(time.Second)
		list := maps.Clone(r.list)
		delete(list, workerID(0))
		o.SetWorkers(r.ctx, run.WorkerList{Workers: list}) // the store has not answered for an unknown time
		time.Sleep(5 * time.Second)
		r.Expect(r.knownWorkers(o)).To(ContainElement(workerID(0)))
	})
}
