package run_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/run"
)

// terminationCases check what proves that a worker has terminated and what does not. These are no
// proof: a list of machines that lags, was requested too early, lacks a machine or shows it in an
// unknown state, and a missing entry in the list of workers. A worker that answers is never given
// up because of a list alone.
var terminationCases = map[string]func(r *rig){
	"keeps a worker that answers while the list of machines lags": func(r *rig) {
		b, previous, current := r.inheritReplacedWorker(sameAddress)
		r.listAsRunning(previous) // the list of machines lags by a second
		r.relist(b, previous)
		time.Sleep(time.Second)
		r.listAsRunning(current)
		r.expectAllKept(current)
	},
	"keeps the current worker when a previous one is listed without a machine at first": func(r *rig) {
		b, previous, current := r.inheritReplacedWorker(sameAddress)
		bare := previous
		bare.Instance, bare.Address = "", ""
		r.relist(b, bare)
		time.Sleep(time.Second)
		r.relist(b, previous)
		r.expectAllKept(current)
		r.Expect(r.knownWorkers(b)).NotTo(ContainElement(previous.ID))
	},
	"keeps a worker that has answered since a wrong list was requested": func(r *rig) {
		r.slowMachineList(2 * time.Second)
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		r.fillWorkers(o)
		time.Sleep(5 * time.Second)
		current := r.list[workerID(0)]
		wrong := current
		wrong.ID = "other"
		r.listAsRunning(wrong)
		delete(r.list, current.ID)
		r.publishWorkers(o)
		time.Sleep(2100 * time.Millisecond) // the list that was requested at once has arrived
		r.listAsRunning(current)
		time.Sleep(time.Second) // and has been applied
		r.relist(o, current)
		r.expectAllKept(current)
	},
	"requests a list of machines once it knows several workers of one machine": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		previous := r.list[workerID(0)]
		r.machineCache.RequestRefresh(time.Now())
		time.Sleep(50 * time.Millisecond)
		r.cloud.SetDown(true) // that list names the previous worker, and no newer list arrives
		current := previous
		current.ID, current.Address = "present", "10.0.0.99:1"
		r.fleet.Kill(previous.ID)
		r.fleet.Add(current)
		r.relist(o, current)
		time.Sleep(time.Second)
		r.Expect(r.knownWorkers(o)).To(ContainElement(current.ID))
	},
	"remembers a terminated worker when its entry comes back": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		previous := r.list[workerID(0)]
		r.fleet.Kill(previous.ID)
		_, err := o.Report(r.ctx, run.Directions{Gone: []tw.WorkerID{previous.ID}})
		r.Expect(err).NotTo(HaveOccurred())
		r.cloud.SetDown(true)
		delete(r.list, previous.ID)
		r.publishWorkers(o)
		time.Sleep(5 * time.Second)
		r.relist(o, previous)
		time.Sleep(100 * time.Millisecond)
		r.publishWorkers(o)
		r.Expect(r.knownWorkers(o)).NotTo(ContainElement(previous.ID))
	},
	"treats a worker as terminated for good when another worker answers at its address": func(r *rig) {
		a := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		previous, _ := r.crashAndReplace(a, 0, sameAddress)
		a.Close()
		b := r.newOwner("b")
		time.Sleep(takeoverSettleTime)
		r.relist(b, previous) // another worker answers at its address
		time.Sleep(time.Second)
		r.fleet.Kill("present")
		r.cloud.SetDown(true)
		r.publishWorkers(b)
		time.Sleep(500 * time.Millisecond)
		r.Expect(r.knownWorkers(b)).NotTo(ContainElement(previous.ID))
	},
	"uses a worker again that was not listed for a long time": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		w := r.list[workerID(0)]
		delete(r.list, w.ID)
		r.publishWorkers(o)
		time.Sleep(10 * time.Second)
		r.Expect(r.knownWorkers(o)).NotTo(ContainElement(w.ID))
		r.relist(o, w)
		r.submit(o, longRunning("s1", 4))
		time.Sleep(2 * time.Second)
		r.expectAllKept(w)
	},
	"reads no more lists of machines once a previous worker is known to have terminated": func(r *rig) {
		a := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		previous, _ := r.crashAndReplace(a, 0, sameAddress)
		a.Close()
		b := r.newOwner("b")
		time.Sleep(takeoverSettleTime)
		r.relist(b, previous)
		time.Sleep(3 * time.Second)
		requestedAt := r.machineCache.Latest().RequestedAt
		time.Sleep(5 * time.Second)
		r.Expect(r.machineCache.Latest().RequestedAt).To(Equal(requestedAt))
	},
	"handles ends that a worker reports after it was given up by mistake": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		s := submission("s1", 4)
		s.Steps[0].Estimate = 2 * time.Second
		s.Steps[0].MaxPerWorker = 1
		r.submit(o, s)
		time.Sleep(500 * time.Millisecond)
		w := r.list[workerID(0)]
		r.fleet.UpdateWorker(w.ID, func(w *standin.SimWorker) { w.Silent = true })
		delete(r.list, w.ID)
		r.publishWorkers(o)
		time.Sleep(20 * time.Second) // all granted deadlines have passed
		r.fleet.UpdateWorker(w.ID, func(w *standin.SimWorker) { w.Silent = false })
		r.relist(o, w)
		r.eventually(o, "s1", tw.SubmissionSucceeded, 10*time.Second)
	},
	"uses a new worker that the list of machines names late": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		previous := r.list[workerID(0)]
		current := r.fleet.RestartWithNewID(previous.ID, "present") // the list of machines names the previous worker
		r.relist(o, current)                                        // the list of workers names both
		time.Sleep(time.Second)
		r.listAsRunning(current)
		delete(r.list, previous.ID)
		r.publishWorkers(o)
		for range 100 {
			time.Sleep(time.Second)
			r.publishWorkers(o)
		}
		r.Expect(r.knownWorkers(o)).To(ContainElement(current.ID))
	},
	"uses a new worker whose machine is listed as down at first": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		previous := r.list[workerID(0)]
		r.cloud.Add(tw.Machine{ID: previous.Instance, Pool: pool, State: tw.MachineDown})
		current := r.fleet.RestartWithNewID(previous.ID, "present")
		r.relist(o, current)
		time.Sleep(time.Second)
		r.listAsRunning(current)
		delete(r.list, previous.ID)
		for range 100 {
			time.Sleep(time.Second)
			r.publishWorkers(o)
		}
		r.Expect(r.knownWorkers(o)).To(ContainElement(current.ID))
	},
	"keeps a worker that answers while its entry has expired and its machine is listed as down": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		r.fillWorkers(o)
		current := r.list[workerID(0)]
		r.cloud.Add(tw.Machine{ID: current.Instance, Pool: pool, State: tw.MachineDown})
		delete(r.list, current.ID)
		r.publishWorkers(o)
		time.Sleep(2 * time.Second)
		r.listAsRunning(current)
		r.relist(o, current)
		r.expectAllKept(current)
	},
	"reads no more lists of machines once it knows which worker a machine runs": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		r.crashAndReplace(o, 0, sameAddress)
		x := r.list[workerID(1)]
		stray := x
		stray.ID, stray.Address = "stray", "10.0.0.98:1"
		r.fleet.Add(stray)
		r.cloud.SetDown(true) // so that the entry changes before the list arrives
		r.relist(o, stray)
		time.Sleep(300 * time.Millisecond)
		stray.Instance = "m77"
		r.relist(o, stray)
		r.listAsRunning(stray)
		r.cloud.SetDown(false)
		time.Sleep(3 * time.Second)
		requestedAt := r.machineCache.Latest().RequestedAt
		time.Sleep(5 * time.Second)
		r.Expect(r.machineCache.Latest().RequestedAt).To(Equal(requestedAt))
	},
	"continues inherited work soon although the list of machines was read just before": func(r *rig) {
		a := r.newOwner("a")
		time.Sleep(time.Second)
		s := submission("s1", 4, 4)
		r.submit(a, s)
		time.Sleep(700 * time.Millisecond)
		a.Close()
		time.Sleep(500 * time.Millisecond) // the first step has ended
		r.machineCache.RequestRefresh(time.Now())
		time.Sleep(20 * time.Millisecond)
		r.newOwner("b")
		r.Eventually(r.fleet.Starts, 350*time.Millisecond, 10*time.Millisecond).Should(Equal(8))
	},
	"keeps a worker that answers while the list of machines names a previous worker at another address": func(r *rig) {
		b, previous, current := r.inheritReplacedWorker("10.0.0.99:1")
		r.listAsRunning(previous) // the list of machines lags by a second
		r.relist(b, previous)
		time.Sleep(time.Second)
		r.listAsRunning(current)
		r.expectAllKept(current)
	},
	"keeps a worker that answers while its machine is listed in an unknown state": func(r *rig) {
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		r.fillWorkers(o)
		current := r.list[workerID(0)]
		delete(r.list, current.ID) // its entry has expired, as it is partitioned from the store
		r.publishWorkers(o)
		time.Sleep(time.Second)
		r.cloud.Add(tw.Machine{ID: current.Instance, Pool: "another", State: ""}) // an unknown state
		time.Sleep(time.Second)
		r.listAsRunning(current)
		r.relist(o, current)
		r.expectAllKept(current)
	},
	"waits for the granted deadlines while the list of machines still names the previous worker": func(r *rig) {
		o := r.newOwner("a")
		r.submit(o, longRunning("s1", 1))
		time.Sleep(takeoverSettleTime)
		on := r.fleet.RunningOn(subtask("s1", 0, 0))
		r.fleet.Kill(on[0])
		entry := r.list[on[0]]
		entry.ID, entry.Address = "fresh", "10.0.0.99:1"
		r.fleet.Add(entry)
		r.list[entry.ID] = entry // the previous entry is still there
		r.publishWorkers(o)
		r.Eventually(r.fleet.Starts, maxHold+500*time.Millisecond).Should(Equal(2))
	},
}

func TestWorkerTermination(t *testing.T) { runCases(t, terminationCases) }

// knownWorkers lists the workers that an owner reports.
func (r *rig) knownWorkers(o *run.Owner) []tw.WorkerID {
	report, err := o.Report(r.ctx, run.Directions{})
	r.Expect(err).NotTo(HaveOccurred())
	var out []tw.WorkerID
	for _, load := range report.Workers {
		out = append(out, load.Worker)
	}
	return out
}

// slowMachineList delays the list of machines, which shows the state at the time of its arrival.
func (r *rig) slowMachineList(latency time.Duration) {
	r.machineCache.Close()
	r.cloud = standin.CloudConfig{Latency: latency}.New()
	for _, entry := range r.list {
		r.listAsRunning(entry)
	}
	r.machineCache = run.MachineCacheConfig{Machines: r.cloud, Clock: tw.SystemClock{}, Log: testLog(r.t)}.New()
}
