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

// busy is a worker without room and the runs that fill it.
func busy(n int, priorities ...int) (*schedule.Worker, []schedule.Run) {
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

// want is a group that waits, of priority 0 unless change says otherwise.
func want(count int, change func(g *schedule.Group)) schedule.Unplaced {
	g := group("waiting", count, nil)
	if change != nil {
		change(g)
	}
	return schedule.Unplaced{Group: g, Missing: count}
}

// preemptCases are what waits, the priorities of the runs on two workers, and
// which are stopped: worker and index.
var preemptCases = map[string]struct {
	want    schedule.Unplaced
	runs    [2][]int
	freeing tw.Millicores
	stopped []string
}{
	"stops a run of a lower priority":           {want: want(1, nil), runs: [2][]int{{0, 1}, {0}}, stopped: []string{"run0.1"}},
	"stops no run of the same priority":         {want: want(1, nil), runs: [2][]int{{0, 0}, {0}}},
	"stops the lowest priority first":           {want: want(1, nil), runs: [2][]int{{1, 2}, {}}, stopped: []string{"run0.1"}},
	"stops where the least is lost":             {want: want(1, nil), runs: [2][]int{{0, 1}, {1}}, stopped: []string{"run1.0"}},
	"stops no more than it needs":               {want: want(2, nil), runs: [2][]int{{1, 1, 1}, {1}}, stopped: []string{"run0.0", "run1.0"}},
	"stops several for one subtask":             {want: want(1, func(g *schedule.Group) { g.Step.Need.CPU = 2000 }), runs: [2][]int{{1, 1}, {1}}, stopped: []string{"run0.0", "run0.1"}},
	"counts what is being stopped already":      {want: want(1, nil), runs: [2][]int{{1}, {1}}, freeing: 1000},
	"stops nothing for work that is late":       {want: want(1, func(g *schedule.Group) { g.Urgency.Grade = schedule.GradeLate }), runs: [2][]int{{1}, {1}}},
	"stops nothing if it is not enough":         {want: want(1, func(g *schedule.Group) { g.Step.Need.CPU = 3000 }), runs: [2][]int{{1, 1}, {1}}},
	"stops nothing for a part of a gang":        {want: want(4, func(g *schedule.Group) { g.Step.Gang = true }), runs: [2][]int{{1, 1}, {1}}},
	"stops nothing where the step must not run": {want: want(1, func(g *schedule.Group) { g.Step.Label = "r9" }), runs: [2][]int{{1}, {1}}},
	"keeps to the bound on one worker":          {want: want(2, func(g *schedule.Group) { g.Step.MaxPerWorker = 1 }), runs: [2][]int{{1, 1}, {0}}, stopped: []string{"run0.0"}},
}

func TestPreempt(t *testing.T) {
	for name, c := range preemptCases {
		t.Run(name, func(t *testing.T) {
			a, runs := busy(0, c.runs[0]...)
			b, more := busy(1, c.runs[1]...)
			a.Freeing.CPU, a.Freeing.MemoryMB = c.freeing, 1000
			var got []string
			for _, r := range schedule.Preempt([]schedule.Unplaced{c.want}, []*schedule.Worker{a, b}, append(runs, more...)) {
				got = append(got, fmt.Sprintf("%s.%d", r.Subtask.Submission, r.Subtask.Index))
			}
			NewWithT(t).Expect(got).To(ConsistOf(c.stopped))
		})
	}
}

// A gang that finds no room leaves the runs to the groups behind it.
func TestPreemptAfterGangWithoutRoom(t *testing.T) {
	a, runs := busy(0, 1, 1)
	gang := want(3, func(g *schedule.Group) {
		g.Step.Gang = true
		g.Urgency.Deadline = base.Add(-time.Second)
	})
	got := schedule.Preempt([]schedule.Unplaced{gang, want(1, nil)}, []*schedule.Worker{a}, runs)
	NewWithT(t).Expect(got).To(HaveLen(1))
}

// Whatever waits and runs: no run is stopped that is at least as urgent as all
// that waits, none twice, and none if nothing waits.
func TestPreemptKeepsPriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []*schedule.Worker
		var runs []schedule.Run
		for n := range rapid.IntRange(1, 4).Draw(t, "workers") {
			w, here := busy(n, rapid.SliceOfN(rapid.IntRange(0, 3), 0, 5).Draw(t, "priorities")...)
			workers, runs = append(workers, w), append(runs, here...)
		}
		var wants []schedule.Unplaced
		highest, needed := 9, 0
		for _, g := range drawGroups(t) {
			g.Urgency.Priority = rapid.IntRange(0, 3).Draw(t, "priority")
			highest = min(highest, g.Urgency.Priority)
			needed += len(g.Subtasks)
			wants = append(wants, schedule.Unplaced{Group: g, Missing: len(g.Subtasks)})
		}
		seen := map[tw.SubtaskID]bool{}
		for _, r := range schedule.Preempt(wants, workers, runs) {
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
