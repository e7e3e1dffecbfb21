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

// Each pool has an owner of its own, and none sees what runs in the others. So the usage
// cap of an organisation is divided among the pools: one record of the store says which
// part each pool has, and an owner starts nothing beyond its pool's part. Parts are
// counted in units of the cap, so that a cap that changes is divided as before.

type (
	// ShareUnits are parts of an organisation's cap; CapUnits are all of it.
	ShareUnits int

	// PoolShares are the parts that a pool has of each cap. Only the owner with this
	// fence, or a later one, changes them.
	PoolShares struct {
		Fence tw.FencingToken                  `json:"fence"`
		Units map[tw.OrganisationID]ShareUnits `json:"units,omitempty"`
	}

	// Shares is the record. For each organisation the parts of all pools are never more
	// than CapUnits together.
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

	// ShareBook changes one pool's parts. Its method is for one goroutine at a time.
	ShareBook struct {
		ShareBookConfig
		last tw.KVItem // the record as last seen
		// unclear: a change by that record may have been done, or may be done yet.
		unclear bool
	}
)

// CapUnits make up a whole cap: a thousandth is less than a subtask of nearly any cap.
const CapUnits ShareUnits = 1024

// SharesKey is where the parts of the usage caps stand.
const SharesKey tw.Key = "tw/shares"

// New makes the book; it makes no call yet.
func (c ShareBookConfig) New() *ShareBook {
	return &ShareBook{ShareBookConfig: c, last: tw.KVItem{Key: SharesKey}}
}

// DecodeShares reads the record; an item without a revision stands for none.
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

// FindShares reads the record; none is no error.
func FindShares(ctx context.Context, kv tw.KV) (Shares, error) {
	item, err := kv.Get(ctx, SharesKey)
	if err != nil && !errors.Is(err, tw.ErrNotFound) {
		return Shares{}, err
	}
	return DecodeShares(item)
}

// Free are the units that pools other than this one leave of a cap. For each of the pools
// that are to keep a floor it counts at least that.
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

// Set changes the pool's parts to what choose wants by the present record, and returns
// them as recorded. choose may be called several times. It fails with ErrDeposed if a
// later owner has the pool's parts, and with ctx; until it returns, the parts may be the
// former ones or those that choose has returned. A record that can't be read is left alone.
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
		b.Log.Warn("shares: not recorded, tried again", zap.String("pool", string(b.Pool)), logsink.Err(err))
		select {
		case <-b.Clock.After(pause):
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "ledger.ShareBook: outcome unknown")
		}
		pause = min(2*pause, maxRetryDelay)
	}
}

var (
	// errRecordChanged says that the record is another than was thought.
	errRecordChanged = errors.New("the record has changed")
	// errUnreadable says that the record is not one of this program.
	errUnreadable = errors.New("the record is not readable")
)

// trySet makes one change by the record as last seen.
func (b *ShareBook) trySet(ctx context.Context, choose func(Shares) map[tw.OrganisationID]ShareUnits) (map[tw.OrganisationID]ShareUnits, error) {
	shares, err := DecodeShares(b.last)
	if err != nil {
		b.Log.Error("shares: record set aside", logsink.Err(err))
		return nil, errUnreadable
	}
	if shares.Pools[b.Pool].Fence > b.Fence {
		return nil, ErrOwnershipLost
	}
	units := choose(shares)
	shares.Pools = maps.Clone(shares.Pools)
	shares.Pools[b.Pool] = PoolShares{Fence: b.Fence, Units: units}
	value := mustEncode(shares)
	if bytes.Equal(value, b.last.Value) && !b.unclear {
		return units, nil
	}
	revision, err := b.KV.Commit(ctx, tw.KVTxn{
		Conditions: []tw.KVCondition{{Key: SharesKey, Revision: b.last.Revision}},
		Puts:       []tw.KVPut{{Key: SharesKey, Value: value}},
	})
	var conflict *tw.KVConflictError
	if errors.As(err, &conflict) {
		b.last, b.unclear = conflict.Find(SharesKey), false
		return nil, errRecordChanged
	}
	if err != nil {
		// What is unclear may be done yet. The next try makes it certain, as its condition
		// is the same: it is done, or finds a record that has moved on.
		b.unclear = b.unclear || !tw.NotApplied(err)
		return nil, err
	}
	b.last, b.unclear = tw.KVItem{Key: SharesKey, Value: value, Revision: revision}, false
	return units, nil
}

// Refresh reads the record anew, so that a change by others is seen without one of one's
// own.
func (b *ShareBook) Refresh(ctx context.Context) error {
	item, err := b.KV.Get(ctx, SharesKey)
	if errors.Is(err, tw.ErrNotFound) {
		return nil
	}
	if err == nil && item.Revision > b.last.Revision {
		b.last, b.unclear = item, false
	}
	return err
}
