package run_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// ownerCases are what an owner does in a pool of four workers.
var ownerCases = map[string]func(r *rig){
	"runs the steps of a submission one after the other": func(r *rig) {
		o := r.take("a")
		r.submit(o, submission("s1", 3, 5))
		r.eventually(o, "s1", tw.Succeeded, 5*time.Second)
	},
	"keeps one submission for an id that comes twice": func(r *rig) {
		o := r.take("a")
		s := submission("s1", 2)
		r.submit(o, s)
		r.Expect(o.Submit(r.ctx, s)).To(Succeed())
		r.eventually(o, "s1", tw.Succeeded, 5*time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(2))
	},
	"does not take up an id again that has ended": func(r *rig) {
		o := r.take("a")
		s := submission("s1", 1)
		r.submit(o, s)
		r.eventually(o, "s1", tw.Succeeded, 5*time.Second)
		o.Close()
		o = r.take("b")
		r.Expect(o.Submit(r.ctx, s)).To(Succeed())
		r.Expect(r.state(o, "s1")).To(Equal(tw.Succeeded))
		time.Sleep(3 * time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(1))
	},
	"ends as failed once a subtask has failed in all its attempts": func(r *rig) {
		o := r.take("a")
		s := submission("s1", 2)
		r.fleet.Expect(&s, func(id tw.SubtaskID, p *standin.Profile) { p.Fails = id.Index == 1 })
		r.Expect(o.Submit(r.ctx, s)).To(Succeed())
		r.eventually(o, "s1", tw.Failed, 10*time.Second)
		r.Expect(r.fleet.Running(subtask("s1", 0, 0))).To(BeZero())
	},
	"stops what runs when a submission is cancelled": func(r *rig) {
		o := r.take("a")
		r.submit(o, lasting("s1", 3))
		time.Sleep(2 * time.Second)
		r.Expect(o.Cancel(r.ctx, "s1")).To(Succeed())
		r.Expect(r.state(o, "s1")).To(Equal(tw.Cancelled))
		r.Eventually(func() int { return r.fleet.Running(subtask("s1", 0, 0)) }, 2*time.Second).Should(BeZero())
	},
	"starts a lasting subtask again when its worker dies": func(r *rig) {
		o := r.take("a")
		r.submit(o, lasting("s1", 2))
		time.Sleep(2 * time.Second)
		on := r.fleet.RunningOn(subtask("s1", 0, 0))
		r.Expect(on).To(HaveLen(1))
		r.fleet.Kill(on[0])
		r.cloud.Add(tw.Machine{ID: r.list[on[0]].Instance, Pool: pool, State: tw.MachineDown})
		r.Eventually(func() int { return r.fleet.Running(subtask("s1", 0, 0)) }, 6*time.Second).Should(Equal(1))
	},
	"waits for what a silent worker may still run": func(r *rig) {
		o := r.take("a")
		r.submit(o, lasting("s1", 1))
		time.Sleep(2 * time.Second)
		on := r.fleet.RunningOn(subtask("s1", 0, 0))
		r.fleet.Set(on[0], func(w *standin.SimWorker) { w.Silent = true })
		time.Sleep(maxHold / 2)
		r.Expect(r.fleet.Starts()).To(Equal(1))
		r.Eventually(r.fleet.Starts, 8*time.Second).Should(Equal(2))
	},
	"takes up a run whose start was not answered but done": func(r *rig) {
		o := r.take("a")
		time.Sleep(time.Second)
		for n := range 4 {
			r.fleet.Set(workerID(n), func(w *standin.SimWorker) { w.LateStarts = 1 })
		}
		r.submit(o, submission("s1", 1))
		time.Sleep(10 * time.Millisecond)
		r.fleet.DoLate()
		r.eventually(o, "s1", tw.Succeeded, 6*time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(1))
	},
	"forbids a start that was not answered before it starts elsewhere": func(r *rig) {
		o := r.take("a")
		time.Sleep(time.Second)
		r.fleet.Set(workerID(0), func(w *standin.SimWorker) { w.LateStarts = 1 })
		r.fleet.Set(workerID(1), func(w *standin.SimWorker) { w.LateStarts = 1 })
		r.submit(o, submission("s1", 1))
		time.Sleep(5 * time.Millisecond)
		r.drain(o, 0) // so that it goes elsewhere
		r.eventually(o, "s1", tw.Succeeded, 5*time.Second)
		r.fleet.DoLate()
		r.Expect(r.fleet.Starts()).To(Equal(1))
	},
	"does not count a submission as begun whose start is in doubt": func(r *rig) {
		o := r.take("a")
		time.Sleep(time.Second)
		for n := range 4 {
			r.fleet.Set(workerID(n), func(w *standin.SimWorker) { w.LateStarts = 9 })
		}
		r.submit(o, submission("s1", 1))
		time.Sleep(100 * time.Millisecond)
		r.Expect(o.Waiting(r.ctx, "quick")).To(Equal(1))
		r.Expect(r.state(o, "s1")).To(Equal(tw.Waiting))
	},
	"goes on after another daemon has taken over": func(r *rig) {
		a := r.take("a")
		r.submit(a, submission("s1", 4, 4))
		time.Sleep(500 * time.Millisecond)
		b := r.take("b")
		r.eventually(b, "s1", tw.Succeeded, 6*time.Second)
		r.Eventually(a.Done(), 3*time.Second).Should(BeClosed())
		r.Expect(r.fleet.Starts()).To(Equal(8))
	},
	"starts nothing again on the word of an owner that is cut off": func(r *rig) {
		cut := &cutOrders{WorkerOrders: r.fleet}
		a := r.takeCut("a", cut)
		r.submit(a, lasting("s1", 1))
		time.Sleep(2 * time.Second)
		on := r.fleet.RunningOn(subtask("s1", 0, 0))
		cut.lose(on[0])
		time.Sleep(3 * time.Second) // the ownership is confirmed meanwhile
		cut.loseStore()
		// The new owner reaches no other worker, so that a is not refused there.
		only := &cutOrders{WorkerOrders: r.fleet}
		for id := range r.list {
			if id != on[0] {
				only.lose(id)
			}
		}
		c := r.takeCut("c", only)
		time.Sleep(2 * maxHold)
		r.Expect(r.fleet.Starts()).To(Equal(1))
		r.Expect(r.state(c, "s1")).To(Equal(tw.Started))
	},
	"reaches a worker that the list of machines knew before the list of workers": func(r *rig) {
		a := r.take("a")
		r.submit(a, lasting("s1", 1))
		time.Sleep(2 * time.Second)
		on := r.fleet.RunningOn(subtask("s1", 0, 0))
		a.Close()
		r.fleet.Kill(on[0])
		r.cloud.Add(tw.Machine{ID: r.list[on[0]].Instance, Pool: pool, State: tw.MachineDown})
		entry := r.list[workerID(3)]
		delete(r.list, entry.ID)
		b := r.take("b")
		time.Sleep(time.Second) // the list of machines is read meanwhile
		r.list[entry.ID] = entry
		r.feed(b)
		r.Eventually(r.fleet.Starts, 2*time.Second).Should(Equal(2))
	},
	"takes a worker for ended when its machine has a new one": func(r *rig) {
		o := r.take("a")
		r.submit(o, lasting("s1", 1))
		time.Sleep(7 * time.Second)
		on := r.fleet.RunningOn(subtask("s1", 0, 0))
		r.fleet.Kill(on[0])
		entry := r.list[on[0]]
		entry.ID, entry.Address = "fresh", "10.0.0.99:1"
		r.fleet.Add(entry)
		r.list[entry.ID] = entry // the former entry is still there
		r.feed(o)
		r.Eventually(r.fleet.Starts, time.Second).Should(Equal(2))
	},
	"does not take an entry that lingers for a new worker": func(r *rig) {
		o := r.take("a")
		time.Sleep(7 * time.Second)
		former := r.list[workerID(0)]
		r.fleet.Kill(former.ID)
		r.cloud.Add(tw.Machine{ID: former.Instance, Pool: pool, State: tw.MachineMoving})
		_, err := o.Report(r.ctx, run.Directions{Gone: []tw.WorkerID{former.ID}})
		r.Expect(err).NotTo(HaveOccurred())
		entry := former
		entry.ID, entry.Address = "fresh", "10.0.0.99:1"
		r.fleet.Add(entry)
		r.list[entry.ID] = entry
		r.feed(o) // both are listed
		r.feed(o)
		time.Sleep(time.Second)
		report, err := o.Report(r.ctx, run.Directions{})
		r.Expect(err).NotTo(HaveOccurred())
		var known []tw.WorkerID
		for _, load := range report.Workers {
			known = append(known, load.Worker)
		}
		r.Expect(known).To(ContainElement(entry.ID))
		r.Expect(known).NotTo(ContainElement(former.ID))
	},
	"buries a worker for good when its machine is down": func(r *rig) {
		o := r.take("a")
		time.Sleep(7 * time.Second)
		former := r.list[workerID(0)]
		r.fleet.Kill(former.ID)
		r.submit(o, lasting("s1", 4)) // so that the dead worker is noticed
		r.cloud.Add(tw.Machine{ID: former.Instance, Pool: pool, State: tw.MachineDown})
		time.Sleep(5 * time.Second)
		entry := former
		entry.ID, entry.Address = "fresh", "10.0.0.99:1"
		r.fleet.Add(entry)
		r.cloud.Add(tw.Machine{ID: former.Instance, Pool: pool, State: tw.MachineUp, Worker: entry.ID})
		r.list[entry.ID] = entry
		r.feed(o)
		time.Sleep(3 * time.Second)
		r.feed(o) // the dead worker's entry lingers
		time.Sleep(3 * time.Second)
		r.Expect(r.fleet.RunningOn(subtask("s1", 0, 3))).NotTo(BeEmpty())
		report, err := o.Report(r.ctx, run.Directions{})
		r.Expect(err).NotTo(HaveOccurred())
		for _, load := range report.Workers {
			r.Expect(load.Worker).NotTo(Equal(former.ID))
		}
		r.Expect(report.Workers).To(HaveLen(4))
	},
	"says that it does not know what runs before a worker has answered": func(r *rig) {
		a := r.take("a")
		r.submit(a, lasting("s1", 1))
		time.Sleep(2 * time.Second)
		on := r.fleet.RunningOn(subtask("s1", 0, 0))
		a.Close()
		r.fleet.Set(on[0], func(w *standin.SimWorker) { w.Silent = true })
		b := r.take("b")
		report, err := b.Report(r.ctx, run.Directions{})
		r.Expect(err).NotTo(HaveOccurred())
		for _, load := range report.Workers {
			if load.Worker == on[0] {
				r.Expect(load.Known).To(BeFalse())
			}
		}
	},
	"empties a machine without taking more of a step away than it may miss": func(r *rig) {
		o := r.take("a")
		r.submit(o, lasting("s1", 3))
		time.Sleep(2 * time.Second)
		var all run.Directions
		for _, index := range []int{0, 1} {
			on := r.fleet.RunningOn(subtask("s1", 0, index))
			all.Vacate = append(all.Vacate, r.list[on[0]].Instance)
		}
		for range 30 {
			_, err := o.Report(r.ctx, all)
			r.Expect(err).NotTo(HaveOccurred())
			away := 0
			for index := range 3 {
				if !r.fleet.AtWork(subtask("s1", 0, index)) {
					away++
				}
			}
			r.Expect(away).To(BeNumerically("<=", 1))
			time.Sleep(100 * time.Millisecond)
		}
	},
	"interrupts nothing while a stop of the former owner may be under way": func(r *rig) {
		a := r.take("a")
		r.submit(a, lasting("s1", 3))
		time.Sleep(4 * time.Second)
		vacate := func(o *run.Owner, index int) {
			on := r.fleet.RunningOn(subtask("s1", 0, index))
			_, err := o.Report(r.ctx, run.Directions{Vacate: []tw.InstanceID{r.list[on[0]].Instance}})
			r.Expect(err).NotTo(HaveOccurred())
		}
		vacate(a, 0)
		time.Sleep(250 * time.Millisecond) // a stops it by now
		a.Close()
		b := r.take("b")
		vacate(b, 1)
		for range 20 {
			away := 0
			for index := range 3 {
				if !r.fleet.AtWork(subtask("s1", 0, index)) {
					away++
				}
			}
			r.Expect(away).To(BeNumerically("<=", 1))
			time.Sleep(50 * time.Millisecond)
		}
	},
	"refuses submissions at once while the store refuses writes": func(r *rig) {
		o := r.take("a")
		r.kv.SetFaults(standin.KVFaults{Down: true})
		began := time.Now()
		err := o.Submit(r.ctx, submission("s1", 1))
		r.Expect(tw.SurelyNotDone(err)).To(BeTrue())
		r.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond)) // of the bubble's time
		r.kv.SetFaults(standin.KVFaults{})
		_, err = ledger.Find(r.ctx, r.kv, "s1")
		r.Expect(err).To(MatchError(tw.ErrNotFound))
	},
	"keeps work running while the store is down, and records it afterwards": func(r *rig) {
		o := r.take("a")
		r.submit(o, submission("s1", 4, 4))
		r.kv.SetFaults(standin.KVFaults{Down: true})
		time.Sleep(4 * time.Second)
		r.Expect(r.state(o, "s1")).To(Equal(tw.Started))
		r.Expect(r.fleet.Starts()).To(Equal(8))
		r.kv.SetFaults(standin.KVFaults{})
		r.eventually(o, "s1", tw.Succeeded, 3*time.Second)
	},
	"takes a submission for kept whose write was done but not answered": func(r *rig) {
		o := r.take("a")
		r.kv.SetFaults(standin.KVFaults{LoseAnswers: 1})
		r.submit(o, submission("s1", 1))
		r.eventually(o, "s1", tw.Succeeded, 5*time.Second)
	},
	"takes up what another daemon has kept without it": func(r *rig) {
		o := r.take("a")
		s := submission("s1", 2)
		r.fleet.Expect(&s, nil)
		_, err := r.kv.Commit(r.ctx, ledger.AcceptUnowned(&s))
		r.Expect(err).NotTo(HaveOccurred())
		o.Inbox(r.ctx, ledger.InboxRecord{Kind: ledger.InboxSubmitted, ID: "s1"})
		r.Eventually(func() error {
			_, err := o.State(r.ctx, "s1")
			return err
		}, time.Second).Should(Succeed())
		r.eventually(o, "s1", tw.Succeeded, 5*time.Second)
	},
	"goes on trying to read what another daemon has kept": func(r *rig) {
		kv := &blindKV{KV: r.kv}
		o := r.open("a", kv, r.fleet)
		s := submission("s1", 2)
		r.fleet.Expect(&s, nil)
		_, err := r.kv.Commit(r.ctx, ledger.AcceptUnowned(&s))
		r.Expect(err).NotTo(HaveOccurred())
		kv.blind.Store(true)
		r.Expect(o.Submit(r.ctx, s)).To(Succeed())
		time.Sleep(2 * time.Second)
		kv.blind.Store(false)
		r.Eventually(r.fleet.Starts, 2*time.Second).Should(Equal(2))
	},
	"starts at once what a daemon with a fast clock accepted": func(r *rig) {
		o := r.take("a")
		time.Sleep(time.Second)
		s := submission("s1", 1)
		s.Accepted = time.Now().Add(2 * time.Second)
		r.submit(o, s)
		time.Sleep(100 * time.Millisecond)
		r.Expect(r.fleet.Starts()).To(Equal(1))
	},
	"starts repetitions when they are due, not before": func(r *rig) {
		o := r.take("a")
		s := submission("s1", 1)
		s.Schedule = tw.Schedule{Times: 3, First: time.Now().Add(time.Second), Interval: time.Second}
		r.submit(o, s)
		time.Sleep(900 * time.Millisecond)
		r.Expect(r.fleet.Starts()).To(BeZero())
		r.eventually(o, "s1", tw.Succeeded, 6*time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(3))
	},
	"starts the members of a gang together": func(r *rig) {
		o := r.take("a")
		s := submission("s1", 6)
		s.Steps[0].Gang = true
		r.submit(o, s)
		r.eventually(o, "s1", tw.Succeeded, 6*time.Second)
	},
}

func TestOwner(t *testing.T) {
	for name, c := range ownerCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 4)
				defer r.end()
				c(r)
				r.kept()
			})
		})
	}
}

// A copy of a subtask that ends after the other must not end its step, and
// one that has not been sent when the other ends must not be sent any more.
func TestOwnerCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 3)
		defer r.end()
		o := r.take("a")
		time.Sleep(time.Second)
		s := submission("s1", 2, 2)
		for i := range s.Steps {
			s.Steps[i].Copies = true
		}
		r.fleet.Expect(&s, func(id tw.SubtaskID, p *standin.Profile) {
			if id.Step == 0 && id.Index == 1 {
				p.Duration = 4 * time.Second // long enough for a copy
			}
		})
		r.Expect(o.Submit(r.ctx, s)).To(Succeed())
		r.Eventually(r.fleet.Starts, 4*time.Second).Should(BeNumerically(">", 2))
		r.eventually(o, "s1", tw.Succeeded, 12*time.Second)
		for step := range 2 {
			for index := range 2 {
				r.Expect(r.fleet.Done(subtask("s1", step, index))).To(BeTrue())
			}
		}
		r.kept()
	})
}

// A subtask of which both copies end as done counts once.
func TestOwnerCopiesBothDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		defer r.end()
		o := r.take("a")
		time.Sleep(time.Second)
		s := submission("s1", 1, 1)
		s.Steps[0].Copies = true
		s.Steps[0].Estimate = 3 * time.Second
		s.Steps[1].Estimate = 3 * time.Second
		r.submit(o, s)
		time.Sleep(100 * time.Millisecond)
		first := r.fleet.RunningOn(subtask("s1", 0, 0))
		r.fleet.Set(first[0], func(w *standin.SimWorker) { w.Silent = true })
		r.Eventually(func() int { return len(r.fleet.RunningOn(subtask("s1", 0, 0))) }, 4*time.Second).Should(Equal(2))
		r.Eventually(func() bool { return r.fleet.Done(subtask("s1", 0, 0)) }, 4*time.Second).Should(BeTrue())
		r.Eventually(func() int { return len(r.fleet.RunningOn(subtask("s1", 0, 0))) }, 4*time.Second).Should(BeZero())
		r.fleet.Set(first[0], func(w *standin.SimWorker) { w.Silent = false })
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			if r.state(o, "s1") == tw.Succeeded {
				r.Expect(r.fleet.Done(subtask("s1", 1, 0))).To(BeTrue())
			}
		}
		r.eventually(o, "s1", tw.Succeeded, 12*time.Second)
		r.Expect(r.fleet.Done(subtask("s1", 1, 0))).To(BeTrue())
		r.kept()
	})
}
