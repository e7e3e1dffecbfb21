package run_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// restartedStart is a start that is ordered while its worker restarts under its ID.
	restartedStart struct {
		fault orderFault
		// clockAhead is how far the clock of the next incarnation is ahead of that of the previous one.
		clockAhead time.Duration
		// silent is how long the next incarnation is silent once it has answered its first poll.
		silent time.Duration
	}

	// partitionAfterRestart makes workers silent once their next incarnation has answered its first poll.
	partitionAfterRestart struct {
		*faultyOrders
		length time.Duration

		mu    sync.Mutex
		known map[tw.WorkerID]tw.WorkerStartTime
	}
)

// ownerAge is longer than the time for which the grants of a previous owner may last.
const ownerAge = 20 * time.Second

// Hold implements tw.WorkerOrders.
func (p *partitionAfterRestart) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	report, err := p.faultyOrders.Hold(ctx, to, order)
	if err != nil || p.length == 0 {
		return report, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.known[to.ID]; known != 0 && known != report.StartTime {
		p.UpdateWorker(to.ID, func(w *standin.SimWorker) { w.Silent = true })
		time.AfterFunc(p.length, func() { p.UpdateWorker(to.ID, func(w *standin.SimWorker) { w.Silent = false }) })
	}
	p.known[to.ID] = report.StartTime
	return report, err
}

// longSubtasks returns a submission whose subtasks run longer than a grant.
func longSubtasks(id string, count int) tw.Submission {
	s := submission(id, count)
	s.Steps[0].Estimate = 2 * maxHold
	return s
}

// TestStartIsNotRepeatedBesideARestartedWorker guards against a subtask that runs twice, as its start is carried out
// by the next incarnation of a worker while the owner only knows the previous one.
func TestStartIsNotRepeatedBesideARestartedWorker(t *testing.T) {
	cases := map[string]restartedStart{
		"carried out, answer lost":                    {fault: orderFault{lost: true, done: true}},
		"carried out, connection reset":               {fault: orderFault{reset: true, done: true}},
		"carried out, answer lost, silent then":       {fault: orderFault{lost: true, done: true}, silent: time.Second},
		"carried out, answer lost, silent for longer": {fault: orderFault{lost: true, done: true}, silent: 10 * time.Second},
		"carried out late":                            {fault: orderFault{lost: true, late: 600 * time.Millisecond}},
		"carried out late, silent then":               {fault: orderFault{lost: true, late: 600 * time.Millisecond}, silent: 4 * time.Second},
		"answered":                                    {},
		"answered, silent then":                       {silent: time.Second},
	}
	playRestartedStarts(t, cases)
}

// TestStartAnsweredByTheNextIncarnationIsKept guards against a subtask that runs twice, as an answer of the next
// incarnation of a worker is taken for one of the previous one, of which all runs have ended. The clock in such an
// answer does not tell them apart where it is ahead.
func TestStartAnsweredByTheNextIncarnationIsKept(t *testing.T) {
	cases := map[string]restartedStart{
		"answered":                {clockAhead: 3 * time.Second},
		"answered, silent then":   {clockAhead: 3 * time.Second, silent: time.Second},
		"refused by a later time": {clockAhead: time.Minute},
		"refused by a later time, silent then": {
			clockAhead: time.Minute, silent: time.Second,
		},
	}
	playRestartedStarts(t, cases)
}

func playRestartedStarts(t *testing.T, cases map[string]restartedStart) {
	for name, c := range cases {
		runCase(t, name, 3, func(r *rig) { r.playRestartedStart(c, false) })
		runCase(t, name+", listed soon", 3, func(r *rig) { r.playRestartedStart(c, true) })
	}
}

// playRestartedStart restarts idle workers, which the owner does not notice before it orders a start. Their new
// entries are listed soon after that or not at all.
func (r *rig) playRestartedStart(c restartedStart, listed bool) {
	r.setStartTimes()
	orders := &partitionAfterRestart{
		faultyOrders: newFaultyOrders(r, "s1", c.fault, orderFault{}), length: c.silent, known: map[tw.WorkerID]tw.WorkerStartTime{},
	}
	o := r.newOwnerWith("a", r.kv, orders)
	time.Sleep(ownerAge)
	clock := tw.WorkerTime(0)
	if c.clockAhead > 0 {
		clock = tw.WorkerTime((ownerAge + c.clockAhead).Milliseconds())
	}
	var next []tw.WorkerEntry
	for id := range r.list {
		next = append(next, r.fleet.RestartWithClock(id, startTimeNow(), clock))
	}
	r.submit(o, longSubtasks("s1", 1))
	r.submit(o, longSubtasks("s2", 3)) // its starts are answered
	<-orders.sent
	time.Sleep(10 * time.Millisecond)
	orders.heal()
	time.Sleep(40 * time.Millisecond)
	if listed {
		for _, entry := range next {
			r.relistWorker(o, entry)
		}
	}
	r.eventually(o, "s1", tw.SubmissionSucceeded, time.Minute)
	r.eventually(o, "s2", tw.SubmissionSucceeded, time.Minute)
}

// returningWorker is a pool with one worker, the order to start s1 there under way, and another worker that
// comes then.
type returningWorker struct {
	*rig
	owner *run.Owner
	entry tw.WorkerEntry
}

// crashAfterOrder crashes the worker once it was ordered to start s1, which is carried out after a delay unless the
// worker is down then.
func (r *rig) crashAfterOrder(late time.Duration) *returningWorker {
	r.setStartTimes()
	orders := newFaultyOrders(r, "s1", orderFault{lost: true, late: late}, orderFault{})
	o := r.newOwnerWith("a", r.kv, orders)
	time.Sleep(ownerAge)
	r.submit(o, longSubtasks("s1", 1))
	<-orders.sent
	w := &returningWorker{rig: r, owner: o, entry: r.list[workerID(0)]}
	r.fleet.Kill(w.entry.ID)
	orders.heal()
	r.addWorker(1)
	r.setStartTime(1)
	r.publishWorkers(o)
	return w
}

// setStartTime sets a start time on a worker.
func (r *rig) setStartTime(n int) {
	entry := r.list[workerID(n)]
	entry.StartTime = startTimeNow()
	r.list[entry.ID] = entry
	r.fleet.UpdateWorker(entry.ID, func(w *standin.SimWorker) { w.Entry.StartTime = entry.StartTime })
}

// comeBack starts the worker again under its ID, and lists it.
func (w *returningWorker) comeBack() {
	entry := w.restart(0)
	w.listAsRunning(entry)
	w.relistWorker(w.owner, entry)
}

// listAsDown makes the list of machines show the worker's machine as down.
func (w *returningWorker) listAsDown() {
	w.cloud.Add(tw.Machine{ID: w.entry.Instance, Pool: pool, State: tw.MachineDown})
}

// TestReturningWorkerRefusesLateStart guards against a subtask that runs twice, as a start that a worker's previous
// incarnation was ordered is carried out by a next one, after the subtask was started elsewhere.
func TestReturningWorkerRefusesLateStart(t *testing.T) {
	cases := map[string]func(w *returningWorker){
		"taken for ended by the list of machines": func(w *returningWorker) {
			w.listAsDown()
			time.Sleep(2500 * time.Millisecond)
			w.comeBack()
		},
		"taken for ended, listed with its next start before it answers": func(w *returningWorker) {
			w.listAsDown()
			time.Sleep(2500 * time.Millisecond)
			next := w.entry
			next.StartTime = startTimeNow()
			w.relistWorker(w.owner, next)
			time.Sleep(time.Second)
			w.listAsRunning(w.fleet.Restart(next.ID, next.StartTime))
		},
		"ordered away by the manager of machines": func(w *returningWorker) {
			_, err := w.owner.Report(w.ctx, run.Directions{Gone: []tw.WorkerID{w.entry.ID}})
			w.Expect(err).NotTo(HaveOccurred())
			delete(w.list, w.entry.ID)
			w.publishWorkers(w.owner)
			time.Sleep(2500 * time.Millisecond)
			w.comeBack()
		},
		"no longer listed": func(w *returningWorker) {
			w.listAsDown()
			delete(w.list, w.entry.ID)
			w.publishWorkers(w.owner)
			time.Sleep(3500 * time.Millisecond)
			w.comeBack()
		},
		"restarts twice": func(w *returningWorker) {
			time.Sleep(600 * time.Millisecond)
			w.comeBack()
			time.Sleep(1500 * time.Millisecond)
			w.comeBack()
		},
		"restarts twice, taken for ended before": func(w *returningWorker) {
			w.listAsDown()
			time.Sleep(600 * time.Millisecond)
			w.comeBack()
			time.Sleep(1500 * time.Millisecond)
			w.comeBack()
		},
		"restarts three times, taken for ended in between": func(w *returningWorker) {
			time.Sleep(600 * time.Millisecond)
			w.comeBack()
			time.Sleep(500 * time.Millisecond)
			w.fleet.Kill(w.entry.ID)
			w.listAsDown()
			time.Sleep(time.Second)
			w.comeBack()
			time.Sleep(500 * time.Millisecond)
			w.comeBack()
		},
	}
	for name, disturb := range cases {
		runCase(t, name, 1, func(r *rig) {
			w := r.crashAfterOrder(6 * time.Second)
			disturb(w)
			r.eventually(w.owner, "s1", tw.SubmissionSucceeded, time.Minute)
			time.Sleep(10 * time.Second)
		})
	}
}

// TestStartWaitsForAWorkerThatMayComeBack guards against a subtask that runs twice, as its worker comes back under its ID
// and carries out an old start before it can be told not to. Work of a worker that stays away must not wait long.
func TestStartWaitsForAWorkerThatMayComeBack(t *testing.T) {
	cases := map[string]struct {
		late, down time.Duration
		gone       bool
	}{
		"carried out as soon as it is back":   {late: 2550 * time.Millisecond, down: 2500 * time.Millisecond},
		"carried out before its entry is new": {late: 3 * time.Second, down: 2500 * time.Millisecond},
		"back at once":                        {late: 700 * time.Millisecond, down: 600 * time.Millisecond},
		"lost for good":                       {late: 3 * time.Second, gone: true},
	}
	for name, c := range cases {
		runCase(t, name, 1, func(r *rig) {
			w := r.crashAfterOrder(c.late)
			w.listAsDown()
			crashed := time.Now()
			if !c.gone {
				time.Sleep(c.down)
				entry := w.restart(0)
				time.Sleep(1500 * time.Millisecond)
				w.listAsRunning(entry)
				w.relistWorker(w.owner, entry)
			}
			r.Eventually(func() int { return r.fleet.SubtaskRuns(subtask("s1", 0, 0)) }, 10*time.Second, 10*time.Millisecond).Should(Equal(1))
			r.Expect(time.Since(crashed)).To(BeNumerically("<", 6500*time.Millisecond))
			r.eventually(w.owner, "s1", tw.SubmissionSucceeded, time.Minute)
		})
	}
}

// TestSuccessorWaitsForAWorkerThatMayComeBack guards against a subtask that runs twice, as a start that the previous owner
// has ordered is carried out by a worker that comes back under its ID after the takeover.
func TestSuccessorWaitsForAWorkerThatMayComeBack(t *testing.T) {
	for name, gone := range map[string]bool{"comes back": false, "lost for good": true} {
		runCase(t, name, 1, func(r *rig) {
			w := r.crashAfterOrder(3 * time.Second)
			w.listAsDown()
			w.owner.Close()
			crashed := time.Now()
			o := r.newOwner("b")
			if !gone {
				time.Sleep(2500 * time.Millisecond)
				entry := w.restart(0)
				time.Sleep(1500 * time.Millisecond)
				w.listAsRunning(entry)
				w.relistWorker(o, entry)
			}
			r.Eventually(func() int { return r.fleet.SubtaskRuns(subtask("s1", 0, 0)) }, 10*time.Second, 10*time.Millisecond).Should(Equal(1))
			r.Expect(time.Since(crashed)).To(BeNumerically("<", 6500*time.Millisecond))
			r.eventually(o, "s1", tw.SubmissionSucceeded, time.Minute)
		})
	}
}

// TestStartCountsAsOneCrash guards against work that is given up because one start of it was counted as the crash of several
// incarnations of its worker.
func TestStartCountsAsOneCrash(t *testing.T) {
	runCase(t, "restarts twice before it is told not to start it", 1, func(r *rig) {
		r.setStartTimes()
		orders := newFaultyOrders(r, "s1", orderFault{reset: true}, orderFault{lost: true})
		o := r.newOwnerWith("a", r.kv, orders)
		time.Sleep(ownerAge)
		r.submit(o, longSubtasks("s1", 1))
		for range 3 {
			time.Sleep(1200 * time.Millisecond)
			r.relistWorker(o, r.restart(0))
		}
		time.Sleep(100 * time.Millisecond)
		suspected := r.metricSet.GetOrCreateCounter(fmt.Sprintf("tamarind_runs_suspected_total{pool=%q}", string(pool))).Get()
		r.Expect(suspected).To(Equal(uint64(1)))
		orders.heal()
		r.eventually(o, "s1", tw.SubmissionSucceeded, time.Minute)
	})
}
