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
		// Owner is the daemon that opens the book. Its fence is set by Open.
		Owner Owner
	}

	// Book is the ledger of one pool, open for writing. Its methods are for
	// one goroutine at a time.
	Book struct {
		kv    tw.KV
		clock tw.Clock
		log   *zap.Logger
		owner Owner
		head  head
		// headRevision of the head record, which the next write demands.
		headRevision tw.KVRevision
		// confirmedAt is when the last write that was done was first sent.
		confirmedAt time.Time
		// ownerRevision is the revision of the owner's record, which changes with each owner.
		ownerRevision tw.KVRevision
	}

	// ExistsError is ErrExists with what stands under the key.
	ExistsError struct{ Item tw.KVItem }

	// Change is what one submission contributes to a write.
	Change struct {
		// Create is a key that must not exist yet; empty for none. It stands
		// among the puts.
		Create  tw.Key
		Puts    []tw.KVPut
		Removes []tw.Key
	}
)

const (
	// MaxEntries is what the changes of one write may hold together: the
	// head takes a condition and a put.
	MaxEntries = tw.MaxTxnEntries - 2

	// minRetryDelay and retryMost bound the pause before an unclear write is
	// sent again: the store answers in 4 ms, and its outages last seconds.
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Errors of this package.
var (
	// ErrOwnershipLost says that another daemon has opened the book.
	ErrOwnershipLost = errors.New("another daemon owns the pool")
	// ErrExists says that a key that was to be created exists.
	ErrExists = errors.New("exists already")
)

// Error implements error.
func (e *ExistsError) Error() string { return ErrExists.Error() }

// Is implements the interface of errors.Is.
func (e *ExistsError) Is(target error) bool { return target == ErrExists }

// Fence is the number of this ownership.
func (b *Book) Fence() tw.FencingToken { return b.head.Fence }

// ConfirmedAt is a time at which nobody had opened the book after this daemon: when its
// last successful write was sent.
func (b *Book) ConfirmedAt() time.Time { return b.confirmedAt }

// IsFirstOwner tells whether nobody has opened the book before.
func (b *Book) IsFirstOwner() bool { return b.head.Fence == 1 }

// Size counts the entries that a change takes of a transaction.
func (c Change) Size() int {
	n := len(c.Puts) + len(c.Removes)
	if c.Create != "" {
		n++
	}
	return n
}

// Write makes changes durable, all at once but for those whose key to create
// exists: these get ErrExists in the list that is returned. An error for the
// whole is ErrUnavailable or ErrRateLimited (surely nothing was done),
// ErrDeposed, or the context's: then it is unclear what was done, and the
// book can't be used any more.
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

// WriteConcurrent makes changes durable beside the writes of the book's own chain, and of others
// that are made so at the same time: it may be called by several goroutines. No change may
// depend on another that is under way, and each must be one that can be made twice: a
// submission that is new, or one that has ended. The outcome is as that of Write, but that
// a new submission whose first answer was lost may get ErrExists: what stands in the store
// may be its own, or what another daemon has kept, with a message for the owner.
func (b *Book) WriteConcurrent(ctx context.Context, changes []Change) ([]error, error) {
	results := make([]error, len(changes))
	unclear := false
	for pause := minRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
		txn := buildTxn(changes, results)
		if len(txn.Puts)+len(txn.Removes) == 0 {
			return results, nil // all of it exists
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
				return nil, errors.Wrap(tw.ErrAmbiguous, "ledger.WriteApart: the store names no condition that fails")
			}
			continue
		case tw.NotApplied(err) && !unclear:
			return nil, err
		case !tw.NotApplied(err):
			unclear = true
		}
		b.log.Warn("ledger: write apart unanswered, sent again", zap.String("pool", string(b.owner.Pool)), logsink.Err(err))
		select {
		case <-b.clock.After(pause):
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "ledger.WriteApart: outcome unknown")
		}
	}
}

// resolveConflict marks the changes whose key exists. It fails with ErrDeposed if it
// was the head that did not match.
func (b *Book) resolveConflict(conflict *tw.KVConflictError, changes []Change, results []error) error {
	if conflict.Find(headKey(b.owner.Pool)).Revision != b.headRevision {
		return ErrOwnershipLost
	}
	if !markExisting(conflict, changes, results) {
		return errors.Wrap(tw.ErrAmbiguous, "ledger.Write: the store names no condition that fails")
	}
	return nil
}

// markExisting marks the changes whose key exists; false if there is none.
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

// buildTxn is the transaction of those changes that have no result yet, without what proves
// the ownership.
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

// commitUntilKnown sends a transaction until it is known whether it was done: a lost
// answer is followed by the same transaction, which finds either the put that marks it
// or what stood there before.
func (b *Book) commitUntilKnown(ctx context.Context, txn tw.KVTxn, mark tw.KVPut) (tw.KVRevision, *tw.KVConflictError, error) {
	unclear := false
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
		case tw.NotApplied(err) && !unclear:
			return 0, nil, err
		case !tw.NotApplied(err):
			unclear = true
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

// mustEncode cannot fail for the types of this package.
func mustEncode(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}

// ContainsError tells whether a list of errors holds one.
func ContainsError(list []error, target error) bool {
	return slices.ContainsFunc(list, func(err error) bool { return errors.Is(err, target) })
}
