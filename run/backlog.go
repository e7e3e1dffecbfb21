package run

import (
	"time"

	"github.com/tamarindworks/tamarindworks/schedule"
)

type (
	// backlog counts the pending subtasks of accepted submissions, by priority: those that are not
	// done and have no known run.
	backlog struct {
		counts    map[int]int
		countedAt time.Time
		// work is the processor time of the pending subtasks that still have value, in
		// millicore-seconds.
		work map[workKey]float64
		// submissions counts the submissions with pending subtasks.
		submissions int
		// arrivals are the submissions that are still being stored.
		arrivals []*submission
	}

	// workKey tells apart pending work that is placed at different times.
	workKey struct {
		priority int
		// beyondWeight: it was sent beyond its organisation's weight.
		beyondWeight bool
	}
)

const (
	// maxBacklogAge is how old the counts may be. Counting visits all accepted submissions.
	maxBacklogAge = 50 * time.Millisecond
	// maxArrivalAge is how long after its acceptance a submission that is not yet durable is
	// counted.
	maxArrivalAge = 2 * time.Second
)

// backlogAhead counts the pending subtasks that are started before new work of a priority, by the
// last counts.
func (o *Owner) backlogAhead(priority int) int {
	ahead := 0
	for p, n := range o.backlog.counts {
		if p <= priority {
			ahead += n
		}
	}
	return ahead
}

// refreshBacklog recounts the backlog if the last counts are older than maxBacklogAge.
func (o *Owner) refreshBacklog() {
	if o.now.Sub(o.backlog.countedAt) > maxBacklogAge {
		o.countBacklog()
	}
}

// countBacklog recounts the pending subtasks, and drops the arrivals that have become durable,
// were refused, or are older than maxArrivalAge.
func (o *Owner) countBacklog() {
	b := &o.backlog
	b.counts, b.work, b.countedAt, b.submissions = map[int]int{}, map[workKey]float64{}, o.now, 0
	for _, sub := range o.live {
		b.work[workKey{priority: sub.Policy.Priority, beyondWeight: sub.ahead > 0}] += o.valuableWork(sub)
		if n := sub.pendingSubtasks(); n > 0 {
			b.counts[sub.Policy.Priority] += n
			b.submissions++
		}
	}
	var waiting []*submission
	for _, sub := range b.arrivals {
		if o.submissions[sub.ID] == sub && !sub.durable && o.now.Sub(sub.Accepted) < maxArrivalAge {
			waiting = append(waiting, sub)
			b.submissions++
			b.counts[sub.Policy.Priority] += sub.subtasksPerRepetition()
		}
	}
	b.arrivals = waiting
}

// workAhead is the pending work that is placed before new work: that of its priority or a better
// one. Work beyond the weight of its organisation waits behind all that is within the weights.
func (b *backlog) workAhead(of workKey) float64 {
	ahead := 0.0
	for key, work := range b.work {
		if key.priority <= of.priority && (of.beyondWeight || !key.beyondWeight) {
			ahead += work
		}
	}
	return ahead
}

// valuableWork is the pending work of a submission's open repetitions that can still end before they
// have no value any more.
func (o *Owner) valuableWork(sub *submission) float64 {
	work := 0.0
	if sub.closed() {
		return work
	}
	for _, rep := range sub.reps {
		if o.now.Before(rep.due.Add(schedule.LateFactor * o.objective(rep))) {
			work += o.pendingCPU(rep)
		}
	}
	return work
}

// pendingCPU is the processor time of a repetition's pending subtasks, in millicore-seconds.
func (o *Owner) pendingCPU(rep *repetition) float64 {
	cpu := 0.0
	for _, st := range rep.steps {
		if !st.spec.LongRunning && !st.spec.Filler {
			cpu += float64(st.waiting) * float64(st.spec.Reservation().CPU) * o.expectedRunTime(st).Seconds()
		}
	}
	return cpu
}

// addArrival counts a submission that is being stored.
func (b *backlog) addArrival(sub *submission) {
	b.arrivals = append(b.arrivals, sub)
	if b.counts != nil {
		b.submissions++
		b.counts[sub.Policy.Priority] += sub.subtasksPerRepetition()
	}
}

// subtasksPerRepetition is the number of subtasks in one repetition of the submission.
func (s *submission) subtasksPerRepetition() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// pendingSubtasks counts the subtasks of the open repetitions that are not done and have no known
// run.
func (s *submission) pendingSubtasks() int {
	if s.closed() {
		return 0
	}
	n := 0
	for _, rep := range s.reps {
		for _, st := range rep.steps {
			n += st.waiting
		}
	}
	return n
}
