package tamarindworks

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// KVRevision is a point in the history of the metadata store. Zero means
	// that a key does not exist.
	KVRevision int64
	// KVLeaseID names a lease of the metadata store; zero is none.
	KVLeaseID int64

	// KVItem is a key with its value.
	KVItem struct {
		Key      Key
		Value    []byte
		Revision KVRevision // of the last change
		Lease    KVLeaseID
	}

	// KVEvent is a change: an item as it was written, or a removal.
	KVEvent struct {
		Item    KVItem
		Removed bool
	}

	// KVCondition demands that a key has a revision; zero, that it is absent.
	KVCondition struct {
		Key      Key
		Revision KVRevision
	}

	// KVPut writes a value, under a lease if Lease is not zero.
	KVPut struct {
		Key   Key
		Value []byte
		Lease KVLeaseID
	}

	// KVTxn is a change that happens as a whole or not at all. It holds at
	// most MaxTxnEntries conditions, puts and removals together.
	KVTxn struct {
		Conditions []KVCondition
		Puts       []KVPut
		Removes    []Key
	}

	// KVConflictError is the error of a transaction whose conditions do not hold.
	// Items are the present items of the conditions' keys.
	KVConflictError struct {
		Items []KVItem
	}

	// KV is the platform's metadata store. Calls fail with ErrUnavailable
	// (surely not done), ErrRateLimited (surely not done, too many calls),
	// ErrUnclear (a write may have happened, or may still happen while its
	// conditions hold), ErrNotFound, ErrHistoryGone or *KVConflict.
	KV interface {
		Get(ctx context.Context, key Key) (KVItem, error)
		// Range reads all keys below a prefix. The revision is that of the
		// first page: a watch from there misses nothing.
		Range(ctx context.Context, prefix Key) ([]KVItem, KVRevision, error)
		// Watch waits for changes after a revision, at most for wait. No
		// events is no error.
		Watch(ctx context.Context, prefix Key, after KVRevision, wait time.Duration) ([]KVEvent, KVRevision, error)
		Commit(ctx context.Context, txn KVTxn) (KVRevision, error)
		// Grant makes a lease; the duration is the one in force.
		Grant(ctx context.Context, ttl time.Duration) (KVLeaseID, time.Duration, error)
		// Renew prolongs a lease; ErrNotFound says that it is over.
		Renew(ctx context.Context, lease KVLeaseID) error
		Revoke(ctx context.Context, lease KVLeaseID) error
	}
)

// MaxTxnEntries is the store's bound for one transaction.
const MaxTxnEntries = 32

// Errors of the metadata store beside those of Store.
var (
	// ErrHistoryGone says that a watch must begin anew from a range.
	ErrHistoryGone = errors.New("history is gone")
	// ErrRateLimited says that a call was refused for its rate and not done.
	ErrRateLimited = errors.New("refused for rate")
)

// Error implements error.
func (c *KVConflictError) Error() string { return "condition of a transaction does not hold" }

// Find is the present item of a key; it has revision zero if there is none.
func (c *KVConflictError) Find(key Key) KVItem {
	for _, item := range c.Items {
		if item.Key == key {
			return item
		}
	}
	return KVItem{Key: key}
}

// NotApplied tells whether an error proves that a call had no effect.
func NotApplied(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
}

// TimedOut tells whether a call ended because nothing came, rather than by a connection that
// was closed.
func TimedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
