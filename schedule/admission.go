package schedule

import "time"

// Admission decides whether a submission is accepted. The load that it answers is more work than
// the pool's machines, or the starts that its owner can send, can serve: without a bound all work
// waits until it has no value. Work that is only late is accepted, as long as it can be worked off.
type (
	// Backlog is the work that a new submission would have to wait for, and what serves it.
	Backlog struct {
		// Work is the processor time, in millicore-seconds, of the accepted work that goes before
		// it and still has value.
		Work float64
		// Room is the capacity, in millicores, that can serve it at most: of all machines that
		// may serve the pool. Zero means unknown.
		Room float64
		// Starts are the starts that are sent before those of the submission, StartRate how many a
		// second the owner can send. A rate of zero means that starts do not wait.
		Starts    int
		StartRate float64
		// AnswerLoss is the share of starts that get no answer and are sent again.
		AnswerLoss float64
	}

	// Caller is what is known of a submission and its organisation.
	Caller struct {
		// WorkLimit is how long the work ahead of it may take: as long as it can still end with
		// value, or within its objective if the backlog does not shrink.
		WorkLimit time.Duration
		// StartLimit is how long its starts may wait to be sent.
		StartLimit time.Duration
		// Excess is by how much its organisation sends more than its weight (Rates.Excess).
		Excess float64
		// Returning: it was refused before, and comes back when it was told to.
		Returning bool
	}

	// Refusal says why a submission is refused, and by how much too long it would wait.
	Refusal struct {
		Reason RefusalReason
		Over   time.Duration
	}

	// RefusalReason is a reason for a refusal.
	RefusalReason string
)

// Reasons for refusals.
const (
	// RefusedNone means that the submission is accepted.
	RefusedNone RefusalReason = ""
	// RefusedRoom: its work would end too late on all machines that there are.
	RefusedRoom RefusalReason = "room"
	// RefusedStarts: the owner could not send its starts in time.
	RefusedStarts RefusalReason = "starts"
)

const (
	// newcomerShare is the part of a limit up to which submissions are accepted while others
	// that were refused are to come back: these go first.
	newcomerShare = 0.9
	// minExcessShare is the part of a limit that remains for an organisation that sends far beyond
	// its weight. In a peak most do, and late work still has value.
	minExcessShare = 0.5
	// maxAnswerLoss bounds the share of unanswered starts that is reckoned with.
	maxAnswerLoss = 0.9
)

// Refuse returns why a submission is refused, or a zero Refusal. othersReturn means that
// submissions were refused that have not come back yet.
func (b Backlog) Refuse(c Caller, othersReturn bool) Refusal {
	share := excessShare(c.Excess)
	if othersReturn && !c.Returning {
		share *= newcomerShare
	}
	if over := b.startWait() - scale(c.StartLimit, share); over > 0 {
		return Refusal{Reason: RefusedStarts, Over: over}
	}
	if over := b.WorkTime() - scale(c.WorkLimit, share); over > 0 {
		return Refusal{Reason: RefusedRoom, Over: over}
	}
	return Refusal{}
}

// startWait is how long the starts would wait to be sent.
func (b Backlog) startWait() time.Duration {
	if b.StartRate <= 0 {
		return 0
	}
	rate := b.StartRate * (1 - min(b.AnswerLoss, maxAnswerLoss))
	return seconds(float64(b.Starts) / rate)
}

// WorkTime is how long the work takes if all of the room serves it.
func (b Backlog) WorkTime() time.Duration {
	if b.Room <= 0 {
		return 0
	}
	return seconds(b.Work / b.Room)
}

// excessShare is the part of a limit that applies to an organisation with an excess: the rest is
// left to those that send within their weights.
func excessShare(excess float64) float64 { return max(1/(1+max(0, excess)), minExcessShare) }

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
