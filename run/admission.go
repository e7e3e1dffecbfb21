package run

import (
	"fmt"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/spread"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/schedule"
)

// An owner that is short of processor time or of its link knows how many starts it can send
// a second and how many it owes. What it accepts beyond that can't begin in time, takes the
// same resource for its records, and holds up what was accepted before; so such submissions
// are refused at once, before anything of them is kept, with when to come back.

type (
	// BusyError says that a submission was not taken, as its owner can't start in time what
	// it has accepted already.
	BusyError struct {
		// RetryAfter is how long the owner needs until it can take such a submission.
		RetryAfter time.Duration
	}

	// backlog counts the subtasks that an owner has accepted and not ordered, by priority.
	backlog struct {
		counts map[int]int
		at     time.Time
		// submissions are those with such subtasks.
		submissions int
		// arrivals are submissions that were not kept yet at that time.
		arrivals []*submission
	}
)

const (
	// admitLeast and admitMost bound how long accepted work may have to wait for its
	// orders, whatever its objective leaves. Work that has room must begin within 3 s, or
	// it counts as lost; a third of that is left for what isn't foreseen.
	admitLeast = 500 * time.Millisecond
	admitMost  = 2 * time.Second
	// retryMost bounds when callers are told to come back: in a few seconds a faster
	// daemon may own the pool, and to be refused again costs them little.
	retryMost = 2 * time.Second
	// backlogAge is how old a count of the backlog may be; one takes some 10 ns a subtask.
	backlogAge = 50 * time.Millisecond
	// standingAfter is how long an owner is short before what waits counts as a standing
	// queue: turns of demand rise for about so long.
	standingAfter = 3 * time.Second
	// runWithin is how long accepted work may have nothing running though there is room: the
	// platform counts it as lost after 3 s. starveAfter is half of that, after which it goes
	// first in any case.
	runWithin   = 2400 * time.Millisecond
	starveAfter = 1500 * time.Millisecond
	// mostUrgent is the most urgent priority.
	mostUrgent = 0
	// orderSize is what an order to start takes on a link beside its spec, in bytes, and
	// startsShare the part of a full link that carries such orders: 120 of 190 kB a second
	// were counted, the rest being looks, records, and messages between daemons.
	orderSize   = 330
	startsShare = 0.6
	// firstsWithin is within what a link must carry an order for each submission that
	// waits: that and starveAfter are less than the time after which work counts as lost.
	firstsWithin = time.Second
	// arrivalAge is how long a submission may take to be kept before it isn't counted.
	arrivalAge = 2 * time.Second
)

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("run: the owner can't start in time what it has accepted, come back in %v", e.RetryAfter.Round(time.Millisecond))
}

// Is implements the interface of errors.Is: nothing was done.
func (e *BusyError) Is(target error) bool { return target == tw.ErrRateLimited }

// overloaded tells whether the orders of a submission would have to wait for too long; nil if
// not. Lasting work is taken in any case: it goes before all other and is little.
func (o *Owner) overloaded(s *tw.Submission) *BusyError {
	if lasts(s) {
		return nil
	}
	excess := o.ordersExcess(s)
	if excess <= 0 {
		excess = o.linkExcess(s)
	}
	if excess <= 0 {
		return nil
	}
	excess = min(excess, retryMost)
	// Spread, so that those who are refused at the same moment don't come back so.
	return &BusyError{RetryAfter: excess + time.Duration(spread.Fraction(string(s.ID))*float64(excess))}
}

// firstOfStarving splits the first subtask off the group of a step that starves, which then
// goes before all other work; a gang stays whole.
func (o *Owner) firstOfStarving(g *schedule.Group, st *step) []*schedule.Group {
	since, starves := o.starves(st)
	if !starves {
		return []*schedule.Group{g}
	}
	urgent := schedule.Urgency{Grade: schedule.GradeOnTime, Priority: mostUrgent, Deadline: since}
	if st.spec.Gang || len(g.Subtasks) == 1 {
		g.Urgency = urgent
		return []*schedule.Group{g}
	}
	first := *g
	first.Subtasks, first.Urgency = g.Subtasks[:1], urgent
	g.Subtasks = g.Subtasks[1:]
	return []*schedule.Group{&first, g}
}

// starves tells whether nothing of a repetition has been running for long, while orders are
// what work waits for. Work that can be in time goes first, so that what is late would wait
// for as long as new work comes: with three times the work that could be sent, a submission
// had to wait for over 6 s (TestShortOwner).
func (o *Owner) starves(st *step) (since time.Time, starves bool) {
	if !o.window.short(o.now) || st.spec.Lasting || st.spec.Filler {
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
	return since, o.now.Sub(since) > o.mayStarve()
}

// mayStarve is how long nothing of a submission may run before it goes first: so much less
// than runWithin as it takes to order one subtask of each that waits.
func (o *Owner) mayStarve() time.Duration {
	rate := o.window.capacity(o.now)
	if rate == 0 {
		return starveAfter
	}
	o.freshBacklog()
	return min(max(0, runWithin-inTime(o.backlog.submissions, rate)), starveAfter)
}

// ordersExcess is how much longer than it may the orders of a submission would have to wait,
// by the rate at which orders are answered while the owner is short.
func (o *Owner) ordersExcess(s *tw.Submission) time.Duration {
	rate := o.window.capacity(o.now)
	if rate == 0 {
		return 0
	}
	return inTime(o.backlogAhead(s.Policy.Priority), rate) - o.mayWait(s)
}

// linkExcess is the same for the first subtasks of all that is accepted, by what the daemon's
// link can carry. A pool that lacks room doesn't show how little its owner can send; once
// room comes, something of each submission must begin soon.
func (o *Owner) linkExcess(s *tw.Submission) time.Duration {
	if o.link == 0 {
		return 0
	}
	rate := startsShare * float64(o.link) / float64(len(s.Spec)+orderSize)
	o.freshBacklog()
	return inTime(o.backlog.submissions, rate) - firstsWithin
}

// inTime is how long a number of starts takes at a rate a second.
func inTime(starts int, rate float64) time.Duration {
	return time.Duration(float64(starts) / rate * float64(time.Second))
}

// mayWait is how long the orders of a submission may have to wait for it to be taken. What
// comes at once in a short height is worked off; in a standing queue all work would be late.
func (o *Owner) mayWait(s *tw.Submission) time.Duration {
	if o.window.shortage(o.now) < standingAfter {
		return admitMost
	}
	return min(max(admitLeast, o.slack(s)), admitMost)
}

func lasts(s *tw.Submission) bool {
	for i := range s.Steps {
		if s.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// slack is for how long a submission may wait and still end within its objective.
func (o *Owner) slack(s *tw.Submission) time.Duration {
	rep := &repetition{sub: newSubmission(*s, ledger.Progress{})}
	for i := range s.Steps {
		rep.steps = append(rep.steps, rep.newStep(i))
	}
	longest := time.Duration(0)
	for _, rest := range o.chain(rep) {
		longest = max(longest, rest)
	}
	return o.objective(rep) - longest
}

// backlogAhead counts the subtasks that go before new work of a priority.
func (o *Owner) backlogAhead(priority int) int {
	o.freshBacklog()
	ahead := 0
	for p, n := range o.backlog.counts {
		if p <= priority {
			ahead += n
		}
	}
	return ahead
}

// freshBacklog counts the backlog anew unless that was done just before.
func (o *Owner) freshBacklog() {
	if o.now.Sub(o.backlog.at) > backlogAge {
		o.countBacklog()
	}
}

func (o *Owner) countBacklog() {
	b := &o.backlog
	b.counts, b.at, b.submissions = map[int]int{}, o.now, 0
	for _, sub := range o.live {
		if n := sub.unordered(); n > 0 {
			b.counts[sub.Policy.Priority] += n
			b.submissions++
		}
	}
	var waiting []*submission
	for _, sub := range b.arrivals {
		if o.submissions[sub.ID] == sub && !sub.durable && o.now.Sub(sub.Accepted) < arrivalAge {
			waiting = append(waiting, sub)
			b.submissions++
			b.counts[sub.Policy.Priority] += sub.size()
		}
	}
	b.arrivals = waiting
}

// arrived counts a submission that is being kept.
func (b *backlog) arrived(sub *submission) {
	b.arrivals = append(b.arrivals, sub)
	if b.counts != nil {
		b.submissions++
		b.counts[sub.Policy.Priority] += sub.size()
	}
}

// size is how many subtasks a repetition of the submission has.
func (s *submission) size() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// unordered counts the subtasks of the open repetitions that are not done, and of which no
// run is known.
func (s *submission) unordered() int {
	if s.over() {
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
