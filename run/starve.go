package run

import (
	"time"

	"github.com/tamarindworks/tamarindworks/schedule"
)

const (
	// mustRunWithin is how long accepted work may have nothing running though there is room: the
	// platform counts it as lost after 3 s. starveAfter is half of that, after which it goes
	// first in any case.
	mustRunWithin = 2400 * time.Millisecond
	starveAfter   = 1500 * time.Millisecond
	// highestPriority is the most urgent priority.
	highestPriority = 0
)

// splitStarving splits the first subtask off the group of a step that starves, which then
// goes before all other work; a gang stays whole.
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

// starving tells whether nothing of a repetition has been running for long, while orders are
// what work waits for. Work that can be in time goes first, so that what is late would wait
// for as long as new work comes: with three times the work that could be sent, a submission
// had to wait for over 6 s (TestShortOwner).
func (o *Owner) starving(st *step) (since time.Time, starves bool) {
	if !o.window.short(o.now) || st.spec.LongRunning || st.spec.Filler {
		return time.Time{}, false
	}
	since = st.readyAt
	for _, other := range st.rep.steps {
		for _, t := range other.tasks {
			if t.active() {
				return time.Time{}, false
			}
			since = later(since, t.endedAt)
		}
	}
	return since, o.now.Sub(since) > o.starveLimit()
}

// starveLimit is how long nothing of a submission may run before it goes first: so much less
// than runWithin as it takes to order one subtask of each that waits.
func (o *Owner) starveLimit() time.Duration {
	rate := o.window.capacity(o.now)
	if rate == 0 {
		return starveAfter
	}
	o.refreshBacklog()
	return min(max(0, mustRunWithin-timeToStart(o.backlog.submissions, rate)), starveAfter)
}
