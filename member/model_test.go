package member_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
)

const (
	modelHalls = 3
	modelPools = 6
	// confirmInterval is the interval at which a daemon writes to a ledger it owns.
	confirmInterval = 300 * time.Millisecond
	// pingTime is the round-trip time of a ping.
	pingTime = 3 * time.Millisecond
	// callTimeout is the time after which a call to the store across a partition fails.
	callTimeout = 700 * time.Millisecond
)

type (
	// fleet is a set of daemons with a common store. Their Members and ledgers
	// are real; the network between them is simulated.
	fleet struct {
		t       testing.TB
		kv      *standin.KV
		pools   []tw.PoolID
		daemons []*modelDaemon

		mu sync.Mutex
		// cut contains the pairs of which the first does not reach the second.
		// The store has the id "".
		cut map[[2]tw.DaemonID]bool
		// taken counts the takeovers of each pool.
		taken map[tw.PoolID]int
	}

	// modelDaemon is a simulated daemon, which may be down.
	modelDaemon struct {
		fleet *fleet
		id    tw.DaemonID
		hall  int

		mu          sync.Mutex
		incarnation tw.Incarnation
		up          bool
		owned       map[tw.PoolID]ledger.Owner
		members     *member.Members
		presence    *member.Presence
		ctx         context.Context
		kill        context.CancelFunc
		background  sync.WaitGroup
	}

	// partitionedKV is the store as seen by one incarnation of a daemon. Calls fail
	// while the daemon is down or partitioned from the store.
	partitionedKV struct {
		tw.KV
		d   *modelDaemon
		ctx context.Context
	}
)

func newFleet(t testing.TB, daemons int) *fleet {
	f := &fleet{
		t: t, kv: standin.KVConfig{Latency: 4 * time.Millisecond}.New(),
		cut: map[[2]tw.DaemonID]bool{}, taken: map[tw.PoolID]int{},
	}
	for i := range modelPools {
		f.pools = append(f.pools, tw.PoolID(fmt.Sprintf("pool-%d", i)))
	}
	for i := range daemons {
		f.daemons = append(f.daemons, &modelDaemon{fleet: f, id: tw.DaemonID(fmt.Sprintf("d%02d", i)), hall: i % modelHalls})
	}
	return f
}

func (f *fleet) reaches(from, to tw.DaemonID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.cut[[2]tw.DaemonID{from, to}]
}

func (f *fleet) setCut(from, to tw.DaemonID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]tw.DaemonID{from, to}] = cut
}

func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = map[[2]tw.DaemonID]bool{}
}

func (f *fleet) takeovers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, count := range f.taken {
		n += count
	}
	return n
}

// partitionHall partitions a hall from the others and from the store, in both
// directions or, if oneWay is true, only for outgoing messages.
func (f *fleet) partitionHall(hall int, oneWay bool) {
	for _, in := range f.daemons {
		if in.hall != hall {
			continue
		}
		f.setCut(in.id, "", true)
		for _, out := range f.daemons {
			if out.hall != hall {
				f.setCut(in.id, out.id, true)
				f.setCut(out.id, in.id, !oneWay)
			}
		}
	}
}

// owners lists the running daemons that consider themselves owners of a pool.
func (f *fleet) owners(pool tw.PoolID) []tw.DaemonID {
	var out []tw.DaemonID
	for _, d := range f.daemons {
		if _, owns := d.owns(pool); owns {
			out = append(out, d.id)
		}
	}
	return out
}

// unowned lists the pools that no running daemon owns.
func (f *fleet) unowned() []tw.PoolID {
	var out []tw.PoolID
	for _, pool := range f.pools {
		if len(f.owners(pool)) == 0 {
			out = append(out, pool)
		}
	}
	return out
}

// Ping implements member.Pinger.
func (d *modelDaemon) Ping(ctx context.Context, address string, ping member.PingRequest) (*member.PingResponse, error) {
	at := slices.IndexFunc(d.fleet.daemons, func(o *modelDaemon) bool { return string(o.id) == address })
	other := d.fleet.daemons[at]
	select {
	case <-time.After(pingTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if !d.fleet.reaches(d.id, other.id) || !d.fleet.reaches(other.id, d.id) {
		<-ctx.Done()
		return nil, errors.Wrap(tw.ErrAmbiguous, "model: cut")
	}
	other.mu.Lock()
	defer other.mu.Unlock()
	if !other.up {
		return nil, tw.ErrNotListening
	}
	resp := &member.PingResponse{Daemon: other.id, Incarnation: other.incarnation, StoreReachable: other.members.StoreReachable()}
	resp.Suspicions, resp.Owners = other.members.HandlePing(&ping)
	for _, o := range other.owned {
		if o.Fence != 0 { // otherwise the takeover is in progress
			resp.Owned = append(resp.Owned, o)
		}
	}
	return resp, nil
}

func (d *modelDaemon) owns(pool tw.PoolID) (ledger.Owner, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.owned[pool]
	return o, d.up && o.Fence != 0
}

func (d *modelDaemon) ownedPools() []tw.PoolID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []tw.PoolID
	for pool := range d.owned {
		out = append(out, pool)
	}
	return out
}

// start starts a new incarnation of the daemon.
func (d *modelDaemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ctx, d.kill = context.WithCancel(context.Background())
	d.incarnation++
	d.up = true
	d.owned = map[tw.PoolID]ledger.Owner{}
	kv := &partitionedKV{KV: d.fleet.kv, d: d, ctx: d.ctx}
	self := member.DaemonRecord{Daemon: d.id, Incarnation: d.incarnation, Address: string(d.id), Hall: tw.HallID(fmt.Sprint(d.hall)), Cores: 1}
	clock, log := tw.SystemClock{}, agecheck.Logger(d.fleet.t)
	d.presence = member.PresenceConfig{KV: kv, Clock: clock, Log: log, Self: self}.New()
	d.members = member.Config{
		KV: kv, Clock: clock, Log: log, Self: self, Peers: d, Presence: d.presence,
		Pools: func() []tw.PoolID { return d.fleet.pools }, OwnedPools: d.ownedPools,
		ConfigVersion: func() tw.Version { return 1 }, OnNewerConfig: func(string, tw.Version) {},
		Evacuations: func() *tw.Evacuations { return nil }, OnEvacuations: func(*tw.Evacuations, string) {},
		TakeOver: func(pool tw.PoolID, _ string) { d.take(kv, pool) },
	}.New()
}

// crash kills the daemon: its record remains until the lease expires.
func (d *modelDaemon) crash() {
	d.mu.Lock()
	if !d.up {
		d.mu.Unlock()
		return
	}
	d.up = false
	members, presence, kill := d.members, d.presence, d.kill
	d.mu.Unlock()
	kill()
	d.background.Wait()
	members.Close()
	presence.Close(context.Background())
}

// take opens a pool's ledger and writes to it until another daemon takes over the pool.
func (d *modelDaemon) take(kv tw.KV, pool tw.PoolID) {
	d.mu.Lock()
	_, have := d.owned[pool]
	ctx, incarnation, members := d.ctx, d.incarnation, d.members
	if have || !d.up {
		d.mu.Unlock()
		return
	}
	d.owned[pool] = ledger.Owner{}
	d.mu.Unlock()
	d.background.Go(func() {
		self := ledger.Owner{Pool: pool, Daemon: d.id, Address: string(d.id), Incarnation: incarnation}
		book, err := ledger.Config{KV: kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(d.fleet.t), Owner: self}.Open(ctx)
		if err == nil {
			self.Fence = book.Fence()
			d.mu.Lock()
			d.owned[pool] = self
			d.mu.Unlock()
			members.RecordOwner(self)
			d.fleet.mu.Lock()
			d.fleet.taken[pool]++
			d.fleet.mu.Unlock()
		}
		for err == nil || !errors.Is(err, ledger.ErrOwnershipLost) && ctx.Err() == nil {
			if book == nil {
				break
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(confirmInterval):
			}
			_, err = book.Write(ctx, nil)
		}
		if errors.Is(err, ledger.ErrOwnershipLost) {
			members.NotePoolLost(pool)
		}
		d.mu.Lock()
		delete(d.owned, pool)
		d.mu.Unlock()
	})
}

// blocked returns nil if the store can be reached. Otherwise it fails after
// callTimeout.
func (k *partitionedKV) blocked(ctx context.Context) error {
	if k.ctx.Err() == nil && k.d.fleet.reaches(k.d.id, "") {
		return nil
	}
	select {
	case <-time.After(callTimeout):
	case <-ctx.Done():
	case <-k.ctx.Done():
	}
	return errors.Wrap(tw.ErrUnavailable, "model: cut from the store")
}

func (k *partitionedKV) Get(ctx context.Context, key tw.Key) (tw.KVItem, error) {
	if err := k.blocked(ctx); err != nil {
		return tw.KVItem{}, err
	}
	return k.KV.Get(ctx, key)
}

func (k *partitionedKV) Range(ctx context.Context, prefix tw.Key) ([]tw.KVItem, tw.KVRevision, error) {
	if err := k.blocked(ctx); err != nil {
		return nil, 0, err
	}
	return k.KV.Range(ctx, prefix)
}

// Watch returns no events once the store is cut off, even if the call began before.
func (k *partitionedKV) Watch(ctx context.Context, prefix tw.Key, after tw.KVRevision, wait time.Duration) ([]tw.KVEvent, tw.KVRevision, error) {
	events, at, err := k.KV.Watch(ctx, prefix, after, wait)
	if blocked := k.blocked(ctx); blocked != nil {
		return nil, 0, blocked
	}
	return events, at, err
}

func (k *partitionedKV) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	if err := k.blocked(ctx); err != nil {
		return 0, err
	}
	return k.KV.Commit(ctx, txn)
}

func (k *partitionedKV) Grant(ctx context.Context, ttl time.Duration) (tw.KVLeaseID, time.Duration, error) {
	if err := k.blocked(ctx); err != nil {
		return 0, 0, err
	}
	return k.KV.Grant(ctx, ttl)
}

func (k *partitionedKV) Renew(ctx context.Context, lease tw.KVLeaseID) error {
	if err := k.blocked(ctx); err != nil {
		return err
	}
	return k.KV.Renew(ctx, lease)
}

func (k *partitionedKV) Revoke(ctx context.Context, lease tw.KVLeaseID) error {
	if err := k.blocked(ctx); err != nil {
		return err
	}
	return k.KV.Revoke(ctx, lease)
}

// startAll starts the daemons that are down, within 0.3 s of each other.
func (f *fleet) startAll(r *rand.Rand) {
	var wg sync.WaitGroup
	for _, d := range f.daemons {
		if d.up {
			continue
		}
		after := time.Duration(r.Int64N(int64(300 * time.Millisecond)))
		wg.Go(func() {
			time.Sleep(after)
			d.start()
		})
	}
	wg.Wait()
}

func (f *fleet) crashAll(daemons []*modelDaemon) {
	var wg sync.WaitGroup
	for _, d := range daemons {
		wg.Go(d.crash)
	}
	wg.Wait()
	time.Sleep(pingTime) // for pings in flight to end
}
