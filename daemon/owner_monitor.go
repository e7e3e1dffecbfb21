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

// ownership is this daemon's ownership of a pool or of the machine manager, as used by
// monitorOwners.
type ownership struct {
	record ledger.Owner
	// storeOutage returns how long the store has accepted no write of the owner, and
	// overload how long this daemon has been too slow for the pool. overload is nil for
	// the machine manager.
	storeOutage, overload func(ctx context.Context) (time.Duration, error)
	// close ends the ownership without a handover, as another daemon has taken over.
	close func()
}

const (
	// storeCheckInterval is the interval of checks whether the store accepts the
	// owners' writes, storeOutageTimeout how long it may fail to accept them before
	// another daemon is asked to take over. A slow store takes 240 ms for a write: the
	// timeout is longer than three of them.
	storeCheckInterval = 300 * time.Millisecond
	storeOutageTimeout = 900 * time.Millisecond
	// overloadTimeout is how long an owner may lack processor time or link bandwidth before
	// a faster daemon is asked to take its pool, offloadCooldown the least time between two
	// such requests for a pool.
	overloadTimeout = time.Second
	offloadCooldown = 5 * time.Second
)

// monitorOwners asks other daemons to take over the pools for which this daemon is too slow,
// and all its pools while it can't reach the metadata store but others can. It also stops
// the watch of the list of workers once no pool needs it. It runs until o.ctx ends.
func (o *owners) monitorOwners() {
	// requests counts the takeover requests for each pool since the store last accepted
	// its writes, so that each request goes to another daemon.
	requests := map[tw.PoolID]int{}
	offloaded := map[tw.PoolID]time.Time{}
	var linkLog trafficLog
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.d.clock.After(storeCheckInterval):
		}
		o.unwatchWorkers()
		for _, current := range o.ownerships() {
			pool := current.record.Pool
			outage, err := current.storeOutage(o.ctx)
			switch {
			case err != nil || outage <= storeOutageTimeout:
				delete(requests, pool)
				now := o.d.clock.Now()
				overload := o.checkOverload(current)
				if overload > 0 {
					linkLog.write(now, o.d.meter, o.d.log)
				}
				if overload >= overloadTimeout && now.Sub(offloaded[pool]) > offloadCooldown && o.offload(current, overload) {
					offloaded[pool] = now
				}
			case o.superseded(current.record):
				current.close()
			default:
				o.requestTakeover(current.record, outage, requests[pool])
				requests[pool]++
			}
		}
	}
}

// unwatchWorkers stops the watch of the list of workers if this daemon neither owns
// nor takes over a pool, as every read of the list has a cost.
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

// ownerships returns the current ownerships of this daemon.
func (o *owners) ownerships() []ownership {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []ownership
	for pool, p := range o.owned {
		out = append(out, ownership{
			record: p.owner.Record(), storeOutage: p.owner.StoreOutage, overload: p.owner.OverloadedFor,
			close: func() { o.closeOwner(pool, p) },
		})
	}
	if o.manager != nil {
		out = append(out, ownership{record: o.managerRecord, storeOutage: o.manager.StoreOutage, close: o.closeManager})
	}
	return out
}

// superseded reports whether a peer has announced an owner newer than record. The
// newer owner's record is in the store too, but the store can't be reached.
func (o *owners) superseded(record ledger.Owner) bool {
	newest, found := o.d.members.Owner(record.Pool)
	if !found || newest.Fence <= record.Fence {
		return false
	}
	o.d.log.Warn("owner: another daemon has taken the pool", zap.String("pool", string(record.Pool)),
		zap.String("daemon", string(newest.Daemon)), zap.Int64("fence", int64(newest.Fence)))
	return true
}

// checkOverload returns how long this daemon has been too slow for an ownership. If it is, starts are
// relayed for a while.
func (o *owners) checkOverload(current ownership) time.Duration {
	if current.overload == nil {
		return 0
	}
	overload, err := current.overload(o.ctx)
	if err != nil {
		return 0 // the owner has ended
	}
	if overload > 0 {
		o.d.orders.NoteShort()
	}
	return overload
}

// offload asks a faster daemon to take a pool for which this one is too slow. This daemon
// continues to run the pool until the other one owns it. It returns false if no daemon is
// faster.
func (o *owners) offload(current ownership, overload time.Duration) bool {
	peer, found := o.d.members.FasterSuccessor(current.record.Pool)
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(o.ctx, peerCallTimeout)
	defer cancel()
	err := o.d.peers.Take(ctx, peer.Address, current.record.Pool, current.record.Fence)
	o.d.log.Info("owner: too slow for the pool, a faster daemon is asked to take it",
		zap.String("pool", string(current.record.Pool)), zap.Duration("short_for", overload),
		zap.String("daemon", string(peer.Daemon)), logsink.Err(err))
	return true
}

// requestTakeover asks one daemon that reaches the store to take a pool; requests is the
// number of earlier requests. If that daemon does not take it, the next iteration of
// monitorOwners asks another one.
func (o *owners) requestTakeover(record ledger.Owner, outage time.Duration, requests int) {
	peer, found := o.d.members.ReachableSuccessor(record.Pool, requests)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, peerCallTimeout)
	defer cancel()
	err := o.d.peers.Take(ctx, peer.Address, record.Pool, record.Fence)
	o.d.log.Warn("owner: store accepts no writes of this daemon, another daemon is asked to take the pool",
		zap.String("pool", string(record.Pool)), zap.Duration("trouble", outage),
		zap.String("daemon", string(peer.Daemon)), logsink.Err(err))
}
