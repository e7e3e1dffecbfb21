package run

import (
	"maps"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// refusals remembers the submissions that were refused for lack of room or of starts, so that
	// those which come back go before new ones, and their value is reckoned from their first try.
	refusals struct {
		byID map[tw.SubmissionID]refusal
		// lastRetryAt is the latest time at which one was told to come back.
		lastRetryAt time.Time
	}

	// refusal is when a submission was first refused, and when it was last told to come back.
	refusal struct{ first, retryAt time.Time }
)

const (
	// maxRefusals bounds the refused submissions that are remembered.
	maxRefusals = 4096
	// returnTime is how long after its retry time a submission may come back.
	returnTime = 3 * time.Second
)

// add remembers a refused submission.
func (r *refusals) add(id tw.SubmissionID, now time.Time, retryAfter time.Duration) {
	if r.byID == nil {
		r.byID = map[tw.SubmissionID]refusal{}
	}
	if len(r.byID) >= maxRefusals {
		maps.DeleteFunc(r.byID, func(_ tw.SubmissionID, f refusal) bool { return now.After(f.retryAt.Add(returnTime)) })
	}
	f, known := r.byID[id]
	if !known {
		f.first = now
	}
	if known || len(r.byID) < maxRefusals {
		f.retryAt = now.Add(retryAfter)
		r.byID[id] = f
	}
	r.lastRetryAt = later(r.lastRetryAt, now.Add(retryAfter))
}

// forget forgets a submission that was accepted.
func (r *refusals) forget(id tw.SubmissionID) { delete(r.byID, id) }

// waited returns how long ago a submission that comes back was first refused. It returns false for
// one that was not refused.
func (r *refusals) waited(id tw.SubmissionID, now time.Time) (time.Duration, bool) {
	f, known := r.byID[id]
	if !known || now.After(f.retryAt.Add(returnTime)) {
		return 0, false
	}
	return now.Sub(f.first), true
}

// outstanding reports whether refused submissions are still to come back.
func (r *refusals) outstanding(now time.Time) bool {
	return len(r.byID) > 0 && now.Before(r.lastRetryAt)
}
