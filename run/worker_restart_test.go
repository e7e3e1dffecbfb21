package run_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/run"
)

// startTimeNow returns a start time for a worker that starts now.
func startTimeNow() tw.WorkerStartTime { return tw.WorkerStartTime(time.Now().UnixMilli()) }

// setStartTimes sets a start time on all workers.
func (r *rig) setStartTimes() {
	for id, entry := range r.list {
		entry.StartTime = startTimeNow()
		r.list[id] = entry
		r.fleet.UpdateWorker(id, func(w *standin.SimWorker) { w.Entry.StartTime = entry.StartTime })
	}
}

// restart starts a worker again under its ID. The caller publishes the returned entry.
func (r *rig) restart(n int) tw.WorkerEntry {
	time.Sleep(5 * time.Millisecond) // start times are in milliseconds and must differ
	return r.fleet.Restart(workerID(n), startTimeNow())
}

// restartWithClock is restart, after the time that a machine needs for it and with a clock that may have
// been set back, if the soak has such clocks.
func (s *soak) restartWithClock(n int) tw.WorkerEntry {
	if s.clockRand == nil {
		return s.restart(n)
	}
	s.fleet.Kill(workerID(n))
	time.Sleep(time.Second)
	startTime := startTimeNow()
	if s.clockRand.IntN(2) == 0 {
		startTime -= tw.WorkerStartTime(1 + s.clockRand.IntN(60_000))
	}
	return s.fleet.Restart(workerID(n), startTime)
}

func (r *rig) relistWorker(o *run.Owner, entry tw.WorkerEntry) {
	r.list[entry.ID] = entry
	r.publishWorkers(o)
}

// restartCases restart workers under the ID and the address that they had, in a pool of two. A
// restarted worker numbers its ends from one again. An owner that ignored the start time took
// them for ends that it had already seen, and its acknowledgements up to the old sequence numbers
// covered new ends that it had not handled.
var restartCases = map[string]func(r *rig, o *run.Owner){
	"restarts the runs of the previous incarnation": func(r *rig, o *run.Owner) {
		r.submit(o, submission("s1", 8))
		time.Sleep(300 * time.Millisecond)
		r.relistWorker(o, r.restart(0))
		r.eventually(o, "s1", tw.SubmissionSucceeded, 6*time.Second)
	},
	"handles ends of the new incarnation, which numbers them from one": func(r *rig, o *run.Owner) {
		for n := range 5 {
			r.submit(o, submission(fmt.Sprintf("a%d", n), 8))
			time.Sleep(1200 * time.Millisecond)
		}
		r.restart(0)
		r.restart(1)
		r.submit(o, submission("s1", 8))
		r.eventually(o, "s1", tw.SubmissionSucceeded, 8*time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(48))
	},
	"notices a restart before the entry of the worker is updated": func(r *rig, o *run.Owner) {
		r.submit(o, submission("s1", 8))
		time.Sleep(300 * time.Millisecond)
		r.restart(0)
		r.eventually(o, "s1", tw.SubmissionSucceeded, 8*time.Second)
	},
	"ignores a late entry of the previous incarnation": func(r *rig, o *run.Owner) {
		previous := r.list[workerID(0)]
		r.submit(o, submission("s1", 8))
		time.Sleep(300 * time.Millisecond)
		r.relistWorker(o, r.restart(0))
		time.Sleep(300 * time.Millisecond)
		for range 20 {
			r.relistWorker(o, previous)
			time.Sleep(100 * time.Millisecond)
		}
		r.eventually(o, "s1", tw.SubmissionSucceeded, 6*time.Second)
		r.Expect(r.fleet.Starts()).To(BeNumerically("<=", 12))
	},
	"uses a machine that was down as soon as it is back": func(r *rig, o *run.Owner) {
		entry := r.list[workerID(0)]
		r.fleet.Kill(entry.ID)
		r.cloud.Add(tw.Machine{ID: entry.Instance, Pool: pool, State: tw.MachineDown})
		r.submit(o, submission("s1", 8))
		time.Sleep(2 * time.Second)
		next := r.restart(0)
		r.listAsRunning(next)
		r.relistWorker(o, next)
		r.submit(o, submission("s2", 8))
		r.Eventually(func() int {
			n := 0
			for index := range 8 {
				n += len(r.fleet.RunningOn(subtask("s2", 0, index)))
			}
			return n
		}, 1500*time.Millisecond, 20*time.Millisecond).Should(Equal(8))
	},
	"completes a subtask whose start the previous incarnation did not answer": func(r *rig, o *run.Owner) {
		r.fleet.UpdateWorker(workerID(0), func(w *standin.SimWorker) { w.LateStarts = 4 })
		r.submit(o, submission("s1", 8))
		time.Sleep(20 * time.Millisecond)
		r.relistWorker(o, r.restart(0))
		r.fleet.DeliverLateStarts()
		r.eventually(o, "s1", tw.SubmissionSucceeded, 8*time.Second)
	},
	"is told to refuse copies of starts that reach it late": func(r *rig, o *run.Owner) {
		r.fleet.SetLostOrders(standin.LostOrders{
			Share: 0.4, Fate: standin.OrderLate, MinDelay: 4 * time.Second, MaxDelay: 5 * time.Second, AcrossRestarts: true,
			Rand: rand.New(rand.NewPCG(1, 2)),
		})
		for n := range 5 {
			r.submit(o, submission(fmt.Sprintf("a%d", n), 4))
			time.Sleep(400 * time.Millisecond)
		}
		r.fleet.SetLostOrders(standin.LostOrders{})
		for n := range 5 {
			r.eventually(o, tw.SubmissionID(fmt.Sprintf("a%d", n)), tw.SubmissionSucceeded, 3*time.Second)
		}
		before := r.fleet.Starts()
		r.relistWorker(o, r.restart(0))
		r.relistWorker(o, r.restart(1))
		time.Sleep(6 * time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(before))
	},
	"completes work despite repeated restarts": func(r *rig, o *run.Owner) {
		r.submit(o, submission("s1", 4, 4))
		for range 6 {
			r.restart(0)
			time.Sleep(150 * time.Millisecond)
			r.relistWorker(o, r.restart(1))
			time.Sleep(250 * time.Millisecond)
		}
		r.eventually(o, "s1", tw.SubmissionSucceeded, 8*time.Second)
	},
	"completes work under a new owner that never saw the previous incarnation": func(r *rig, o *run.Owner) {
		r.submit(o, submission("s1", 8))
		time.Sleep(300 * time.Millisecond)
		o.Close()
		r.restart(0)
		next := r.newOwner("b")
		r.eventually(next, "s1", tw.SubmissionSucceeded, 20*time.Second)
	},
}

func TestWorkerRestart(t *testing.T) { runOwnerCases(t, 2, (*rig).setStartTimes, restartCases) }

// restartSeeds is the number of seeds of TestBornSoak.
const restartSeeds = 40

// restartRegressions are seeds that failed before, with the cause.
var restartRegressions = map[uint64]string{
	361: "an answer of the new incarnation, whose clock was 0.8 s behind, was attributed to the previous one",
}

// TestBornSoak runs the plain soak while workers restart under their IDs. Their entries are
// published at once, late, or after those of later incarnations.
func TestBornSoak(t *testing.T) {
	t.Parallel()
	seeds := slices.Collect(maps.Keys(restartRegressions))
	for seed := range uint64(restartSeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		runSoak(t, seed, func(s *soak) {
			s.setStartTimes()
			for n := range soakMachines {
				s.workersByMachine[n] = []tw.WorkerEntry{s.list[workerID(n)]}
			}
			s.restartRand, s.actions, s.mayGiveUp = rand.New(rand.NewPCG(seed, 9)), 90, true
		})
	}
}

// actOnRestarts restarts a worker at times, and then at times publishes the entry of its current or
// an earlier incarnation.
func (s *soak) actOnRestarts() {
	n := s.restartRand.IntN(soakMachines)
	if s.restartRand.IntN(2) == 0 && s.list[workerID(n)].ID != "" {
		s.workersByMachine[n] = append(s.workersByMachine[n], s.restartWithClock(n))
		s.listAsRunning(s.currentWorker(n))
	}
	entry := s.workersByMachine[n][len(s.workersByMachine[n])-1]
	switch s.restartRand.IntN(4) {
	case 0:
		entry = s.workersByMachine[n][s.restartRand.IntN(len(s.workersByMachine[n]))]
	case 1:
		return
	}
	if s.list[entry.ID].ID != "" {
		s.relistWorker(s.owner, entry)
	}
}
