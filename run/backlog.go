package run

import "time"

// backlog counts the subtasks that an owner has accepted and not ordered, by priority.
type backlog struct {
	counts    map[int]int
	countedAt time.Time
	// submissions are those with such subtasks.
	submissions int
	// arrivals are submissions that were not kept yet at that time.
	arrivals []*submission
}

const (
	// maxBacklogAge is how old a count of the backlog may be, which visits all that is accepted.
	maxBacklogAge = 50 * time.Millisecond
	// maxArrivalAge is how long a submission may take to be kept before it isn't counted.
	maxArrivalAge = 2 * time.Second
)

// backlogAhead counts the subtasks that go before new work of a priority, by a fresh backlog.
func (o *Owner) backlogAhead(priority int) int {
	ahead := 0
	for p, n := range o.backlog.counts {
		if p <= priority {
			ahead += n
		}
	}
	return ahead
}

// refreshBacklog counts the backlog anew unless that was done just before.
func (o *Owner) refreshBacklog() {
	if o.now.Sub(o.backlog.countedAt) > maxBacklogAge {
		o.countBacklog()
	}
}

// countBacklog counts what is accepted and not ordered, and forgets the arrivals that have
// been kept or refused meanwhile.
func (o *Owner) countBacklog() {
	b := &o.backlog
	b.counts, b.countedAt, b.submissions = map[int]int{}, o.now, 0
	for _, sub := range o.live {
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

// addArrival counts a submission that is being kept.
func (b *backlog) addArrival(sub *submission) {
	b.arrivals = append(b.arrivals, sub)
	if b.counts != nil {
		b.submissions++
		b.counts[sub.Policy.Priority] += sub.subtasksPerRepetition()
	}
}

// subtasksPerRepetition is how many subtasks a repetition of the submission has.
func (s *submission) subtasksPerRepetition() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// pendingSubtasks counts the subtasks of the open repetitions that are not done, and of which no
// run is known.
func (s *submission) pendingSubtasks() int {
	if s.closed() {
		return 0
	}
	n := 0
	for _, rep := range s.reps {
		for _, st := range rep.steps {
			for _, t := range st.tasks {
				if !t.done && !t.active() {
					n++
				}
			}
		}
	}
	return n
}
