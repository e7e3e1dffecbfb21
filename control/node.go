package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/platform"
)

type (
	// Config configures a Node.
	Config struct {
		Self       tw.Member // ID, hall, instance, addresses and incarnation; the node sets the rest
		Clock      tw.Clock
		Log        *zap.Logger
		Metrics    *metrics.Set
		Documents  *platform.Documents
		Instances  tw.InstanceList
		Workers    tw.Workers
		Peers      tw.Peers
		Dispatcher tw.Dispatcher
		// SeedAddresses are the peers to contact while no daemon of the hall is known,
		// as when the store cannot be reached.
		SeedAddresses []string
		RandomSeed    uint64 // for jitter and the random choice of peers
		Intervals     Intervals
	}

	// Node runs a daemon's control loops.
	Node struct {
		cfg         Config
		log         *zap.Logger
		state       *localState
		members     *memberTable
		claims      *claims
		planner     *planner
		rand        *lockedRand
		acked       atomic.Uint64 // generation of the plan in force in the gateway
		beat        atomic.Uint64 // heartbeat counter
		incarnation atomic.Uint64
		ctx         context.Context
		cancel      context.CancelFunc
		loops       sync.WaitGroup
		done        chan struct{}
	}

	// Intervals has the intervals and timeouts of the control loops.
	Intervals struct {
		Sync           time.Duration // heartbeats
		List           time.Duration // instance list
		Plan           time.Duration // planning passes, while nothing is pending
		Handover       time.Duration // planning passes, while a handover is pending
		StatusPoll     time.Duration // polls of tasks and daemon reports, while nothing is pending
		Watch          time.Duration // timeout of a watch on the store
		Roster         time.Duration // checks that this daemon is still in the roster
		Lease          time.Duration // renewal of the planner's lease
		LeaseTTL       time.Duration
		PeerTimeout    time.Duration // shortest silence after which a peer counts as down
		ClaimRetention time.Duration // lifetime of claims on idempotency keys
	}

	lockedRand struct {
		mu   sync.Mutex
		rand *rand.Rand
	}
)

// claimLimit is the maximum number of claims on idempotency keys that a daemon
// stores.
const claimLimit = 100_000

var _ tw.PeerHandler = (*Node)(nil)

// SetDefaults sets all zero fields to their defaults.
func (p *Intervals) SetDefaults() {
	for _, d := range []struct {
		interval *time.Duration
		fallback time.Duration
	}{
		{&p.Sync, 1250 * time.Millisecond},
		{&p.List, time.Second},
		{&p.Plan, time.Second},
		{&p.Handover, 200 * time.Millisecond},
		{&p.StatusPoll, 10 * time.Second},
		{&p.Watch, 25 * time.Second},
		{&p.Roster, 15 * time.Second},
		{&p.Lease, 3 * time.Second},
		{&p.LeaseTTL, 10 * time.Second},
		{&p.PeerTimeout, 3 * time.Second},
		{&p.ClaimRetention, 10 * time.Minute},
	} {
		if *d.interval == 0 {
			*d.interval = d.fallback
		}
	}
}

// New creates a node and starts its loops. Close stops them.
func (c Config) New() *Node {
	c.Intervals.SetDefaults()
	if c.Clock == nil {
		c.Clock = tw.SystemClock{}
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	n := &Node{
		cfg:     c,
		log:     c.Log.Named("control"),
		state:   newLocalState(),
		members: newMemberTable(c.Clock, c.Self.Hall, c.Intervals.PeerTimeout),
		rand:    &lockedRand{rand: rand.New(rand.NewPCG(c.RandomSeed, c.RandomSeed))},
		done:    make(chan struct{}),
	}
	n.incarnation.Store(uint64(c.Self.Incarnation))
	n.claims = &claims{
		table:      newClaimTable(c.Clock, c.Intervals.ClaimRetention, claimLimit),
		peers:      c.Peers,
		self:       c.Self.ID,
		candidates: n.claimCandidates,
		metrics:    c.Metrics,
	}
	n.planner = newPlanner(n)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.startLoop(n.registerLoop)
	n.startLoop(n.configLoop)
	n.startLoop(n.planLoop)
	n.startLoop(n.listLoop)
	n.startLoop(n.syncLoop)
	n.startLoop(n.remoteLoop)
	n.startLoop(n.installLoop)
	n.startLoop(n.planner.loop)
	go func() {
		n.loops.Wait()
		close(n.done)
	}()
	return n
}

// startLoop runs a control loop in a goroutine until the node is closed.
func (n *Node) startLoop(loop func(ctx context.Context)) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		loop(n.ctx)
	}()
}

// Claims returns the claims on idempotency keys.
func (n *Node) Claims() tw.Claims { return n.claims }

// Leave stops the loops, releases the lease and removes the daemon from the roster,
// for a planned stop. The gateway must have stopped, with no requests in flight.
func (n *Node) Leave(ctx context.Context) {
	n.cancel()
	<-n.done
	n.planner.release(ctx)
	n.unregister(ctx)
}

// Close stops the loops. The lease and the roster entry stay in the store.
func (n *Node) Close() {
	n.cancel()
	<-n.done
}

// Done returns a channel that is closed when all loops have ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// sleep waits for d, and returns false if ctx ends first.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.cfg.Clock.After(d):
		return true
	}
}

// jitter returns a random duration within 20% of d.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.rand.mu.Lock()
	defer n.rand.mu.Unlock()
	return time.Duration(float64(d) * (0.8 + 0.4*n.rand.rand.Float64()))
}

// oneIn returns true with probability 1/times.
func (n *Node) oneIn(times int) bool {
	n.rand.mu.Lock()
	defer n.rand.mu.Unlock()
	return n.rand.rand.IntN(times) == 0
}

func (n *Node) shuffle(in []tw.Member) {
	n.rand.mu.Lock()
	defer n.rand.mu.Unlock()
	n.rand.rand.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
}
