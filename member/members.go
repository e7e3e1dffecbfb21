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
		Self  DaemonRecord
		Peers Pinger
		// Presence is told when this daemon's record is missing.
		Presence *Presence
		// Pools lists the pools that need an owner.
		Pools func() []tw.PoolID
		// OwnedPools lists the pools that this daemon owns.
		OwnedPools func() []tw.PoolID
		// ConfigVersion is the configuration that this daemon has in force.
		ConfigVersion func() tw.Version
		// Evacuations are the evacuated halls as far as this daemon knows, and
		// HeardEvacuations is called with what a peer knows.
		Evacuations   func() *tw.Evacuations
		OnEvacuations func(heard *tw.Evacuations, address string)
		// TakeOver is called when this daemon should take a pool over. It must
		// return at once.
		TakeOver func(pool tw.PoolID, why string)
		// OnNewerConfig is called when a peer has a newer configuration.
		OnNewerConfig func(address string, version tw.Version)
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
		live map[tw.DaemonID]DaemonRecord
		// lastKnown are all daemons that were ever seen to live.
		lastKnown map[tw.DaemonID]DaemonRecord
		owners    map[tw.PoolID]ledger.Owner
		// pingStates are the daemons that this one pings.
		pingStates map[string]*pingState
		// suspicions are the addresses of owners that don't answer by the word of others, with
		// the time of the last ping without an answer.
		suspicions map[string]time.Time
		// pingedPools tells of the pools that were asked about whether this daemon pings their
		// owners; witnesses are the other addresses that it pings, others those of all daemons
		// in the order in which it pings them. All are nil until they are worked out anew.
		pingedPools             map[tw.PoolID]bool
		hallProbes, searchOrder []string
		// searchNext counts the others that were pinged to find one that reaches the store.
		searchNext int
		// records are the members' records as decoded, by key.
		records map[tw.Key]cachedRecord
		// orphanedAt is when a pool was first seen without a living owner.
		orphanedAt map[tw.PoolID]time.Time
		// poolLostAt is when this daemon last lost a pool to another.
		poolLostAt map[tw.PoolID]time.Time
		// isolated: neither the store nor another hall answers. connected ends
		// when that begins, by disconnect.
		isolated        bool
		connectedCtx    context.Context
		cancelConnected context.CancelFunc
	}

	// cachedRecord is a member's cachedRecord, decoded once a revision; live is nil for another kind, and
	// for one that can't be read.
	cachedRecord struct {
		revision tw.KVRevision
		daemon   *DaemonRecord
	}

	// pingState is what pings say of a daemon at an address.
	pingState struct {
		inFlight bool
		// quietSince is when it last quietSince, or when it was first pinged.
		quietSince time.Time
		// lastAnswer is when it last answered; zero if it never did.
		lastAnswer   time.Time
		failingSince time.Time
		// lastFailure is when a ping last remained without an answer.
		lastFailure  time.Time
		refusedInRow int
		// storeReachable: the daemon reaches the metadata store.
		storeReachable bool
	}
)

const (
	// pingInterval is the pace of pings to owners; a killed owner is noticed
	// after two that are refused.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 700 * time.Millisecond
	// refusalsUntilDown refused connections in a row.
	refusalsUntilDown = 2
	// watchWait is how long one watch of the members waits.
	watchWait = 3 * time.Second
	// watchGapPerMember for each member passes between two watches, so that the answers that all
	// members get in a second while there are changes don't grow with their number.
	watchGapPerMember = 200 * time.Microsecond
	// pingStateTTL is how long what pings told of a daemon counts that isn't pinged any more.
	pingStateTTL = 2 * time.Second
	// startupGrace is how long after its start a daemon waits for the others
	// to announce themselves before it takes a pool that it did not own before;
	// all start within 0.3 s.
	startupGrace = 1200 * time.Millisecond
	// startupInterval is the pace of the duty during that time: the records and the
	// configuration arrive at any moment of it, some milliseconds after the start.
	startupInterval = 50 * time.Millisecond
	// candidateDelay is the head start of each candidate over the next one.
	candidateDelay = 500 * time.Millisecond
	// retakeDelay keeps a daemon that lost a pool from taking it back at once,
	// so that two halls cut from each other do not take turns.
	retakeDelay = 5 * time.Second
	// recordMissingTimeout: a record must be missing for so long while the store
	// answers before its daemon counts as gone; a daemon that lives writes
	// it anew within renewEvery.
	recordMissingTimeout = 1200 * time.Millisecond
	// storeAnswerTimeout: without an answer for so long a daemon does not count as one
	// that reaches the store. It renews its record each renewEvery, which takes
	// up to 300 ms with a slow store.
	storeAnswerTimeout = 900 * time.Millisecond
)

// New starts to follow the members; Close ends it.
func (c Config) New() *Members {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Members{
		config: c, started: c.Clock.Now(), cancel: cancel, done: make(chan struct{}),
		live: map[tw.DaemonID]DaemonRecord{}, lastKnown: map[tw.DaemonID]DaemonRecord{}, owners: map[tw.PoolID]ledger.Owner{}, pingStates: map[string]*pingState{},
		orphanedAt: map[tw.PoolID]time.Time{}, poolLostAt: map[tw.PoolID]time.Time{},
	}
	m.connectedCtx, m.cancelConnected = context.WithCancel(context.Background())
	m.watcher = WatcherConfig{
		KV: c.KV, Clock: c.Clock, Log: c.Log, Prefix: ledger.MemberPrefix, Wait: watchWait, ItemGap: watchGapPerMember, Changed: m.applyRecords,
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
	m.cancelConnected()
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
	l, known := m.lastKnown[daemon]
	return l.Address, known
}

// NotePoolLost notes that this daemon has lost a pool to another.
func (m *Members) NotePoolLost(pool tw.PoolID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.poolLostAt[pool] = m.config.Clock.Now()
}

// RecordOwner notes an ownership before the store's watch tells of it.
func (m *Members) RecordOwner(o ledger.Owner) {
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
		delete(m.orphanedAt, o.Pool)
	}
	m.owners[o.Pool] = o
}

// applyRecords takes up the records in the store.
func (m *Members) applyRecords(items map[tw.Key]tw.KVItem, _ tw.KVRevision) {
	live := make(map[tw.DaemonID]DaemonRecord, len(items))
	records := make(map[tw.Key]cachedRecord, len(items))
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, item := range items {
		have, known := m.records[key]
		if !known || have.revision != item.Revision {
			have = m.readRecord(key, item)
		}
		records[key] = have
		if have.daemon != nil {
			live[have.daemon.Daemon] = *have.daemon
		}
	}
	m.records = records
	m.logLivenessChanges(live)
	m.live = live
	maps.Copy(m.lastKnown, live)
	m.pingedPools, m.hallProbes, m.searchOrder = nil, nil, nil
}

// readRecord decodes a record that is new or has changed, and takes up an ownership.
func (m *Members) readRecord(key tw.Key, item tw.KVItem) cachedRecord {
	out := cachedRecord{revision: item.Revision}
	switch {
	case strings.HasPrefix(string(key), string(ledger.LivePrefix)):
		l, err := decodeDaemonRecord(item)
		if err != nil {
			m.config.Log.Error("member: unreadable record", logsink.Err(err))
			return out
		}
		out.daemon = &l
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

func (m *Members) logLivenessChanges(live map[tw.DaemonID]DaemonRecord) {
	for id, l := range live {
		if have, found := m.live[id]; !found || have.Incarnation != l.Incarnation {
			m.config.Log.Info("member: daemon lives", zap.String("daemon", string(id)), zap.Uint64("life", uint64(l.Incarnation)))
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
		pace := pingInterval
		if m.inStartupGrace(m.config.Clock.Now()) {
			pace = startupInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-m.config.Clock.After(pace):
		}
		now := m.config.Clock.Now()
		if now.Sub(pinged) >= pingInterval {
			pinged = now
			m.sendPings(ctx, now)
			m.checkPresence(now)
			m.checkIsolation(now)
		}
		for _, t := range m.takeoversDue(now) {
			m.config.TakeOver(t.pool, t.reason)
		}
	}
}

// checkPresence has this daemon's record written anew if the store has lost it.
func (m *Members) checkPresence(now time.Time) {
	settled := m.watcher.AnsweringSince()
	if settled.IsZero() || now.Sub(settled) < recordMissingTimeout {
		return
	}
	m.mu.Lock()
	_, found := m.live[m.config.Self.Daemon]
	m.mu.Unlock()
	if !found {
		m.config.Presence.Reannounce()
	}
}

// sendPings asks the owners that this daemon watches, and some others, whether they live.
func (m *Members) sendPings(ctx context.Context, now time.Time) {
	search := !m.StoreReachable() && len(m.config.OwnedPools()) > 0
	request := PingRequest{From: m.config.Self.Daemon, ConfigVersion: m.config.ConfigVersion(), Evacuations: m.config.Evacuations()}
	m.mu.Lock()
	defer m.mu.Unlock()
	request.Suspicions, request.OwnersDigest = m.suspectedOwners(now), m.ownersDigest()
	asked := m.pingTargets(search)
	for address, c := range m.pingStates {
		if !asked[address] && !c.inFlight && now.Sub(c.quietSince) > pingStateTTL {
			delete(m.pingStates, address)
		}
	}
	for address := range asked {
		c := m.pingStates[address]
		if c == nil {
			c = &pingState{quietSince: now}
			m.pingStates[address] = c
		}
		if c.inFlight {
			continue
		}
		c.inFlight = true
		go m.ping(ctx, address, c, request)
	}
}

func (m *Members) ping(ctx context.Context, address string, c *pingState, request PingRequest) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	resp, err := m.config.Peers.Ping(ctx, address, request)
	now := m.config.Clock.Now()
	m.mu.Lock()
	c.inFlight = false
	switch {
	case err == nil:
		c.quietSince, c.lastAnswer, c.failingSince, c.refusedInRow = now, now, time.Time{}, 0
		c.storeReachable = resp.StoreReachable
		for _, o := range slices.Concat(resp.Owned, resp.Owners) {
			m.setOwner(o)
		}
		m.mergeSuspicions(resp.Suspicions, now)
	case errors.Is(err, tw.ErrNotListening):
		c.refusedInRow++
	default:
		c.refusedInRow = 0
	}
	if err != nil {
		c.lastFailure = now
	}
	if err != nil && c.failingSince.IsZero() {
		c.failingSince = now
		m.config.Log.Info("member: owner does not answer", zap.String("address", address), logsink.Err(err))
	}
	m.mu.Unlock()
	if err != nil {
		return
	}
	m.config.OnEvacuations(resp.Evacuations, address)
	if resp.ConfigVersion > request.ConfigVersion {
		m.config.OnNewerConfig(address, resp.ConfigVersion)
	}
}
