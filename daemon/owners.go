package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/maintenance"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/platform"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// owners holds the pools that this daemon owns or takes over.
	owners struct {
		d      *QueueDaemon
		ctx    context.Context
		cancel context.CancelFunc
		done   chan struct{}
		// workersMu serialises the updates of the owners' worker lists.
		workersMu sync.Mutex

		mu       sync.Mutex
		stopping bool
		owned    map[tw.PoolID]*ownedPool
		manager  *maintenance.Manager
		// managerRecord is the manager's ownership record.
		managerRecord ledger.Owner
		taking        map[tw.PoolID]bool
	}

	// ownedPool is an owner with the watcher of its inbox. Other goroutines see it once both run.
	ownedPool struct {
		owner *run.Owner
		inbox *member.Watcher
		// lost: the owner has lost the pool, possibly before it was published. owners.mu guards it.
		lost bool
	}
)

// Why a pool that was taken over is not kept.
var (
	errStopping = errors.New("owners: the daemon is stopping")
	errPoolLost = errors.New("owners: another daemon has taken the pool meanwhile")
)

const (
	// takeoverTimeout bounds a takeover: a slow store takes 240 ms for each call, and
	// loading the submissions of all pools takes up to 9 s on a link of 2 Mbit/s.
	takeoverTimeout = 20 * time.Second
	// The platform allows starts for 3 s after a confirmed cancel. Within that time an owner whose
	// connections to the store have gone silent must notice it and read the inbox, for which a slow
	// store takes a quarter of a second.
	inboxWait          = 1500 * time.Millisecond
	inboxAnswerTimeout = 800 * time.Millisecond
)

func newOwners(d *QueueDaemon) *owners {
	ctx, cancel := context.WithCancel(context.Background())
	o := &owners{
		d: d, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		owned: map[tw.PoolID]*ownedPool{}, taking: map[tw.PoolID]bool{},
	}
	go func() {
		defer close(o.done)
		o.monitorOwners()
	}()
	return o
}

// Local implements queue.Pools.
func (o *owners) Local(pool tw.PoolID) *run.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.owned[pool]; p != nil {
		return p.owner
	}
	return nil
}

// pools returns the pools that are owned or being taken over.
func (o *owners) pools() []tw.PoolID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []tw.PoolID
	for pool := range o.owned {
		out = append(out, pool)
	}
	for pool := range o.taking {
		out = append(out, pool)
	}
	if o.manager != nil {
		out = append(out, maintenance.ManagerPool)
	}
	return out
}

// records returns the ownership records of this daemon, for its peers.
func (o *owners) records() []ledger.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []ledger.Owner
	for _, p := range o.owned {
		out = append(out, p.owner.Record())
	}
	if o.manager != nil {
		out = append(out, o.managerRecord)
	}
	return out
}

// startTakeover starts a takeover of a pool in the background from its known owner, unless this
// daemon owns it, is taking it over, or is stopping.
func (o *owners) startTakeover(pool tw.PoolID, reason string) {
	known, _ := o.d.members.Owner(pool)
	o.takeOverFrom(pool, known.Fence, reason)
}

// takeOverFrom is like startTakeover for an owner that is known by its fence; zero for any owner.
func (o *owners) takeOverFrom(pool tw.PoolID, from tw.FencingToken, reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	managing := pool == maintenance.ManagerPool && o.manager != nil
	if o.stopping || o.taking[pool] || o.owned[pool] != nil || managing {
		return
	}
	o.taking[pool] = true
	go func() {
		err := o.takeOver(pool, from, reason)
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.taking, pool)
		if err != nil {
			o.d.log.Warn("owner: pool not taken", zap.String("pool", string(pool)), logsink.Err(err))
		}
	}()
}

func (o *owners) takeOver(pool tw.PoolID, from tw.FencingToken, reason string) error {
	d := o.d
	d.log.Info("owner: takes pool", zap.String("pool", string(pool)), zap.String("why", reason))
	began := d.clock.Now()
	ctx, cancel := context.WithTimeout(o.ctx, takeoverTimeout)
	defer cancel()
	if pool != maintenance.ManagerPool {
		d.directory.watchWorkers()
	}
	self := ledger.Owner{Pool: pool, Daemon: d.self.Daemon, Address: d.self.Address, Incarnation: d.self.Incarnation}
	book, err := ledger.Config{KV: d.kv, Clock: d.clock, Log: d.log, Owner: self, Succeeds: from}.Open(ctx)
	if errors.Is(err, ledger.ErrOwnershipLost) {
		d.members.NotePoolLost(pool)
	}
	if err != nil {
		return err
	}
	self.Fence = book.Fence()
	// The known evacuations may be older than the ownership.
	if err := d.directory.readEvacuations(ctx); err != nil {
		return err
	}
	if pool == maintenance.ManagerPool {
		recent, err := ledger.FindOrders(ctx, d.kv)
		unreadable := errors.Is(err, ledger.ErrUnreadable)
		if err != nil && !unreadable {
			return err
		}
		o.startManager(book, self, recent, unreadable)
		d.members.RecordOwner(self)
		return nil
	}
	loaded, err := book.Load(ctx)
	if err != nil {
		return err
	}
	owned := o.startOwner(book, self, loaded)
	if err := o.publish(pool, owned); err != nil {
		owned.close()
		if errors.Is(err, errStopping) {
			o.handOverPool(ctx, self)
		}
		return err
	}
	d.members.RecordOwner(self)
	o.setWorkers(pool, owned.owner)
	d.log.Info("owner: pool taken", zap.String("pool", string(pool)), zap.Int64("fence", int64(self.Fence)),
		zap.Duration("took", d.clock.Now().Sub(began)))
	return nil
}

// startOwner starts the owner of a pool and the watch of its inbox.
func (o *owners) startOwner(book *ledger.Book, self ledger.Owner, loaded []ledger.LoadedSubmission) *ownedPool {
	d := o.d
	var owned *ownedPool
	started := make(chan struct{})
	owner := run.Config{
		Book: book, Loaded: loaded, Self: self, KV: d.kv, Orders: d.orders, Advisor: d.advisor, MachineCache: d.machineCache,
		Clock: d.clock, Log: d.log, Metrics: d.metrics, Bounds: d.bounds(),
		Cores: d.settings.Limits.Cores, LinkBandwidth: d.settings.link(),
		RefreshWorkers: d.directory.refreshWorkers, QueueConfig: d.directory.Config,
		Evacuations: d.directory.Evacuations,
		OnOwnershipLost: func() {
			go func() {
				<-started // the owner may lose the pool before New returns
				o.closeOwner(self.Pool, owned)
			}()
		},
	}.New()
	owned = &ownedPool{owner: owner, inbox: o.watchInbox(self.Pool, owner)}
	close(started)
	return owned
}

// publish makes an owner visible to other goroutines. It returns errStopping if this daemon is
// stopping and has handed its pools over already, and errPoolLost if the owner has lost its pool.
func (o *owners) publish(pool tw.PoolID, owned *ownedPool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.stopping:
		return errStopping
	case owned.lost:
		return errPoolLost
	}
	o.owned[pool] = owned
	return nil
}

// startManager starts the machine manager. unreadable means that the record of recent is.
func (o *owners) startManager(book *ledger.Book, self ledger.Owner, recent map[tw.InstanceID]time.Time, unreadable bool) {
	d := o.d
	o.mu.Lock()
	defer o.mu.Unlock()
	o.managerRecord = self
	o.manager = maintenance.Config{
		Book: book, RecentlyChanged: recent, RecentChangesUnknown: unreadable, Holder: fmt.Sprintf("%s/%d", d.self.Daemon, d.self.Incarnation), KV: d.kv, Machines: d.machines,
		MachineCache: d.machineCache, Owners: d, Clock: d.clock, Log: d.log, Metrics: d.metrics,
		Waves: d.directory.Waves, Queue: d.directory.Config, Evacuations: d.directory.Evacuations, WaveStatus: platform.WaveStatus,
		HolderTime: d.settings.Bounds.HolderTime.Std(), ParkAfter: d.settings.Machines.ParkAfter.Std(),
		OnOwnershipLost: func() { go o.closeManager() },
	}.New()
}

// closeManager closes the machine manager after it has lost its ownership.
func (o *owners) closeManager() {
	o.mu.Lock()
	manager := o.manager
	o.manager = nil
	o.mu.Unlock()
	o.d.members.NotePoolLost(maintenance.ManagerPool)
	if manager != nil {
		manager.Close()
	}
}

// watchInbox passes the owner the messages that other daemons write into the pool's inbox
// in the store.
func (o *owners) watchInbox(pool tw.PoolID, owner *run.Owner) *member.Watcher {
	return newInboxWatcher(o.d.kv, o.d.clock, o.d.log, pool, func(message ledger.InboxRecord) { owner.HandleInbox(o.ctx, message) })
}

// newInboxWatcher calls handle for each message in a pool's inbox.
func newInboxWatcher(kv tw.KV, clock tw.Clock, log *zap.Logger, pool tw.PoolID, handle func(ledger.InboxRecord)) *member.Watcher {
	seen := map[tw.Key]tw.KVRevision{}
	return member.WatcherConfig{
		KV: kv, Clock: clock, Log: log, Prefix: ledger.InboxPrefix(pool), Wait: inboxWait, AnswerTimeout: inboxAnswerTimeout,
		Changed: func(items map[tw.Key]tw.KVItem, _ tw.KVRevision) {
			for key, item := range items {
				if seen[key] == item.Revision {
					continue
				}
				seen[key] = item.Revision
				message, err := ledger.DecodeInbox(item)
				if err != nil {
					log.Error("inbox: message not readable", logsink.Err(err))
					continue
				}
				handle(message)
			}
		},
	}.New()
}

// setWorkers passes the current list of workers to an owner. Calls are serialised, so
// that an older list never replaces a newer one.
func (o *owners) setWorkers(pool tw.PoolID, owner *run.Owner) {
	o.workersMu.Lock()
	defer o.workersMu.Unlock()
	if list, read := o.d.directory.workerList(pool); read {
		owner.SetWorkers(o.ctx, list)
	}
}

// setWorkersForAll passes the current list of workers to all owners.
func (o *owners) setWorkersForAll() {
	o.mu.Lock()
	all := make(map[tw.PoolID]*run.Owner, len(o.owned))
	for pool, owned := range o.owned {
		all[pool] = owned.owner
	}
	o.mu.Unlock()
	for pool, owner := range all {
		o.setWorkers(pool, owner)
	}
}

// closeOwner removes and closes an owner that has lost its pool.
func (o *owners) closeOwner(pool tw.PoolID, owned *ownedPool) {
	o.mu.Lock()
	owned.lost = true
	if o.owned[pool] == owned {
		delete(o.owned, pool)
	}
	o.mu.Unlock()
	o.d.members.NotePoolLost(pool)
	owned.close()
}

func (p *ownedPool) close() {
	p.owner.Close()
	p.inbox.Close()
}
