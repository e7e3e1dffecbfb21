package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
)

// ownership is what watchStore needs of one that this daemon has, of a pool or
// of the machines.
type ownership struct {
	record ledger.Owner
	// trouble is how long the store has taken no write of it, shortage how long this
	// daemon has been too slow for it; nil where that is not known.
	trouble, shortage func(ctx context.Context) (time.Duration, error)
	// drop ends it and asks nobody to take over, as somebody has already.
	drop func()
}

const (
	// storeCheck is the pace at which owners are asked whether the store takes
	// their writes, storePatience how long it may not before others are asked
	// to take over. A write of the slow store takes 240 ms: the patience is
	// longer than three of them.
	storeCheck    = 300 * time.Millisecond
	storePatience = 900 * time.Millisecond
	// shortPatience is how long an owner may be short of processor time or link before a
	// faster daemon takes its pool, reliefGap the least time between two such changes of
	// a pool.
	shortPatience = time.Second
	reliefGap     = 5 * time.Second
)

// watchStore has other daemons take the pools of this one while it does not
// reach the metadata store but they do. At the same pace it stops following the
// list of workers once no pool is left that needs it. It runs until the
// daemon's owners end.
func (o *owners) watchStore() {
	// asked counts how often others were asked to take each pool since the store
	// last took a write of it, so that each time another one is asked.
	asked := map[tw.PoolID]int{}
	relieved := map[tw.PoolID]time.Time{}
	var load loadLog
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.d.clock.After(storeCheck):
		}
		o.unfollowWorkers()
		for _, own := range o.ownerships() {
			pool := own.record.Pool
			trouble, err := own.trouble(o.ctx)
			switch {
			case err != nil || trouble <= storePatience:
				delete(asked, pool)
				now := o.d.clock.Now()
				short := o.shortFor(own)
				if short > 0 {
					load.tell(now, o.d.meter, o.d.log)
				}
				if short >= shortPatience && now.Sub(relieved[pool]) > reliefGap && o.relieve(own, short) {
					relieved[pool] = now
				}
			case o.superseded(own.record):
				own.drop()
			default:
				o.callRescuer(own.record, trouble, asked[pool])
				asked[pool]++
			}
		}
	}
}

// unfollowWorkers stops following the list of workers if this daemon owns no
// pool and takes none: every read of the list is paid for.
func (o *owners) unfollowWorkers() {
	o.mu.Lock()
	var watcher *member.Watcher
	if len(o.owned) == 0 && len(o.taking) == 0 {
		watcher = o.d.directory.detachWorkers()
	}
	o.mu.Unlock()
	if watcher != nil {
		watcher.Close()
	}
}

// ownerships are those that this daemon has now.
func (o *owners) ownerships() []ownership {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []ownership
	for pool, p := range o.owned {
		out = append(out, ownership{
			record: p.owner.Record(), trouble: p.owner.StoreTrouble, shortage: p.owner.Shortage,
			drop: func() { o.drop(pool, p) },
		})
	}
	if o.manager != nil {
		out = append(out, ownership{record: o.managerRecord, trouble: o.manager.StoreTrouble, drop: o.dropManager})
	}
	return out
}

// superseded tells whether a peer has told of an owner newer than record. The
// store knows of that one too, but can't be asked.
func (o *owners) superseded(record ledger.Owner) bool {
	newest, found := o.d.members.Owner(record.Pool)
	if !found || newest.Fence <= record.Fence {
		return false
	}
	o.d.log.Warn("owner: another daemon has taken the pool", zap.String("pool", string(record.Pool)),
		zap.String("daemon", string(newest.Daemon)), zap.Int64("fence", int64(newest.Fence)))
	return true
}

// shortFor is how long this daemon has been too slow for an ownership.
func (o *owners) shortFor(own ownership) time.Duration {
	if own.shortage == nil {
		return 0
	}
	short, err := own.shortage(o.ctx)
	if err != nil {
		return 0 // the owner has ended
	}
	return short
}

// relieve has a faster daemon take a pool for which this one is too slow. It goes on with the
// pool until that one has it.
func (o *owners) relieve(own ownership, short time.Duration) bool {
	peer, found := o.d.members.Relief(own.record.Pool)
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(o.ctx, peerCallTime)
	defer cancel()
	err := o.d.peers.Take(ctx, peer.Address, own.record.Pool, own.record.Fence)
	o.d.log.Info("owner: too slow for the pool, a faster daemon is asked to take it",
		zap.String("pool", string(own.record.Pool)), zap.Duration("short_for", short),
		zap.String("daemon", string(peer.Daemon)), logsink.Err(err))
	return true
}

// callRescuer asks one daemon that reaches the store to take a pool; asked is
// how often others were asked before. If that daemon does not take it, the next
// round of watchStore asks another one.
func (o *owners) callRescuer(record ledger.Owner, trouble time.Duration, asked int) {
	peer, found := o.d.members.Rescuer(record.Pool, asked)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, peerCallTime)
	defer cancel()
	err := o.d.peers.Take(ctx, peer.Address, record.Pool, record.Fence)
	o.d.log.Warn("owner: store takes no writes of this daemon, another is asked to take the pool",
		zap.String("pool", string(record.Pool)), zap.Duration("trouble", trouble),
		zap.String("daemon", string(peer.Daemon)), logsink.Err(err))
}
