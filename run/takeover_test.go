package run_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// earlyCases cover a new owner that finds runs of a repetition that is not due yet by its own wall
// clock, as the previous owner's clock was ahead. An owner that did not know these subtasks stopped
// the runs and acknowledged their ends without recording them, so the subtasks were started again
// once the repetition was due.
var earlyCases = map[string]func(r *rig){
	"applies an end of a repetition that is not due yet": func(r *rig) {
		s := r.submitScheduled(3 * time.Second)
		r.startAs(1, 0, subtask("s1", 0, 0))
		time.Sleep(1500 * time.Millisecond)
		r.Expect(r.fleet.Done(subtask("s1", 0, 0))).To(BeTrue())
		b := r.newOwner("b")
		r.eventually(b, s.ID, tw.SubmissionSucceeded, 8*time.Second)
		r.expectNoViolations()
		r.Expect(r.fleet.Starts()).To(Equal(2))
	},
	"starts nothing else of a repetition before it is due": func(r *rig) {
		a := r.newOwner("a")
		s := submission("s1", 2)
		s.Schedule = tw.Schedule{Times: 1, First: time.Now().Add(3 * time.Second)}
		r.submit(a, s)
		a.Close()
		r.startAs(1, 0, subtask("s1", 0, 0))
		r.newOwner("b")
		time.Sleep(2 * time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(1))
		time.Sleep(1200 * time.Millisecond)
		r.Expect(r.fleet.Starts()).To(Equal(2))
	},
	"lets a run of a repetition that is not due yet go on": func(r *rig) {
		s := r.submitScheduled(3 * time.Second)
		r.startAs(1, 0, subtask("s1", 0, 0))
		time.Sleep(100 * time.Millisecond)
		b := r.newOwner("b")
		r.eventually(b, s.ID, tw.SubmissionSucceeded, 8*time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(2))
	},
}

// submitScheduled submits two repetitions, the first of which is due after dueIn, to an owner
// that is then closed.
func (r *rig) submitScheduled(dueIn time.Duration) tw.Submission {
	a := r.newOwner("a")
	s := submission("s1", 1)
	s.Schedule = tw.Schedule{Times: 2, First: time.Now().Add(dueIn), Interval: time.Second}
	r.submit(a, s)
	a.Close()
	return s
}

// lateListCases cover a new owner that learns of a worker only some seconds after its takeover, as
// the lists could not be read before. The worker has a run of the previous owner, which is cut off
// from the store but still extends the run's deadline. An owner that waited only for workers
// learned of within the first 5 s started the same subtask on another worker 6 s after the takeover,
// while the first run went on.
var lateListCases = map[string]func(r *rig){
	"waits for a worker that is late in the list of machines": func(r *rig) {
		on := r.runOnPartitionedOwner()
		entry := r.list[on]
		delete(r.list, on)
		r.cloud.SetDown(true)
		r.newOwner("b")
		time.Sleep(6 * time.Second)
		r.cloud.SetDown(false)
		time.Sleep(500 * time.Millisecond)
		r.list[on] = entry
		time.Sleep(2 * maxHold)
		r.Expect(r.fleet.Starts()).To(Equal(2)) // once the deadlines had passed
	},
	"waits for a worker that is late in the list of workers": func(r *rig) {
		on := r.runOnPartitionedOwner()
		only := &partitionedOrders{WorkerOrders: r.fleet}
		only.cutOffWorker(on)
		entry := r.list[on]
		delete(r.list, on)
		r.cloud.SetDown(true)
		b := r.newPartitionableOwner("b", only)
		time.Sleep(6 * time.Second)
		r.list[on] = entry
		r.publishWorkers(b)
		r.cloud.SetDown(false)
		time.Sleep(2 * maxHold)
		r.Expect(r.fleet.Starts()).To(Equal(2)) // once the deadlines had passed
	},
}

// runOnPartitionedOwner lets an owner start a long-running subtask and then cuts the owner off from
// the store. It returns the worker of the run.
func (r *rig) runOnPartitionedOwner() tw.WorkerID {
	orders := &partitionedOrders{WorkerOrders: r.fleet}
	a := r.newPartitionableOwner("a", orders)
	r.submit(a, longRunning("s1", 1))
	time.Sleep(2 * time.Second)
	on := r.fleet.RunningOn(subtask("s1", 0, 0))
	r.Expect(on).To(HaveLen(1))
	orders.cutOffStore()
	return on[0]
}

func TestTakeoverWithLateLists(t *testing.T) { runCases(t, lateListCases) }

// TestDelayedTakeover guards against an owner that gives orders for too long. A daemon takes a pool
// and is delayed while it loads the submissions. Meanwhile another daemon takes the pool, can't
// reach the worker of a run, and waits until the deadlines granted by all earlier owners have
// passed. It relies on an owner giving no orders later than 6 s after the write that last confirmed
// its ownership. If the first daemon, now cut off from the store, counts these 6 s from the end of
// its loading instead, it extends the run, and the second owner starts the subtask elsewhere while
// the first run goes on.
func TestDelayedTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		defer r.end()
		previous := r.newOwner("former")
		r.submit(previous, longRunning("s1", 1))
		time.Sleep(2 * time.Second)
		on := r.fleet.RunningOn(subtask("s1", 0, 0))
		r.Expect(on).To(Equal([]tw.WorkerID{workerID(0)}))
		previous.Close()
		reachesW0, reachesW1 := &partitionedOrders{WorkerOrders: r.fleet}, &partitionedOrders{WorkerOrders: r.fleet}
		reachesW0.cutOffWorker(workerID(1))
		reachesW1.cutOffWorker(workerID(0))
		delayed := r.openBook("a", &partitionedKV{KV: r.kv, orders: reachesW0})
		time.Sleep(time.Second)
		b := r.newPartitionableOwner("b", reachesW1)
		time.Sleep(3 * time.Second)
		reachesW0.cutOffStore()
		r.startOwner(delayed, reachesW0)
		r.Eventually(r.fleet.Starts, 15*time.Second, 10*time.Millisecond).Should(Equal(2))
		r.expectNoViolations()
		r.Expect(r.state(b, "s1")).To(Equal(tw.SubmissionStarted))
	})
}

func TestTakeoverOfEarlyRuns(t *testing.T) { runCases(t, earlyCases) }

// refusingCases cover a worker that never reports what it runs and is never silent either, as it
// refuses polls as unhealthy, or its entry has no address. The deadlines that earlier owners granted
// there have passed 12.3 s after the takeover. An owner that waited for an answer or for silence
// held back inherited work for as long as that worker was listed.
var refusingCases = map[string]func(r *rig){
	"continues although a worker refuses its polls": func(r *rig) {
		r.leaveInProgress(800 * time.Millisecond)
		r.addWorker(9)
		b := r.newOwnerWith("b", r.kv, &refusingOrders{WorkerOrders: r.fleet, id: workerID(9)})
		r.eventually(b, "s1", tw.SubmissionSucceeded, 15*time.Second)
	},
	"continues although a worker that is listed later refuses its polls": func(r *rig) {
		r.leaveInProgress(9 * time.Second)
		b := r.newOwnerWith("b", r.kv, &refusingOrders{WorkerOrders: r.fleet, id: workerID(9)})
		time.Sleep(7 * time.Second)
		r.addWorker(9)
		r.publishWorkers(b)
		r.eventually(b, "s1", tw.SubmissionSucceeded, 8*time.Second)
	},
	"continues although a worker is listed without an address": func(r *rig) {
		r.leaveInProgress(800 * time.Millisecond)
		r.list["bare"] = tw.WorkerEntry{ID: "bare", Pool: pool}
		b := r.newOwner("b")
		r.eventually(b, "s1", tw.SubmissionSucceeded, 15*time.Second)
	},
}

// leaveInProgress leaves s1 to a new owner, with the first of its two steps running.
func (r *rig) leaveInProgress(first time.Duration) {
	a := r.newOwner("a")
	time.Sleep(time.Second)
	s := submission("s1", 4, 4)
	s.Steps[0].Estimate = first
	r.submit(a, s)
	time.Sleep(500 * time.Millisecond)
	a.Close()
}

// refusingOrders makes one worker refuse every hold, as an unhealthy one does.
type refusingOrders struct {
	tw.WorkerOrders
	id tw.WorkerID
}

func (f *refusingOrders) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	if to.ID == f.id {
		return tw.HoldReport{}, &tw.OrderRefusedError{Reason: tw.RefusedUnhealthy}
	}
	return f.WorkerOrders.Hold(ctx, to, order)
}

func TestTakeoverWithRefusingWorker(t *testing.T) { runCases(t, refusingCases) }
