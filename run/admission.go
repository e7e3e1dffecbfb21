package run

import (
	"fmt"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/spread"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// An owner that is short of processor time or of its link knows how many starts it can send
// a second and how many it owes. What it accepts beyond that can't begin in time, takes the
// same resource for its records, and holds up what was accepted before; so such submissions
// are refused at once, before anything of them is kept, with when to come back.

// BusyError says that a submission was not taken, as its owner could not start it in time.
type BusyError struct {
	// RetryAfter is how long the owner needs until it can take such a submission.
	RetryAfter time.Duration
}

const (
	// minAdmitWait and admitMost bound how long accepted work may have to wait for its
	// orders, whatever its objective leaves. Work that has room must begin within 3 s, or
	// it counts as lost; a third of that is left for what isn't foreseen.
	minAdmitWait = 500 * time.Millisecond
	maxAdmitWait = 2 * time.Second
	// maxRetryAfter bounds when callers are told to come back: in a few seconds a faster
	// daemon may own the pool, and to be refused again costs them little.
	maxRetryAfter = 2 * time.Second
	// standingQueueAfter is how long an owner is short before what waits counts as a standing
	// queue: turns of demand rise for about so long.
	standingQueueAfter = 3 * time.Second
	// orderOverheadBytes is what an order to start takes on a link beside its spec, in bytes, and
	// startsShare the part of a full link that carries such orders: 120 of 190 kB a second
	// were counted, the rest being looks, records, and messages between daemons.
	orderOverheadBytes = 330
	startsLinkShare    = 0.6
	// firstStartsWithin is within what a link must carry an order for each submission that
	// waits: that and starveAfter are less than the time after which work counts as lost.
	firstStartsWithin = time.Second
)

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("run: the owner could not start it in time, come back in %v", e.RetryAfter.Round(time.Millisecond))
}

// Is implements the interface of errors.Is: nothing was done.
func (e *BusyError) Is(target error) bool { return target == tw.ErrRateLimited }

// checkOverload tells whether the orders of a submission would have to wait for too long; nil if
// not. Lasting work is taken in any case: it goes before all other and is little.
func (o *Owner) checkOverload(s *tw.Submission) *BusyError {
	o.refreshBacklog()
	if hasLastingStep(s) {
		return nil
	}
	excess := o.orderWaitExcess(s)
	if excess <= 0 {
		excess = o.linkWaitExcess(s)
	}
	if excess <= 0 {
		return nil
	}
	return newBusyError(s, min(excess, maxRetryAfter))
}

// newBusyError refuses a submission until a time has passed. The times that callers are told are
// spread up to twice that, so that those who are refused at the same moment don't return so.
func newBusyError(s *tw.Submission, after time.Duration) *BusyError {
	return &BusyError{RetryAfter: after + time.Duration(spread.Fraction(string(s.ID))*float64(after))}
}

// orderWaitExcess is how much longer than it may the orders of a submission would have to wait,
// by the rate at which orders are answered while the owner is short.
func (o *Owner) orderWaitExcess(s *tw.Submission) time.Duration {
	rate := o.window.capacity(o.now)
	if rate == 0 {
		return 0
	}
	return timeToStart(o.backlogAhead(s.Policy.Priority), rate) - o.maxOrderWait(s)
}

// linkWaitExcess is the same for the first subtasks of all that is accepted, by what the daemon's
// link can carry. A pool that lacks room doesn't show how little its owner can send; once
// room comes, something of each submission must begin soon.
func (o *Owner) linkWaitExcess(s *tw.Submission) time.Duration {
	if o.link == 0 {
		return 0
	}
	rate := startsLinkShare * float64(o.link) / float64(len(s.Spec)+orderOverheadBytes)
	return timeToStart(o.backlog.submissions, rate) - firstStartsWithin
}

// timeToStart is how long a number of starts takes at a rate a second.
func timeToStart(starts int, rate float64) time.Duration {
	return time.Duration(float64(starts) / rate * float64(time.Second))
}

// maxOrderWait is how long the orders of a submission may have to wait for it to be taken. What
// comes at once in a short height is worked off; in a standing queue all work would be late.
func (o *Owner) maxOrderWait(s *tw.Submission) time.Duration {
	if o.window.shortage(o.now) < standingQueueAfter {
		return maxAdmitWait
	}
	return min(max(minAdmitWait, o.slack(s)), maxAdmitWait)
}

// hasLastingStep tells whether a submission has steps that run until they are cancelled.
func hasLastingStep(s *tw.Submission) bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
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
	for _, rest := range o.criticalPaths(rep) {
		longest = max(longest, rest)
	}
	return o.objective(rep) - longest
}
