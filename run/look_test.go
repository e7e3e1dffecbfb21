package run_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

// A worker lists at most 500 ends at once. While the store takes no writes, ends
// are not confirmed and gather there; the next run that ends then stands in
// neither of the worker's lists: not among those that run, and not yet among those
// that ended. The owner took such a run for gone ("run: not there any more") and
// started its subtask again, although it had ended as done, and later confirmed
// that end too. Of 600 subtasks 100 were started a second time.
func TestLookAtMoreEndsThanAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, listed = 600, 500
		r := newRig(t, 1)
		defer r.end()
		wide := r.list[workerID(0)]
		wide.Capacity = tw.Resources{CPU: count * 1000, MemoryMB: count * 500}
		r.list[wide.ID] = wide
		r.fleet.Add(wide)
		o := r.open("a", r.kv, &shortLists{WorkerOrders: r.fleet, most: listed})
		time.Sleep(time.Second)
		s := submission("s1", count)
		s.Steps[0].Estimate = 3 * time.Second
		r.submit(o, s)
		r.Eventually(r.fleet.Starts, 3*time.Second).Should(Equal(count))
		r.kv.SetFaults(standin.KVFaults{Down: true})
		time.Sleep(4 * time.Second) // all have ended
		r.kv.SetFaults(standin.KVFaults{})
		r.eventually(o, "s1", tw.SubmissionSucceeded, 20*time.Second)
		time.Sleep(2 * time.Second) // the ends are confirmed by then
		r.kept()
		r.Expect(r.fleet.Starts()).To(Equal(count))
	})
}

// A new owner looks at each worker before it starts anything that the former one
// may have started. It took the first answer for all that there is to know, also
// when that listed as many ends as a worker lists at once: the subtasks whose ends
// were still to come were started again while the store, which was slow, had not
// yet recorded the first ones. Of 600 subtasks that had ended as done while the
// former owner could not record it, 7 ran a second time in this test.
func TestTakeoverOfMoreEndsThanAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, listed = 600, 500
		r := newRig(t, 2)
		defer r.end()
		wide := r.list[workerID(0)]
		wide.Capacity = tw.Resources{CPU: count * 1000, MemoryMB: count * 500}
		r.list[wide.ID] = wide
		r.fleet.Add(wide)
		orders := &shortLists{WorkerOrders: r.fleet, most: listed}
		a := r.open("a", r.kv, orders)
		time.Sleep(time.Second)
		s := submission("s1", count)
		s.Steps[0].Estimate = 3 * time.Second
		r.submit(a, s)
		r.Eventually(r.fleet.Starts, 3*time.Second).Should(Equal(count))
		r.kv.SetFaults(standin.KVFaults{Down: true})
		time.Sleep(4 * time.Second) // all have ended
		a.Close()
		r.kv.SetFaults(standin.KVFaults{Slow: 240 * time.Millisecond})
		b := r.open("b", r.kv, orders)
		time.Sleep(100 * time.Millisecond)
		r.submit(b, submission("s2", 1)) // something goes on meanwhile
		r.eventually(b, "s1", tw.SubmissionSucceeded, 20*time.Second)
		time.Sleep(2 * time.Second) // the ends are confirmed by then
		r.kept()
		r.Expect(r.fleet.Starts()).To(Equal(count + 1))
	})
}
