package run_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/run"
)

var (
	fullCapacity    = tw.Resources{CPU: 4000, MemoryMB: 8000}
	quarterCapacity = tw.Resources{CPU: 1000, MemoryMB: 2000}
)

// capacityCases guard against placement beyond a worker's reduced capacity. A worker that does
// not enforce its capacity starts whatever it is ordered to. Its capacity may shrink while it
// runs, which it reports in its entry. An owner that did not reach the store did not learn of the
// new capacity, and went on for 6 s with the previous one.
var capacityCases = map[string]func(r *rig){
	"starts nothing beyond a worker's reduced capacity": func(r *rig) {
		o := r.newOwner("a")
		r.submit(o, steadyWork("s1", 40))
		time.Sleep(700 * time.Millisecond)
		for n := range 4 {
			r.resize(o, n, quarterCapacity)
		}
		time.Sleep(8 * time.Second)
		for n := range 4 {
			r.resize(o, n, fullCapacity)
		}
		r.eventually(o, "s1", tw.SubmissionSucceeded, 20*time.Second)
	},
	"starts nothing where capacity may have shrunk unnoticed": func(r *rig) {
		o := r.newOwner("a")
		r.submit(o, steadyWork("s1", 200))
		time.Sleep(700 * time.Millisecond)
		r.kv.SetFaults(standin.KVFaults{Down: true})
		for n := range 4 {
			r.fleet.Resize(workerID(n), quarterCapacity)
		}
		time.Sleep(10 * time.Second)
		r.kv.SetFaults(standin.KVFaults{})
		for n := range 4 {
			r.resize(o, n, fullCapacity)
		}
		r.eventually(o, "s1", tw.SubmissionSucceeded, 40*time.Second)
	},
	"leaves runs alone when the capacity shrinks below them": func(r *rig) {
		o := r.newOwner("a")
		r.submit(o, longRunning("s1", 4))
		r.submit(o, steadyWork("s2", 8))
		time.Sleep(500 * time.Millisecond)
		for n := range 4 {
			r.resize(o, n, tw.Resources{CPU: 500, MemoryMB: 100})
		}
		time.Sleep(5 * time.Second)
		for n := range 4 {
			r.Expect(r.fleet.SubtaskRuns(subtask("s1", 0, n))).To(Equal(1))
		}
		r.Expect(r.fleet.Starts()).To(Equal(12))
	},
}

func TestCapacity(t *testing.T) { runCases(t, capacityCases) }

// steadyWork has subtasks that end at different times.
func steadyWork(id string, count int) tw.Submission {
	s := submission(id, count)
	s.Steps[0].Estimate = 730 * time.Millisecond
	return s
}

// resize changes a worker's capacity, also in its entry in the list.
func (r *rig) resize(o *run.Owner, n int, capacity tw.Resources) {
	r.t.Helper()
	entry := r.fleet.Resize(workerID(n), capacity)
	r.Expect(r.list).To(HaveKey(entry.ID), fmt.Sprint("worker ", n))
	r.list[entry.ID] = entry
	r.publishWorkers(o)
}
