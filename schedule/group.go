package schedule

import (
	"cmp"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Group holds the waiting subtasks of one step.
	Group struct {
		Step     *tw.Step
		Subtasks []tw.SubtaskID
		Urgency  Urgency
		// Organisation owns the work; its cap limits what is placed.
		Organisation tw.OrganisationID
		// Withheld is the number of subtasks that the last Place left out because of
		// that cap.
		Withheld int
		// OnWorker counts the step's subtasks on each worker. It is maintained only
		// if the step has a limit per worker.
		OnWorker map[tw.WorkerID]int
		// Avoid holds the workers that must not be used, by subtask index: for
		// example those that run a copy of the subtask.
		Avoid map[int]map[tw.WorkerID]bool
		// Allowed holds the workers that may run the step; nil allows all.
		Allowed map[tw.WorkerID]bool
	}

	// Grade is the urgency class of a group.
	Grade int

	// Urgency orders groups by grade, then priority, then deadline.
	Urgency struct {
		Grade    Grade
		Priority int
		Deadline time.Time
	}
)

// Grades, most urgent first.
const (
	// GradeLongRunning is long-running work, valued for every second that it runs.
	GradeLongRunning Grade = iota
	// GradeOnTime is work that can still end within its objective.
	GradeOnTime
	// GradeLate is work that can still end within LateFactor times its objective.
	GradeLate
	// GradeOverdue is work that ends too late to have value.
	GradeOverdue
	// GradeFiller is work that uses leftover capacity.
	GradeFiller
)

// LateFactor times the objective is the time after which the platform gives late
// work no value.
const LateFactor = 3

// sizeWeight weighs the size of work against its deadline. About as much work ends in time with a
// weight of 0.4 or with an order by size alone, but the latter delays the largest tenth of the work.
const sizeWeight = 1.25

// UrgencyOf returns the urgency of work that was submitted at start with the given
// objective and remaining run time.
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

// BeyondWeight returns the urgency of work that its organisation sent beyond its weight: it counts as
// late from the beginning, so it is placed behind all work within the weights that can be in time, and
// takes turns with late work. latest is when it loses its value, ahead how far its organisation is
// ahead of its weight.
func (u Urgency) BeyondWeight(latest time.Time, ahead time.Duration) Urgency {
	if u.Grade == GradeOnTime {
		u.Grade, u.Deadline = GradeLate, latest
	}
	u.Deadline = u.Deadline.Add(ahead)
	return u
}

// WithSizePenalty makes the deadline later in proportion to the size of the work, so that small
// work goes first within a grade and priority. share is the size relative to usual work,
// objective is the usual objective. More of the work ends in time then where not all can.
func (u Urgency) WithSizePenalty(share float64, objective time.Duration) Urgency {
	u.Deadline = u.Deadline.Add(time.Duration(sizeWeight * share * float64(objective)))
	return u
}

// Before reports whether u is more urgent than other.
func (u Urgency) Before(other Urgency) bool { return u.compare(&other) < 0 }

// compare is negative if u is more urgent than other, and positive if it is less urgent.
func (u *Urgency) compare(other *Urgency) int {
	if u.Grade != other.Grade {
		return cmp.Compare(u.Grade, other.Grade)
	}
	if u.Priority != other.Priority {
		return cmp.Compare(u.Priority, other.Priority)
	}
	return u.Deadline.Compare(other.Deadline)
}

// Constrained reports whether the group may find no worker though there is capacity for it.
func (g *Group) Constrained() bool {
	return g.Step.Label != "" || g.Allowed != nil || g.Step.MaxPerWorker != 0 || len(g.Avoid) != 0 || g.Step.Gang
}

// AnyRoom reports whether a selected group has a worker with its step's label and room for a subtask
// of it.
func AnyRoom(groups []*Group, workers []*Worker, selected func(g *Group) bool) bool {
	var rejected unplaceable
	for _, g := range groups {
		reservation := g.Step.Reservation()
		if rejected.covers(reservation) || !selected(g) {
			continue
		}
		if slices.ContainsFunc(workers, func(w *Worker) bool { return w.Free.Fits(reservation) && w.HasLabel(g.Step.Label) }) {
			return true
		}
		if g.Step.Label == "" {
			rejected = append(rejected, reservation)
		}
	}
	return false
}

// CountWorkers returns the number of workers that have the step's label and room for a subtask of
// it, and the number of workers that have reached the step's limit per worker.
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
