package run_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/run"
)

// workerLoad returns an owner's report of a worker.
func (r *rig) workerLoad(o *run.Owner, id tw.WorkerID) run.WorkerLoad {
	report, err := o.Report(r.ctx, run.Directions{})
	r.Expect(err).NotTo(HaveOccurred())
	for _, load := range report.Workers {
		if load.Worker == id {
			return load
		}
	}
	r.t.Fatalf("no load of %s", id)
	return run.WorkerLoad{}
}

// maxAckDelay is the platform's time limit for noticing and acknowledging an end while no fault
// interferes.
const maxAckDelay = 3 * time.Second

// listedEnds returns the ends that a worker reports because they are not acknowledged.
func (r *rig) listedEnds(o *run.Owner, n int) []tw.EndedSubtask {
	entry := r.list[workerID(n)]
	report, err := r.fleet.Hold(r.ctx, entry.Ref(), tw.HoldOrder{Fence: o.Record().Fence})
	r.Expect(err).NotTo(HaveOccurred())
	return report.Ended
}

// lastEnd is the sequence number of the last end that a worker reports; 0 if it reports none.
func (r *rig) lastEnd(o *run.Owner, n int) int64 {
	listed := r.listedEnds(o, n)
	if len(listed) == 0 {
		return 0
	}
	return listed[len(listed)-1].Sequence
}

// TestEndsOfAMovedMachine guards against losing ends that an owner has seen but not recorded,
// which exist only in its memory and on their worker. A worker whose runs had all ended was
// reported as empty, its machine was moved to another pool, and then the owner, which had not
// recorded an end for 5 s, was replaced. The next owner did not know of the ends and started the
// subtasks again, seconds after they were done.
func TestEndsOfAMovedMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.end()
		o := r.newOwner("a")
		s := submission("00000000000000aa", 1, 1)
		s.Steps[0].Estimate, s.Steps[1].Estimate = 500*time.Millisecond, 20*time.Second
		r.submit(o, s)
		time.Sleep(200 * time.Millisecond)
		r.Expect(r.workerLoad(o, workerID(0)).Empty()).To(BeFalse())
		// The second step finds no worker, so that the worker of the first step would be empty.
		r.drainWorker(o, workerID(0))
		r.kv.SetFaults(standin.KVFaults{Slow: 3 * time.Second})
		time.Sleep(time.Second)
		if r.workerLoad(o, workerID(0)).Empty() {
			r.fleet.Kill(workerID(0)) // as a move of its machine does
			delete(r.list, workerID(0))
			r.cloud.Add(tw.Machine{ID: "m0", Pool: "other", State: tw.MachineUp, Worker: "w0-next"})
		}
		r.kv.SetFaults(standin.KVFaults{})
		r.addWorker(1)
		b := r.newOwner("b")
		time.Sleep(3 * time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(2), "one start per step")
		_ = b
	})
}

// TestEndsAreConfirmedUnderLoad checks that ends are recorded and acknowledged to their workers
// in about the order of their arrival, also in a pool that always has something to record. An owner
// that was never idle acknowledged none, as it did so only when idle. Its workers reported all of
// them again at each poll, which cost more of its link and processor than its starts did, and its
// successor found 1,773 of them to handle in the first second.
func TestEndsAreConfirmedUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers, submissions = 24, 96 // each submission has one subtask at a time
		r := newRig(t, workers)
		defer r.end()
		o := r.newOwner("a")
		for n := range submissions {
			s := submission(fmt.Sprintf("%016x", n+1), slices.Repeat([]int{1}, 40)...)
			r.fleet.RegisterSubmission(&s, func(id tw.SubtaskID, p *standin.Profile) {
				p.Duration = time.Duration(300+(id.Step*37+n*53)%200) * time.Millisecond
			})
			r.Expect(o.Submit(r.ctx, s)).To(Succeed())
		}
		// A write has 30 entries, so this store accepts 100 a second; 240 ends a second arrive.
		r.kv.SetFaults(standin.KVFaults{Slow: 300 * time.Millisecond})
		time.Sleep(12*time.Second - maxAckDelay)
		lastBefore := make([]int64, workers)
		for n := range lastBefore {
			lastBefore[n] = r.lastEnd(o, n)
		}
		time.Sleep(maxAckDelay)
		ended := r.fleet.Starts() - submissions
		unacknowledged := 0
		for n, sequence := range lastBefore {
			listed := r.listedEnds(o, n)
			unacknowledged += len(listed)
			r.Expect(listed).To(HaveEach(HaveField("Sequence", BeNumerically(">", sequence))), "ends older than 3 s are not acknowledged")
		}
		t.Log("ended", ended, "ends not acknowledged", unacknowledged)
		r.Expect(unacknowledged).To(BeNumerically("<=", ended/5), "the platform's bound: a fifth of the ends")
	})
}
