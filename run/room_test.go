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
	wholeRoom   = tw.Resources{CPU: 4000, MemoryMB: 8000}
	quarterRoom = tw.Resources{CPU: 1000, MemoryMB: 2000}
)

// A worker that doesn't guard its capacity starts whatever it is told. Its room may shrink
// while it runs, which it says in its account of itself; an owner that does not reach the
// store learns nothing of that, and went on for 6 s with the room that it knew.
var roomCases = map[string]func(r *rig){
	"starts nothing beyond what a worker has shrunk to": func(r *rig) {
		o := r.take("a")
		r.submit(o, steadyWork("s1", 40))
		time.Sleep(700 * time.Millisecond)
		for n := range 4 {
			r.resize(o, n, quarterRoom)
		}
		time.Sleep(8 * time.Second)
		for n := range 4 {
			r.resize(o, n, wholeRoom)
		}
		r.eventually(o, "s1", tw.SubmissionSucceeded, 20*time.Second)
	},
	"starts nothing where it may have shrunk unseen": func(r *rig) {
		o := r.take("a")
		r.submit(o, steadyWork("s1", 200))
		time.Sleep(700 * time.Millisecond)
		r.kv.SetFaults(standin.KVFaults{Down: true})
		for n := range 4 {
			r.fleet.Resize(workerID(n), quarterRoom)
		}
		time.Sleep(10 * time.Second)
		r.kv.SetFaults(standin.KVFaults{})
		for n := range 4 {
			r.resize(o, n, wholeRoom)
		}
		r.eventually(o, "s1", tw.SubmissionSucceeded, 40*time.Second)
	},
	"leaves what runs where the room shrinks below it": func(r *rig) {
		o := r.take("a")
		r.submit(o, lasting("s1", 4))
		r.submit(o, steadyWork("s2", 8))
		time.Sleep(500 * time.Millisecond)
		for n := range 4 {
			r.resize(o, n, tw.Resources{CPU: 500, MemoryMB: 100})
		}
		time.Sleep(5 * time.Second)
		for n := range 4 {
			r.Expect(r.fleet.Running(subtask("s1", 0, n))).To(Equal(1))
		}
		r.Expect(r.fleet.Starts()).To(Equal(12))
	},
}

func TestRoom(t *testing.T) { playCases(t, roomCases) }

// steadyWork has subtasks that end at different times.
func steadyWork(id string, count int) tw.Submission {
	s := submission(id, count)
	s.Steps[0].Estimate = 730 * time.Millisecond
	return s
}

// resize changes what a worker has, and says so in the list.
func (r *rig) resize(o *run.Owner, n int, capacity tw.Resources) {
	r.t.Helper()
	entry := r.fleet.Resize(workerID(n), capacity)
	r.Expect(r.list).To(HaveKey(entry.ID), fmt.Sprint("worker ", n))
	r.list[entry.ID] = entry
	r.feed(o)
}
