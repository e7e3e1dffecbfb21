package tamarindworks

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// KVRevision is a revision of the metadata store. Zero means that a key
	// does not exist.
	KVRevision int64
	// KVLeaseID identifies a lease of the metadata store; zero means none.
	KVLeaseID int64

	// KVItem is a key-value pair.
	KVItem struct {
		Key      Key
		Value    []byte
		Revision KVRevision // of the last change
		Lease    KVLeaseID
	}

	// KVEvent is the write or removal of an item.
	KVEvent struct {
		Item    KVItem
		Removed bool
	}

	// KVCondition requires a key to have a revision; zero requires it to be
	// absent.
	KVCondition struct {
		Key      Key
		Revision KVRevision
	}

	// KVPut writes a value, attached to a lease if Lease is not zero.
	KVPut struct {
		Key   Key
		Value []byte
		Lease KVLeaseID
	}

	// KVTxn is an atomic transaction. It has at most MaxTxnEntries
	// conditions, puts and removals in total.
	KVTxn struct {
		Conditions []KVCondition
		Puts       []KVPut
		Removes    []Key
	}

	// KVConflictError is the error of a transaction whose conditions do not hold.
	// Items holds the current items of the conditions' keys.
	KVConflictError struct {
		Items []KVItem
	}

	// KV is the platform's metadata store. Calls fail with ErrUnavailable
	// (certainly not executed), ErrRateLimited (certainly not executed, too
	// many calls), ErrAmbiguous (a write may have been executed, or may still
	// be executed while its conditions hold), ErrNotFound, ErrHistoryGone or
	// *KVConflictError.
	KV interface {
		Get(ctx context.Context, key Key) (KVItem, error)
		// Range reads all keys with a prefix. The revision is that of the
		// first page, so that a watch from it misses no change.
		Range(ctx context.Context, prefix Key) ([]KVItem, KVRevision, error)
		// Watch waits up to wait for changes after a revision. It returns no
		// error if there are none.
		Watch(ctx context.Context, prefix Key, after KVRevision, wait time.Duration) ([]KVEvent, KVRevision, error)
		Commit(ctx context.Context, txn KVTxn) (KVRevision, error)
		// Grant creates a lease and returns the TTL that was granted.
		Grant(ctx context.Context, ttl time.Duration) (KVLeaseID, time.Duration, error)
		// Renew extends a lease; ErrNotFound means that it has expired.
		Renew(ctx context.Context, lease KVLeaseID) error
		Revoke(ctx context.Context, lease KVLeaseID) error
	}
)

// MaxTxnEntries is the store's limit on the entries of one transaction.
const MaxTxnEntries = 32

// Errors of the metadata store in addition to those of Store.
var (
	// ErrHistoryGone means that the store no longer has the events after the
	// watched revision; the keys must be read again with Range.
	ErrHistoryGone = errors.New("history is gone")
	// ErrRateLimited means that a call exceeded the rate limit and was not
	// executed.
	ErrRateLimited = errors.New("refused for rate")
)

// Error implements error.
func (c *KVConflictError) Error() string { return "condition of a transaction does not hold" }

// Find returns the current item of a key; its revision is zero if there is
// none.
func (c *KVConflictError) Find(key Key) KVItem {
	for _, item := range c.Items {
		if item.Key == key {
			return item
		}
	}
	return KVItem{Key: key}
}

// NotApplied reports whether an error proves that a call had no effect.
func NotApplied(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited)
}

// TimedOut reports whether a call failed because of a timeout, as opposed to a closed
// connection.
func TimedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
