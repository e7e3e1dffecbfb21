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

var base = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func worker(n int, cpu tw.Millicores) *schedule.Worker {
	return &schedule.Worker{
		ID: tw.WorkerID(fmt.Sprintf("w%d", n)), Rank: n, Rack: tw.RackLabel(fmt.Sprintf("r%d", n/2)),
		Labels: []string{"a", fmt.Sprintf("r%d", n/2)}, Free: tw.Resources{CPU: cpu, MemoryMB: 32000},
		Attainable: tw.Resources{CPU: 16000, MemoryMB: 32000},
	}
}

func inHall(hall tw.HallID, w *schedule.Worker) *schedule.Worker {
	w.Hall = hall
	return w
}

func group(id string, count int, change func(s *tw.Step)) *schedule.Group {
	step := &tw.Step{Count: count, Need: tw.Resources{CPU: 1000, MemoryMB: 100}}
	if change != nil {
		change(step)
	}
	g := &schedule.Group{Step: step, Urgency: schedule.Urgency{Grade: schedule.GradeOnTime, Deadline: base}}
	for n := range count {
		g.Subtasks = append(g.Subtasks, tw.SubtaskID{Submission: tw.SubmissionID(id), Index: n})
	}
	return g
}

// placeCases are groups and workers, with the number of subtasks placed on each worker.
var placeCases = map[string]struct {
	groups  []*schedule.Group
	workers []*schedule.Worker
	want    map[tw.WorkerID]int
}{
	"fills the lowest rank first": {
		groups:  []*schedule.Group{group("a", 5, nil)},
		workers: []*schedule.Worker{worker(1, 4000), worker(0, 4000)},
		want:    map[tw.WorkerID]int{"w0": 4, "w1": 1},
	},
	"continues with smaller steps after one that does not fit": {
		groups: []*schedule.Group{
			group("a", 2, func(s *tw.Step) { s.Need.CPU = 3000 }),
			group("b", 1, func(s *tw.Step) { s.Need.CPU = 3000 }),
			group("c", 3, nil),
		},
		workers: []*schedule.Worker{worker(0, 4000), worker(1, 2000)},
		want:    map[tw.WorkerID]int{"w0": 2, "w1": 2},
	},
	"continues with other steps after one that lacks a label": {
		groups: []*schedule.Group{
			group("a", 1, func(s *tw.Step) { s.Label = "b" }),
			group("b", 2, nil),
		},
		workers: []*schedule.Worker{worker(0, 4000)},
		want:    map[tw.WorkerID]int{"w0": 2},
	},
	"continues with other steps after one at its limit per worker": {
		groups: []*schedule.Group{
			group("a", 3, func(s *tw.Step) { s.MaxPerWorker = 1 }),
			group("b", 2, nil),
		},
		workers: []*schedule.Worker{worker(0, 4000)},
		want:    map[tw.WorkerID]int{"w0": 3},
	},
	"distributes long-running subtasks": {
		groups:  []*schedule.Group{group("a", 3, func(s *tw.Step) { s.LongRunning = true })},
		workers: []*schedule.Worker{worker(0, 4000), worker(1, 4000), worker(2, 4000)},
		want:    map[tw.WorkerID]int{"w0": 1, "w1": 1, "w2": 1},
	},
	"reserves a worker for a long-running subtask that does not fit": {
		groups: []*schedule.Group{group("a", 4, nil), func() *schedule.Group {
			g := group("b", 1, func(s *tw.Step) { s.LongRunning = true; s.Need.CPU = 3000 })
			g.Urgency.Grade = schedule.GradeLongRunning
			return g
		}()},
		workers: []*schedule.Worker{worker(0, 1000), worker(1, 2000)},
		want:    map[tw.WorkerID]int{"w0": 1},
	},
	"reserves no worker that can never have the room": {
		groups: []*schedule.Group{group("a", 4, nil), func() *schedule.Group {
			g := group("b", 1, func(s *tw.Step) { s.LongRunning = true; s.Need.CPU = 30000 })
			g.Urgency.Grade = schedule.GradeLongRunning
			return g
		}()},
		workers: []*schedule.Worker{worker(0, 1000), worker(1, 2000)},
		want:    map[tw.WorkerID]int{"w0": 1, "w1": 2},
	},
	"respects the limit per worker": {
		groups:  []*schedule.Group{group("a", 5, func(s *tw.Step) { s.MaxPerWorker = 2 })},
		workers: []*schedule.Worker{worker(0, 8000), worker(1, 8000)},
		want:    map[tw.WorkerID]int{"w0": 2, "w1": 2},
	},
	"places a gang completely or not at all": {
		groups:  []*schedule.Group{group("a", 5, func(s *tw.Step) { s.Gang = true }), group("b", 2, nil)},
		workers: []*schedule.Worker{worker(0, 4000)},
		want:    map[tw.WorkerID]int{"w0": 2},
	},
	"keeps a gang in one rack if it fits there": {
		groups:  []*schedule.Group{group("a", 4, func(s *tw.Step) { s.Gang, s.SameRack = true, true })},
		workers: []*schedule.Worker{worker(0, 3000), worker(2, 2000), worker(3, 2000)},
		want:    map[tw.WorkerID]int{"w2": 2, "w3": 2},
	},
	"uses only workers with the label": {
		groups:  []*schedule.Group{group("a", 2, func(s *tw.Step) { s.Label = "r1" })},
		workers: []*schedule.Worker{worker(0, 4000), worker(2, 1000)},
		want:    map[tw.WorkerID]int{"w2": 1},
	},
	"prefers the rack that a step asks for": {
		groups:  []*schedule.Group{group("a", 2, func(s *tw.Step) { s.PreferredRack = "r1" })},
		workers: []*schedule.Worker{worker(0, 4000), worker(2, 4000)},
		want:    map[tw.WorkerID]int{"w2": 2},
	},
	"keeps fillers away from subtasks that serve users": {
		groups: []*schedule.Group{group("a", 1, func(s *tw.Step) { s.Filler = true })},
		workers: []*schedule.Worker{
			func() *schedule.Worker { w := worker(0, 4000); w.Serving = 1; return w }(), worker(1, 4000),
		},
		want: map[tw.WorkerID]int{"w1": 1},
	},
	"places a filler on a worker without free CPU": {
		groups:  []*schedule.Group{group("a", 1, func(s *tw.Step) { s.Filler = true })},
		workers: []*schedule.Worker{worker(0, 0)},
		want:    map[tw.WorkerID]int{"w0": 1},
	},
	"uses suspected workers last": {
		groups: []*schedule.Group{group("a", 2, nil)},
		workers: []*schedule.Worker{
			func() *schedule.Worker { w := worker(0, 4000); w.Suspicion = 1; return w }(), worker(1, 4000),
		},
		want: map[tw.WorkerID]int{"w1": 2},
	},
	"keeps a step in one hall if it fits there": {
		groups:  []*schedule.Group{group("a", 3, nil)},
		workers: []*schedule.Worker{inHall("x", worker(0, 2000)), inHall("y", worker(1, 2000)), inHall("y", worker(2, 2000))},
		want:    map[tw.WorkerID]int{"w1": 2, "w2": 1},
	},
	"spreads a step over halls if it fits into none": {
		groups:  []*schedule.Group{group("a", 5, nil)},
		workers: []*schedule.Worker{inHall("x", worker(0, 3000)), inHall("y", worker(1, 3000))},
		want:    map[tw.WorkerID]int{"w0": 3, "w1": 2},
	},
	"uses no suspected worker just to stay in a hall": {
		groups: []*schedule.Group{group("a", 2, nil)},
		workers: []*schedule.Worker{
			inHall("x", worker(0, 1000)),
			func() *schedule.Worker { w := inHall("x", worker(1, 4000)); w.Suspicion = 1; return w }(),
			inHall("y", worker(2, 1000)),
		},
		want: map[tw.WorkerID]int{"w0": 1, "w2": 1},
	},
	"distributes long-running subtasks over halls": {
		groups:  []*schedule.Group{group("a", 2, func(s *tw.Step) { s.LongRunning = true })},
		workers: []*schedule.Worker{inHall("x", worker(0, 4000)), inHall("y", worker(1, 4000)), inHall("x", worker(2, 4000))},
		want:    map[tw.WorkerID]int{"w0": 1, "w1": 1},
	},
	"places only subtasks that need not avoid all workers": {
		groups: []*schedule.Group{func() *schedule.Group {
			g := group("a", 2, nil)
			g.Avoid = map[int]map[tw.WorkerID]bool{0: {"w0": true}}
			return g
		}()},
		workers: []*schedule.Worker{worker(0, 4000)},
		want:    map[tw.WorkerID]int{"w0": 1},
	},
	"uses only allowed workers": {
		groups: []*schedule.Group{func() *schedule.Group {
			g := group("a", 2, nil)
			g.Allowed = map[tw.WorkerID]bool{"w1": true}
			return g
		}()},
		workers: []*schedule.Worker{worker(0, 4000), worker(1, 1000)},
		want:    map[tw.WorkerID]int{"w1": 1},
	},
}

func TestPlace(t *testing.T) {
	for name, c := range placeCases {
		t.Run(name, func(t *testing.T) {
			got := map[tw.WorkerID]int{}
			for _, p := range schedule.Place(c.groups, c.workers, nil) {
				got[p.Worker.ID]++
			}
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
}

// urgencyCases are the current time and remaining run time of work submitted at base with an
// objective of 2 s.
var urgencyCases = map[string]struct {
	now       time.Duration
	remaining time.Duration
	want      schedule.Grade
}{
	"in time":                        {now: time.Second, remaining: time.Second, want: schedule.GradeOnTime},
	"too late for its objective":     {now: time.Second, remaining: 1001 * time.Millisecond, want: schedule.GradeLate},
	"late but still of value":        {now: 5 * time.Second, remaining: time.Second, want: schedule.GradeLate},
	"over three times its objective": {now: 6 * time.Second, remaining: time.Millisecond, want: schedule.GradeOverdue},
}

// sizeCases are the deadlines of two submissions of the same grade and their sizes relative
// to usual work; the first submission must go before the second.
var sizeCases = map[string]struct {
	firstIn, secondIn       time.Duration
	firstShare, secondShare float64
}{
	"same size, earlier deadline first":          {firstIn: time.Second, secondIn: 2 * time.Second, firstShare: 1, secondShare: 1},
	"same deadline, smaller one first":           {firstIn: time.Second, secondIn: time.Second, firstShare: 0.5, secondShare: 2},
	"small one before a large, more urgent one":  {firstIn: 2 * time.Second, secondIn: time.Second, firstShare: 0.2, secondShare: 4},
	"large one is not postponed without a bound": {firstIn: 0, secondIn: 9 * time.Second, firstShare: 4, secondShare: 0.2},
}

func TestSizePenalty(t *testing.T) {
	for name, c := range sizeCases {
		t.Run(name, func(t *testing.T) {
			of := func(in time.Duration, share float64) schedule.Urgency {
				u := schedule.Urgency{Grade: schedule.GradeOnTime, Deadline: base.Add(in)}
				return u.WithSizePenalty(share, 1500*time.Millisecond)
			}
			g := NewWithT(t)
			g.Expect(of(c.firstIn, c.firstShare).Before(of(c.secondIn, c.secondShare))).To(BeTrue())
			late := of(0, 0)
			late.Grade = schedule.GradeLate
			g.Expect(of(c.secondIn, c.secondShare).Before(late)).To(BeTrue())
		})
	}
}

func TestUrgencyOf(t *testing.T) {
	for name, c := range urgencyCases {
		t.Run(name, func(t *testing.T) {
			u := schedule.UrgencyOf(base.Add(c.now), base, 2*time.Second, c.remaining, 0)
			NewWithT(t).Expect(u.Grade).To(Equal(c.want))
		})
	}
}

// TestPlaceInvariants checks with random groups and workers that no worker exceeds its
// capacity, no subtask is placed twice, and all constraints of steps are met.
func TestPlaceInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := drawWorkers(t)
		remaining := map[tw.WorkerID]tw.Resources{}
		for _, w := range workers {
			remaining[w.ID] = w.Free
		}
		groups := drawGroups(t)
		groupsByID := map[tw.SubmissionID]*schedule.Group{}
		for _, g := range groups {
			groupsByID[g.Subtasks[0].Submission] = g
		}
		placed := map[tw.SubtaskID]bool{}
		onWorker := map[tw.SubmissionID]map[tw.WorkerID]int{}
		for _, p := range schedule.Place(groups, workers, nil) {
			id := p.Subtask.Submission
			step := groupsByID[id].Step
			if placed[p.Subtask] {
				t.Fatalf("%s is placed twice", p.Subtask)
			}
			placed[p.Subtask] = true
			remaining[p.Worker.ID] = remaining[p.Worker.ID].Minus(step.Reservation())
			if onWorker[id] == nil {
				onWorker[id] = map[tw.WorkerID]int{}
			}
			onWorker[id][p.Worker.ID]++
			if step.MaxPerWorker > 0 && onWorker[id][p.Worker.ID] > step.MaxPerWorker {
				t.Fatalf("%d of %s on one worker", onWorker[id][p.Worker.ID], id)
			}
			if !p.Worker.HasLabel(step.Label) {
				t.Fatalf("%s lacks label %q", p.Worker.ID, step.Label)
			}
		}
		for id, free := range remaining {
			if free.CPU < 0 || free.MemoryMB < 0 || free.GPU < 0 {
				t.Fatalf("%s is over its capacity: %+v", id, free)
			}
		}
		for id, g := range groupsByID {
			total := 0
			for _, n := range onWorker[id] {
				total += n
			}
			if g.Step.Gang && total != 0 && total != g.Step.Count {
				t.Fatalf("%d of the %d members of a gang", total, g.Step.Count)
			}
		}
	})
}

func drawWorkers(t *rapid.T) []*schedule.Worker {
	var out []*schedule.Worker
	for n := range rapid.IntRange(0, 6).Draw(t, "workers") {
		w := worker(n, tw.Millicores(rapid.IntRange(0, 8000).Draw(t, "cpu")))
		w.Free.MemoryMB = int64(rapid.IntRange(0, 2000).Draw(t, "memory"))
		w.Free.GPU = int64(rapid.IntRange(0, 2).Draw(t, "gpu"))
		out = append(out, w)
	}
	return out
}

func drawGroups(t *rapid.T) []*schedule.Group {
	var out []*schedule.Group
	for n := range rapid.IntRange(0, 6).Draw(t, "groups") {
		g := group(fmt.Sprintf("s%d", n), rapid.IntRange(1, 8).Draw(t, "count"), func(s *tw.Step) {
			s.Need = tw.Resources{
				CPU: tw.Millicores(rapid.IntRange(0, 3000).Draw(t, "need")), MemoryMB: int64(rapid.IntRange(0, 900).Draw(t, "needs MB")),
				GPU: int64(rapid.IntRange(0, 1).Draw(t, "needs GPU")),
			}
			s.Gang = rapid.Bool().Draw(t, "gang")
			s.SameRack = rapid.Bool().Draw(t, "same rack")
			s.Filler = rapid.Bool().Draw(t, "filler")
			s.LongRunning = rapid.Bool().Draw(t, "long-running")
			s.MaxPerWorker = rapid.IntRange(0, 3).Draw(t, "limit per worker")
			s.Label = rapid.SampledFrom([]string{"", "r0", "r1"}).Draw(t, "label")
		})
		out = append(out, g)
	}
	return out
}

// BenchmarkPlace measures the placement of 1,000 waiting subtasks in pools of two sizes.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []int{100, 400} {
		b.Run(fmt.Sprintf("%d workers", size), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				workers := make([]*schedule.Worker, size)
				for n := range size {
					workers[n] = inHall(tw.HallID(fmt.Sprint(n%8)), worker(n, 16000))
				}
				groups := make([]*schedule.Group, 100)
				for n := range groups {
					groups[n] = group(fmt.Sprintf("s%d", n), 10, nil)
				}
				b.StartTimer()
				schedule.Place(groups, workers, nil)
			}
		})
	}
}
