package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

// Each pool has its own owner, which does not see what runs in other pools. The usage cap of
// an organisation is therefore divided among the pools: a single record in the store holds the
// share of each pool, and an owner starts nothing beyond its pool's share. Shares are counted
// in units of the cap, so that they keep their proportions when the cap changes.

type (
	// ShareUnits is a share of an organisation's cap; CapUnits is the whole cap.
	ShareUnits int

	// PoolShares holds a pool's share of each cap. Only the owner with this fence, or a
	// later one, changes them.
	PoolShares struct {
		Fence tw.FencingToken                  `json:"fence"`
		Units map[tw.OrganisationID]ShareUnits `json:"units,omitempty"`
	}

	// Shares is the record of all shares. For each organisation the shares of all pools
	// never add up to more than CapUnits.
	Shares struct {
		Pools map[tw.PoolID]PoolShares `json:"pools"`
	}

	// ShareBookConfig configures a ShareBook.
	ShareBookConfig struct {
		KV    tw.KV
		Clock tw.Clock
		Log   *zap.Logger
		Pool  tw.PoolID
		Fence tw.FencingToken
	}

	// ShareBook changes the shares of one pool. Its methods must not be called
	// concurrently.
	ShareBook struct {
		ShareBookConfig
		last tw.KVItem // the record as last read or written
		// ambiguous means that a write conditional on last has an unknown outcome: it
		// may have been applied, or may still be.
		ambiguous bool
	}
)

// CapUnits is the whole of a cap. A thousandth of nearly any cap is less than one subtask needs.
const CapUnits ShareUnits = 1024

// SharesKey is the key of the record of the usage cap shares.
const SharesKey tw.Key = "tw/shares"

// New returns a ShareBook. It makes no call to the store.
func (c ShareBookConfig) New() *ShareBook {
	return &ShareBook{ShareBookConfig: c, last: tw.KVItem{Key: SharesKey}}
}

// DecodeShares decodes the record. An item without a revision gives empty shares.
func DecodeShares(item tw.KVItem) (Shares, error) {
	shares := Shares{Pools: map[tw.PoolID]PoolShares{}}
	if item.Revision == 0 {
		return shares, nil
	}
	err := json.Unmarshal(item.Value, &shares)
	if err == nil && shares.Pools == nil {
		shares.Pools = map[tw.PoolID]PoolShares{}
	}
	return shares, errors.Wrapf(err, "ledger: %s", item.Key)
}

// FindShares reads the record. The shares are empty if there is none.
func FindShares(ctx context.Context, kv tw.KV) (Shares, error) {
	item, err := kv.Get(ctx, SharesKey)
	if err != nil && !errors.Is(err, tw.ErrNotFound) {
		return Shares{}, err
	}
	return DecodeShares(item)
}

// Free returns the units of a cap that the other pools do not hold. floors holds the minimum shares
// of pools: a pool counts as holding at least its floor.
func (s Shares) Free(organisation tw.OrganisationID, pool tw.PoolID, floors map[tw.PoolID]ShareUnits) ShareUnits {
	free := CapUnits
	for other, shares := range s.Pools {
		if other != pool {
			free -= max(shares.Units[organisation], floors[other])
		}
	}
	for other, floor := range floors {
		if _, recorded := s.Pools[other]; other != pool && !recorded {
			free -= floor
		}
	}
	return max(0, free)
}

// Set changes the pool's shares to those that choose returns for the current record, and
// returns them as recorded. choose may be called several times. Set fails with ErrOwnershipLost if
// a later owner holds the pool's shares, when ctx ends, and if the record is unreadable, which it
// leaves unchanged. Until it returns, the shares may be the old ones or any that choose has
// returned.
func (b *ShareBook) Set(ctx context.Context, choose func(Shares) map[tw.OrganisationID]ShareUnits) (map[tw.OrganisationID]ShareUnits, error) {
	for pause := minRetryDelay; ; {
		units, err := b.trySet(ctx, choose)
		switch {
		case err == nil:
			return units, nil
		case errors.Is(err, errRecordChanged):
			continue
		case errors.Is(err, ErrOwnershipLost), errors.Is(err, errUnreadable):
			return nil, err
		}
		b.Log.Warn("shares: write failed, retrying", zap.String("pool", string(b.Pool)), logsink.Err(err))
		select {
		case <-b.Clock.After(pause):
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "ledger.ShareBook: outcome unknown")
		}
		pause = min(2*pause, maxRetryDelay)
	}
}

var (
	// errRecordChanged means that the record is not the one last read or written.
	errRecordChanged = errors.New("the record has changed")
	// errUnreadable means that the record cannot be decoded.
	errUnreadable = errors.New("the record is not readable")
)

// trySet makes one attempt to change the record as last read or written.
func (b *ShareBook) trySet(ctx context.Context, choose func(Shares) map[tw.OrganisationID]ShareUnits) (map[tw.OrganisationID]ShareUnits, error) {
	shares, err := DecodeShares(b.last)
	if err != nil {
		b.Log.Error("shares: record unreadable, left unchanged", logsink.Err(err))
		return nil, errUnreadable
	}
	if shares.Pools[b.Pool].Fence > b.Fence {
		return nil, ErrOwnershipLost
	}
	units := choose(shares)
	shares.Pools = maps.Clone(shares.Pools)
	shares.Pools[b.Pool] = PoolShares{Fence: b.Fence, Units: units}
	value := mustEncode(shares)
	if bytes.Equal(value, b.last.Value) && !b.ambiguous {
		return units, nil
	}
	revision, err := b.KV.Commit(ctx, tw.KVTxn{
		Conditions: []tw.KVCondition{{Key: SharesKey, Revision: b.last.Revision}},
		Puts:       []tw.KVPut{{Key: SharesKey, Value: value}},
	})
	var conflict *tw.KVConflictError
	if errors.As(err, &conflict) {
		b.last, b.ambiguous = conflict.Find(SharesKey), false
		return nil, errRecordChanged
	}
	if err != nil {
		// A write with an unknown outcome may still be applied. The next attempt settles
		// this, as it has the same condition: it either succeeds or finds a newer revision.
		b.ambiguous = b.ambiguous || !tw.NotApplied(err)
		return nil, err
	}
	b.last, b.ambiguous = tw.KVItem{Key: SharesKey, Value: value, Revision: revision}, false
	return units, nil
}

// Refresh rereads the record, so that changes by other pools are seen without a write.
func (b *ShareBook) Refresh(ctx context.Context) error {
	item, err := b.KV.Get(ctx, SharesKey)
	if errors.Is(err, tw.ErrNotFound) {
		return nil
	}
	if err == nil && item.Revision > b.last.Revision {
		b.last, b.ambiguous = item, false
	}
	return err
}
