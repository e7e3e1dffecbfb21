package run

import (
	"fmt"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/spread"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// Admission control. An owner that is short of processor time or of link bandwidth knows how many
// starts it can send per second and how many are pending. Submissions accepted beyond that could
// not begin in time, would use the same resource for their records and would delay those accepted
// before. They are refused at once, before anything of them is stored, with a time to retry
// after.

// BusyError is the refusal of a submission that the owner could not start in time.
type BusyError struct {
	// RetryAfter is the time after which the owner should be able to accept such a submission.
	RetryAfter time.Duration
}

const (
	// minAdmitWait and maxAdmitWait bound how long the starts of an accepted submission may be
	// queued, whatever slack its objective leaves. Work for which there is free capacity must
	// begin within 3 s, or it counts as lost; a third of that is left as a margin.
	minAdmitWait = 500 * time.Millisecond
	maxAdmitWait = 2 * time.Second
	// maxRetryAfter bounds the retry time before newBusyError spreads it: within a few seconds a
	// faster daemon may own the pool, and another refusal costs callers little.
	maxRetryAfter = 2 * time.Second
	// standingQueueAfter is how long an owner must be short before its backlog counts as a
	// standing queue rather than a burst: a burst of demand lasts about as long.
	standingQueueAfter = 3 * time.Second
	// orderOverheadBytes is the size of a start order on the link without its spec.
	// startsLinkShare is the fraction of a saturated link that carries start orders: 120 of 190
	// kB/s; polls, records and messages between daemons take the rest.
	orderOverheadBytes = 330
	startsLinkShare    = 0.6
	// firstStartsWithin is the time within which the link must be able to carry one start order
	// for each waiting submission. Together with starveAfter it stays below the time after which
	// work counts as lost.
	firstStartsWithin = time.Second
)

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("run: the owner could not start it in time, come back in %v", e.RetryAfter.Round(time.Millisecond))
}

// Is implements the interface used by errors.Is: the submission was certainly not accepted.
func (e *BusyError) Is(target error) bool { return target == tw.ErrRateLimited }

// checkOverload refuses a submission whose starts would be queued for too long; it returns nil if
// the submission can be accepted. Submissions with long-running steps are always accepted: they
// are placed before other work and are few.
func (o *Owner) checkOverload(s *tw.Submission) *BusyError {
	o.refreshBacklog()
	if hasLongRunningStep(s) {
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

// newBusyError returns the refusal of a submission. The retry time is spread between after and
// twice that, so that callers refused at the same moment do not all retry at once.
func newBusyError(s *tw.Submission, after time.Duration) *BusyError {
	return &BusyError{RetryAfter: after + time.Duration(spread.Fraction(string(s.ID))*float64(after))}
}

// orderWaitExcess is by how much the queueing time of a submission's starts would exceed its
// limit, at the rate at which starts are answered while the owner is short.
func (o *Owner) orderWaitExcess(s *tw.Submission) time.Duration {
	rate := o.window.capacity(o.now)
	if rate == 0 {
		return 0
	}
	return timeToStart(o.backlogAhead(s.Policy.Priority), rate) - o.maxOrderWait(s)
}

// linkWaitExcess is by how much the time to send one start for each waiting submission would exceed
// firstStartsWithin, at the rate that the daemon's link can carry. While a pool has no free
// capacity, its owner sends few starts and cannot measure its own rate; once capacity is added,
// a subtask of each submission must begin soon.
func (o *Owner) linkWaitExcess(s *tw.Submission) time.Duration {
	if o.link == 0 {
		return 0
	}
	rate := startsLinkShare * float64(o.link) / float64(len(s.Spec)+orderOverheadBytes)
	return timeToStart(o.backlog.submissions, rate) - firstStartsWithin
}

// timeToStart is how long a number of starts takes at a rate per second.
func timeToStart(starts int, rate float64) time.Duration {
	return time.Duration(float64(starts) / rate * float64(time.Second))
}

// maxOrderWait is how long the starts of a submission may be queued for it to be accepted. A
// short burst is worked off soon; with a standing queue all work would be late.
func (o *Owner) maxOrderWait(s *tw.Submission) time.Duration {
	if o.window.shortage(o.now) < standingQueueAfter {
		return maxAdmitWait
	}
	return min(max(minAdmitWait, o.slack(s)), maxAdmitWait)
}

// hasLongRunningStep reports whether a submission has steps that run until they are cancelled.
func hasLongRunningStep(s *tw.Submission) bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// slack is how long a submission may wait and still end within its objective.
func (o *Owner) slack(s *tw.Submission) time.Duration {
	rep := &repetition{sub: newSubmission(*s, ledger.Progress{})}
	for i := range s.Steps {
		rep.steps = append(rep.steps, rep.newStep(i))
	}
	longest := time.Duration(0)
	for _, path := range o.criticalPaths(rep) {
		longest = max(longest, path)
	}
	return o.objective(rep) - longest
}
