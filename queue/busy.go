package queue

import (
	"context"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// An owner refuses submissions that it cannot start in time. Routers cache this state, so that
// they do not send it further submissions that it would refuse.

// busyOwner is the cached state of a busy owner: the time until which it is assumed to be busy
// without being asked, the time from which it will accept submissions again, and the time of its
// refusal.
type busyOwner struct{ assumedUntil, retryAt, reportedAt time.Time }

const (
	// busyTTL is the maximum time for which an owner is assumed to be busy without being
	// asked. A new owner of its pool may not be busy.
	busyTTL = 2 * time.Second
	// busyAfterOwnerLoss is how long a pool counts as busy after the last refusal by an owner that
	// cannot be reached any more. It is about the duration of a takeover on a slow link.
	busyAfterOwnerLoss = 5 * time.Second
)

// submitWithoutOwner writes a submission to the store, unless the pool's owner was busy shortly
// before, because its successor inherits its backlog: what is added during the takeover would not be
// started in time.
func (r *Router) submitWithoutOwner(ctx context.Context, s tw.Submission) error {
	r.mu.Lock()
	reportedAt := r.busy[s.Policy.Pool].reportedAt
	r.mu.Unlock()
	if !reportedAt.IsZero() && r.Clock.Now().Sub(reportedAt) < busyAfterOwnerLoss {
		return r.nilIfStored(ctx, s, &run.BusyError{RetryAfter: busyTTL})
	}
	return r.submitToStore(ctx, s)
}

// recordBusy caches that a pool's owner is busy, for a quarter of its RetryAfter and at most for
// busyTTL. RetryAfter is the time for which the owner is busy plus a jitter of up to the same
// length, so the owner is certainly busy for half of RetryAfter; half of that time is used.
func (r *Router) recordBusy(pool tw.PoolID, busy *run.BusyError) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.busy[pool].assumedUntil) {
		return // the error came from the cache
	}
	r.busy[pool] = busyOwner{assumedUntil: now.Add(min(busy.RetryAfter/4, busyTTL)), retryAt: now.Add(busy.RetryAfter), reportedAt: now}
}

// cachedBusy returns a BusyError while a pool's owner is assumed to be busy. Submissions that the
// owner refuses would take the bandwidth of its link that its starts need.
func (r *Router) cachedBusy(pool tw.PoolID) error {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.busy[pool]
	if !now.Before(known.assumedUntil) {
		return nil
	}
	return &run.BusyError{RetryAfter: known.retryAt.Sub(now)}
}

// nilIfStored returns nil if an earlier attempt stored the submission, and busy otherwise. The owner
// may not have read the stored submission yet, and a refusal would wrongly tell the caller that it
// never runs.
func (r *Router) nilIfStored(ctx context.Context, s tw.Submission, busy *run.BusyError) error {
	if r.Stored(ctx, &s) {
		return nil
	}
	return busy
}

// Stored reports whether the store has the submission and it belongs to the same organisation. It
// is false if the store does not answer.
func (r *Router) Stored(ctx context.Context, s *tw.Submission) bool {
	record, err := ledger.FindSubmission(ctx, r.KV, s.ID)
	return err == nil && record.Organisation == s.Organisation
}
