package run_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// earlyCases are what a new owner does with runs of a repetition that is not due
// yet by its own time of day, as the former owner's was ahead. It knew no such
// subtask: it stopped the runs, and of an end as done it only told the worker that
// it was noted. When the repetition fell due here, the subtask was started again.
// The log showed "run: ended", kind done, before the takeover's first start of the
// same subtask.
var earlyCases = map[string]func(r *rig){
	"takes up an end of a repetition that is not due yet": func(r *rig) {
		s := r.timed(3 * time.Second)
		r.startAs(1, 0, subtask("s1", 0, 0))
		time.Sleep(1500 * time.Millisecond)
		r.Expect(r.fleet.Done(subtask("s1", 0, 0))).To(BeTrue())
		b := r.take("b")
		r.eventually(b, s.ID, tw.SubmissionSucceeded, 8*time.Second)
		r.kept()
		r.Expect(r.fleet.Starts()).To(Equal(2))
	},
	"starts nothing else of a repetition before it is due": func(r *rig) {
		a := r.take("a")
		s := submission("s1", 2)
		s.Schedule = tw.Schedule{Times: 1, First: time.Now().Add(3 * time.Second)}
		r.submit(a, s)
		a.Close()
		r.startAs(1, 0, subtask("s1", 0, 0))
		r.take("b")
		time.Sleep(2 * time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(1))
		time.Sleep(1200 * time.Millisecond)
		r.Expect(r.fleet.Starts()).To(Equal(2))
	},
	"lets a run of a repetition that is not due yet go on": func(r *rig) {
		s := r.timed(3 * time.Second)
		r.startAs(1, 0, subtask("s1", 0, 0))
		time.Sleep(100 * time.Millisecond)
		b := r.take("b")
		r.eventually(b, s.ID, tw.SubmissionSucceeded, 8*time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(2))
	},
}

// timed has an owner, which then ends, keep a submission with two repetitions,
// the first of which is due so much later.
func (r *rig) timed(later time.Duration) tw.Submission {
	a := r.take("a")
	s := submission("s1", 1)
	s.Schedule = tw.Schedule{Times: 2, First: time.Now().Add(later), Interval: time.Second}
	r.submit(a, s)
	a.Close()
	return s
}

// lateListCases are what a new owner does when it learns of a worker only some
// seconds after its takeover, because the lists could not be read before. What runs
// on that worker was started by the former owner, which is cut off from the store
// but still prolongs it. Only workers learned of in the first 5 s counted as such: of
// a later one the owner waited for no answer. In the log the takeover is at 2.033 s,
// and "run: ordered" of the same subtask on another worker at 8.053 s, beside the
// first run.
var lateListCases = map[string]func(r *rig){
	"waits for a worker that the list of machines names late": func(r *rig) {
		on := r.cutOwnerRuns()
		entry := r.list[on]
		delete(r.list, on)
		r.cloud.SetDown(true)
		r.take("b")
		time.Sleep(6 * time.Second)
		r.cloud.SetDown(false)
		time.Sleep(500 * time.Millisecond)
		r.list[on] = entry
		time.Sleep(2 * maxHold)
		r.Expect(r.fleet.Starts()).To(Equal(2)) // once all had lapsed
	},
	"waits for a worker that the list of workers names late": func(r *rig) {
		on := r.cutOwnerRuns()
		only := &cutOrders{WorkerOrders: r.fleet}
		only.lose(on)
		entry := r.list[on]
		delete(r.list, on)
		r.cloud.SetDown(true)
		b := r.takeCut("b", only)
		time.Sleep(6 * time.Second)
		r.list[on] = entry
		r.feed(b)
		r.cloud.SetDown(false)
		time.Sleep(2 * maxHold)
		r.Expect(r.fleet.Starts()).To(Equal(2)) // once all had lapsed
	},
}

// cutOwnerRuns has an owner start a lasting subtask and then lose the store. It
// returns the worker on which that runs.
func (r *rig) cutOwnerRuns() tw.WorkerID {
	orders := &cutOrders{WorkerOrders: r.fleet}
	a := r.takeCut("a", orders)
	r.submit(a, lasting("s1", 1))
	time.Sleep(2 * time.Second)
	on := r.fleet.RunningOn(subtask("s1", 0, 0))
	r.Expect(on).To(HaveLen(1))
	orders.loseStore()
	return on[0]
}

func TestTakeoverWithLateLists(t *testing.T) { playCases(t, lateListCases) }

// A daemon takes a pool, and is held up while it reads the submissions. Meanwhile
// another one takes the pool, which does not reach the worker of a run and waits until
// every former owner's grants there have run out: 6 s after its ownership was last
// confirmed nobody gives orders. But the first one, cut off from the store by now,
// counted these 6 s from when it had read all, not from its write. In the log it is
// "owner: taken" at 6.041 s with fence 2, after the one with fence 3 at 3.041 s, and
// prolongs the run; the second owner has it "lapsed" at 15.441 s and starts the subtask
// elsewhere while the first run goes on.
func TestTakeoverThatIsHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		defer r.end()
		former := r.take("former")
		r.submit(former, lasting("s1", 1))
		time.Sleep(2 * time.Second)
		on := r.fleet.RunningOn(subtask("s1", 0, 0))
		r.Expect(on).To(Equal([]tw.WorkerID{workerID(0)}))
		former.Close()
		nearOnly, farOnly := &cutOrders{WorkerOrders: r.fleet}, &cutOrders{WorkerOrders: r.fleet}
		nearOnly.lose(workerID(1))
		farOnly.lose(workerID(0))
		heldUp := r.openBook("a", &cutKV{KV: r.kv, orders: nearOnly})
		time.Sleep(time.Second)
		b := r.takeCut("b", farOnly)
		time.Sleep(3 * time.Second)
		nearOnly.loseStore()
		r.begin(heldUp, nearOnly)
		r.Eventually(r.fleet.Starts, 15*time.Second, 10*time.Millisecond).Should(Equal(2))
		r.kept()
		r.Expect(r.state(b, "s1")).To(Equal(tw.SubmissionStarted))
	})
}

func TestTakeoverOfEarlyRuns(t *testing.T) { playCases(t, earlyCases) }

// refusingCases are what a new owner does beside a worker that never answers its looks
// and is never silent either: it turns them away as unhealthy, or its entry has no
// address. All that a former owner granted there has lapsed 12.3 s after the takeover,
// but the doubt about it ended with an answer or with silence only, so that inherited
// work stood still as long as that worker was listed.
var refusingCases = map[string]func(r *rig){
	"goes on though a worker turns away its looks": func(r *rig) {
		r.inherit(800 * time.Millisecond)
		r.addWorker(9)
		b := r.open("b", r.kv, &refusingOrders{WorkerOrders: r.fleet, id: workerID(9)})
		r.eventually(b, "s1", tw.SubmissionSucceeded, 15*time.Second)
	},
	"goes on though one that is listed later does": func(r *rig) {
		r.inherit(9 * time.Second)
		b := r.open("b", r.kv, &refusingOrders{WorkerOrders: r.fleet, id: workerID(9)})
		time.Sleep(7 * time.Second)
		r.addWorker(9)
		r.feed(b)
		r.eventually(b, "s1", tw.SubmissionSucceeded, 8*time.Second)
	},
	"goes on though a worker is listed without an address": func(r *rig) {
		r.inherit(800 * time.Millisecond)
		r.list["bare"] = tw.WorkerEntry{ID: "bare", Pool: pool}
		b := r.take("b")
		r.eventually(b, "s1", tw.SubmissionSucceeded, 15*time.Second)
	},
}

// inherit leaves s1 to a new owner, with the first of its two steps under way.
func (r *rig) inherit(first time.Duration) {
	a := r.take("a")
	time.Sleep(time.Second)
	s := submission("s1", 4, 4)
	s.Steps[0].Estimate = first
	r.submit(a, s)
	time.Sleep(500 * time.Millisecond)
	a.Close()
}

// refusingOrders has one worker turn away every look, as an unhealthy one does.
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

func TestTakeoverBesideAWorkerThatRefuses(t *testing.T) { playCases(t, refusingCases) }
