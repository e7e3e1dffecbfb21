package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

type (
	// Config configures a Book.
	Config struct {
		KV    tw.KV
		Clock tw.Clock
		Log   *zap.Logger
		// Owner is the daemon that opens the book. Open sets its fence.
		Owner Owner
		// Succeeds is the latest ownership that Owner may succeed; zero for any.
		Succeeds tw.FencingToken
	}

	// Book is the ledger of one pool, opened for writing by the pool's owner. Except
	// for WriteConcurrent, its methods must not be called concurrently.
	Book struct {
		kv    tw.KV
		clock tw.Clock
		log   *zap.Logger
		owner Owner
		head  head
		// headRevision is the revision of the head record; the next write is conditional on it.
		headRevision tw.KVRevision
		// confirmedAt is the time at which the last successful write was started.
		confirmedAt time.Time
		// ownerRevision is the revision of the owner record, which changes with each owner.
		ownerRevision tw.KVRevision
	}

	// ExistsError is an ErrExists that carries the existing item.
	ExistsError struct{ Item tw.KVItem }

	// Change is a set of entries of a write that are applied together.
	Change struct {
		// Create is a key that must not exist yet; empty for none. Puts must
		// contain it.
		Create  tw.Key
		Puts    []tw.KVPut
		Removes []tw.Key
	}
)

const (
	// MaxEntries limits the total size of the changes of one write. Two entries
	// of the transaction are reserved for the head: a condition and a put.
	MaxEntries = tw.MaxTxnEntries - 2

	// minRetryDelay and maxRetryDelay bound the delay before a write with an unknown
	// outcome is retried. The store answers in 4 ms; its outages last seconds.
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Errors of this package.
var (
	// ErrOwnershipLost means that another daemon has become the owner of the pool.
	ErrOwnershipLost = errors.New("another daemon owns the pool")
	// ErrExists means that a key to be created exists already.
	ErrExists = errors.New("exists already")
)

// Error implements error.
func (e *ExistsError) Error() string { return ErrExists.Error() }

// Is lets errors.Is match ErrExists.
func (e *ExistsError) Is(target error) bool { return target == ErrExists }

// Fence returns the fencing token of this ownership.
func (b *Book) Fence() tw.FencingToken { return b.head.Fence }

// ConfirmedAt returns a time at which this daemon was certainly still the owner: when its last
// successful write was started.
func (b *Book) ConfirmedAt() time.Time { return b.confirmedAt }

// IsFirstOwner reports whether the book had never been opened before.
func (b *Book) IsFirstOwner() bool { return b.head.Fence == 1 }

// Size returns the number of transaction entries that the change needs.
func (c Change) Size() int {
	n := len(c.Puts) + len(c.Removes)
	if c.Create != "" {
		n++
	}
	return n
}

// Write applies changes in one transaction. Changes whose key to create already
// exists are left out and get ErrExists in the returned list. The error is
// ErrUnavailable or ErrRateLimited if certainly nothing was written, ErrOwnershipLost,
// ErrAmbiguous if the store reports a conflict without a failed condition, or the
// context's error. In the last case the outcome is unknown and the book must not be
// used any more.
func (b *Book) Write(ctx context.Context, changes []Change) ([]error, error) {
	results := make([]error, len(changes))
	for {
		next := b.head
		next.Count++
		sent := b.clock.Now()
		mark := tw.KVPut{Key: headKey(b.owner.Pool), Value: mustEncode(next)}
		revision, conflict, err := b.commitUntilKnown(ctx, b.transaction(changes, results, mark), mark)
		if err != nil {
			return nil, err
		}
		if conflict == nil {
			b.head, b.headRevision, b.confirmedAt = next, revision, sent
			return results, nil
		}
		if err := b.resolveConflict(conflict, changes, results); err != nil {
			return nil, err
		}
	}
}

// WriteConcurrent applies changes outside the chain of Write. It may be called concurrently, also
// with Write. No change may depend on another one in flight, and each must be idempotent: it
// stores a new submission or ends one. The results are those of Write, except that a new
// submission whose first answer was lost may get ErrExists: the record in the store was
// written either by this call or by another daemon, which then also left a message in the owner's
// inbox.
func (b *Book) WriteConcurrent(ctx context.Context, changes []Change) ([]error, error) {
	results := make([]error, len(changes))
	ambiguous := false
	for pause := minRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
		txn := buildTxn(changes, results)
		if len(txn.Puts)+len(txn.Removes) == 0 {
			return results, nil // all submissions exist
		}
		txn.Conditions = append(txn.Conditions, tw.KVCondition{Key: OwnerKey(b.owner.Pool), Revision: b.ownerRevision})
		_, err := b.kv.Commit(ctx, txn)
		var conflict *tw.KVConflictError
		switch {
		case err == nil:
			return results, nil
		case errors.As(err, &conflict):
			if conflict.Find(OwnerKey(b.owner.Pool)).Revision != b.ownerRevision {
				return nil, ErrOwnershipLost
			}
			if !markExisting(conflict, changes, results) {
				return nil, errors.Wrap(tw.ErrAmbiguous, "ledger.WriteConcurrent: the store names no condition that fails")
			}
			continue
		case tw.NotApplied(err) && !ambiguous:
			return nil, err
		case !tw.NotApplied(err):
			ambiguous = true
		}
		b.log.Warn("ledger: concurrent write unanswered, sent again", zap.String("pool", string(b.owner.Pool)), logsink.Err(err))
		select {
		case <-b.clock.After(pause):
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "ledger.WriteConcurrent: outcome unknown")
		}
	}
}

// resolveConflict marks the changes whose key to create exists. It returns ErrOwnershipLost if the
// head did not match.
func (b *Book) resolveConflict(conflict *tw.KVConflictError, changes []Change, results []error) error {
	if conflict.Find(headKey(b.owner.Pool)).Revision != b.headRevision {
		return ErrOwnershipLost
	}
	if !markExisting(conflict, changes, results) {
		return errors.Wrap(tw.ErrAmbiguous, "ledger.Write: the store names no condition that fails")
	}
	return nil
}

// markExisting sets the result of the changes whose key to create exists, and reports
// whether there are any.
func markExisting(conflict *tw.KVConflictError, changes []Change, results []error) bool {
	found := false
	for i, change := range changes {
		if change.Create != "" && results[i] == nil && conflict.Find(change.Create).Revision != 0 {
			results[i] = &ExistsError{Item: conflict.Find(change.Create)}
			found = true
		}
	}
	return found
}

func (b *Book) transaction(changes []Change, results []error, mark tw.KVPut) tw.KVTxn {
	txn := buildTxn(changes, results)
	txn.Conditions = append(txn.Conditions, tw.KVCondition{Key: mark.Key, Revision: b.headRevision})
	txn.Puts = append(txn.Puts, mark)
	return txn
}

// buildTxn builds the transaction of the changes that have no result yet, without the condition
// that proves the ownership.
func buildTxn(changes []Change, results []error) tw.KVTxn {
	var txn tw.KVTxn
	for i, change := range changes {
		if results[i] != nil {
			continue
		}
		if change.Create != "" {
			txn.Conditions = append(txn.Conditions, tw.KVCondition{Key: change.Create})
		}
		txn.Puts = append(txn.Puts, change.Puts...)
		txn.Removes = append(txn.Removes, change.Removes...)
	}
	return txn
}

// commitUntilKnown commits a transaction and retries it until its outcome is known. mark is a put
// of the transaction that identifies it. After a lost answer the same transaction either succeeds
// or conflicts. If it conflicts and the key of mark holds the value of mark, an earlier attempt was
// applied.
func (b *Book) commitUntilKnown(ctx context.Context, txn tw.KVTxn, mark tw.KVPut) (tw.KVRevision, *tw.KVConflictError, error) {
	ambiguous := false
	for pause := minRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
		revision, err := b.kv.Commit(ctx, txn)
		var conflict *tw.KVConflictError
		switch {
		case err == nil:
			return revision, nil, nil
		case errors.As(err, &conflict):
			if present := conflict.Find(mark.Key); bytes.Equal(present.Value, mark.Value) {
				return present.Revision, nil, nil
			}
			return 0, conflict, nil
		case tw.NotApplied(err) && !ambiguous:
			return 0, nil, err
		case !tw.NotApplied(err):
			ambiguous = true
		}
		b.log.Warn("ledger: write unanswered, sent again", zap.String("pool", string(b.owner.Pool)),
			zap.Int64("count", b.head.Count+1), logsink.Err(err))
		select {
		case <-b.clock.After(pause):
		case <-ctx.Done():
			return 0, nil, errors.Wrap(ctx.Err(), "ledger.Write: outcome unknown")
		}
	}
}

// mustEncode returns v as JSON. It panics on an error, which the types of this package cannot
// cause.
func mustEncode(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}

// ContainsError reports whether any error of the list matches target.
func ContainsError(list []error, target error) bool {
	return slices.ContainsFunc(list, func(err error) bool { return errors.Is(err, target) })
}
