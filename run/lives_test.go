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

// A worker's entry may come back to the list after its machine has begun another
// life: a write is held up by a cut, or an entry that lapsed is written once more.
// The owner took the entry that it saw last for the later life, gave up the present
// worker, which answered and ran on, and started its runs again elsewhere. When that
// worker was listed anew, its ends were confirmed, so that a subtask had been started
// after it was done. From the owner's log, in seconds:
//
//	11.0717 worker: listed  i-1fd32168e0  instance m-36425
//	11.0936 worker: answers i-1fd32168e0
//	11.6055 worker: listed  i-5acae62918  instance m-36425, down since 6.27
//	11.6055 worker: ended   i-1fd32168e0  its machine has a new worker, runs 3
//	11.6055 worker: ended   i-5acae62918  another worker answers at its address
var livesCases = map[string]func(r *rig){
	"keeps the present worker when the entry of a former one comes back": func(r *rig) {
		o, former, present := r.secondLife(sameAddress)
		r.relist(o, former)
		r.keepsAll(present)
	},
	"keeps it while it is silent for a moment": func(r *rig) {
		o, former, present := r.secondLife(sameAddress)
		r.fleet.Set(present.ID, func(w *standin.SimWorker) { w.Silent = true })
		time.Sleep(200 * time.Millisecond)
		r.relist(o, former)
		time.Sleep(1500 * time.Millisecond)
		r.fleet.Set(present.ID, func(w *standin.SimWorker) { w.Silent = false })
		r.keepsAll(present)
	},
	"keeps it while the list of machines is not readable": func(r *rig) {
		o, former, present := r.secondLife(sameAddress)
		r.cloud.SetDown(true)
		r.relist(o, former)
		r.keepsAll(present)
	},
	"keeps it when its own entry has lapsed meanwhile": func(r *rig) {
		o, former, present := r.secondLife(sameAddress)
		delete(r.list, present.ID)
		r.relist(o, former)
		time.Sleep(time.Second)
		r.relist(o, present)
		r.keepsAll(present)
	},
	"keeps it when the machine was moved away and back": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		former := r.list[workerID(0)]
		r.fleet.Kill(former.ID)
		_, err := o.Report(r.ctx, run.Directions{Gone: []tw.WorkerID{former.ID}})
		r.Expect(err).NotTo(HaveOccurred())
		delete(r.list, former.ID)
		r.feed(o)
		present := former
		present.ID, present.Address = "present", "10.0.0.99:1"
		r.fleet.Add(present)
		r.runs(present)
		r.relist(o, present)
		r.fill(o)
		r.relist(o, former) // nobody answers there any more
		r.keepsAll(present)
	},
	"keeps it when a new owner sees the former entry later": func(r *rig) {
		b, former, present := r.inheritSecondLife(sameAddress)
		r.relist(b, former)
		r.keepsAll(present)
	},
	"uses the present worker when both are listed at once": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		former := r.list[workerID(0)]
		delete(r.list, former.ID)
		r.feed(o)
		present := r.reborn(former.ID, "a-present") // before the former one by its id
		time.Sleep(settled)
		r.feed(o)
		r.list[present.ID] = present
		r.relist(o, former)
		r.fill(o)
		r.keepsAll(present)
	},
	"gives an idle former worker nothing while the list of machines is not readable": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		former := r.list[workerID(0)]
		r.cloud.SetDown(true)
		r.fleet.Kill(former.ID)
		present := former
		present.ID, present.Address = "present", "10.0.0.99:1"
		r.fleet.Add(present)
		r.relist(o, present)
		time.Sleep(time.Second)
		r.submit(o, lasting("s1", 4))
		r.Eventually(r.fleet.Starts, time.Second).Should(Equal(4))
	},
	"starts nothing again that ends on the present worker meanwhile": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		former, present := r.crash(o, 0, sameAddress)
		full := submission("s0", 12)
		full.Steps[0].MaxPerWorker = 4
		full.Steps[0].Estimate = time.Minute
		r.list[present.ID] = r.draining(present, true)
		r.feed(o)
		r.submit(o, full) // so that nothing else has room
		time.Sleep(500 * time.Millisecond)
		r.relist(o, r.draining(present, false))
		s := submission("s1", 1)
		s.Steps[0].Estimate = 2 * time.Second
		r.submit(o, s)
		time.Sleep(500 * time.Millisecond)
		r.Expect(r.fleet.RunningOn(subtask("s1", 0, 0))).To(Equal([]tw.WorkerID{present.ID}))
		r.relist(o, former)
		time.Sleep(2 * time.Second) // it has ended there by now
		delete(r.list, former.ID)
		delete(r.list, present.ID)
		r.addWorker(9)
		r.feed(o)
		time.Sleep(200 * time.Millisecond)
		r.relist(o, present)
		time.Sleep(3 * time.Second) // its ends are recorded and confirmed by now
		r.kept()
		r.Expect(r.fleet.Starts()).To(Equal(13))
	},
	"takes no note of an end after it has started the subtask again": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		former, present := r.crash(o, 0, sameAddress)
		s := submission("s1", 4)
		s.Steps[0].Estimate = 3 * time.Second
		s.Steps[0].MaxPerWorker = 1
		r.submit(o, s)
		r.addWorker(9)
		r.feed(o)
		time.Sleep(time.Second)
		r.relist(o, former)
		time.Sleep(time.Second)
		delete(r.list, former.ID)
		delete(r.list, present.ID) // its entry lapses as well
		r.feed(o)
		time.Sleep(2 * time.Second)
		r.relist(o, present)
		r.eventually(o, "s1", tw.SubmissionSucceeded, 10*time.Second)
		time.Sleep(2 * time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(4))
	},
}

// settled is longer than an owner counts workers that appear as ones that the
// former owner may have used.
const settled = 13 * time.Second

// sameAddress has the next life of a machine listen where the former one did.
const sameAddress = ""

func TestLivesOfAMachine(t *testing.T) { playCases(t, livesCases) }

// crash ends a worker, waits until the owner knows that and its entry has gone, and
// lists the machine's next life, which listens at the same address or at another.
func (r *rig) crash(o *run.Owner, n int, address string) (former, present tw.WorkerEntry) {
	former = r.list[workerID(n)]
	r.fleet.Kill(former.ID)
	r.cloud.Add(tw.Machine{ID: former.Instance, Pool: pool, State: tw.MachineDown})
	delete(r.list, former.ID)
	r.feed(o)
	time.Sleep(2 * time.Second)
	present = former
	present.ID = "present"
	if address != sameAddress {
		present.Address = address
	}
	r.fleet.Add(present)
	r.runs(present)
	r.relist(o, present)
	time.Sleep(time.Second)
	return former, present
}

// secondLife has an owner of whose machines one is in its second life, and subtasks of
// s1 on all of them.
func (r *rig) secondLife(address string) (o *run.Owner, former, present tw.WorkerEntry) {
	o = r.take("a")
	time.Sleep(settled)
	former, present = r.crash(o, 0, address)
	r.fill(o)
	return o, former, present
}

// inheritSecondLife does so for the owner after that, which does not know the former
// life.
func (r *rig) inheritSecondLife(address string) (o *run.Owner, former, present tw.WorkerEntry) {
	a, former, present := r.secondLife(address)
	a.Close()
	o = r.take("b")
	time.Sleep(settled)
	return o, former, present
}

// fill runs one subtask of s1 on each of four workers, and then adds another on which
// they could be started again.
func (r *rig) fill(o *run.Owner) {
	r.submit(o, lasting("s1", 4))
	time.Sleep(2 * time.Second)
	r.addWorker(9)
	r.feed(o)
	time.Sleep(time.Second)
}

// reborn starts a machine's next life at the address of the one before.
func (r *rig) reborn(id, next tw.WorkerID) tw.WorkerEntry {
	entry := r.fleet.Reborn(id, next)
	r.runs(entry)
	return entry
}

// draining is an entry with its worker's word on whether it drains.
func (r *rig) draining(entry tw.WorkerEntry, drains bool) tw.WorkerEntry {
	entry.Draining = drains
	return entry
}

// runs says in the list of machines which life a machine runs.
func (r *rig) runs(entry tw.WorkerEntry) {
	r.cloud.Add(tw.Machine{
		ID: entry.Instance, Pool: pool, State: tw.MachineUp, Worker: entry.ID, Capacity: entry.Capacity, Labels: entry.Labels,
	})
}

// relist adds an entry to the list of workers.
func (r *rig) relist(o *run.Owner, entry tw.WorkerEntry) {
	r.list[entry.ID] = entry
	r.feed(o)
}

// keepsAll expects that the four subtasks of s1, one on each worker, run on where they
// were started, for longer than anything that was granted lasts.
func (r *rig) keepsAll(present tw.WorkerEntry) {
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
		r.Expect(on).To(HaveKey(present.ID))
		time.Sleep(2 * maxHold)
	}
	r.Expect(r.fleet.Starts()).To(Equal(4))
}

// Work whose worker was replaced just after each start was given up, as if it had brought five
// workers down. A machine whose worker a subtask has brought down is away for seconds.
func TestReplacedWorkersAreNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.end()
		o := r.take("a")
		time.Sleep(settled)
		r.submit(o, submission("s1", 1))
		present := workerID(0)
		for n := range 7 {
			r.Eventually(func() int { return r.fleet.Running(subtask("s1", 0, 0)) }, 20*time.Second, 5*time.Millisecond).Should(Equal(1))
			next := tw.WorkerID(fmt.Sprintf("next%d", n))
			entry := r.reborn(present, next)
			delete(r.list, present)
			r.relist(o, entry)
			present = next
			r.Expect(r.state(o, "s1")).NotTo(Equal(tw.SubmissionFailed))
		}
		r.eventually(o, "s1", tw.SubmissionSucceeded, 20*time.Second)
	})
}
