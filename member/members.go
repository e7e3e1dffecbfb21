package member

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type (
	// Config configures Members.
	Config struct {
		KV    tw.KV
		Clock tw.Clock
		Log   *zap.Logger
		Self  Live
		Peers Pinger
		// Presence is told when this daemon's record is missing.
		Presence *Presence
		// Pools lists the pools that need an owner.
		Pools func() []tw.PoolID
		// Owned lists the pools that this daemon owns.
		Owned func() []tw.PoolID
		// Version is the configuration that this daemon has in force.
		Version func() tw.Version
		// Evacuations are the evacuated halls as far as this daemon knows, and
		// HeardEvacuations is called with what a peer knows.
		Evacuations      func() *tw.Evacuations
		HeardEvacuations func(heard *tw.Evacuations, address string)
		// Take is called when this daemon should take a pool over. It must
		// return at once.
		Take func(pool tw.PoolID, why string)
		// NewerConfig is called when a peer has a newer configuration.
		NewerConfig func(address string, version tw.Version)
	}

	// Pinger asks another daemon whether it lives. It fails with tw.ErrGone if no
	// process listens there.
	Pinger interface {
		Ping(ctx context.Context, address string, m PingRequest) (*PingResponse, error)
	}

	// Members knows the other daemons.
	Members struct {
		config  Config
		watcher *Watcher
		started time.Time
		cancel  context.CancelFunc
		done    chan struct{}

		mu   sync.Mutex
		live map[tw.DaemonID]Live
		// lastLive are all daemons that were ever seen to live.
		lastLive map[tw.DaemonID]Live
		owners   map[tw.PoolID]ledger.Owner
		// contacts are the daemons that this one pings.
		contacts map[string]*contact
		// doubts are the addresses of owners that don't answer by the word of others, with
		// the time of the last ping without an answer.
		doubts map[string]time.Time
		// watched tells of the pools that were asked about whether this daemon pings their
		// owners; witnesses are the other addresses that it pings, others those of all daemons
		// in the order in which it pings them. All are nil until they are worked out anew.
		watched           map[tw.PoolID]bool
		witnesses, others []string
		// searched counts the others that were pinged to find one that reaches the store.
		searched int
		// records are the members' records as decoded, by key.
		records map[tw.Key]record
		// lostAt is when a pool was first seen without a living owner.
		lostAt map[tw.PoolID]time.Time
		// yielded is when this daemon last lost a pool to another.
		yielded map[tw.PoolID]time.Time
		// isolated: neither the store nor another hall answers. connected ends
		// when that begins, by disconnect.
		isolated   bool
		connected  context.Context
		disconnect context.CancelFunc
	}

	// record is a member's record, decoded once a revision; live is nil for another kind, and
	// for one that can't be read.
	record struct {
		revision tw.KVRevision
		live     *Live
	}

	// contact is what pings say of a daemon at an address.
	contact struct {
		pinging bool
		// answered is when it last answered, or when it was first pinged.
		answered time.Time
		// heard is when it last answered; zero if it never did.
		heard      time.Time
		silentFrom time.Time
		// failed is when a ping last remained without an answer.
		failed  time.Time
		refused int
		// storeAnswers: the daemon reaches the metadata store.
		storeAnswers bool
	}
)

const (
	// pingEvery is the pace of pings to owners; a killed owner is noticed
	// after two that are refused.
	pingEvery   = 250 * time.Millisecond
	pingTimeout = 700 * time.Millisecond
	// refusedMeansGone refused connections in a row.
	refusedMeansGone = 2
	// watchWait is how long one watch of the members waits.
	watchWait = 3 * time.Second
	// watchGap for each member passes between two watches, so that the answers that all
	// members get in a second while there are changes don't grow with their number.
	watchGap = 200 * time.Microsecond
	// contactKept is how long what pings told of a daemon counts that isn't pinged any more.
	contactKept = 2 * time.Second
	// gatherMembers is how long after its start a daemon waits for the others
	// to announce themselves before it takes a pool that it did not own before;
	// all start within 0.3 s.
	gatherMembers = 1200 * time.Millisecond
	// gatherPace is the pace of the duty during that time: the records and the
	// configuration arrive at any moment of it, some milliseconds after the start.
	gatherPace = 50 * time.Millisecond
	// candidateGap is the head start of each candidate over the next one.
	candidateGap = 500 * time.Millisecond
	// yieldTime keeps a daemon that lost a pool from taking it back at once,
	// so that two halls cut from each other do not take turns.
	yieldTime = 5 * time.Second
	// absentFor: a record must be missing for so long while the store
	// answers before its daemon counts as gone; a daemon that lives writes
	// it anew within renewEvery.
	absentFor = 1200 * time.Millisecond
	// storeFresh: without an answer for so long a daemon does not count as one
	// that reaches the store. It renews its record each renewEvery, which takes
	// up to 300 ms with a slow store.
	storeFresh = 900 * time.Millisecond
)

// New starts to follow the members; Close ends it.
func (c Config) New() *Members {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Members{
		config: c, started: c.Clock.Now(), cancel: cancel, done: make(chan struct{}),
		live: map[tw.DaemonID]Live{}, lastLive: map[tw.DaemonID]Live{}, owners: map[tw.PoolID]ledger.Owner{}, contacts: map[string]*contact{},
		lostAt: map[tw.PoolID]time.Time{}, yielded: map[tw.PoolID]time.Time{},
	}
	m.connected, m.disconnect = context.WithCancel(context.Background())
	m.watcher = WatcherConfig{
		KV: c.KV, Clock: c.Clock, Log: c.Log, Prefix: ledger.MemberPrefix, Wait: watchWait, ItemGap: watchGap, Changed: m.changed,
	}.New()
	go func() {
		defer close(m.done)
		m.run(ctx)
	}()
	return m
}

// Close ends the duty.
func (m *Members) Close() {
	m.cancel()
	<-m.done
	m.watcher.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disconnect()
}

// Owner is who owns a pool, as far as known.
func (m *Members) Owner(pool tw.PoolID) (ledger.Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, found := m.owners[pool]
	return o, found
}

// AddressOf is where a daemon was last known to answer its peers.
func (m *Members) AddressOf(daemon tw.DaemonID) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, known := m.lastLive[daemon]
	return l.Address, known
}

// Yielded notes that this daemon has lost a pool to another.
func (m *Members) Yielded(pool tw.PoolID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.yielded[pool] = m.config.Clock.Now()
}

// Took notes an ownership before the store's watch tells of it.
func (m *Members) Took(o ledger.Owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setOwner(o)
}

// setOwner keeps the newer of two ownerships.
func (m *Members) setOwner(o ledger.Owner) {
	if have, found := m.owners[o.Pool]; found && have.Fence > o.Fence {
		return
	}
	if m.owners[o.Pool].Fence < o.Fence {
		m.config.Log.Info("member: pool has an owner", zap.String("pool", string(o.Pool)),
			zap.String("daemon", string(o.Daemon)), zap.Int64("fence", int64(o.Fence)))
		delete(m.lostAt, o.Pool)
	}
	m.owners[o.Pool] = o
}

// changed takes up the records in the store.
func (m *Members) changed(items map[tw.Key]tw.KVItem, _ tw.KVRevision) {
	live := make(map[tw.DaemonID]Live, len(items))
	records := make(map[tw.Key]record, len(items))
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, item := range items {
		have, known := m.records[key]
		if !known || have.revision != item.Revision {
			have = m.readRecord(key, item)
		}
		records[key] = have
		if have.live != nil {
			live[have.live.Daemon] = *have.live
		}
	}
	m.records = records
	m.logLive(live)
	m.live = live
	maps.Copy(m.lastLive, live)
	m.watched, m.witnesses, m.others = nil, nil, nil
}

// readRecord decodes a record that is new or has changed, and takes up an ownership.
func (m *Members) readRecord(key tw.Key, item tw.KVItem) record {
	out := record{revision: item.Revision}
	switch {
	case strings.HasPrefix(string(key), string(ledger.LivePrefix)):
		l, err := decodeLive(item)
		if err != nil {
			m.config.Log.Error("member: unreadable record", logsink.Err(err))
			return out
		}
		out.live = &l
	case strings.HasPrefix(string(key), string(ledger.OwnerPrefix)):
		o, err := ledger.DecodeOwner(item)
		if err != nil {
			m.config.Log.Error("member: unreadable record", logsink.Err(err))
			return out
		}
		m.setOwner(o)
	}
	return out
}

func (m *Members) logLive(live map[tw.DaemonID]Live) {
	for id, l := range live {
		if have, found := m.live[id]; !found || have.Life != l.Life {
			m.config.Log.Info("member: daemon lives", zap.String("daemon", string(id)), zap.Uint64("life", uint64(l.Life)))
		}
	}
	for id := range m.live {
		if _, found := live[id]; !found {
			m.config.Log.Info("member: daemon's record is gone", zap.String("daemon", string(id)))
		}
	}
}

func (m *Members) run(ctx context.Context) {
	var pinged time.Time
	for {
		pace := pingEvery
		if m.gathering(m.config.Clock.Now()) {
			pace = gatherPace
		}
		select {
		case <-ctx.Done():
			return
		case <-m.config.Clock.After(pace):
		}
		now := m.config.Clock.Now()
		if now.Sub(pinged) >= pingEvery {
			pinged = now
			m.pingOwners(ctx, now)
			m.checkPresence(now)
			m.checkIsolation(now)
		}
		for _, t := range m.toTake(now) {
			m.config.Take(t.pool, t.why)
		}
	}
}

// checkPresence has this daemon's record written anew if the store has lost it.
func (m *Members) checkPresence(now time.Time) {
	settled := m.watcher.Settled()
	if settled.IsZero() || now.Sub(settled) < absentFor {
		return
	}
	m.mu.Lock()
	_, found := m.live[m.config.Self.Daemon]
	m.mu.Unlock()
	if !found {
		m.config.Presence.Again()
	}
}

// pingOwners asks the owners that this daemon watches, and some others, whether they live.
func (m *Members) pingOwners(ctx context.Context, now time.Time) {
	search := !m.StoreAnswers() && len(m.config.Owned()) > 0
	request := PingRequest{From: m.config.Self.Daemon, Config: m.config.Version(), Evacuations: m.config.Evacuations()}
	m.mu.Lock()
	defer m.mu.Unlock()
	request.Doubts, request.Owners = m.doubted(now), m.ownersDigest()
	asked := m.toPing(search)
	for address, c := range m.contacts {
		if !asked[address] && !c.pinging && now.Sub(c.answered) > contactKept {
			delete(m.contacts, address)
		}
	}
	for address := range asked {
		c := m.contacts[address]
		if c == nil {
			c = &contact{answered: now}
			m.contacts[address] = c
		}
		if c.pinging {
			continue
		}
		c.pinging = true
		go m.ping(ctx, address, c, request)
	}
}

func (m *Members) ping(ctx context.Context, address string, c *contact, request PingRequest) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	resp, err := m.config.Peers.Ping(ctx, address, request)
	now := m.config.Clock.Now()
	m.mu.Lock()
	c.pinging = false
	switch {
	case err == nil:
		c.answered, c.heard, c.silentFrom, c.refused = now, now, time.Time{}, 0
		c.storeAnswers = resp.StoreAnswers
		for _, o := range slices.Concat(resp.Owned, resp.Owners) {
			m.setOwner(o)
		}
		m.hearDoubts(resp.Doubts, now)
	case errors.Is(err, tw.ErrGone):
		c.refused++
	default:
		c.refused = 0
	}
	if err != nil {
		c.failed = now
	}
	if err != nil && c.silentFrom.IsZero() {
		c.silentFrom = now
		m.config.Log.Info("member: owner does not answer", zap.String("address", address), logsink.Err(err))
	}
	m.mu.Unlock()
	if err != nil {
		return
	}
	m.config.HeardEvacuations(resp.Evacuations, address)
	if resp.Config > request.Config {
		m.config.NewerConfig(address, resp.Config)
	}
}
