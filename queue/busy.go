package queue

import (
	"context"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// An owner refuses what it can't start in time. What the routers know of that spares it the
// submissions that it would only refuse.

// busyOwner is an owner that is known to be busy until a moment, when it will take
// submissions again, and when it has said so.
type busyOwner struct{ assumedUntil, retryAt, reportedAt time.Time }

const (
	// busyTTL bounds how long an owner is taken to be busy without being asked: a new
	// owner of its pool may not be.
	busyTTL = 2 * time.Second
	// busyAfterOwnerLoss is how long a pool counts as busy whose owner can't be asked any more:
	// about as long as a takeover on a narrow link takes.
	busyAfterOwnerLoss = 5 * time.Second
)

// submitWithoutOwner has the store keep a submission, unless the pool's owner was busy just
// before: its successor inherits what it owed. In 4.5 s of a takeover 250 submissions came to
// 120 that waited already, and nothing of most of them was begun in time.
func (r *Router) submitWithoutOwner(ctx context.Context, s tw.Submission) error {
	r.mu.Lock()
	told := r.busy[s.Policy.Pool].reportedAt
	r.mu.Unlock()
	if !told.IsZero() && r.Clock.Now().Sub(told) < busyAfterOwnerLoss {
		return r.nilIfStored(ctx, s, &run.BusyError{RetryAfter: busyTTL})
	}
	return r.submitToStore(ctx, s)
}

// recordBusy keeps for a while that a pool's owner is busy: half as long as that surely lasts,
// which is half of the time that it tells callers at the most.
func (r *Router) recordBusy(pool tw.PoolID, busy *run.BusyError) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.busy[pool].assumedUntil) {
		return // the answer came from here
	}
	r.busy[pool] = busyOwner{assumedUntil: now.Add(min(busy.RetryAfter/4, busyTTL)), retryAt: now.Add(busy.RetryAfter), reportedAt: now}
}

// cachedBusy is a BusyError while a pool's owner is known to be busy. A submission has up to
// 4 kB: 100 a second of them, only to be refused, filled the link of an owner with 2 Mbit/s,
// so that it could send 40 starts a second where it had sent 150.
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

// nilIfStored is nil if a submission that its owner is too busy for was kept in another try, of
// which the owner may not know yet: to say then that it never runs would be wrong.
func (r *Router) nilIfStored(ctx context.Context, s tw.Submission, busy *run.BusyError) error {
	if r.Stored(ctx, &s) {
		return nil
	}
	return busy
}

// Stored tells whether the store is known to have a submission of the caller's.
func (r *Router) Stored(ctx context.Context, s *tw.Submission) bool {
	record, err := ledger.FindSubmission(ctx, r.KV, s.ID)
	return err == nil && record.Organisation == s.Organisation
}
