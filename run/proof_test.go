package run_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/run"
)

// proofCases are what proves that a worker's life has ended, and what does not: a list
// of machines that lags, that was asked for too soon, that lacks a machine or has it in
// an unknown state; an entry that is merely missing. A list alone gives nobody up who
// answers.
var proofCases = map[string]func(r *rig){
	"keeps a worker that answers while the list of machines lags": func(r *rig) {
		b, former, present := r.inheritSecondLife(sameAddress)
		r.runs(former) // the list of machines tells of what was a second ago
		r.relist(b, former)
		time.Sleep(time.Second)
		r.runs(present)
		r.keepsAll(present)
	},
	"keeps the present worker when a former one is listed with no machine at first": func(r *rig) {
		b, former, present := r.inheritSecondLife(sameAddress)
		bare := former
		bare.Instance, bare.Address = "", ""
		r.relist(b, bare)
		time.Sleep(time.Second)
		r.relist(b, former)
		r.keepsAll(present)
		r.Expect(r.known(b)).NotTo(ContainElement(former.ID))
	},
	"keeps a worker that has answered since a wrong list was asked for": func(r *rig) {
		r.slowCensus(2 * time.Second)
		o := r.take("a")
		time.Sleep(settled)
		r.fill(o)
		time.Sleep(5 * time.Second)
		present := r.list[workerID(0)]
		wrong := present
		wrong.ID = "other"
		r.runs(wrong)
		delete(r.list, present.ID)
		r.feed(o)
		time.Sleep(2100 * time.Millisecond) // the list that was asked for at once has come
		r.runs(present)
		time.Sleep(time.Second) // and was consulted
		r.relist(o, present)
		r.keepsAll(present)
	},
	"asks for a list of machines after it knows several lives": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		former := r.list[workerID(0)]
		r.census.RequestRefresh(time.Now())
		time.Sleep(50 * time.Millisecond)
		r.cloud.SetDown(true) // that list names the former life, and no other comes
		present := former
		present.ID, present.Address = "present", "10.0.0.99:1"
		r.fleet.Kill(former.ID)
		r.fleet.Add(present)
		r.relist(o, present)
		time.Sleep(time.Second)
		r.Expect(r.known(o)).To(ContainElement(present.ID))
	},
	"remembers a life that has ended when its entry comes back": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		former := r.list[workerID(0)]
		r.fleet.Kill(former.ID)
		_, err := o.Report(r.ctx, run.Directions{Gone: []tw.WorkerID{former.ID}})
		r.Expect(err).NotTo(HaveOccurred())
		r.cloud.SetDown(true)
		delete(r.list, former.ID)
		r.feed(o)
		time.Sleep(5 * time.Second)
		r.relist(o, former)
		time.Sleep(100 * time.Millisecond)
		r.feed(o)
		r.Expect(r.known(o)).NotTo(ContainElement(former.ID))
	},
	"takes a life for ended for good when it was ordered away or its address is another's": func(r *rig) {
		a := r.take("a")
		time.Sleep(settled)
		former, _ := r.crash(a, 0, sameAddress)
		a.Close()
		b := r.take("b")
		time.Sleep(settled)
		r.relist(b, former) // another worker answers at its address
		time.Sleep(time.Second)
		r.fleet.Kill("present")
		r.cloud.SetDown(true)
		r.feed(b)
		time.Sleep(500 * time.Millisecond)
		r.Expect(r.known(b)).NotTo(ContainElement(former.ID))
	},
	"uses a worker again that was merely not listed for long": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		w := r.list[workerID(0)]
		delete(r.list, w.ID)
		r.feed(o)
		time.Sleep(10 * time.Second)
		r.Expect(r.known(o)).NotTo(ContainElement(w.ID))
		r.relist(o, w)
		r.submit(o, lasting("s1", 4))
		time.Sleep(2 * time.Second)
		r.keepsAll(w)
	},
	"reads no list of machines any more once a former life is known as ended": func(r *rig) {
		a := r.take("a")
		time.Sleep(settled)
		former, _ := r.crash(a, 0, sameAddress)
		a.Close()
		b := r.take("b")
		time.Sleep(settled)
		r.relist(b, former)
		time.Sleep(3 * time.Second)
		was := r.census.Latest().RequestedAt
		time.Sleep(5 * time.Second)
		r.Expect(r.census.Latest().RequestedAt).To(Equal(was))
	},
	"takes up ends that a worker given up by mistake tells later": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		s := submission("s1", 4)
		s.Steps[0].Estimate = 2 * time.Second
		s.Steps[0].MaxPerWorker = 1
		r.submit(o, s)
		time.Sleep(500 * time.Millisecond)
		w := r.list[workerID(0)]
		r.fleet.Set(w.ID, func(w *standin.SimWorker) { w.Silent = true })
		delete(r.list, w.ID)
		r.feed(o)
		time.Sleep(20 * time.Second) // all that was granted has lapsed
		r.fleet.Set(w.ID, func(w *standin.SimWorker) { w.Silent = false })
		r.relist(o, w)
		r.eventually(o, "s1", tw.SubmissionSucceeded, 10*time.Second)
	},
	"uses a new worker that the list of machines names late": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		former := r.list[workerID(0)]
		present := r.fleet.Reborn(former.ID, "present") // the list of machines names the former
		r.relist(o, present)                            // and so does that of workers
		time.Sleep(time.Second)
		r.runs(present)
		delete(r.list, former.ID)
		r.feed(o)
		for range 100 {
			time.Sleep(time.Second)
			r.feed(o)
		}
		r.Expect(r.known(o)).To(ContainElement(present.ID))
	},
	"uses a new worker whose machine is listed as down at first": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		former := r.list[workerID(0)]
		r.cloud.Add(tw.Machine{ID: former.Instance, Pool: pool, State: tw.MachineDown})
		present := r.fleet.Reborn(former.ID, "present")
		r.relist(o, present)
		time.Sleep(time.Second)
		r.runs(present)
		delete(r.list, former.ID)
		for range 100 {
			time.Sleep(time.Second)
			r.feed(o)
		}
		r.Expect(r.known(o)).To(ContainElement(present.ID))
	},
	"keeps a worker whose entry has lapsed and whose machine is listed as down, while it answers": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		r.fill(o)
		present := r.list[workerID(0)]
		r.cloud.Add(tw.Machine{ID: present.Instance, Pool: pool, State: tw.MachineDown})
		delete(r.list, present.ID)
		r.feed(o)
		time.Sleep(2 * time.Second)
		r.runs(present)
		r.relist(o, present)
		r.keepsAll(present)
	},
	"reads no list of machines any more once the lives of a machine are told apart": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		r.crash(o, 0, sameAddress)
		x := r.list[workerID(1)]
		stray := x
		stray.ID, stray.Address = "stray", "10.0.0.98:1"
		r.fleet.Add(stray)
		r.cloud.SetDown(true) // so that the entry changes before the question is answered
		r.relist(o, stray)
		time.Sleep(300 * time.Millisecond)
		stray.Instance = "m77"
		r.relist(o, stray)
		r.runs(stray)
		r.cloud.SetDown(false)
		time.Sleep(3 * time.Second)
		was := r.census.Latest().RequestedAt
		time.Sleep(5 * time.Second)
		r.Expect(r.census.Latest().RequestedAt).To(Equal(was))
	},
	"goes on with inherited work soon though the list of machines was read just before": func(r *rig) {
		a := r.take("a")
		time.Sleep(time.Second)
		s := submission("s1", 4, 4)
		r.submit(a, s)
		time.Sleep(700 * time.Millisecond)
		a.Close()
		time.Sleep(500 * time.Millisecond) // the first step has ended
		r.census.RequestRefresh(time.Now())
		time.Sleep(20 * time.Millisecond)
		r.take("b")
		r.Eventually(r.fleet.Starts, 350*time.Millisecond, 10*time.Millisecond).Should(Equal(8))
	},
	"keeps a worker that answers while the list of machines names a former life elsewhere": func(r *rig) {
		b, former, present := r.inheritSecondLife("10.0.0.99:1")
		r.runs(former) // the list of machines tells of what was a second ago
		r.relist(b, former)
		time.Sleep(time.Second)
		r.runs(present)
		r.keepsAll(present)
	},
	"keeps a worker that answers while its machine is listed in a state that is not known": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		r.fill(o)
		present := r.list[workerID(0)]
		delete(r.list, present.ID) // its entry has lapsed, as it is cut off from the store
		r.feed(o)
		time.Sleep(time.Second)
		r.cloud.Add(tw.Machine{ID: present.Instance, Pool: "another", State: ""}) // a state we don't know
		time.Sleep(time.Second)
		r.runs(present)
		r.relist(o, present)
		r.keepsAll(present)
	},
	"waits for the lease where the list of machines still names the former life": func(r *rig) {
		o := r.take("a")
		r.submit(o, lasting("s1", 1))
		time.Sleep(settled)
		on := r.fleet.RunningOn(subtask("s1", 0, 0))
		r.fleet.Kill(on[0])
		entry := r.list[on[0]]
		entry.ID, entry.Address = "fresh", "10.0.0.99:1"
		r.fleet.Add(entry)
		r.list[entry.ID] = entry // the former entry is still there
		r.feed(o)
		r.Eventually(r.fleet.Starts, maxHold+500*time.Millisecond).Should(Equal(2))
	},
}

func TestProofOfAnEnd(t *testing.T) { playCases(t, proofCases) }

// known lists the workers that an owner reports.
func (r *rig) known(o *run.Owner) []tw.WorkerID {
	report, err := o.Report(r.ctx, run.Directions{})
	r.Expect(err).NotTo(HaveOccurred())
	var out []tw.WorkerID
	for _, load := range report.Workers {
		out = append(out, load.Worker)
	}
	return out
}

// slowCensus has the list of machines come late. It tells of what is so when it comes.
func (r *rig) slowCensus(latency time.Duration) {
	r.census.Close()
	r.cloud = standin.CloudConfig{Latency: latency}.New()
	for _, entry := range r.list {
		r.runs(entry)
	}
	r.census = run.MachineCacheConfig{Machines: r.cloud, Clock: tw.SystemClock{}, Log: zap.NewNop()}.New()
}
