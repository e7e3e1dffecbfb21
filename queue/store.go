package queue

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// maxStoreSilence is the silence of the store from which no submission is sent to it. An answer
// takes 240 ms if the store is slow.
const maxStoreSilence = 300 * time.Millisecond

// errStoreSilent means that a submission was not sent to the store, which answers nothing.
var errStoreSilent = errors.Wrap(tw.ErrUnavailable, "queue: the store does not answer this daemon")

// submitToStore writes a submission to the pool's inbox in the store, from
// which the pool's owner reads it.
func (r *Router) submitToStore(ctx context.Context, s tw.Submission) error {
	if r.StoreSilence() > maxStoreSilence {
		return errStoreSilent
	}
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

// resolveDuplicate returns the result for a submission whose id already exists: nil if it belongs to
// the same organisation, so that a repeated request succeeds. The existence of a submission of
// another organisation is not revealed; the caller gets the error that its own was not accepted.
// Without a readable record it is unknown whether an earlier request was accepted.
func resolveDuplicate(conflict *tw.KVConflictError, s *tw.Submission) error {
	record, err := ledger.DecodeRecord(conflict.Find(ledger.SubmissionKey(s.ID)))
	switch {
	case err != nil:
		return errors.Wrapf(tw.ErrAmbiguous, "queue: refused by the store without a readable record: %v", err)
	case record.Organisation != s.Organisation:
		return errors.Wrap(tw.ErrUnavailable, "queue: the store does not take it")
	}
	return nil
}
