package queue

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// Pools provides the pool owners that run in this daemon.
	Pools interface {
		// Local returns the owner of a pool if it runs in this daemon, or nil.
		Local(pool tw.PoolID) *run.Owner
	}

	// RouterConfig configures a Router.
	RouterConfig struct {
		Pools   Pools
		Members *member.Members
		Peers   *member.Peers
		KV      tw.KV
		// StoreSilence returns how long the store has answered none of this daemon's calls; zero
		// if none is waiting. It may be nil.
		StoreSilence func() time.Duration
		Clock        tw.Clock
		Log          *zap.Logger
		// Metrics counts the answers to cancels; it may be nil.
		Metrics *metrics.Set
	}

	// Router forwards requests to the owner of their pool.
	Router struct {
		RouterConfig

		mu sync.Mutex
		// counts caches the number of waiting submissions, by route.
		counts map[tw.RouteName]waitingCount
		// busy caches the state of the owners that were busy at the last request.
		busy map[tw.PoolID]busyOwner
	}

	// waitingCount is a number of waiting submissions and the time of its request.
	waitingCount struct {
		count int
		at    time.Time
	}
)

const (
	// peerTimeout is the timeout of a call to an owner. A submission takes two
	// round trips of 2 ms and a write of 4 ms, or of 240 ms if the store is slow.
	peerTimeout = 900 * time.Millisecond
	// retryDelay is the delay before another attempt to reach an owner.
	retryDelay = 60 * time.Millisecond
	// countMaxAge is the maximum age of a cached count of waiting submissions. The
	// platform allows 2 s.
	countMaxAge = 1500 * time.Millisecond
)

// errIsolated means that no request was sent because this daemon is isolated.
var errIsolated = errors.Wrap(tw.ErrUnavailable, "queue: neither the store nor another hall answers this daemon")

// New creates a router.
func (c RouterConfig) New() *Router {
	if c.StoreSilence == nil {
		c.StoreSilence = func() time.Duration { return 0 }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return &Router{RouterConfig: c, counts: map[tw.RouteName]waitingCount{}, busy: map[tw.PoolID]busyOwner{}}
}

// Submit has a submission accepted by the owner of its pool, or stored for it.
// ErrUnavailable means that it was not accepted and never runs; after
// ErrAmbiguous it may have been accepted.
func (r *Router) Submit(ctx context.Context, s tw.Submission) error {
	return r.submit(ctx, s, r.submitToOwner)
}

func (r *Router) submit(ctx context.Context, s tw.Submission, toOwner func(context.Context, tw.Submission) error) error {
	ctx, stop := r.Members.ContextUntilIsolated(ctx)
	defer stop()
	ambiguous := false
	for {
		if r.Members.Isolated() && !ambiguous {
			return errIsolated
		}
		err := r.cachedBusy(s.Policy.Pool)
		if err == nil {
			err = toOwner(ctx, s)
		}
		if err == nil {
			return nil
		}
		if busy := (*run.BusyError)(nil); errors.As(err, &busy) {
			// A submission that the owner cannot start in time is not stored for it.
			r.recordBusy(s.Policy.Pool, busy)
			err = r.nilIfStored(ctx, s, busy)
		} else {
			ambiguous = ambiguous || !notApplied(err)
			err = r.submitWithoutOwner(ctx, s)
		}
		if err == nil {
			return nil
		}
		ambiguous = ambiguous || !notApplied(err)
		if !ambiguous {
			return err
		}
		if !r.waitRetry(ctx) {
			return errors.Wrap(tw.ErrAmbiguous, "queue: submission")
		}
	}
}

// notApplied reports whether an error proves that a call had no effect.
func notApplied(err error) bool {
	return tw.NotApplied(err) || errors.Is(err, run.ErrNotOwner) || errors.Is(err, tw.ErrNotListening)
}

func (r *Router) submitToOwner(ctx context.Context, s tw.Submission) error {
	pool := s.Policy.Pool
	if local := r.Pools.Local(pool); local != nil {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		return local.Submit(ctx, s)
	}
	owner, err := r.owner(pool)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := r.Peers.Submit(ctx, owner.Address, s)
	if err != nil {
		return err
	}
	if resp.Outcome == member.OutcomeBusy {
		return &run.BusyError{RetryAfter: resp.RetryAfter}
	}
	return ErrorOf(resp.Outcome)
}

// owner returns the owner of a pool. It fails with run.ErrNotOwner, without
// sending anything, if no owner is known or it does not answer pings.
func (r *Router) owner(pool tw.PoolID) (ledger.Owner, error) {
	owner, found := r.Members.Owner(pool)
	if !found {
		return owner, errors.Wrap(run.ErrNotOwner, "queue: the pool has no owner")
	}
	if r.Members.Unresponsive(owner.Address) {
		return owner, errors.Wrap(run.ErrNotOwner, "queue: the pool's owner does not answer")
	}
	return owner, nil
}

// State returns a submission's state. It fails with run.ErrUnknownSubmission if
// there is no such submission.
func (r *Router) State(ctx context.Context, m member.SubmissionRequest) (tw.SubmissionState, error) {
	// A local owner can answer even while this daemon is isolated.
	if local := r.Pools.Local(m.Pool); local != nil {
		if state, err := local.State(ctx, m.Organisation, m.ID); err == nil {
			return state, nil
		}
	}
	ctx, stop := r.Members.ContextUntilIsolated(ctx)
	defer stop()
	for {
		state, err := r.stateOnce(ctx, m)
		if err == nil || errors.Is(err, run.ErrUnknownSubmission) || !r.waitRetry(ctx) {
			return state, err
		}
	}
}

func (r *Router) stateOnce(ctx context.Context, m member.SubmissionRequest) (tw.SubmissionState, error) {
	state, err := r.stateAtOwner(ctx, m)
	if err == nil {
		return state, nil
	}
	record, err := ledger.FindSubmission(ctx, r.KV, m.ID)
	switch {
	case errors.Is(err, tw.ErrNotFound):
		return "", run.ErrUnknownSubmission
	case err != nil:
		return "", err
	case record.Organisation != m.Organisation, record.Unsubmitted:
		return "", run.ErrUnknownSubmission
	case record.Final != "":
		return record.Final, nil
	}
	if record.Pool != m.Pool {
		m.Pool = record.Pool
		if state, err := r.stateAtOwner(ctx, m); err == nil {
			return state, nil
		}
	}
	return r.recordedState(ctx, record.Pool, m.ID)
}

// recordedState returns the stored state of a submission that has not ended.
func (r *Router) recordedState(ctx context.Context, pool tw.PoolID, id tw.SubmissionID) (tw.SubmissionState, error) {
	progress, err := ledger.FindProgress(ctx, r.KV, pool, id)
	if err != nil {
		return "", err
	}
	if progress.Begun() {
		return tw.SubmissionStarted, nil
	}
	return tw.SubmissionWaiting, nil
}

func (r *Router) stateAtOwner(ctx context.Context, m member.SubmissionRequest) (tw.SubmissionState, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if local := r.Pools.Local(m.Pool); local != nil {
		return local.State(ctx, m.Organisation, m.ID)
	}
	owner, err := r.owner(m.Pool)
	if err != nil {
		return "", err
	}
	resp, err := r.Peers.State(ctx, owner.Address, m)
	if err != nil {
		return "", err
	}
	return resp.State, ErrorOf(resp.Outcome)
}

// Waiting returns the number of a route's waiting submissions. If the owner
// cannot be reached, it returns the last known number unless that is too old.
func (r *Router) Waiting(ctx context.Context, pool tw.PoolID, route tw.RouteName) (int, error) {
	requestedAt := r.Clock.Now()
	count, err := r.waitingAtOwner(ctx, pool, route)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.counts[route] = waitingCount{count: count, at: requestedAt}
		return count, nil
	}
	if last, known := r.counts[route]; known && r.Clock.Now().Sub(last.at) <= countMaxAge {
		return last.count, nil
	}
	return 0, err
}

func (r *Router) waitingAtOwner(ctx context.Context, pool tw.PoolID, route tw.RouteName) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if local := r.Pools.Local(pool); local != nil {
		return local.Waiting(ctx, route)
	}
	owner, err := r.owner(pool)
	if err != nil {
		return 0, err
	}
	resp, err := r.Peers.Waiting(ctx, owner.Address, member.WaitingRequest{Pool: pool, Route: route})
	if err != nil {
		return 0, err
	}
	return resp.Count, ErrorOf(resp.Outcome)
}

// waitRetry waits before the next attempt. It returns false if ctx ends first.
func (r *Router) waitRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(retryDelay):
		return ctx.Err() == nil
	}
}

// ErrorOf returns the error that corresponds to an outcome.
func ErrorOf(o member.Outcome) error {
	switch o {
	case member.OutcomeDone:
		return nil
	case member.OutcomeNotOwner:
		return run.ErrNotOwner
	case member.OutcomeNotApplied:
		return tw.ErrUnavailable
	case member.OutcomeBusy:
		return &run.BusyError{}
	case member.OutcomeUnknownSubmission:
		return run.ErrUnknownSubmission
	}
	return tw.ErrAmbiguous
}

// OutcomeOf returns the outcome that corresponds to an error of a run.Owner.
func OutcomeOf(err error) member.Outcome {
	switch {
	case err == nil:
		return member.OutcomeDone
	case errors.Is(err, run.ErrNotOwner):
		return member.OutcomeNotOwner
	case errors.HasType(err, (*run.BusyError)(nil)):
		return member.OutcomeBusy
	case tw.NotApplied(err):
		return member.OutcomeNotApplied
	case errors.Is(err, run.ErrUnknownSubmission):
		return member.OutcomeUnknownSubmission
	}
	return member.OutcomeAmbiguous
}
