package ledger

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// previousOwner is what a daemon that opens the book has found.
type previousOwner struct {
	fence                       tw.FencingToken
	headRevision, ownerRevision tw.KVRevision
	// ownerReadable: the owner's record says which fence is the last one.
	ownerReadable bool
}

// Open makes the daemon the owner of the pool, whoever owned it before: from
// then on the writes of the former owner fail. It fails with ErrDeposed if
// another daemon opened the book at the same time.
//
// What must not have changed meanwhile is the owner's record, as it changes with each owner
// alone. With the head as the condition, a daemon that takes longer for its calls than an
// active owner for a write never got the pool: 80 of 600 plays of one seed of TestAllSoak.
func (c Config) Open(ctx context.Context) (*Book, error) {
	b := &Book{kv: c.KV, clock: c.Clock, log: c.Log, owner: c.Owner}
	from, err := b.readPreviousOwner(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "ledger.Open")
	}
	if err := b.takeOwnership(ctx, from); err != nil {
		return nil, errors.Wrap(err, "ledger.Open")
	}
	return b, nil
}

// readPreviousOwner reads the head and the owner's record side by side, as a slow store takes a
// quarter of a second for each call.
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
	if err != nil && recordErr != nil {
		return previousOwner{}, err
	}
	return previousOwner{
		fence: max(last.Fence, record.Fence), headRevision: headItem.Revision, ownerRevision: owner.Revision, ownerReadable: recordErr == nil,
	}, nil
}

// takeOwnership writes the head and the owner's record for the first time. Where that record is
// lost or can't be read, the head must be the one that was read as well: it alone says which
// fence is the last one.
func (b *Book) takeOwnership(ctx context.Context, from previousOwner) error {
	b.owner.Fence = from.fence + 1
	b.head = head{Fence: b.owner.Fence, Daemon: b.owner.Daemon, Incarnation: b.owner.Incarnation, Count: 1}
	ownerKey, owner := OwnerKey(b.owner.Pool), mustEncode(b.owner)
	txn := tw.KVTxn{
		Conditions: []tw.KVCondition{{Key: ownerKey, Revision: from.ownerRevision}},
		Puts:       []tw.KVPut{{Key: ownerKey, Value: owner}, {Key: headKey(b.owner.Pool), Value: mustEncode(b.head)}},
	}
	if !from.ownerReadable {
		txn.Conditions = append(txn.Conditions, tw.KVCondition{Key: headKey(b.owner.Pool), Revision: from.headRevision})
	}
	sent := b.clock.Now()
	revision, conflict, err := b.commitUntilKnown(ctx, txn, tw.KVPut{Key: ownerKey, Value: owner})
	if err != nil {
		return err
	}
	if conflict != nil {
		now := conflict.Find(ownerKey)
		b.log.Info("ledger: opened by another daemon first", zap.String("pool", string(b.owner.Pool)),
			zap.Int64("fence", int64(b.owner.Fence)), zap.Int64("owner_read", int64(from.ownerRevision)),
			zap.Int64("owner_now", int64(now.Revision)), zap.ByteString("record_now", now.Value))
		return ErrOwnershipLost
	}
	b.headRevision, b.ownerRevision, b.confirmedAt = revision, revision, sent
	return nil
}
