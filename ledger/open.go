package ledger

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// previousOwner describes the ownership that a daemon finds when it opens the book.
type previousOwner struct {
	fence                       tw.FencingToken
	headRevision, ownerRevision tw.KVRevision
	// ownerReadable means that the owner record exists and is readable, so that its fence is
	// the latest.
	ownerReadable bool
	daemon        tw.DaemonID // of the owner record
}

// ErrNewerOwner means that the pool was left to an owner that is newer than Config.Succeeds.
var ErrNewerOwner = errors.New("ledger: the pool has a newer owner")

// Open makes the daemon the owner of the pool. Writes of the previous owner fail from then
// on. Open fails with ErrOwnershipLost if another daemon opened the book at the same time, and with
// ErrNewerOwner if one did so before that this daemon did not know of: while its calls waited, for
// example for a network partition to end, the pool got an owner that serves it.
//
// The transaction is conditional on the owner record, which changes only with the owner. With
// the head as the condition, a daemon whose calls take longer than the interval between the
// writes of an active owner could never take over the pool.
func (c Config) Open(ctx context.Context) (*Book, error) {
	b := &Book{kv: c.KV, clock: c.Clock, log: c.Log, owner: c.Owner}
	previous, err := b.readPreviousOwner(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "ledger.Open")
	}
	if c.Succeeds != 0 && previous.fence > c.Succeeds && previous.daemon != c.Owner.Daemon {
		return nil, errors.Wrapf(ErrNewerOwner, "ledger.Open: daemon %s, fence %d after %d", previous.daemon, previous.fence, c.Succeeds)
	}
	if err := b.takeOwnership(ctx, previous); err != nil {
		return nil, errors.Wrap(err, "ledger.Open")
	}
	return b, nil
}

// readPreviousOwner reads the head and the owner record concurrently, as a slow store takes a
// quarter of a second per call.
func (b *Book) readPreviousOwner(ctx context.Context) (previousOwner, error) {
	var owner, headItem tw.KVItem
	var ownerErr, headErr error
	var wg sync.WaitGroup
	wg.Go(func() { owner, ownerErr = getItem(ctx, b.kv, OwnerKey(b.owner.Pool)) })
	wg.Go(func() { headItem, headErr = getItem(ctx, b.kv, headKey(b.owner.Pool)) })
	wg.Wait()
	if err := errors.CombineErrors(ownerErr, headErr); err != nil {
		return previousOwner{}, err
	}
	record, recordErr := DecodeOwner(owner)
	last, err := decode[head](headItem)
	if err == nil && !validFence(last.Fence) {
		err = errors.Newf("ledger: %s: fence %d", headItem.Key, last.Fence)
	}
	if err != nil {
		last = head{}
	}
	if err != nil && recordErr != nil {
		return previousOwner{}, err
	}
	return previousOwner{
		fence: max(last.Fence, record.Fence), headRevision: headItem.Revision, ownerRevision: owner.Revision, ownerReadable: recordErr == nil,
		daemon: record.Daemon,
	}, nil
}

// takeOwnership writes the head and the owner record of the new ownership. If the previous owner's
// record is missing or unreadable, the write is also conditional on the head that was read, as only
// the head then holds the latest fence.
func (b *Book) takeOwnership(ctx context.Context, previous previousOwner) error {
	b.owner.Fence = previous.fence + 1
	b.head = head{Fence: b.owner.Fence, Daemon: b.owner.Daemon, Incarnation: b.owner.Incarnation, Count: 1}
	ownerKey, owner := OwnerKey(b.owner.Pool), mustEncode(b.owner)
	txn := tw.KVTxn{
		Conditions: []tw.KVCondition{{Key: ownerKey, Revision: previous.ownerRevision}},
		Puts:       []tw.KVPut{{Key: ownerKey, Value: owner}, {Key: headKey(b.owner.Pool), Value: mustEncode(b.head)}},
	}
	if !previous.ownerReadable {
		txn.Conditions = append(txn.Conditions, tw.KVCondition{Key: headKey(b.owner.Pool), Revision: previous.headRevision})
	}
	sent := b.clock.Now()
	revision, conflict, err := b.commitUntilKnown(ctx, txn, tw.KVPut{Key: ownerKey, Value: owner})
	if err != nil {
		return err
	}
	if conflict != nil {
		now := conflict.Find(ownerKey)
		b.log.Info("ledger: opened by another daemon first", zap.String("pool", string(b.owner.Pool)),
			zap.Int64("fence", int64(b.owner.Fence)), zap.Int64("owner_read", int64(previous.ownerRevision)),
			zap.Int64("owner_now", int64(now.Revision)), zap.ByteString("record_now", now.Value))
		return ErrOwnershipLost
	}
	b.headRevision, b.ownerRevision, b.confirmedAt = revision, revision, sent
	return nil
}
