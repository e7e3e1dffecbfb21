package run_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// startTimesOrNone prepares workers with and without start times.
var startTimesOrNone = map[string]func(r *rig){
	"workers with start times":    (*rig).setStartTimes,
	"workers without start times": func(*rig) {},
}

// TestNewOwnerAsksWorkerAtItsOwnAddress guards against a living worker that a new owner takes for
// ended for good because its first entry named the address of another worker, which refused the poll:
// the runs of a cancelled submission went on there.
func TestNewOwnerAsksWorkerAtItsOwnAddress(t *testing.T) {
	for name, prepare := range startTimesOrNone {
		runCase(t, name, 2, func(r *rig) {
			prepare(r)
			a := r.newOwner("a")
			time.Sleep(takeoverSettleTime)
			s := submission("s1", 8)
			s.Steps[0].Estimate = 15 * time.Second
			r.submit(a, s)
			time.Sleep(time.Second)
			own := r.list[workerID(0)]
			foreign := own
			foreign.Address = r.list[workerID(1)].Address
			a.Close()
			r.list[own.ID] = foreign
			b := r.newOwner("b")
			time.Sleep(200 * time.Millisecond)
			r.relistWorker(b, own)
			time.Sleep(500 * time.Millisecond)
			r.Expect(b.Cancel(r.ctx, "", "s1")).To(Succeed())
			r.fleet.NoteCancelled("s1")
			time.Sleep(4 * time.Second)
			r.Expect(r.fleet.SubmissionRuns("s1")).To(BeZero())
			r.expectUsed(b, own.ID)
		})
	}
}

// TestRefusalAtAClaimedAddressEndsNoWorker guards against a silent worker that is taken for ended
// because another worker refuses the orders at the address that a foreign entry names.
func TestRefusalAtAClaimedAddressEndsNoWorker(t *testing.T) {
	for name, prepare := range startTimesOrNone {
		runCase(t, name, 2, func(r *rig) {
			prepare(r)
			o := r.newOwner("a")
			time.Sleep(takeoverSettleTime)
			s := submission("s1", 8)
			s.Steps[0].Estimate = 10 * time.Second
			r.submit(o, s)
			time.Sleep(time.Second)
			own := r.list[workerID(0)]
			foreign := own
			foreign.Address = r.list[workerID(1)].Address
			r.fleet.UpdateWorker(own.ID, func(w *standin.SimWorker) { w.Silent = true })
			r.relistWorker(o, foreign)
			time.Sleep(2 * time.Second)
			r.fleet.UpdateWorker(own.ID, func(w *standin.SimWorker) { w.Silent = false })
			r.relistWorker(o, own)
			r.eventually(o, "s1", tw.SubmissionSucceeded, 15*time.Second)
			r.Expect(r.fleet.Starts()).To(Equal(8))
		})
	}
}

// TestNextIncarnationAtAnotherAddressIsUsed guards against a worker that started again at another
// address and is not asked, as the worker that has its former address now refuses the orders.
func TestNextIncarnationAtAnotherAddressIsUsed(t *testing.T) {
	runCase(t, "its former address has another worker", 3, func(r *rig) {
		r.setStartTimes()
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		former := r.list[workerID(0)]
		r.fleet.Kill(workerID(1))
		delete(r.list, workerID(1))
		r.publishWorkers(o)
		time.Sleep(2 * time.Second)
		next := r.restart(0)
		next.Address = "10.0.0.50:1"
		r.fleet.Add(next)
		other := r.fleetEntry(1)
		other.Address, other.StartTime = former.Address, startTimeNow()
		r.fleet.Add(other)
		r.relistWorker(o, next) // the other worker is not listed yet
		time.Sleep(2 * time.Second)
		r.expectUsed(o, next.ID)
	})
}

// TestOldNoticeBeforeTheFirstAnswer guards against a worker that is given up because a notice that its
// previous incarnation went with a move of its machine comes before the first answer of the next one.
func TestOldNoticeBeforeTheFirstAnswer(t *testing.T) {
	runCase(t, "listed again just before the notice", 2, func(r *rig) {
		r.setStartTimes()
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		id := workerID(0)
		r.fleet.Kill(id)
		movedAt := time.Now()
		notify := func() {
			_, err := o.Report(r.ctx, run.Directions{Gone: []tw.WorkerID{id}, GoneFor: []time.Duration{time.Since(movedAt)}})
			r.Expect(err).NotTo(HaveOccurred())
		}
		notify()
		time.Sleep(3 * time.Second)
		r.relistWorker(o, r.restart(0))
		notify()
		time.Sleep(500 * time.Millisecond)
		r.expectUsed(o, id)
	})
	runCase(t, "to a new owner, as the worker does not answer for a moment", 2, func(r *rig) {
		r.setStartTimes()
		a := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		id := workerID(0)
		r.fleet.Kill(id)
		movedAt := time.Now()
		notice := func() run.Directions {
			return run.Directions{Gone: []tw.WorkerID{id}, GoneFor: []time.Duration{time.Since(movedAt)}}
		}
		_, err := a.Report(r.ctx, notice())
		r.Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second)
		r.relistWorker(a, r.restart(0))
		time.Sleep(100 * time.Millisecond)
		s := submission("s1", 8)
		s.Steps[0].Estimate = 15 * time.Second
		r.submit(a, s)
		time.Sleep(500 * time.Millisecond)
		r.Expect(r.fleet.Starts()).To(Equal(8))
		r.fleet.UpdateWorker(id, func(w *standin.SimWorker) { w.Silent = true })
		a.Close()
		b := r.newOwner("b")
		time.Sleep(100 * time.Millisecond)
		_, err = b.Report(r.ctx, notice())
		r.Expect(err).NotTo(HaveOccurred())
		r.fleet.UpdateWorker(id, func(w *standin.SimWorker) { w.Silent = false })
		time.Sleep(100 * time.Millisecond)
		r.Expect(b.Cancel(r.ctx, "", "s1")).To(Succeed())
		r.fleet.NoteCancelled("s1")
		time.Sleep(4 * time.Second)
		r.Expect(r.fleet.SubmissionRuns("s1")).To(BeZero())
	})
}

// TestForeignMachineEndsNoSilentWorker guards against a worker that is taken for ended because a
// foreign entry names the machine of another worker and the worker does not answer for a moment. The
// list of machines names it on its own machine all the time.
func TestForeignMachineEndsNoSilentWorker(t *testing.T) {
	for name, prepare := range startTimesOrNone {
		runCase(t, "its runs are not started again, "+name, 3, func(r *rig) {
			prepare(r)
			o, own := r.silentWorkerWithForeignMachine()
			r.relistWorker(o, r.fleetEntry(2))
			time.Sleep(1200 * time.Millisecond)
			r.relistWorker(o, own)
			r.fleet.UpdateWorker(own.ID, func(w *standin.SimWorker) { w.Silent = false })
			for _, id := range []tw.SubmissionID{"cancelled", "kept"} {
				r.eventually(o, id, tw.SubmissionSucceeded, 15*time.Second)
			}
			r.Expect(r.fleet.Starts()).To(Equal(8))
		})
		runCase(t, "its runs are stopped after a cancel, "+name, 3, func(r *rig) {
			prepare(r)
			o, own := r.silentWorkerWithForeignMachine()
			time.Sleep(1200 * time.Millisecond)
			r.Expect(o.Cancel(r.ctx, "", "cancelled")).To(Succeed())
			r.fleet.NoteCancelled("cancelled")
			r.fleet.UpdateWorker(own.ID, func(w *standin.SimWorker) { w.Silent = false })
			r.relistWorker(o, own)
			time.Sleep(4 * time.Second)
			r.Expect(r.fleet.SubmissionRuns("cancelled")).To(BeZero())
		})
	}
}

// silentWorkerWithForeignMachine runs two submissions on two workers. Then one does not answer, and a
// foreign entry of it names the machine of the other.
func (r *rig) silentWorkerWithForeignMachine() (o *run.Owner, own tw.WorkerEntry) {
	o = r.newOwner("a")
	time.Sleep(takeoverSettleTime)
	for n := range 3 {
		r.listAsRunning(r.list[workerID(n)])
	}
	r.withdrawWorker(o, 2)
	for _, id := range []string{"cancelled", "kept"} {
		s := submission(id, 4)
		s.Steps[0].MaxPerWorker = 2
		s.Steps[0].Estimate = 12 * time.Second
		r.submit(o, s)
	}
	time.Sleep(time.Second)
	r.Expect(r.fleet.Starts()).To(Equal(8))
	own = r.list[workerID(0)]
	foreign := own
	foreign.Instance = r.list[workerID(1)].Instance
	r.fleet.UpdateWorker(own.ID, func(w *standin.SimWorker) { w.Silent = true })
	r.relistWorker(o, foreign)
	time.Sleep(300 * time.Millisecond)
	return o, own
}

// TestChangingForeignEntryKeepsRuns guards against runs that lapse on a worker that answers, because
// each of many foreign entries in a row cancels the poll that would have extended their time.
func TestChangingForeignEntryKeepsRuns(t *testing.T) {
	runCase(t, "answers take longer than the time between two entries", 0, func(r *rig) {
		r.fleet = standin.FleetConfig{Latency: 300 * time.Millisecond, MaxHold: maxHold, StopTime: stopTime}.New()
		r.addWorker(0)
		r.addWorker(1)
		r.setStartTimes()
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		s := submission("s1", 8)
		s.Steps[0].Estimate = 12 * time.Second
		r.submit(o, s)
		time.Sleep(2 * time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(8))
		own := r.list[workerID(0)]
		foreign := own
		for range 40 {
			foreign.StartTime += 10
			r.relistWorker(o, foreign)
			time.Sleep(250 * time.Millisecond)
		}
		r.relistWorker(o, own)
		r.eventually(o, "s1", tw.SubmissionSucceeded, 15*time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(8))
	})
}

// TestRestartIsNoticedBeforeItsEntry guards against a worker that is refused for good because it started
// again with a clock behind that of its previous incarnation, where only its answers tell.
func TestRestartIsNoticedBeforeItsEntry(t *testing.T) {
	for name, shift := range setBackClocks {
		runCase(t, name, 2, func(r *rig) {
			r.setStartTimes()
			o := r.newOwner("a")
			time.Sleep(takeoverSettleTime)
			r.submit(o, submission("s1", 8))
			time.Sleep(300 * time.Millisecond)
			entry := r.list[workerID(0)]
			r.fleet.Restart(entry.ID, entry.StartTime+shift)
			r.eventually(o, "s1", tw.SubmissionSucceeded, 4*time.Second)
			r.expectUsed(o, entry.ID)
		})
	}
}

// TestForeignPoolKeepsOwnership guards against an owner that loses its pool, and runs that are stopped,
// because a foreign entry lists one of its workers in another pool, whose owner has a higher fence.
func TestForeignPoolKeepsOwnership(t *testing.T) {
	runCase(t, "listed in another pool for a moment", 2, func(r *rig) {
		other := r.newOwnerOf("other", "b", 5)
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		s := submission("s1", 8)
		s.Steps[0].Estimate = 5 * time.Second
		r.submit(o, s)
		time.Sleep(time.Second)
		own := r.list[workerID(0)]
		foreign := own
		foreign.Pool = "other"
		delete(r.list, own.ID)
		r.publishWorkers(o)
		other.SetWorkers(r.ctx, run.WorkerList{
			Workers: map[tw.WorkerID]tw.WorkerEntry{foreign.ID: foreign}, StoreReachableSince: time.Now().Add(-time.Minute),
		})
		time.Sleep(200 * time.Millisecond)
		other.SetWorkers(r.ctx, run.WorkerList{StoreReachableSince: time.Now().Add(-time.Minute)})
		r.relistWorker(o, own)
		time.Sleep(time.Second)
		_, err := o.State(r.ctx, "", "s1")
		r.Expect(err).NotTo(HaveOccurred())
		r.eventually(o, "s1", tw.SubmissionSucceeded, 6*time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(8))
	})
}

// TestWorkerOfAnotherPoolIsUsedOnceItRunsHere guards against a worker that is left alone for good because
// the list of machines named it in another pool when it was first listed.
func TestWorkerOfAnotherPoolIsUsedOnceItRunsHere(t *testing.T) {
	runCase(t, "its machine was moved", 2, func(r *rig) {
		moved := r.list[workerID(0)]
		machine := tw.Machine{ID: moved.Instance, Pool: "other", State: tw.MachineUp, Worker: moved.ID, Capacity: moved.Capacity, Labels: moved.Labels}
		delete(r.list, moved.ID)
		r.cloud.Add(machine)
		o := r.newOwner("a")
		time.Sleep(takeoverSettleTime)
		r.relistWorker(o, moved)
		time.Sleep(time.Second)
		r.Expect(r.knownWorkers(o)).NotTo(ContainElement(moved.ID))
		machine.Pool = pool
		r.cloud.Add(machine)
		time.Sleep(time.Second)
		r.expectUsed(o, moved.ID)
	})
}

// newOwnerOf makes a daemon the owner of a pool without workers, with a given fence.
func (r *rig) newOwnerOf(pool tw.PoolID, daemon tw.DaemonID, fence tw.FencingToken) *run.Owner {
	for {
		r.ownersOpened++
		self := ledger.Owner{Pool: pool, Daemon: daemon, Address: "10.1.0.2:1", Incarnation: tw.Incarnation(r.ownersOpened)}
		book, err := ledger.Config{KV: r.kv, Clock: tw.SystemClock{}, Log: testLog(r.t), Owner: self}.Open(r.ctx)
		r.Expect(err).NotTo(HaveOccurred())
		if book.Fence() < fence {
			continue
		}
		loaded, err := book.Load(r.ctx)
		r.Expect(err).NotTo(HaveOccurred())
		self.Fence = book.Fence()
		o := run.Config{
			Book: book, Loaded: loaded, Self: self, KV: r.kv, Orders: r.fleet, Advisor: noAdvisor{}, MachineCache: r.machineCache, RefreshWorkers: func() {},
			Clock: tw.SystemClock{}, Log: testLog(r.t), Metrics: agecheck.Metrics(r.t), Evacuations: r.evacuations.Load,
			QueueConfig: func() *tw.QueueConfig { return nil }, Bounds: run.Bounds{MaxHold: maxHold, StopTime: stopTime, KeepEnded: 2 * time.Minute},
		}.New()
		r.opened = append(r.opened, o)
		return o
	}
}
