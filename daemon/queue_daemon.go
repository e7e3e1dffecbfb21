package daemon

import (
	"context"
	"net"
	"net/http"
	"reflect"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/drain"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/internal/traffic"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/platform"
	"github.com/tamarindworks/tamarindworks/queue"
	"github.com/tamarindworks/tamarindworks/relay"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// QueueConfig configures a QueueDaemon. Nil clients are created from the settings;
	// Log and Clock have defaults.
	QueueConfig struct {
		Settings QueueSettings
		Log      *zap.Logger
		Clock    tw.Clock
		KV       tw.KV
		Orders   tw.WorkerOrders
		Machines tw.Machines
		Advisor  tw.Advisor
	}

	// QueueDaemon is a running daemon that accepts submissions and owns pools.
	QueueDaemon struct {
		settings QueueSettings
		log      *zap.Logger
		clock    tw.Clock
		metrics  *metrics.Set
		meter    *traffic.Meter
		kv       tw.KV
		store    *ledger.Resender
		// orders sends this daemon's orders to workers, possibly through other daemons;
		// relay sends the orders of other daemons to workers.
		orders   *relay.Orders
		relay    *relay.Server
		machines tw.Machines
		advisor  tw.Advisor

		self            member.DaemonRecord
		presence        *member.Presence
		peers           *member.Peers
		members         *member.Members
		machineCache    *run.MachineCache
		directory       *directory
		owners          *owners
		callerServer    *drain.Server
		internalServers []*drain.Server // for the load balancer, other daemons and metrics
		stopping        atomic.Bool
		configFetch     configFetchGate
		done            chan struct{}
	}
)

const (
	// memoryShare is the part of the process's memory limit that is set as the limit
	// of the Go runtime; the rest is for memory that the runtime does not count, such
	// as socket buffers.
	memoryShare = 0.6
	// gcPercent lets the heap grow to five times the live heap before a collection. With
	// Go's default of 100 a busy owner of hundreds of workers, whose heap is small, spent
	// a tenth of its processor time on collections. The memory limit takes precedence.
	gcPercent = 400
	// callersHeaderTime is how long a caller may take to send a header, callersIdleTime
	// how long its connection may be idle. They are used instead of the configuration's
	// limits, which are the same on present deployments.
	callersHeaderTime = 3 * time.Second
	callersIdleTime   = 15 * time.Second
	// callersMaxHeader is in bytes, and above any limit in a configuration.
	callersMaxHeader = 64 << 10
	// balancerDrainTime is how long the platform's load balancer still sends new
	// connections after the readiness check has begun to fail: it checks each
	// second and acts on two failures.
	balancerDrainTime = 2500 * time.Millisecond
)

// New starts the daemon; Stop stops it.
func (c QueueConfig) New() (*QueueDaemon, error) {
	set := metrics.NewSet()
	meter := traffic.New(set)
	c.defaults(meter)
	s := c.Settings
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	store := ledger.ResenderConfig{KV: c.KV, Clock: c.Clock, Log: c.Log, Metrics: set}.New()
	d := &QueueDaemon{
		settings: s, log: c.Log, clock: c.Clock, metrics: set, meter: meter,
		kv: store, store: store, machines: c.Machines, advisor: c.Advisor,
		peers: member.NewPeers(meter), done: make(chan struct{}),
	}
	addresses := []string{s.Listen.Callers, s.Listen.Readiness, s.Listen.Peers}
	if s.Listen.Metrics != "" {
		addresses = append(addresses, s.Listen.Metrics)
	}
	listeners, err := listenAll(c.Log, addresses...)
	if err != nil {
		return nil, err
	}
	d.self = member.DaemonRecord{
		Daemon: s.ID, Incarnation: tw.Incarnation(c.Clock.Now().UnixNano()), Hall: s.Hall,
		Address: listeners[2].Addr().String(), Cores: s.Limits.Cores,
	}
	d.log.Info("daemon: started", zap.String("daemon", string(s.ID)), zap.String("hall", string(s.Hall)),
		zap.Uint64("life", uint64(d.self.Incarnation)), zap.String("callers", listeners[0].Addr().String()))
	if link := s.link(); link > 0 && link <= slowLink {
		d.peers.CompressRequests()
	}
	d.relay = relay.ServerConfig{Orders: c.Orders, Clock: c.Clock, Log: c.Log, Metrics: set}.New()
	d.orders = relay.Config{
		Direct: c.Orders, Relays: relayPeers{d}, Clock: c.Clock, Log: c.Log, Metrics: set, LinkBandwidth: s.link(),
	}.New()
	d.startComponents()
	d.startServers(listeners)
	return d, nil
}

func (c *QueueConfig) defaults(meter *traffic.Meter) {
	if c.Clock == nil {
		c.Clock = tw.SystemClock{}
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.KV == nil {
		c.KV = platform.KVConfig{Address: c.Settings.Platform.Store, Meter: meter}.New()
	}
	if c.Orders == nil {
		c.Orders = platform.OrderConfig{Meter: meter}.New()
	}
	if c.Machines == nil {
		c.Machines = platform.MachineConfig{Address: c.Settings.Platform.Machines, Meter: meter}.New()
	}
	if c.Advisor == nil {
		c.Advisor = platform.AdvisorConfig{Address: c.Settings.Platform.Advice, Meter: meter}.New()
	}
}

// startComponents starts everything but the listeners.
func (d *QueueDaemon) startComponents() {
	d.directory = newDirectory(d.kv, d.clock, d.log, d.metrics, func() { d.owners.setWorkersForAll() })
	d.owners = newOwners(d)
	d.directory.watchOperator() // after d.owners, to which the directory reports changes
	d.presence = member.PresenceConfig{
		KV: d.kv, Clock: d.clock, Log: d.log, Self: d.self, MinTTL: d.settings.Platform.MinLease.Std(),
	}.New()
	d.machineCache = run.MachineCacheConfig{Machines: d.machines, Clock: d.clock, Log: d.log}.New()
	assembled := make(chan struct{}) // what the members call uses d.members
	d.members = member.Config{
		KV: d.kv, Clock: d.clock, Log: d.log, Metrics: d.metrics, Self: d.self, Peers: d.peers, Presence: d.presence,
		Pools: d.directory.pools, OwnedPools: d.owners.pools, ConfigVersion: d.directory.version,
		TakeOver:      func(pool tw.PoolID, reason string) { <-assembled; d.owners.startTakeover(pool, reason) },
		OnNewerConfig: func(address string, version tw.Version) { <-assembled; d.fetchConfig(address, version) },
		Evacuations:   d.directory.Evacuations, OnEvacuations: d.directory.applyEvacuations,
	}.New()
	close(assembled)
}

// startServers starts the servers for callers, the load balancer, other daemons and metrics.
func (d *QueueDaemon) startServers(listeners []*net.TCPListener) {
	router := queue.RouterConfig{
		Pools: d.owners, Members: d.members, Peers: d.peers, KV: d.kv, StoreSilence: d.store.Silence, Clock: d.clock, Log: d.log, Metrics: d.metrics,
	}.New()
	handler := queue.HandlerConfig{
		Router: router, Codec: platform.Codec{}, Config: d.directory.Config, Clock: d.clock, Log: d.log, Metrics: d.metrics,
		RequireKeys: platform.HasOrganisations(d.settings.Platform.Contracts),
	}.New()
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+platform.ReadinessPath, d.ready)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", d.serveMetrics)
	d.callerServer = serve(listeners[0], &http.Server{
		Handler: d.meter.Handler(handler), ReadHeaderTimeout: callersHeaderTime, IdleTimeout: callersIdleTime, MaxHeaderBytes: callersMaxHeader,
	}, d.log)
	handlers := []http.Handler{readiness, d.meter.Handler(member.NewHandler(d)), metricsMux}
	for n, l := range listeners[1:] {
		server := &http.Server{Handler: handlers[n], ReadHeaderTimeout: callersHeaderTime}
		d.internalServers = append(d.internalServers, serve(l, server, d.log))
	}
}

// ready is the load balancer's readiness check. It fails before there is a
// configuration, while stopping, and while the daemon is isolated. A daemon that
// can't reach the store serves through its peers.
func (d *QueueDaemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || d.directory.Config() == nil || d.members.Isolated() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *QueueDaemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// fetchConfig reads a newer configuration from a peer unless the store delivers it: a
// large one takes 0.25 s on a link of 10 Mbit/s, and all peers announce it at once.
func (d *QueueDaemon) fetchConfig(address string, version tw.Version) {
	if !d.configFetch.begin(d.directory.version(), version, d.members.StoreReachable(), d.clock.Now()) {
		return
	}
	defer d.configFetch.end()
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	resp, err := d.peers.Config(ctx, address)
	if err != nil || resp.Config == nil {
		d.log.Warn("config: newer version not read from peer", zap.String("address", address),
			zap.Uint64("version", uint64(version)), logsink.Err(err))
		return
	}
	d.directory.applyConfig(resp.Config, address)
}

// peerCallTimeout bounds a call to a peer for which no caller waits.
const peerCallTimeout = time.Second

func (d *QueueDaemon) bounds() run.Bounds {
	b := d.settings.Bounds
	return run.Bounds{MaxHold: b.MaxHold.Std(), StopTime: b.StopTime.Std(), KeepEnded: b.KeepEnded.Std()}
}

// Done is closed when the daemon has stopped.
func (d *QueueDaemon) Done() <-chan struct{} { return d.done }

// Stop shuts the daemon down gracefully: it fails the readiness check, hands its
// pools over, and serves until the load balancer sends no more connections and
// the requests in flight are answered.
func (d *QueueDaemon) Stop(ctx context.Context) error {
	if d.stopping.Swap(true) {
		return nil
	}
	defer close(d.done)
	d.log.Info("daemon: stopping")
	d.callerServer.StartDrain()
	drained := d.clock.After(balancerDrainTime)
	d.presence.Close(ctx)
	d.owners.handOver(ctx)
	select {
	case <-drained:
	case <-ctx.Done():
	}
	err := errors.CombineErrors(d.callerServer.Shutdown(ctx), shutdown(ctx, d.internalServers))
	d.orders.Close()
	d.members.Close()
	d.directory.close()
	d.machineCache.Close()
	d.log.Info("daemon: stopped")
	return err
}

// LogSettingsChange logs whether a new settings file differs from the one in use. Changes take
// effect at the next start.
func (d *QueueDaemon) LogSettingsChange(s QueueSettings) {
	if reflect.DeepEqual(s, d.settings) {
		d.log.Info("daemon: settings reloaded, nothing has changed")
		return
	}
	d.log.Info("daemon: settings have changed; they take effect at the next start")
}
