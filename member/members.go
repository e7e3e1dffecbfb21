package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

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
		// Metrics may be nil.
		Metrics *metrics.Set
		Self    DaemonRecord
		Peers   Pinger
		// Presence publishes this daemon's record. It is asked to write the
		// record again if the store has lost it.
		Presence *Presence
		// Pools lists the pools that need an owner.
		Pools func() []tw.PoolID
		// OwnedPools lists the pools that this daemon owns.
		OwnedPools func() []tw.PoolID
		// ConfigVersion is the version of this daemon's active configuration.
		ConfigVersion func() tw.Version
		// Evacuations returns the evacuated halls known to this daemon, and
		// OnEvacuations is called with those known to a peer.
		Evacuations   func() *tw.Evacuations
		OnEvacuations func(evacuations *tw.Evacuations, address string)
		// TakeOver is called when this daemon should take over a pool. It must not
		// block.
		TakeOver func(pool tw.PoolID, reason string)
		// OnNewerConfig is called when a peer has a newer configuration.
		OnNewerConfig func(address string, version tw.Version)
	}

	// Pinger pings another daemon. It fails with tw.ErrNotListening if no process
	// listens at the address.
	Pinger interface {
		Ping(ctx context.Context, address string, m PingRequest) (*PingResponse, error)
	}

	// Members tracks the other daemons and the owners of the pools.
	Members struct {
		config  Config
		watcher *Watcher
		started time.Time
		cancel  context.CancelFunc
		done    chan struct{}

		mu   sync.Mutex
		live map[tw.DaemonID]DaemonRecord
		// lastKnown holds the last record of every daemon that was ever live.
		lastKnown map[tw.DaemonID]DaemonRecord
		owners    map[tw.PoolID]ledger.Owner
		// pingStates holds the state of the daemons that this one pings, by address.
		pingStates map[string]*pingState
		// suspicions holds the suspicions received from other daemons: the time of the last
		// unanswered ping, by the address of the owner.
		suspicions map[string]time.Time
		// pingedPools caches for which pools this daemon pings the owner. hallProbes lists
		// the addresses that it pings in each hall, searchOrder all addresses in the order
		// in which a search pings them. They are nil when they must be computed again.
		pingedPools             map[tw.PoolID]bool
		hallProbes, searchOrder []string
		// searchNext is the index in searchOrder, modulo its length, of the next daemon to
		// ping in search of one that reaches the store.
		searchNext int
		// heard holds what each peer last told of evacuated halls.
		heard map[tw.DaemonID]heardEvacuations
		// records caches the decoded records of the members, by key.
		records map[tw.Key]cachedRecord
		// unreadableLog limits the log lines of records that can't be read, as their writers may change
		// them all the time.
		unreadableLog rate.Sometimes
		// orphanedAt is the time at which a pool was first found to have no live owner.
		orphanedAt map[tw.PoolID]time.Time
		// refreshedAt is when checkSilentOwners last had the records read again. Only run uses it.
		refreshedAt time.Time
		// handovers are the last requests to other daemons to take over a pool of this one.
		handovers map[tw.PoolID]handover
		// poolLostAt is the time at which this daemon last lost a pool to another one.
		poolLostAt map[tw.PoolID]time.Time
		// isolated is true while neither the store nor another hall answers.
		// cancelConnected cancels connectedCtx when this daemon becomes isolated.
		isolated        bool
		connectedCtx    context.Context
		cancelConnected context.CancelFunc
	}

	// cachedRecord is an item below the members' prefix, decoded once per revision. daemon is nil
	// for records of another kind and for invalid ones.
	cachedRecord struct {
		revision tw.KVRevision
		daemon   *DaemonRecord
	}

	// pingState holds the ping results of the daemon at an address.
	pingState struct {
		inFlight bool
		// quietSince is the time of the last answer, or of the first ping if there is none.
		quietSince time.Time
		// lastAnswer is the time of the last answer; zero if there is none.
		lastAnswer time.Time
		// failingSince is the time of the first failed ping since the last answer; zero if
		// the last ping was answered.
		failingSince time.Time
		// lastFailure is the time of the last failed ping.
		lastFailure time.Time
		// refusedInRow counts consecutive refused connections.
		refusedInRow int
		// storeReachable is true if the daemon reaches the metadata store.
		storeReachable bool
	}
)

const (
	// pingInterval is the interval between pings to an owner. A killed owner is
	// detected after two refused pings.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 700 * time.Millisecond
	// refusalsUntilDown is the number of consecutive refused connections after
	// which a daemon's process is considered gone.
	refusalsUntilDown = 2
	// watchWait is the timeout of one watch of the members.
	watchWait = 3 * time.Second
	// watchGapPerRecord is the pause after a watch that returned changes, per record of a member or
	// a pool owner. While there are changes, it keeps the total number of watch responses per second
	// to all members from growing with the number of members.
	watchGapPerRecord = 200 * time.Microsecond
	// pingStateTTL is how long after its last answer the ping results of a daemon that is no longer
	// pinged are kept.
	pingStateTTL = 2 * time.Second
	// startupGrace is the time after its start during which a daemon waits for
	// the others to announce themselves and takes no pool that it did not own
	// before. All daemons start within 0.3 s of each other.
	startupGrace = 1200 * time.Millisecond
	// startupInterval is the interval of the main loop during that time. Records and
	// configuration arrive some milliseconds after the start.
	startupInterval = 50 * time.Millisecond
	// candidateDelay is the delay between the takeover attempts of successive
	// candidates for a pool.
	candidateDelay = 500 * time.Millisecond
	// retakeDelay is how long a daemon that lost a pool does not take it back, so
	// that two halls partitioned from each other do not take it alternately.
	retakeDelay = 5 * time.Second
	// recordMissingTimeout is how long a record must be missing, while the store answers,
	// before its daemon counts as gone. A live daemon writes it again within
	// renewInterval.
	recordMissingTimeout = 1200 * time.Millisecond
	// storeAnswerTimeout is the time without an answer after which the store counts as
	// unreachable. A renewal starts renewInterval after the end of the last one and
	// takes up to 300 ms with a slow store.
	storeAnswerTimeout = 900 * time.Millisecond
)

// New starts tracking the members. Close stops it.
func (c Config) New() *Members {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Members{
		config: c, started: c.Clock.Now(), cancel: cancel, done: make(chan struct{}),
		live: map[tw.DaemonID]DaemonRecord{}, lastKnown: map[tw.DaemonID]DaemonRecord{}, owners: map[tw.PoolID]ledger.Owner{}, pingStates: map[string]*pingState{},
		orphanedAt: map[tw.PoolID]time.Time{}, poolLostAt: map[tw.PoolID]time.Time{}, handovers: map[tw.PoolID]handover{},
		unreadableLog: rate.Sometimes{First: maxUnreadableLines, Interval: unreadableLogInterval},
	}
	m.connectedCtx, m.cancelConnected = context.WithCancel(context.Background())
	m.watcher = WatcherConfig{
		KV: c.KV, Clock: c.Clock, Log: c.Log, Metrics: c.Metrics, Prefix: ledger.MemberPrefix, Wait: watchWait, ItemGap: watchGapPerRecord, Changed: m.applyRecords,
	}.New()
	go func() {
		defer close(m.done)
		m.run(ctx)
	}()
	return m
}

// Close stops the pings and the watch.
func (m *Members) Close() {
	m.cancel()
	<-m.done
	m.watcher.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelConnected()
}

// Owner returns the owner of a pool, if known.
func (m *Members) Owner(pool tw.PoolID) (ledger.Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, found := m.owners[pool]
	return o, found
}

// AddressOf returns the last known address of a daemon's peer service.
func (m *Members) AddressOf(daemon tw.DaemonID) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, known := m.lastKnown[daemon]
	return record.Address, known
}

// NotePoolLost records that this daemon lost a pool to another one.
func (m *Members) NotePoolLost(pool tw.PoolID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.poolLostAt[pool] = m.config.Clock.Now()
}

// RecordOwner records the owner of a pool before the watch reports it.
func (m *Members) RecordOwner(o ledger.Owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setOwner(o)
}

// setOwner stores the owner of a pool unless one with a higher fencing token is known.
func (m *Members) setOwner(o ledger.Owner) {
	if have, found := m.owners[o.Pool]; found && have.Fence > o.Fence {
		return
	}
	if m.owners[o.Pool].Fence < o.Fence {
		m.config.Log.Info("member: pool has an owner", zap.String("pool", string(o.Pool)),
			zap.String("daemon", string(o.Daemon)), zap.Int64("fence", int64(o.Fence)))
		delete(m.orphanedAt, o.Pool)
		if state := m.pingStates[o.Address]; state != nil {
			state.refusedInRow = 0 // those refused by a former process say nothing of this one
		}
	}
	m.owners[o.Pool] = o
}

func (m *Members) run(ctx context.Context) {
	var pinged time.Time
	for {
		interval := pingInterval
		if m.inStartupGrace(m.config.Clock.Now()) {
			interval = startupInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-m.config.Clock.After(interval):
		}
		now := m.config.Clock.Now()
		if now.Sub(pinged) >= pingInterval {
			pinged = now
			m.sendPings(ctx, now)
			m.checkPresence(now)
			m.checkSilentOwners(now)
			m.checkIsolation(now)
		}
		for _, t := range m.takeoversDue(now) {
			m.config.TakeOver(t.pool, t.reason)
		}
	}
}

// checkPresence has this daemon's record written again if the store has lost it.
func (m *Members) checkPresence(now time.Time) {
	answeringSince := m.watcher.AnsweringSince()
	if answeringSince.IsZero() || now.Sub(answeringSince) < recordMissingTimeout {
		return
	}
	m.mu.Lock()
	_, found := m.live[m.config.Self.Daemon]
	m.mu.Unlock()
	if !found {
		m.config.Presence.Reannounce()
	}
}

// sendPings pings the owners that are assigned to this daemon, and some other daemons.
func (m *Members) sendPings(ctx context.Context, now time.Time) {
	search := !m.StoreReachable() && len(m.config.OwnedPools()) > 0
	request := PingRequest{From: m.config.Self.Daemon, ConfigVersion: m.config.ConfigVersion(), Evacuations: m.config.Evacuations()}
	m.mu.Lock()
	defer m.mu.Unlock()
	request.Suspicions, request.OwnersDigest = m.suspectedOwners(now), m.ownersDigest()
	targets := m.pingTargets(search)
	for address, state := range m.pingStates {
		if !targets[address] && !state.inFlight && now.Sub(state.quietSince) > pingStateTTL {
			delete(m.pingStates, address)
		}
	}
	for address := range targets {
		state := m.pingStates[address]
		if state == nil {
			state = &pingState{quietSince: now}
			m.pingStates[address] = state
		}
		if state.inFlight {
			continue
		}
		state.inFlight = true
		go m.ping(ctx, address, state, request)
	}
}

func (m *Members) ping(ctx context.Context, address string, state *pingState, request PingRequest) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	resp, err := m.config.Peers.Ping(ctx, address, request)
	now := m.config.Clock.Now()
	m.mu.Lock()
	state.inFlight = false
	switch {
	case err == nil:
		state.quietSince, state.lastAnswer, state.failingSince, state.refusedInRow = now, now, time.Time{}, 0
		state.storeReachable = resp.StoreReachable
		for _, o := range slices.Concat(resp.Owned, resp.Owners) {
			m.setOwner(o)
		}
		m.mergeSuspicions(resp.Suspicions, now)
		m.noteEvacuations(resp.Daemon, resp.Evacuations, now)
	case errors.Is(err, tw.ErrNotListening):
		state.refusedInRow++
	default:
		state.refusedInRow = 0
	}
	if err != nil {
		state.lastFailure = now
	}
	if err != nil && state.failingSince.IsZero() {
		state.failingSince = now
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
