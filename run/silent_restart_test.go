package run_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

// TestRestartThatIsNeverSeen guards against a subtask that runs twice, as a worker restarts under its ID, is cut off
// before its next incarnation has answered, and carries out a start late. What it is granted then lasts longer than
// what the previous incarnation was granted when the order was sent.
func TestRestartThatIsNeverSeen(t *testing.T) {
	for name, late := range map[string]time.Duration{"late by 2 s": 2 * time.Second, "late by 6 s": 6 * time.Second} {
		runCase(t, name, 1, func(r *rig) {
			w := r.crashAfterOrder(late)
			time.Sleep(500 * time.Millisecond)
			r.restart(0)
			r.fleet.UpdateWorker(w.entry.ID, func(w *standin.SimWorker) { w.Silent = true })
			time.AfterFunc(20*time.Second, func() {
				r.fleet.UpdateWorker(w.entry.ID, func(w *standin.SimWorker) { w.Silent = false })
			})
			r.eventually(w.owner, "s1", tw.SubmissionSucceeded, time.Minute)
		})
	}
}

// TestLateStartAfterARestartThatWasSeen guards against a subtask that runs twice, as a worker is cut off once its next
// incarnation has answered, before it can be told what not to start: an order to the previous incarnation may be
// carried out until maxOrderDelay after it was sent, and its grant counts from then.
func TestLateStartAfterARestartThatWasSeen(t *testing.T) {
	runCase(t, "cut off at the first answer", 1, func(r *rig) {
		r.setStartTimes()
		orders := &partitionAfterRestart{
			faultyOrders: newFaultyOrders(r, "s1", orderFault{lost: true, late: 4 * time.Second}, orderFault{}),
			length:       20 * time.Second, known: map[tw.WorkerID]tw.WorkerStartTime{},
		}
		o := r.newOwnerWith("a", r.kv, orders)
		time.Sleep(ownerAge)
		r.submit(o, longSubtasks("s1", 1))
		<-orders.sent
		r.restart(0)
		orders.heal()
		r.addWorker(1)
		r.setStartTime(1)
		r.publishWorkers(o)
		r.eventually(o, "s1", tw.SubmissionSucceeded, time.Minute)
	})
}

// TestSuccessorWaitsForALateStart is TestSuccessorWaitsForAWorkerThatMayComeBack with a worker that carries out the
// order before the successor has called its next incarnation, which would refuse it then.
func TestSuccessorWaitsForALateStart(t *testing.T) {
	runCase(t, "carried out as soon as it is back", 1, func(r *rig) {
		w := r.crashAfterOrder(2550 * time.Millisecond)
		w.listAsDown()
		w.owner.Close()
		o := r.newOwner("b")
		time.Sleep(2500 * time.Millisecond)
		entry := w.restart(0)
		time.Sleep(1500 * time.Millisecond)
		w.listAsRunning(entry)
		w.relistWorker(o, entry)
		r.eventually(o, "s1", tw.SubmissionSucceeded, time.Minute)
		r.Expect(r.fleet.Starts()).To(Equal(1))
	})
}

// TestDoubtEndsWithoutAnEntry guards against work that waits for a worker that is not listed any more: it is not asked
// again, so that nothing but the time ends the wait.
func TestDoubtEndsWithoutAnEntry(t *testing.T) {
	for name, replaced := range map[string]bool{"same owner": false, "next owner": true} {
		runCase(t, name, 1, func(r *rig) {
			w := r.crashAfterOrder(25 * time.Second)
			w.listAsDown()
			crashed := time.Now()
			if replaced {
				w.owner.Close()
				w.owner = r.newOwner("b")
				time.Sleep(time.Second)
			}
			delete(w.list, w.entry.ID)
			w.publishWorkers(w.owner)
			r.Eventually(func() int { return r.fleet.SubtaskRuns(subtask("s1", 0, 0)) }, time.Minute, 10*time.Millisecond).Should(Equal(1))
			r.Expect(time.Since(crashed)).To(BeNumerically("<", 6500*time.Millisecond))
			r.eventually(w.owner, "s1", tw.SubmissionSucceeded, time.Minute)
		})
	}
}

// TestUsageInDoubtCountsAgainstCaps guards against a usage cap that is exceeded, as a successor starts other work of the
// organisation while it waits for a worker that may come back with an order of the previous owner.
func TestUsageInDoubtCountsAgainstCaps(t *testing.T) {
	runCase(t, "of the previous owner", 1, func(r *rig) {
		limit := tw.Resources{CPU: 1000} // one subtask
		r.queueConfig = &tw.QueueConfig{
			Version: 1, Organisations: []tw.Organisation{{ID: "red", UsageCap: limit}}, Pools: []tw.QueuePool{{ID: pool}},
		}
		r.fleet.SetCap("red", limit)
		r.setStartTimes()
		orders := newFaultyOrders(r, "s1", orderFault{lost: true, late: 2550 * time.Millisecond}, orderFault{})
		w := &returningWorker{rig: r, owner: r.newOwnerWith("a", r.kv, orders), entry: r.list[workerID(0)]}
		time.Sleep(ownerAge)
		s1, s2 := longSubtasks("s1", 1), longSubtasks("s2", 1)
		s1.Organisation, s2.Organisation = "red", "red"
		r.submit(w.owner, s1)
		<-orders.sent
		r.fleet.Kill(w.entry.ID)
		r.addWorker(1)
		r.setStartTime(1)
		w.listAsDown()
		w.owner.Close()
		w.owner = r.newOwner("b")
		r.submit(w.owner, s2)
		time.Sleep(2500 * time.Millisecond)
		next := w.restart(0)
		time.Sleep(1500 * time.Millisecond)
		w.listAsRunning(next)
		w.relistWorker(w.owner, next)
		time.Sleep(time.Second)
	})
}

// TestDoubtEndsWhenTheWorkerIsBack guards against a run that is given up although it goes on: the wait for its worker
// ends when that one is back, also if it is cut off soon after.
func TestDoubtEndsWhenTheWorkerIsBack(t *testing.T) {
	runCase(t, "cut off after its first answers", 1, func(r *rig) {
		w := r.crashAfterOrder(2550 * time.Millisecond)
		w.listAsDown()
		time.Sleep(2500 * time.Millisecond)
		entry := w.restart(0)
		w.listAsRunning(entry)
		time.Sleep(time.Second)
		r.fleet.UpdateWorker(entry.ID, func(w *standin.SimWorker) { w.Silent = true })
		time.AfterFunc(4*time.Second, func() { r.fleet.UpdateWorker(entry.ID, func(w *standin.SimWorker) { w.Silent = false }) })
		r.eventually(w.owner, "s1", tw.SubmissionSucceeded, time.Minute)
		r.Expect(r.fleet.Starts()).To(Equal(1))
	})
}

// TestReturningWorkerIsToldAfterTheWait is TestReturningWorkerRefusesLateStart with a worker that stays away for so
// long that its work is started elsewhere, and that is asked, and taken for ended again, several times meanwhile.
func TestReturningWorkerIsToldAfterTheWait(t *testing.T) {
	runCase(t, "taken for ended several times", 1, func(r *rig) {
		w := r.crashAfterOrder(12 * time.Second)
		w.listAsDown()
		time.Sleep(10 * time.Second)
		w.comeBack()
		r.eventually(w.owner, "s1", tw.SubmissionSucceeded, time.Minute)
		time.Sleep(5 * time.Second)
	})
}

// TestReportedRunLapsesWithItsGrant guards against work that waits for long on a worker that is silent: an order that has
// started a run, as a report shows, isn't carried out once more, though it has no answer.
func TestReportedRunLapsesWithItsGrant(t *testing.T) {
	cases := map[string]orderFault{"answered": {}, "answer lost": {lost: true, done: true}, "connection reset": {reset: true, done: true}}
	for name, fault := range cases {
		runCase(t, name, 1, func(r *rig) {
			r.setStartTimes()
			orders := newFaultyOrders(r, "s1", fault, orderFault{})
			o := r.newOwnerWith("a", r.kv, orders)
			time.Sleep(ownerAge)
			r.submit(o, longSubtasks("s1", 1))
			<-orders.sent
			r.addWorker(1)
			r.setStartTime(1)
			r.publishWorkers(o)
			time.Sleep(3 * time.Second)
			r.fleet.UpdateWorker(workerID(0), func(w *standin.SimWorker) { w.Silent = true })
			silent := time.Now()
			r.Eventually(r.fleet.Starts, time.Minute, 10*time.Millisecond).Should(Equal(2))
			r.Expect(time.Since(silent)).To(BeNumerically("<", maxHold+time.Second))
		})
	}
}
