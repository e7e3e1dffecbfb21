package run

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/spread"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/schedule"
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
	// startsLinkShare is the fraction of a saturated link that carries start orders;
	// polls, records and messages between daemons take the rest.
	orderOverheadBytes = 330
	startsLinkShare    = 0.6
	// firstStartsWithin is the time within which the link must be able to carry one start order
	// for each waiting submission. Together with starveAfter it stays below the time after which
	// work counts as lost.
	firstStartsWithin = time.Second
	// estimateMargin times, the work ahead may take as long as a submission has value: run times
	// are estimates, and callers' estimates are off by up to about this factor.
	estimateMargin = 2
	// maxRoomAge is how old the list of machines may be from which a submission is refused.
	maxRoomAge = 10 * time.Second
	// refusedLink, refusedStore and refusedEvacuated are further reasons for refusals: the
	// daemon's link is too slow, the store does not take the record, all halls are evacuated.
	refusedLink      schedule.RefusalReason = "link"
	refusedStore     schedule.RefusalReason = "store"
	refusedEvacuated schedule.RefusalReason = "evacuated"
)

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("run: the owner could not start it in time, come back in %v", e.RetryAfter.Round(time.Millisecond))
}

// Is implements the interface used by errors.Is: the submission was certainly not accepted.
func (e *BusyError) Is(target error) bool { return target == tw.ErrRateLimited }

// checkOverload refuses a submission that would be served too late; it returns nil if the
// submission can be accepted. Submissions with long-running steps are always accepted: they are
// placed before other work and are few.
func (o *Owner) checkOverload(s *tw.Submission) *BusyError {
	o.refreshBacklog()
	if hasLongRunningStep(s) {
		return nil
	}
	waited, returning := o.refusals.waited(s.ID, o.now)
	backlog, caller := o.waitOf(s, waited, returning)
	refusal := backlog.Refuse(caller, o.refusals.outstanding(o.now))
	if refusal.Reason == schedule.RefusedNone {
		if over := o.linkWaitExcess(s); over > 0 {
			refusal = schedule.Refusal{Reason: refusedLink, Over: over}
		}
	}
	if refusal.Reason == schedule.RefusedNone {
		o.refusals.forget(s.ID)
		return nil
	}
	busy := newBusyError(s, min(refusal.Over, maxRetryAfter))
	o.refusals.add(s.ID, o.now, busy.RetryAfter)
	o.metrics.countRefusal(refusal.Reason)
	o.log.Info("submission: refused, it would wait for too long", zap.String("submission", string(s.ID)),
		zap.String("reason", string(refusal.Reason)), zap.Int("ahead", backlog.Starts), zap.Float64("starts_per_second", backlog.StartRate),
		zap.Int64("work_ahead", int64(backlog.Work)), zap.Int64("room", int64(backlog.Room)), zap.Duration("work_limit", max(0, caller.WorkLimit)),
		zap.Float64("answer_loss", backlog.AnswerLoss), zap.String("organisation", string(s.Organisation)), zap.Float64("excess", caller.Excess),
		zap.Duration("refused_for", waited), zap.Duration("backlog_age", o.now.Sub(o.backlog.countedAt)), zap.Duration("retry_after", busy.RetryAfter))
	return busy
}

// newBusyError returns the refusal of a submission. The retry time is spread between after and
// twice that, so that callers refused at the same moment do not all retry at once.
func newBusyError(s *tw.Submission, after time.Duration) *BusyError {
	return &BusyError{RetryAfter: after + time.Duration(spread.Fraction(string(s.ID))*float64(after))}
}

// waitOf returns what a submission would wait for. waited is how long ago it was first refused, if it
// was.
func (o *Owner) waitOf(s *tw.Submission, waited time.Duration, returning bool) (schedule.Backlog, schedule.Caller) {
	rep := trialRepetition(s, o)
	objective, longest := o.objective(rep), o.longestPath(rep)
	key := workKey{priority: s.Policy.Priority, beyondWeight: o.rates.Beyond(s.Organisation, o.weight(s.Organisation), o.now)}
	backlog := schedule.Backlog{
		Work:   o.backlog.workAhead(key),
		Starts: o.backlogAhead(s.Policy.Priority), StartRate: o.window.capacity(o.now),
		AnswerLoss: o.loss.share(o.now),
	}
	caller := schedule.Caller{
		WorkLimit:  estimateMargin*schedule.LateFactor*objective - waited,
		StartLimit: o.maxOrderWait(objective - longest), Returning: returning,
		Excess: o.rates.Excess(s.Organisation, o.now),
	}
	if s.Repetitions() == 1 { // else not all of it is due now
		backlog.Room = o.possibleRoom(backlog.Work, objective)
	}
	return backlog, caller
}

// possibleRoom is the capacity in millicores that can serve the pool at most: that of its workers if
// it suffices for some work within a time, else that of all machines, or of its workers if that is
// larger, as workers may offer more than the list of machines says. It is zero if the machines are
// not known.
func (o *Owner) possibleRoom(work float64, within time.Duration) float64 {
	own := 0.0
	for _, w := range o.workers {
		if !o.evacuated.Has(w.entry.Hall) {
			own += float64(w.entry.Capacity.CPU)
		}
	}
	if work <= own*within.Seconds() {
		return own
	}
	o.machineCache.RequestRefresh(o.now)
	list := o.machineCache.Latest()
	if list == nil || o.now.Sub(list.RequestedAt) > maxRoomAge {
		return 0
	}
	all := 0.0
	for _, machine := range list.Machines {
		if machine.State != tw.MachineDown && !o.evacuated.Has(machine.Hall) {
			all += float64(machine.Capacity.CPU)
		}
	}
	return max(own, all)
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

// maxOrderWait is how long the starts of a submission may be queued for it to be accepted, if it may
// wait for slack and end within its objective. A short burst is worked off soon; with a standing
// queue all work would be late.
func (o *Owner) maxOrderWait(slack time.Duration) time.Duration {
	if o.window.shortage(o.now) < standingQueueAfter {
		return maxAdmitWait
	}
	return min(max(minAdmitWait, slack), maxAdmitWait)
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

// trialRepetition returns a repetition of a submission that is not accepted yet.
func trialRepetition(s *tw.Submission, o *Owner) *repetition {
	rep := &repetition{sub: newSubmission(*s, ledger.Progress{}), due: o.now}
	for i := range s.Steps {
		rep.steps = append(rep.steps, rep.newStep(i))
	}
	return rep
}

// longestPath is the longest remaining chain of run times of a repetition.
func (o *Owner) longestPath(rep *repetition) time.Duration {
	longest := time.Duration(0)
	for _, path := range o.criticalPaths(rep, nil) {
		longest = max(longest, path)
	}
	return longest
}
