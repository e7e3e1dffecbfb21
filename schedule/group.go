package schedule

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Group is the subtasks of one step that wait for a worker.
	Group struct {
		Step     *tw.Step
		Subtasks []tw.SubtaskID
		Urgency  Urgency
		// Organisation is whose work it is; its cap bounds what is placed.
		Organisation tw.OrganisationID
		// Withheld is how many of the subtasks the last Place has left out because of
		// that cap.
		Withheld int
		// OnWorker counts the step's subtasks that are on a worker already. It
		// is kept only if the step bounds them.
		OnWorker map[tw.WorkerID]int
		// Avoid are workers that must not be used, by subtask index: for
		// example those on which a copy runs.
		Avoid map[int]map[tw.WorkerID]bool
		// Allowed are the workers that may run the step; nil allows all.
		Allowed map[tw.WorkerID]bool
	}

	// Grade sorts groups by what is at stake.
	Grade int

	// Urgency orders groups: by grade, by priority, by deadline.
	Urgency struct {
		Grade    Grade
		Priority int
		Deadline time.Time
	}
)

// Grades, the most urgent first.
const (
	// GradeLongRunning is work that counts for every second that it runs.
	GradeLongRunning Grade = iota
	// GradeOnTime can still end within its objective.
	GradeOnTime
	// GradeLate can still end within three times its objective.
	GradeLate
	// GradeOverdue ends too late to count; it is done when nothing else waits.
	GradeOverdue
	// GradeFiller takes what is left.
	GradeFiller
)

// LateFactor times the objective is when late work stops counting; it is the
// platform's figure.
const LateFactor = 3

// sizeWeight is the weight of the size of work against its deadline. With 0.4 and with
// size alone about as much ends in time; with size alone the largest tenth suffers.
const sizeWeight = 1.25

// UrgencyOf grades work that was handed in at start with an objective and has
// remaining run time ahead of it.
func UrgencyOf(now, start time.Time, objective, remaining time.Duration, priority int) Urgency {
	end := now.Add(remaining)
	deadline := start.Add(objective)
	latest := start.Add(LateFactor * objective)
	switch {
	case !end.After(deadline):
		return Urgency{Grade: GradeOnTime, Priority: priority, Deadline: deadline}
	case !end.After(latest):
		return Urgency{Grade: GradeLate, Priority: priority, Deadline: latest}
	}
	return Urgency{Grade: GradeOverdue, Priority: priority, Deadline: latest}
}

// WithSizePenalty lets small work go first among what has the same grade and priority: its
// deadline counts as later by the share that its work is of the usual work, times the
// usual objective. Where there is more work than room, more of it so ends in time:
// 0.552 instead of 0.506 at 1.5 times the load that fills the machines in turns, 0.410
// instead of 0.357 at twice it, 0.859 instead of 0.848 at that load itself (12 seeds
// of the simulated pools of experiment schedule, subtasks of 0.64 s).
func (u Urgency) WithSizePenalty(share float64, objective time.Duration) Urgency {
	u.Deadline = u.Deadline.Add(time.Duration(sizeWeight * share * float64(objective)))
	return u
}

// Before tells whether u goes before other.
func (u Urgency) Before(other Urgency) bool {
	if u.Grade != other.Grade {
		return u.Grade < other.Grade
	}
	if u.Priority != other.Priority {
		return u.Priority < other.Priority
	}
	return u.Deadline.Before(other.Deadline)
}

// CountWorkers tells how many workers have room for a subtask, and how many have as
// many of the step as they may.
func (g *Group) CountWorkers(workers []*Worker) (fits, full int) {
	for _, w := range workers {
		if w.Free.Fits(g.Step.Reservation()) && w.HasLabel(g.Step.Label) {
			fits++
		}
		if g.Step.MaxPerWorker > 0 && g.OnWorker[w.ID] >= g.Step.MaxPerWorker {
			full++
		}
	}
	return fits, full
}
