package queue

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// Pools finds the owners that run in this daemon.
	Pools interface {
		// Local is the owner of a pool if it is this daemon, else nil.
		Local(pool tw.PoolID) *run.Owner
	}

	// RouterConfig configures a Router.
	RouterConfig struct {
		Pools   Pools
		Members *member.Members
		Peers   *member.Peers
		KV      tw.KV
		Clock   tw.Clock
		Log     *zap.Logger
	}

	// Router brings requests to the owner of their pool.
	Router struct {
		RouterConfig

		mu sync.Mutex
		// counts are the last counts of waiting submissions, by route.
		counts map[tw.RouteName]waitingCount
		// busy are the pools whose owners were busy when they were last asked.
		busy map[tw.PoolID]busyOwner
	}

	// waitingCount is what an owner told at a moment.
	waitingCount struct {
		count int
		at    time.Time
	}
)

const (
	// peerTimeout bounds one call to an owner: a submission takes two round
	// trips of 2 ms and a write of 4 ms, or of 240 ms in a slow store.
	peerTimeout = 900 * time.Millisecond
	// retryDelay is the pause before an owner is looked for again.
	retryDelay = 60 * time.Millisecond
	// countMaxAge is how old a count of waiting submissions may be; the platform
	// allows 2 s.
	countMaxAge = 1500 * time.Millisecond
)

// errIsolated proves that nothing was sent: nothing would answer.
var errIsolated = errors.Wrap(tw.ErrUnavailable, "queue: neither the store nor another hall answers this daemon")

// New makes a router.
func (c RouterConfig) New() *Router {
	return &Router{RouterConfig: c, counts: map[tw.RouteName]waitingCount{}, busy: map[tw.PoolID]busyOwner{}}
}

// Submit has a submission kept. ErrUnavailable proves that it was not taken
// and never runs; after ErrUnclear it may have been.
func (r *Router) Submit(ctx context.Context, s tw.Submission) error {
	return r.submit(ctx, s, r.submitToOwner)
}

func (r *Router) submit(ctx context.Context, s tw.Submission, toOwner func(context.Context, tw.Submission) error) error {
	ctx, stop := r.Members.ContextUntilIsolated(ctx)
	defer stop()
	unclear := false
	for {
		if r.Members.Isolated() && !unclear {
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
			// The store would keep what the owner can't start in time.
			r.recordBusy(s.Policy.Pool, busy)
			err = r.nilIfStored(ctx, s, busy)
		} else {
			unclear = unclear || !notApplied(err)
			err = r.submitWithoutOwner(ctx, s)
		}
		if err == nil {
			return nil
		}
		unclear = unclear || !notApplied(err)
		if !unclear {
			return err
		}
		if !r.waitRetry(ctx) {
			return errors.Wrap(tw.ErrAmbiguous, "queue: submission")
		}
	}
}

// notApplied tells whether an error proves that nothing was done.
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

// owner is the daemon to ask about a pool. It fails with run.ErrNotOwner, and
// nothing is sent, if there is none or it is known not to answer.
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

// submitToStore keeps a submission without the pool's owner, which finds it
// in its inbox.
func (r *Router) submitToStore(ctx context.Context, s tw.Submission) error {
	_, err := r.KV.Commit(ctx, ledger.AcceptViaInbox(&s))
	var conflict *tw.KVConflictError
	if errors.As(err, &conflict) {
		return resolveDuplicate(conflict, &s)
	}
	if err == nil {
		r.Log.Info("submission: kept without the owner", zap.String("submission", string(s.ID)),
			zap.String("pool", string(s.Policy.Pool)))
	}
	return err
}

// resolveDuplicate tells what it means for a submission that its id is taken: nothing if it was
// kept before. One of another organisation is not to be told of; as far as the caller can
// tell, its own was not taken.
func resolveDuplicate(conflict *tw.KVConflictError, s *tw.Submission) error {
	record, err := ledger.DecodeRecord(conflict.Find(ledger.SubmissionKey(s.ID)))
	if err == nil && record.Organisation != s.Organisation {
		return errors.Wrap(tw.ErrUnavailable, "queue: the store does not take it")
	}
	return nil
}

// Cancel cancels a submission. It fails with run.ErrUnknown if there is none.
func (r *Router) Cancel(ctx context.Context, m member.SubmissionRequest) error {
	ctx, stop := r.Members.ContextUntilIsolated(ctx)
	defer stop()
	for {
		err := r.cancelOnce(ctx, m)
		if err == nil || errors.Is(err, run.ErrUnknownSubmission) || !r.waitRetry(ctx) {
			return err
		}
	}
}

func (r *Router) cancelOnce(ctx context.Context, m member.SubmissionRequest) error {
	err := r.cancelAtOwner(ctx, m)
	if err == nil {
		return nil
	}
	record, findErr := ledger.FindSubmission(ctx, r.KV, m.ID)
	switch {
	case errors.Is(findErr, tw.ErrNotFound):
		return run.ErrUnknownSubmission
	case findErr != nil:
		return findErr
	case record.Organisation != m.Organisation:
		return run.ErrUnknownSubmission
	case record.Final != "":
		return nil
	}
	if record.Pool != m.Pool {
		m.Pool = record.Pool
		if err := r.cancelAtOwner(ctx, m); err == nil {
			return nil
		}
	}
	_, err = r.KV.Commit(ctx, ledger.CancelViaInbox(record.Pool, m.ID))
	return err
}

func (r *Router) cancelAtOwner(ctx context.Context, m member.SubmissionRequest) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if local := r.Pools.Local(m.Pool); local != nil {
		return local.Cancel(ctx, m.Organisation, m.ID)
	}
	owner, err := r.owner(m.Pool)
	if err != nil {
		return err
	}
	resp, err := r.Peers.Cancel(ctx, owner.Address, m)
	if err != nil {
		return err
	}
	return ErrorOf(resp.Outcome)
}

// State tells a submission's state. It fails with run.ErrUnknown if there is
// none.
func (r *Router) State(ctx context.Context, m member.SubmissionRequest) (tw.SubmissionState, error) {
	// What an owner here knows is told also while nothing else answers.
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
	case record.Organisation != m.Organisation:
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

// recordedState is what the store tells of a submission that has not ended.
func (r *Router) recordedState(ctx context.Context, pool tw.PoolID, id tw.SubmissionID) (tw.SubmissionState, error) {
	progress, err := ledger.FindProgress(ctx, r.KV, pool, id)
	if err != nil {
		return "", err
	}
	if progress.Finished > 0 || len(progress.Repetitions) > 0 {
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

// Waiting counts a route's waiting submissions; if the owner can't be
// reached, it is the last count that it told, unless that is too old.
func (r *Router) Waiting(ctx context.Context, pool tw.PoolID, route tw.RouteName) (int, error) {
	asked := r.Clock.Now()
	count, err := r.waitingAtOwner(ctx, pool, route)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.counts[route] = waitingCount{count: count, at: asked}
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

// waitRetry waits before the next try; false if there is no time for one.
func (r *Router) waitRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(retryDelay):
		return ctx.Err() == nil
	}
}

// ErrorOf is the error that an outcome stands for.
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
	case member.OutcomeUnknown:
		return run.ErrUnknownSubmission
	}
	return tw.ErrAmbiguous
}

// OutcomeOf is the outcome that an error of an Owner stands for.
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
		return member.OutcomeUnknown
	}
	return member.OutcomeAmbiguous
}
