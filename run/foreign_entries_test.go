package run_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/run"
)

// unusedAddress is an address at which nobody listens.
const unusedAddress = "10.0.0.77:1"

// foreignEntries are changes that another writer makes to the entry of a living worker.
var foreignEntries = map[string]func(entry *tw.WorkerEntry){
	"later start time":   func(entry *tw.WorkerEntry) { entry.StartTime += 10 },
	"latest start time":  func(entry *tw.WorkerEntry) { entry.StartTime = math.MaxInt64 },
	"earlier start time": func(entry *tw.WorkerEntry) { entry.StartTime -= 10 },
	"no start time":      func(entry *tw.WorkerEntry) { entry.StartTime = 0 },
	"unused address":     func(entry *tw.WorkerEntry) { entry.Address = unusedAddress },
	"another worker's address": func(entry *tw.WorkerEntry) {
		entry.Address = "10.0.0.1:1"
	},
	"later start time, another worker's address": func(entry *tw.WorkerEntry) {
		entry.StartTime += 10
		entry.Address = "10.0.0.1:1"
	},
	"another worker's machine": func(entry *tw.WorkerEntry) { entry.Instance = "m1" },
}

// foreignEntryTimes are for how long the foreign entry is listed before the worker writes its own again.
var foreignEntryTimes = map[string]time.Duration{"for a moment": 200 * time.Millisecond, "for long": 8 * time.Second}

// TestForeignEntryEndsNoWorker guards against runs that are given up on a living worker because of an
// entry that it did not write: they went on after their submission was cancelled.
func TestForeignEntryEndsNoWorker(t *testing.T) {
	for change, apply := range foreignEntries {
		for lasting, listed := range foreignEntryTimes {
			name := change + ", " + lasting
			runCase(t, name, 2, func(r *rig) {
				r.setStartTimes()
				r.foreignEntry(apply, listed)
			})
			runCase(t, name+", workers without start times", 2, func(r *rig) { r.foreignEntry(apply, listed) })
		}
	}
}

// TestDisputedMachineKeepsRuns checks that the runs of a worker that answers go on while the list of
// machines names another worker for longer than the time of the runs.
func TestDisputedMachineKeepsRuns(t *testing.T) {
	runCase(t, "for longer than the time of the runs", 1, func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		s := submission("s1", 4)
		s.Steps[0].Estimate = 12 * time.Second
		r.submit(o, s)
		time.Sleep(time.Second)
		other := r.list[workerID(0)]
		other.ID, other.Address = "other", unusedAddress
		r.listAsRunning(other)
		r.relistWorker(o, other)
		r.eventually(o, "s1", tw.SubmissionSucceeded, 15*time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(4))
	})
}

// foreignEntry lists a foreign entry of a worker that runs subtasks of two submissions, cancels one of
// them, and expects that its runs are stopped, that the other's go on, and that the worker gets new work.
func (r *rig) foreignEntry(change func(entry *tw.WorkerEntry), listed time.Duration) {
	o := r.newOwner("a")
	time.Sleep(takeoverSettleTime)
	own := r.list[workerID(0)]
	r.withdrawWorker(o, 1)
	for _, id := range []string{"cancelled", "kept"} {
		s := submission(id, 2)
		s.Steps[0].Estimate = 15 * time.Second
		r.submit(o, s)
	}
	time.Sleep(500 * time.Millisecond)
	r.Expect(r.fleet.Starts()).To(Equal(4))
	r.relistWorker(o, r.fleetEntry(1))
	time.Sleep(500 * time.Millisecond)
	foreign := own
	change(&foreign)
	r.relistWorker(o, foreign)
	time.AfterFunc(listed, func() { r.relistWorker(o, own) })
	time.Sleep(500 * time.Millisecond)
	r.Expect(o.Cancel(r.ctx, "", "cancelled")).To(Succeed())
	r.fleet.NoteCancelled("cancelled")
	time.Sleep(listed + 4*time.Second)
	r.Expect(r.fleet.SubmissionRuns("cancelled")).To(BeZero())
	r.eventually(o, "kept", tw.SubmissionSucceeded, 15*time.Second)
	r.Expect(r.fleet.Starts()).To(Equal(4))
	r.expectUsed(o, own.ID)
}

// withdrawWorker removes the entry of a worker from the list, so that it gets no work.
func (r *rig) withdrawWorker(o *run.Owner, n int) {
	delete(r.list, workerID(n))
	r.publishWorkers(o)
	time.Sleep(5 * time.Second)
}

// fleetEntry returns a worker's own entry.
func (r *rig) fleetEntry(n int) (entry tw.WorkerEntry) {
	r.fleet.UpdateWorker(workerID(n), func(w *standin.SimWorker) { entry = w.Entry })
	return entry
}

// expectUsed expects a worker to get a part of new work that needs all workers.
func (r *rig) expectUsed(o *run.Owner, id tw.WorkerID) {
	r.t.Helper()
	s := submission("new", 8)
	s.Steps[0].Estimate = 5 * time.Second
	r.submit(o, s)
	r.Eventually(func() bool {
		for index := range 8 {
			for _, on := range r.fleet.RunningOn(subtask("new", 0, index)) {
				if on == id {
					return true
				}
			}
		}
		return false
	}, 3*time.Second, 50*time.Millisecond).Should(BeTrue())
}

// setBackClocks are the start times of a worker that starts again under its ID, in ms after that of its
// previous incarnation.
var setBackClocks = map[string]tw.WorkerStartTime{"clock ahead": 10_000, "clock set back": -10_000}

// TestRestartWithAnyClock guards against a worker that is refused for good because it started again
// with a clock behind that of its previous incarnation.
func TestRestartWithAnyClock(t *testing.T) {
	for name, shift := range setBackClocks {
		runCase(t, name, 2, func(r *rig) {
			r.setStartTimes()
			o := r.newOwner("a")
			time.Sleep(takeoverSettleTime)
			r.submit(o, submission("s1", 8))
			time.Sleep(300 * time.Millisecond)
			entry := r.list[workerID(0)]
			r.relistWorker(o, r.fleet.Restart(entry.ID, entry.StartTime+shift))
			r.eventually(o, "s1", tw.SubmissionSucceeded, 4*time.Second)
			r.expectUsed(o, entry.ID)
		})
	}
}

// falseLists are what the platform's list of machines says of the machine of a worker that lives and was
// cut off from the owner for a moment.
var falseLists = map[string]func(machine tw.Machine) tw.Machine{
	"machine down":                func(m tw.Machine) tw.Machine { m.State, m.Worker = tw.MachineDown, ""; return m },
	"machine moving":              func(m tw.Machine) tw.Machine { m.State = tw.MachineMoving; return m },
	"machine with another worker": func(m tw.Machine) tw.Machine { m.Worker = "other"; return m },
}

// TestWorkerGivenUpByAListIsAskedAgain guards against a living worker that an owner takes for ended by
// the list of machines and never asks again: runs of a cancelled submission went on there, and the
// worker got no more work although its entry stayed listed.
func TestWorkerGivenUpByAListIsAskedAgain(t *testing.T) {
	for name, wrong := range falseLists {
		runCase(t, name, 1, func(r *rig) {
			o := r.newOwner("a")
			time.Sleep(takeoverSettleTime)
			s := submission("s1", 4)
			s.Steps[0].Estimate = 12 * time.Second
			r.submit(o, s)
			time.Sleep(time.Second)
			entry := r.list[workerID(0)]
			machine := tw.Machine{ID: entry.Instance, Pool: pool, State: tw.MachineUp, Worker: entry.ID, Capacity: entry.Capacity, Labels: entry.Labels}
			r.cloud.Add(wrong(machine))
			r.fleet.UpdateWorker(entry.ID, func(w *standin.SimWorker) { w.Silent = true })
			time.Sleep(500 * time.Millisecond)
			cancelled := make(chan error, 1)
			go func() { cancelled <- o.Cancel(r.ctx, "", "s1") }()
			time.Sleep(1500 * time.Millisecond)
			r.Expect(<-cancelled).To(Succeed())
			r.fleet.NoteCancelled("s1")
			r.cloud.Add(machine)
			r.fleet.UpdateWorker(entry.ID, func(w *standin.SimWorker) { w.Silent = false })
			time.Sleep(4 * time.Second)
			r.Expect(r.fleet.SubmissionRuns("s1")).To(BeZero())
			r.Expect(r.counter("workers_wrongly_ended_total")).To(BeEquivalentTo(1))
			r.expectUsed(o, entry.ID)
		})
	}
}

// TestOldNoticeEndsNoNewWorker guards against a worker that is given up because of a notice that its
// previous incarnation, which had the same ID, went with a move of its machine.
func TestOldNoticeEndsNoNewWorker(t *testing.T) {
	runCase(t, "its machine was moved away and back", 2, func(r *rig) {
		r.setStartTimes()
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		id := workerID(0)
		r.fleet.Kill(id)
		movedAt := time.Now()
		notice := func() run.Directions {
			return run.Directions{Gone: []tw.WorkerID{id}, GoneFor: []time.Duration{time.Since(movedAt)}}
		}
		_, err := o.Report(r.ctx, notice())
		r.Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second) // the machine is moved away and back
		r.relistWorker(o, r.restart(0))
		time.Sleep(500 * time.Millisecond)
		s := submission("s1", 8)
		s.Steps[0].Estimate = 3 * time.Second
		r.submit(o, s)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			_, err := o.Report(r.ctx, notice())
			r.Expect(err).NotTo(HaveOccurred())
		}
		r.eventually(o, "s1", tw.SubmissionSucceeded, 5*time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(8))
		r.expectUsed(o, id)
	})
}
