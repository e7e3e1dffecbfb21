package run

import (
	"time"

	"go.uber.org/zap"

	"github.com/tamarindworks/tamarindworks/schedule"
)

const (
	// preemptAfter is how long work waits before it may preempt work of a lower priority: by then
	// shorter subtasks have freed capacity by themselves.
	preemptAfter = 500 * time.Millisecond
	// checkpointInterval is about the time between two checkpoints. On the platform it is 0.5 or
	// 1 s, and a stop makes another checkpoint.
	checkpointInterval = 500 * time.Millisecond
)

// preempt stops runs of a lower priority where more urgent work has waited long enough for
// capacity. The offers and placements are those of the placement pass just made for the groups.
func (o *Owner) preempt(groups []*schedule.Group, offers []*schedule.Worker, placements []schedule.Placement) {
	waiting := o.unplaced(groups, placements)
	if len(waiting) == 0 {
		return
	}
	o.addFreeing(offers)
	for _, victim := range schedule.Preempt(waiting, offers, o.preemptible(offers)) {
		w := o.workers[victim.Worker.ID]
		r := w.runs[runKey{task: victim.Subtask, run: victim.Number}]
		o.log.Info("run: preempted", zap.Stringer("subtask", victim.Subtask), zap.Int("priority", victim.Priority),
			zap.Duration("lost", victim.Lost), zap.Stringer("first_waiting", waiting[0].Group.Subtasks[0]))
		o.stop(r, "work of a higher priority needs its room")
	}
}

// unplaced returns the groups that may preempt other work now, with how many of their subtasks still
// wait. It sets placeRetryAt to when the next group may.
func (o *Owner) unplaced(groups []*schedule.Group, placements []schedule.Placement) []schedule.Unplaced {
	lowest := o.lowestPriority()
	o.placeRetryAt = time.Time{}
	placed := map[*step]int{}
	for _, p := range placements {
		placed[o.submissions[p.Subtask.Submission].task(p.Subtask).step]++
	}
	var out []schedule.Unplaced
	for _, g := range groups {
		if g.Urgency.Grade > schedule.GradeOnTime || g.Urgency.Priority >= lowest {
			continue
		}
		t := o.submissions[g.Subtasks[0].Submission].task(g.Subtasks[0])
		missing := len(g.Subtasks) - placed[t.step] - g.Withheld
		if missing <= 0 {
			continue
		}
		due := t.waitingSince().Add(preemptAfter)
		if o.now.Before(due) {
			o.placeRetryAt = earlier(due, o.placeRetryAt)
		} else {
			out = append(out, schedule.Unplaced{Group: g, Missing: missing})
		}
	}
	return out
}

// lowestPriority is the priority of the least urgent submission, which is the highest number: 0
// is the most urgent.
func (o *Owner) lowestPriority() int {
	lowest := 0
	for _, sub := range o.live {
		lowest = max(lowest, sub.Policy.Priority)
	}
	return lowest
}

// waitingSince is the time since which a subtask without a run has waited for a worker.
func (t *task) waitingSince() time.Time {
	if t.endedAt.After(t.step.readyAt) {
		return t.endedAt
	}
	return t.step.readyAt
}

// addFreeing adds to each offer the reservations of runs that are being stopped, so that nothing
// more is stopped for work that will fit there.
func (o *Owner) addFreeing(offers []*schedule.Worker) {
	for _, offer := range offers {
		for _, r := range o.workers[offer.ID].runs {
			if r.phase == stopping || r.phase == stopConfirmed {
				offer.Freeing = offer.Freeing.Plus(r.reservation)
			}
		}
	}
}

// preemptible returns the runs that may be preempted: those of limited duration, except members
// of gangs, as stopping one ends the whole gang.
func (o *Owner) preemptible(offers []*schedule.Worker) []schedule.Run {
	var out []schedule.Run
	for _, offer := range offers {
		for _, r := range o.workers[offer.ID].runs {
			spec := r.task.step.spec
			if r.phase != running || spec.LongRunning || spec.Gang || r.task.step.rep.sub.closed() {
				continue
			}
			out = append(out, schedule.Run{
				Subtask: r.task.id, Number: r.run, Worker: offer, Reservation: r.reservation,
				Priority: r.task.step.rep.sub.Policy.Priority, Lost: o.lostWork(r),
			})
		}
	}
	return out
}

// lostWork is the run time that is lost if a run is stopped: little if it makes checkpoints.
func (o *Owner) lostWork(r *runState) time.Duration {
	ran := o.now.Sub(r.startedAt)
	if r.task.step.spec.Checkpoints {
		return min(ran, checkpointInterval)
	}
	return ran
}
