package schedule_test

import (
	"fmt"
	"testing"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

// passCases are placement passes with waiting steps of eight subtasks, on workers that each
// have room for the number of subtasks given by free.
var passCases = map[string]struct{ workers, steps, free int }{
	"100 workers, 1000 waiting, room for all":  {workers: 100, steps: 125, free: 10},
	"100 workers, 1000 waiting, room for none": {workers: 100, steps: 125, free: 0},
	"400 workers, 1000 waiting, room for all":  {workers: 400, steps: 125, free: 3},
	"400 workers, 1000 waiting, room for none": {workers: 400, steps: 125, free: 0},
	"400 workers, 4000 waiting, room for 400":  {workers: 400, steps: 500, free: 1},
}

// BenchmarkPass measures a placement pass.
func BenchmarkPass(b *testing.B) {
	for name, c := range passCases {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				groups, workers := newPass(c.workers, c.steps, c.free)
				b.StartTimer()
				schedule.Place(groups, workers, nil)
			}
		})
	}
}

func newPass(workers, steps, free int) ([]*schedule.Group, []*schedule.Worker) {
	const cpu, memory = 2000, 4000
	var out []*schedule.Worker
	for n := range workers {
		out = append(out, &schedule.Worker{
			ID: tw.WorkerID(fmt.Sprintf("w%d", n)), Rank: n, Hall: tw.HallID(fmt.Sprintf("hall-%d", n%5)),
			Rack: tw.RackLabel(fmt.Sprintf("r%d", n/8)),
			Free: tw.Resources{CPU: cpu*tw.Millicores(free) + 500, MemoryMB: 64000},
		})
	}
	var groups []*schedule.Group
	for n := range steps {
		// Needs differ, as those of different callers' submissions do.
		step := &tw.Step{Count: 8, Need: tw.Resources{CPU: cpu - tw.Millicores(n%7)*50, MemoryMB: memory + int64(n%11)*100}}
		g := &schedule.Group{Step: step, Urgency: schedule.Urgency{
			Grade: schedule.GradeOnTime, Deadline: time.Unix(int64(n*7919%steps), 0),
		}}
		for i := range step.Count {
			g.Subtasks = append(g.Subtasks, tw.SubtaskID{Submission: tw.SubmissionID(fmt.Sprintf("%016x", n)), Index: i})
		}
		groups = append(groups, g)
	}
	return groups, out
}
