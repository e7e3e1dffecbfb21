package queue

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/run"
)

// cancelBasis is what the answer to a cancel rests on.
type cancelBasis string

const (
	// basisOwner: the owner has recorded the end.
	basisOwner cancelBasis = "owner"
	// basisRecord: the cancel is in the submission's record, and the notice of it in the inbox of the pool.
	basisRecord cancelBasis = "record"
	// basisEnded: the end was recorded before.
	basisEnded cancelBasis = "ended"
	// basisUnknown: the store had no such submission, and will not get it.
	basisUnknown cancelBasis = "unknown"
	// basisNone: there was no answer in time.
	basisNone cancelBasis = "none"
)

// Cancel cancels a submission. It fails with run.ErrUnknownSubmission if there
// is no such submission.
func (r *Router) Cancel(ctx context.Context, m member.SubmissionRequest) error {
	began := r.Clock.Now()
	ctx, stop := r.Members.ContextUntilIsolated(ctx)
	defer stop()
	for {
		basis, err := r.cancelOnce(ctx, m)
		if err == nil || errors.Is(err, run.ErrUnknownSubmission) || !r.waitRetry(ctx) {
			r.noteCancel(m, basis, err, r.Clock.Now().Sub(began))
			return err
		}
	}
}

// noteCancel logs and counts the answer to a cancel.
func (r *Router) noteCancel(m member.SubmissionRequest, basis cancelBasis, err error, took time.Duration) {
	r.Metrics.GetOrCreateCounter(fmt.Sprintf("tamarind_cancels_total{basis=%q}", string(basis))).Inc()
	owner, _ := r.Members.Owner(m.Pool)
	r.Log.Info("submission: cancel answered", zap.String("submission", string(m.ID)), zap.String("pool", string(m.Pool)),
		zap.String("basis", string(basis)), zap.String("owner", string(owner.Daemon)), zap.Int64("owner_fence", int64(owner.Fence)),
		zap.Duration("took", took), logsink.Err(err))
}

// cancelOnce makes one attempt to cancel a submission. It returns what the answer rests on. An answer must
// hold for every later owner, so it rests on what is in the store by then.
func (r *Router) cancelOnce(ctx context.Context, m member.SubmissionRequest) (cancelBasis, error) {
	ownerErr := r.cancelAtOwner(ctx, m)
	if ownerErr == nil {
		return basisOwner, nil
	}
	record, err := ledger.FindSubmission(ctx, r.KV, m.ID)
	switch {
	case errors.Is(err, tw.ErrNotFound):
		return r.cancelUnsubmitted(ctx, m)
	case err != nil:
		return basisNone, err
	case record.Organisation != m.Organisation, record.Unsubmitted:
		return basisUnknown, run.ErrUnknownSubmission
	case record.Final != "":
		return basisEnded, nil
	case record.Cancelled:
		return basisRecord, nil
	}
	if record.Pool != m.Pool {
		m.Pool = record.Pool
		if r.cancelAtOwner(ctx, m) == nil {
			return basisOwner, nil
		}
	}
	revision, err := r.KV.Commit(ctx, ledger.ConfirmCancel(m.ID, record))
	r.Log.Info("submission: cancel left in the inbox", zap.String("submission", string(m.ID)), zap.String("pool", string(record.Pool)),
		zap.Int64("revision", int64(revision)), zap.String("owner_error", ownerErr.Error()), logsink.Err(err))
	if err != nil {
		return basisNone, err
	}
	return basisRecord, nil
}

// cancelUnsubmitted cancels a submission that the store does not have.
func (r *Router) cancelUnsubmitted(ctx context.Context, m member.SubmissionRequest) (cancelBasis, error) {
	if _, err := r.KV.Commit(ctx, ledger.CancelUnsubmitted(m.Pool, m.Organisation, m.ID)); err != nil {
		return basisNone, err
	}
	return basisUnknown, run.ErrUnknownSubmission
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
