package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control"
	"github.com/tamarindworks/tamarindworks/gateway"
	"github.com/tamarindworks/tamarindworks/internal/drain"
	"github.com/tamarindworks/tamarindworks/platform"
)

type (
	// Config configures a Daemon. A nil Store is replaced, with Instances and Workers, by a
	// client created from the settings; Log, Clock and Peers have defaults.
	Config struct {
		Settings  Settings
		Log       *zap.Logger
		Clock     tw.Clock
		Store     tw.Store
		Instances tw.InstanceList
		Workers   tw.Workers
		Peers     tw.Peers
		Intervals control.Intervals
	}

	// Daemon is a running entry daemon.
	Daemon struct {
		settings        Settings
		log             *zap.Logger
		metrics         *metrics.Set
		gateway         *gateway.Gateway
		node            *control.Node
		callerServer    *drain.Server
		internalServers []*drain.Server // for other daemons and operators
		adminAddress    string
		member          tw.Member
		stopping        atomic.Bool
		done            chan struct{}
	}

	// deferredClaims lets the gateway be created before the node that stores claims.
	deferredClaims struct{ tw.Claims }
)

const (
	// headerTimeout bounds how long a caller may take to send a request's header.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// headerLimitFactor is the ratio of the server's header limit to the gateway's.
	// Above 1, the gateway rejects an oversized header and states the reason, which
	// the server would not.
	headerLimitFactor = 4
	// readinessDelay is how long a stopping daemon still accepts requests after its
	// readiness check has begun to fail, so that the load balancer notices it.
	readinessDelay = time.Second
)

// New starts a daemon; Stop stops it.
func (c Config) New() (*Daemon, error) {
	c.defaults()
	d := &Daemon{settings: c.Settings, log: c.Log, metrics: metrics.NewSet(), done: make(chan struct{})}
	listen := c.Settings.Listen
	listeners, err := listenAll(c.Log, listen.Gateway, listen.Peer, listen.Admin)
	if err != nil {
		return nil, err
	}
	gatewayListener, peerListener, adminListener := listeners[0], listeners[1], listeners[2]
	d.adminAddress = adminListener.Addr().String()
	d.member = tw.Member{
		ID:          c.Settings.ID,
		Hall:        c.Settings.Hall,
		Instance:    c.Settings.Instance,
		Incarnation: tw.Incarnation(c.Clock.Now().UnixNano()),
		Address:     peerListener.Addr().String(),
		Gateway:     gatewayListener.Addr().String(),
	}
	claims := &deferredClaims{}
	d.gateway = gateway.Config{
		Clock:            c.Clock,
		Log:              c.Log,
		Metrics:          d.metrics,
		Claims:           claims,
		Seed:             uint64(d.member.Incarnation),
		MaxHeader:        c.Settings.Limits.Header,
		MaxBody:          c.Settings.Limits.Body,
		MaxBufferedBody:  c.Settings.Limits.HeldBody,
		DialTimeout:      c.Settings.Limits.DialTimeout.Std(),
		ConnsPerInstance: c.Settings.Limits.Connections,
		IdlePerInstance:  c.Settings.Limits.Connections,
	}.New()
	d.node = c.node(d)
	claims.Claims = d.node.Claims()
	d.callerServer = d.serve(gatewayListener, &http.Server{Handler: d.gateway, MaxHeaderBytes: headerLimitFactor * int(c.Settings.Limits.Header)})
	d.internalServers = []*drain.Server{
		d.serve(peerListener, &http.Server{Handler: control.NewPeerServer(d.node), Protocols: control.ServerProtocols()}),
		d.serve(adminListener, &http.Server{Handler: d.adminHandler()}),
	}
	d.log.Info("daemon: started", zap.String("gateway", d.member.Gateway),
		zap.String("peer", d.member.Address), zap.String("admin", d.adminAddress))
	return d, nil
}

func (c *Config) defaults() {
	if c.Clock == nil {
		c.Clock = tw.SystemClock{}
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Store == nil {
		client := platform.ClientConfig{URL: c.Settings.Platform.URL, Timeout: c.Settings.Platform.Timeout.Std()}.New()
		c.Store, c.Instances, c.Workers = client, client, client
	}
	if c.Peers == nil {
		c.Peers = control.PeerClientConfig{}.New()
	}
	c.Intervals.ClaimRetention = c.Settings.Limits.KeyLifetime.Std()
}

func (c *Config) node(d *Daemon) *control.Node {
	documents := platform.DocumentsConfig{
		Store:          c.Store,
		Clock:          c.Clock,
		Metrics:        d.metrics,
		CallsPerSecond: c.Settings.Platform.CallsPerSecond,
	}.New()
	return control.Config{
		Self:          d.member,
		Clock:         c.Clock,
		Log:           c.Log,
		Metrics:       d.metrics,
		Documents:     documents,
		Instances:     c.Instances,
		Workers:       c.Workers,
		Peers:         c.Peers,
		Dispatcher:    d.gateway,
		SeedAddresses: c.Settings.Peers,
		RandomSeed:    uint64(d.member.Incarnation),
		Intervals:     c.Intervals,
	}.New()
}

// Gateway returns the address that accepts requests.
func (d *Daemon) Gateway() string { return d.member.Gateway }

// Admin returns the address of the admin port.
func (d *Daemon) Admin() string { return d.adminAddress }

// PeersDown returns how often a daemon of the hall has been marked as down.
func (d *Daemon) PeersDown() int {
	return int(d.metrics.GetOrCreateCounter("tamarind_peers_down_total").Get())
}

// Done is closed when the daemon has stopped.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Stop shuts the daemon down gracefully: it fails the readiness check, stops
// accepting requests, finishes those in flight, and releases the planner lease and
// the roster entry.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.stopping.Swap(true) {
		return nil
	}
	defer close(d.done)
	d.log.Info("daemon: stopping")
	d.callerServer.StartDrain()
	select {
	case <-time.After(readinessDelay):
	case <-ctx.Done():
	}
	err := d.gateway.Stop(ctx)
	d.node.Leave(ctx)
	err = errors.CombineErrors(err, shutdown(ctx, append(d.internalServers, d.callerServer)))
	d.log.Info("daemon: stopped")
	return err
}

// Kill stops the daemon at once, like a crash.
func (d *Daemon) Kill() {
	if d.stopping.Swap(true) {
		return
	}
	defer close(d.done)
	for _, s := range append(d.internalServers, d.callerServer) {
		_ = s.Close() // an error does not matter after a kill
	}
	d.node.Close()
}

func (d *Daemon) serve(l *net.TCPListener, s *http.Server) *drain.Server {
	s.ReadHeaderTimeout = headerTimeout
	s.IdleTimeout = idleTimeout
	return serve(l, s, d.log)
}
