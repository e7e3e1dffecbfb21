package schedule_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

// busyWorker returns a worker without free capacity and the runs that fill it.
func busyWorker(n int, priorities ...int) (*schedule.Worker, []schedule.Run) {
	w := worker(n, 0)
	var runs []schedule.Run
	for i, priority := range priorities {
		runs = append(runs, schedule.Run{
			Subtask: tw.SubtaskID{Submission: tw.SubmissionID(fmt.Sprintf("run%d", n)), Index: i}, Worker: w,
			Reservation: tw.Resources{CPU: 1000, MemoryMB: 100}, Priority: priority, Lost: time.Duration(i+1) * time.Second,
		})
	}
	return w, runs
}

// unplacedGroup returns a waiting group, of priority 0 unless change sets another.
func unplacedGroup(count int, change func(g *schedule.Group)) schedule.Unplaced {
	g := group("waiting", count, nil)
	if change != nil {
		change(g)
	}
	return schedule.Unplaced{Group: g, Missing: count}
}

// preemptCases are a waiting group, the priorities of the runs on two workers, and
// the runs that are stopped, as worker and index.
var preemptCases = map[string]struct {
	unplaced schedule.Unplaced
	runs     [2][]int
	freeing  tw.Millicores
	stopped  []string
}{
	"stops a run of a lower priority":           {unplaced: unplacedGroup(1, nil), runs: [2][]int{{0, 1}, {0}}, stopped: []string{"run0.1"}},
	"stops no run of the same priority":         {unplaced: unplacedGroup(1, nil), runs: [2][]int{{0, 0}, {0}}},
	"stops the lowest priority first":           {unplaced: unplacedGroup(1, nil), runs: [2][]int{{1, 2}, {}}, stopped: []string{"run0.1"}},
	"stops where the least work is lost":        {unplaced: unplacedGroup(1, nil), runs: [2][]int{{0, 1}, {1}}, stopped: []string{"run1.0"}},
	"stops no more than needed":                 {unplaced: unplacedGroup(2, nil), runs: [2][]int{{1, 1, 1}, {1}}, stopped: []string{"run0.0", "run1.0"}},
	"stops several for one subtask":             {unplaced: unplacedGroup(1, func(g *schedule.Group) { g.Step.Need.CPU = 2000 }), runs: [2][]int{{1, 1}, {1}}, stopped: []string{"run0.0", "run0.1"}},
	"counts runs that are being stopped":        {unplaced: unplacedGroup(1, nil), runs: [2][]int{{1}, {1}}, freeing: 1000},
	"stops nothing for late work":               {unplaced: unplacedGroup(1, func(g *schedule.Group) { g.Urgency.Grade = schedule.GradeLate }), runs: [2][]int{{1}, {1}}},
	"stops nothing if that is not enough":       {unplaced: unplacedGroup(1, func(g *schedule.Group) { g.Step.Need.CPU = 3000 }), runs: [2][]int{{1, 1}, {1}}},
	"stops nothing for a part of a gang":        {unplaced: unplacedGroup(4, func(g *schedule.Group) { g.Step.Gang = true }), runs: [2][]int{{1, 1}, {1}}},
	"stops nothing where the step must not run": {unplaced: unplacedGroup(1, func(g *schedule.Group) { g.Step.Label = "r9" }), runs: [2][]int{{1}, {1}}},
	"respects the limit per worker":             {unplaced: unplacedGroup(2, func(g *schedule.Group) { g.Step.MaxPerWorker = 1 }), runs: [2][]int{{1, 1}, {0}}, stopped: []string{"run0.0"}},
}

func TestPreempt(t *testing.T) {
	for name, c := range preemptCases {
		t.Run(name, func(t *testing.T) {
			a, runs := busyWorker(0, c.runs[0]...)
			b, more := busyWorker(1, c.runs[1]...)
			a.Freeing.CPU, a.Freeing.MemoryMB = c.freeing, 1000
			var got []string
			for _, r := range schedule.Preempt([]schedule.Unplaced{c.unplaced}, []*schedule.Worker{a, b}, append(runs, more...)) {
				got = append(got, fmt.Sprintf("%s.%d", r.Subtask.Submission, r.Subtask.Index))
			}
			NewWithT(t).Expect(got).To(ConsistOf(c.stopped))
		})
	}
}

// TestPreemptAfterGangWithoutRoom checks that a gang that cannot be placed does not use up the
// runs that later groups may preempt.
func TestPreemptAfterGangWithoutRoom(t *testing.T) {
	a, runs := busyWorker(0, 1, 1)
	gang := unplacedGroup(3, func(g *schedule.Group) {
		g.Step.Gang = true
		g.Urgency.Deadline = base.Add(-time.Second)
	})
	got := schedule.Preempt([]schedule.Unplaced{gang, unplacedGroup(1, nil)}, []*schedule.Worker{a}, runs)
	NewWithT(t).Expect(got).To(HaveLen(1))
}

// TestPreemptKeepsPriorities checks with random groups and runs that each stopped run is less
// urgent than some waiting work, that no run is stopped twice, and that none is stopped if
// nothing waits.
func TestPreemptKeepsPriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []*schedule.Worker
		var runs []schedule.Run
		for n := range rapid.IntRange(1, 4).Draw(t, "workers") {
			w, here := busyWorker(n, rapid.SliceOfN(rapid.IntRange(0, 3), 0, 5).Draw(t, "priorities")...)
			workers, runs = append(workers, w), append(runs, here...)
		}
		var unplaced []schedule.Unplaced
		highest, needed := 9, 0
		for _, g := range drawGroups(t) {
			g.Urgency.Priority = rapid.IntRange(0, 3).Draw(t, "priority")
			highest = min(highest, g.Urgency.Priority)
			needed += len(g.Subtasks)
			unplaced = append(unplaced, schedule.Unplaced{Group: g, Missing: len(g.Subtasks)})
		}
		seen := map[tw.SubtaskID]bool{}
		for _, r := range schedule.Preempt(unplaced, workers, runs) {
			if r.Priority <= highest {
				t.Fatalf("a run of priority %d is stopped for priority %d", r.Priority, highest)
			}
			if seen[r.Subtask] {
				t.Fatalf("%s is stopped twice", r.Subtask)
			}
			seen[r.Subtask] = true
		}
		if len(seen) > 0 && needed == 0 {
			t.Fatal("runs are stopped though nothing waits")
		}
	})
}
