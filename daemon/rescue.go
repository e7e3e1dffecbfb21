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
	// storeStalledFor is how long the store has taken no write of it, overloadedFor how long this
	// daemon has been too slow for it; nil where that is not known.
	storeStalledFor, overloadedFor func(ctx context.Context) (time.Duration, error)
	// close ends it and asks nobody to take over, as somebody has already.
	close func()
}

const (
	// storeCheckInterval is the pace at which owners are asked whether the store takes
	// their writes, storePatience how long it may not before others are asked
	// to take over. A write of the slow store takes 240 ms: the patience is
	// longer than three of them.
	storeCheckInterval = 300 * time.Millisecond
	storeStallTimeout  = 900 * time.Millisecond
	// overloadTimeout is how long an owner may be short of processor time or link before a
	// faster daemon takes its pool, reliefGap the least time between two such changes of
	// a pool.
	overloadTimeout = time.Second
	offloadCooldown = 5 * time.Second
)

// monitorOwners has other daemons take the pools of this one while it does not
// reach the metadata store but they do. At the same pace it stops following the
// list of workers once no pool is left that needs it. It runs until the
// daemon's owners end.
func (o *owners) monitorOwners() {
	// asked counts how often others were asked to take each pool since the store
	// last took a write of it, so that each time another one is asked.
	asked := map[tw.PoolID]int{}
	relieved := map[tw.PoolID]time.Time{}
	var load trafficLog
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.d.clock.After(storeCheckInterval):
		}
		o.unwatchWorkers()
		for _, own := range o.ownerships() {
			pool := own.record.Pool
			trouble, err := own.storeStalledFor(o.ctx)
			switch {
			case err != nil || trouble <= storeStallTimeout:
				delete(asked, pool)
				now := o.d.clock.Now()
				short := o.overloadedFor(own)
				if short > 0 {
					load.write(now, o.d.meter, o.d.log)
				}
				if short >= overloadTimeout && now.Sub(relieved[pool]) > offloadCooldown && o.offload(own, short) {
					relieved[pool] = now
				}
			case o.superseded(own.record):
				own.close()
			default:
				o.requestTakeover(own.record, trouble, asked[pool])
				asked[pool]++
			}
		}
	}
}

// unwatchWorkers stops following the list of workers if this daemon owns no
// pool and takes none: every read of the list is paid for.
func (o *owners) unwatchWorkers() {
	o.mu.Lock()
	var watcher *member.Watcher
	if len(o.owned) == 0 && len(o.taking) == 0 {
		watcher = o.d.directory.detachWorkerWatch()
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
			record: p.owner.Record(), storeStalledFor: p.owner.StoreOutage, overloadedFor: p.owner.Shortage,
			close: func() { o.closeOwner(pool, p) },
		})
	}
	if o.manager != nil {
		out = append(out, ownership{record: o.managerRecord, storeStalledFor: o.manager.StoreOutage, close: o.closeManager})
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

// overloadedFor is how long this daemon has been too slow for an ownership.
func (o *owners) overloadedFor(own ownership) time.Duration {
	if own.overloadedFor == nil {
		return 0
	}
	short, err := own.overloadedFor(o.ctx)
	if err != nil {
		return 0 // the owner has ended
	}
	return short
}

// offload has a faster daemon take a pool for which this one is too slow. It goes on with the
// pool until that one has it.
func (o *owners) offload(own ownership, short time.Duration) bool {
	peer, found := o.d.members.FasterSuccessor(own.record.Pool)
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(o.ctx, peerCallTimeout)
	defer cancel()
	err := o.d.peers.Take(ctx, peer.Address, own.record.Pool, own.record.Fence)
	o.d.log.Info("owner: too slow for the pool, a faster daemon is asked to take it",
		zap.String("pool", string(own.record.Pool)), zap.Duration("short_for", short),
		zap.String("daemon", string(peer.Daemon)), logsink.Err(err))
	return true
}

// requestTakeover asks one daemon that reaches the store to take a pool; asked is
// how often others were asked before. If that daemon does not take it, the next
// round of watchStore asks another one.
func (o *owners) requestTakeover(record ledger.Owner, trouble time.Duration, asked int) {
	peer, found := o.d.members.TakeoverTarget(record.Pool, asked)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, peerCallTimeout)
	defer cancel()
	err := o.d.peers.Take(ctx, peer.Address, record.Pool, record.Fence)
	o.d.log.Warn("owner: store takes no writes of this daemon, another is asked to take the pool",
		zap.String("pool", string(record.Pool)), zap.Duration("trouble", trouble),
		zap.String("daemon", string(peer.Daemon)), logsink.Err(err))
}
