package run_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/run"
)

// incarnationCases cover machines that start another worker. The entry of the previous worker may
// then come back to the list, because a write is delayed by a network partition, or an expired
// entry is written once more. An owner that took the entry it saw last for the current worker gave
// up the worker that was answering, and started its runs again elsewhere. When that worker was
// listed again, its ends were acknowledged, so a subtask had been started after it was done.
var incarnationCases = map[string]func(r *rig){
	"keeps the current worker when the entry of a previous one comes back": func(r *rig) {
		o, previous, current := r.replacedWorker(sameAddress)
		r.relist(o, previous)
		r.expectAllKept(current)
	},
	"keeps the current worker while it is silent for a moment": func(r *rig) {
		o, previous, current := r.replacedWorker(sameAddress)
		r.fleet.UpdateWorker(current.ID, func(w *standin.SimWorker) { w.Silent = true })
		time.Sleep(200 * time.Millisecond)
		r.relist(o, previous)
		time.Sleep(1500 * time.Millisecond)
		r.fleet.UpdateWorker(current.ID, func(w *standin.SimWorker) { w.Silent = false })
		r.expectAllKept(current)
	},
	"keeps the current worker while the list of machines is not readable": func(r *rig) {
		o, previous, current := r.replacedWorker(sameAddress)
		r.cloud.SetDown(true)
		r.relist(o, previous)
		r.expectAllKept(current)
	},
	"keeps the current worker when its own entry has expired meanwhile": func(r *rig) {
		o, previous, current := r.replacedWorker(sameAddress)
		delete(r.list, current.ID)
		r.relist(o, previous)
		time.Sleep(time.Second)
		r.relist(o, current)
		r.expectAllKept(current)
	},
	"keeps the current worker when the machine was moved away and back": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		previous := r.list[workerID(0)]
		r.fleet.Kill(previous.ID)
		_, err := o.Report(r.ctx, run.Directions{Gone: []tw.WorkerID{previous.ID}})
		r.Expect(err).NotTo(HaveOccurred())
		delete(r.list, previous.ID)
		r.publishWorkers(o)
		current := previous
		current.ID, current.Address = "present", "10.0.0.99:1"
		r.fleet.Add(current)
		r.listAsRunning(current)
		r.relist(o, current)
		r.fillWorkers(o)
		r.relist(o, previous) // nobody answers there any more
		r.expectAllKept(current)
	},
	"keeps the current worker when a new owner sees the previous entry later": func(r *rig) {
		b, previous, current := r.inheritReplacedWorker(sameAddress)
		r.relist(b, previous)
		r.expectAllKept(current)
	},
	"uses the current worker when both are listed at once": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		previous := r.list[workerID(0)]
		delete(r.list, previous.ID)
		r.publishWorkers(o)
		current := r.startNextWorker(previous.ID, "a-present") // sorts before the previous one by ID
		time.Sleep(takeoverSettleTime)
		r.publishWorkers(o)
		r.list[current.ID] = current
		r.relist(o, previous)
		r.fillWorkers(o)
		r.expectAllKept(current)
	},
	"gives an idle previous worker no work while the list of machines is not readable": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		previous := r.list[workerID(0)]
		r.cloud.SetDown(true)
		r.fleet.Kill(previous.ID)
		current := previous
		current.ID, current.Address = "present", "10.0.0.99:1"
		r.fleet.Add(current)
		r.relist(o, current)
		time.Sleep(time.Second)
		r.submit(o, longRunning("s1", 4))
		r.Eventually(r.fleet.Starts, time.Second).Should(Equal(4))
	},
	"does not restart a subtask that ends on the current worker meanwhile": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		previous, current := r.crashAndReplace(o, 0, sameAddress)
		full := submission("s0", 12)
		full.Steps[0].MaxPerWorker = 4
		full.Steps[0].Estimate = time.Minute
		r.list[current.ID] = r.withDraining(current, true)
		r.publishWorkers(o)
		r.submit(o, full) // leaves room on the current worker only
		time.Sleep(500 * time.Millisecond)
		r.relist(o, r.withDraining(current, false))
		s := submission("s1", 1)
		s.Steps[0].Estimate = 2 * time.Second
		r.submit(o, s)
		time.Sleep(500 * time.Millisecond)
		r.Expect(r.fleet.RunningOn(subtask("s1", 0, 0))).To(Equal([]tw.WorkerID{current.ID}))
		r.relist(o, previous)
		time.Sleep(2 * time.Second) // it has ended there by now
		delete(r.list, previous.ID)
		delete(r.list, current.ID)
		r.addWorker(9)
		r.publishWorkers(o)
		time.Sleep(200 * time.Millisecond)
		r.relist(o, current)
		time.Sleep(3 * time.Second) // its ends are recorded and acknowledged by now
		r.expectNoViolations()
		r.Expect(r.fleet.Starts()).To(Equal(13))
	},
	"does not acknowledge an end after it has started the subtask again": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		previous, current := r.crashAndReplace(o, 0, sameAddress)
		s := submission("s1", 4)
		s.Steps[0].Estimate = 3 * time.Second
		s.Steps[0].MaxPerWorker = 1
		r.submit(o, s)
		r.addWorker(9)
		r.publishWorkers(o)
		time.Sleep(time.Second)
		r.relist(o, previous)
		time.Sleep(time.Second)
		delete(r.list, previous.ID)
		delete(r.list, current.ID) // its entry expires as well
		r.publishWorkers(o)
		time.Sleep(2 * time.Second)
		r.relist(o, current)
		r.eventually(o, "s1", tw.SubmissionSucceeded, 10*time.Second)
		time.Sleep(2 * time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(4))
	},
}

// takeoverSettleTime is longer than the time for which an owner assumes that a newly listed worker
// may have runs of the previous owner.
const takeoverSettleTime = 13 * time.Second

// sameAddress makes the next worker of a machine listen at the address of the previous one.
const sameAddress = ""

func TestWorkerIncarnations(t *testing.T) { runCases(t, incarnationCases) }

// crashAndReplace kills a worker, removes its entry, waits until the owner has noticed, and lists
// the machine's next worker, which listens at the same address or at another.
func (r *rig) crashAndReplace(o *run.Owner, n int, address string) (previous, current tw.WorkerEntry) {
	previous = r.list[workerID(n)]
	r.fleet.Kill(previous.ID)
	r.cloud.Add(tw.Machine{ID: previous.Instance, Pool: pool, State: tw.MachineDown})
	delete(r.list, previous.ID)
	r.publishWorkers(o)
	time.Sleep(2 * time.Second)
	current = previous
	current.ID = "present"
	if address != sameAddress {
		current.Address = address
	}
	r.fleet.Add(current)
	r.listAsRunning(current)
	r.relist(o, current)
	time.Sleep(time.Second)
	return previous, current
}

// replacedWorker starts an owner and restarts the worker of one machine under a new ID. A subtask of
// s1 runs on each machine.
func (r *rig) replacedWorker(address string) (o *run.Owner, previous, current tw.WorkerEntry) {
	o = r.newOwner("a")
	time.Sleep(takeoverSettleTime)
	previous, current = r.crashAndReplace(o, 0, address)
	r.fillWorkers(o)
	return o, previous, current
}

// inheritReplacedWorker does the same as replacedWorker and then replaces the owner by one that does
// not know the previous worker.
func (r *rig) inheritReplacedWorker(address string) (o *run.Owner, previous, current tw.WorkerEntry) {
	a, previous, current := r.replacedWorker(address)
	a.Close()
	o = r.newOwner("b")
	time.Sleep(takeoverSettleTime)
	return o, previous, current
}

// fillWorkers runs one subtask of s1 on each of four workers, and then adds another worker on which
// they could be started again.
func (r *rig) fillWorkers(o *run.Owner) {
	r.submit(o, longRunning("s1", 4))
	time.Sleep(2 * time.Second)
	r.addWorker(9)
	r.publishWorkers(o)
	time.Sleep(time.Second)
}

// startNextWorker starts a machine's next worker at the address of the previous one.
func (r *rig) startNextWorker(id, next tw.WorkerID) tw.WorkerEntry {
	entry := r.fleet.RestartWithNewID(id, next)
	r.listAsRunning(entry)
	return entry
}

// withDraining returns the entry with its draining flag set to drains.
func (r *rig) withDraining(entry tw.WorkerEntry, drains bool) tw.WorkerEntry {
	entry.Draining = drains
	return entry
}

// listAsRunning updates the list of machines with the worker that a machine runs.
func (r *rig) listAsRunning(entry tw.WorkerEntry) {
	r.cloud.Add(tw.Machine{
		ID: entry.Instance, Pool: pool, State: tw.MachineUp, Worker: entry.ID, Capacity: entry.Capacity, Labels: entry.Labels,
	})
}

// relist adds an entry to the list of workers and publishes it to the owner.
func (r *rig) relist(o *run.Owner, entry tw.WorkerEntry) {
	r.list[entry.ID] = entry
	r.publishWorkers(o)
}

// expectAllKept expects the four subtasks of s1 to stay on the workers on which they were started,
// one on each, for longer than any deadline that was granted.
func (r *rig) expectAllKept(current tw.WorkerEntry) {
	r.t.Helper()
	on := map[tw.WorkerID]bool{}
	for range 2 {
		clear(on)
		for index := range 4 {
			for _, id := range r.fleet.RunningOn(subtask("s1", 0, index)) {
				on[id] = true
			}
		}
		r.Expect(on).To(HaveLen(4))
		r.Expect(on).To(HaveKey(current.ID))
		time.Sleep(2 * maxHold)
	}
	r.Expect(r.fleet.Starts()).To(Equal(4))
}

// TestReplacedWorkersAreNotCounted checks that a worker that is replaced right after a start is not
// counted as crashed by the subtask, as a machine needs seconds to come back after a crash. When
// such replacements were counted as crashes, the subtask was given up after five of them.
func TestReplacedWorkersAreNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.end()
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		r.submit(o, submission("s1", 1))
		current := workerID(0)
		for n := range 7 {
			r.Eventually(func() int { return r.fleet.SubtaskRuns(subtask("s1", 0, 0)) }, 20*time.Second, 5*time.Millisecond).Should(Equal(1))
			next := tw.WorkerID(fmt.Sprintf("next%d", n))
			entry := r.startNextWorker(current, next)
			delete(r.list, current)
			r.relist(o, entry)
			current = next
			r.Expect(r.state(o, "s1")).NotTo(Equal(tw.SubmissionFailed))
		}
		r.eventually(o, "s1", tw.SubmissionSucceeded, 20*time.Second)
	})
}
