package run

import (
	"time"

	"github.com/tamarindworks/tamarindworks/schedule"
)

const (
	// mustRunWithin is how long accepted work may have nothing running although there is free
	// capacity; the platform counts it as lost after 3 s. starveAfter is half of these 3 s: work
	// that has had nothing running for so long is placed first in any case.
	mustRunWithin = 2400 * time.Millisecond
	starveAfter   = 1500 * time.Millisecond
	// highestPriority is the number of the most urgent priority.
	highestPriority = 0
)

// splitStarving splits the first subtask off the group of a starving step, so that it is placed
// before all other work. A gang stays whole.
func (o *Owner) splitStarving(g *schedule.Group, st *step) []*schedule.Group {
	since, starves := o.starving(st)
	if !starves {
		return []*schedule.Group{g}
	}
	urgent := schedule.Urgency{Grade: schedule.GradeOnTime, Priority: highestPriority, Deadline: since}
	if st.spec.Gang || len(g.Subtasks) == 1 {
		g.Urgency = urgent
		return []*schedule.Group{g}
	}
	first := *g
	first.Subtasks, first.Urgency = g.Subtasks[:1], urgent
	g.Subtasks = g.Subtasks[1:]
	return []*schedule.Group{&first, g}
}

// starving reports whether the step's repetition has had nothing running for longer than
// starveLimit while the owner is short, and since when. Work that can still be in time is placed
// first, so late work would wait for as long as new work arrives: a submission waited for over 6 s
// while three times as much work arrived as could be sent (TestShortOwner).
func (o *Owner) starving(st *step) (since time.Time, starves bool) {
	if !o.window.short(o.now) || st.spec.LongRunning || st.spec.Filler {
		return time.Time{}, false
	}
	since = st.readyAt
	for _, other := range st.rep.steps {
		if !other.changed {
			continue // none of its subtasks has ever run
		}
		for _, t := range other.tasks {
			if t.active() {
				return time.Time{}, false
			}
			since = later(since, t.endedAt)
		}
	}
	return since, o.now.Sub(since) > o.starveLimit()
}

// starveLimit is how long a submission may have nothing running before it is placed first:
// mustRunWithin less the time to order one subtask of each waiting submission, but at most
// starveAfter.
func (o *Owner) starveLimit() time.Duration {
	rate := o.window.capacity(o.now)
	if rate == 0 {
		return starveAfter
	}
	o.refreshBacklog()
	return min(max(0, mustRunWithin-timeToStart(o.backlog.submissions, rate)), starveAfter)
}
