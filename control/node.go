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
		Self       tw.Member // id, hall, instance, addresses; the rest is filled in
		Clock      tw.Clock
		Log        *zap.Logger
		Metrics    *metrics.Set
		Documents  *platform.Documents
		Instances  tw.InstanceList
		Workers    tw.Workers
		Peers      tw.Peers
		Dispatcher tw.Dispatcher
		// SeedAddresses are peer addresses to ask while the store cannot be reached.
		SeedAddresses []string
		RandomSeed    uint64 // of random choices
		Intervals     Intervals
	}

	// Node runs a daemon's duties.
	Node struct {
		cfg         Config
		log         *zap.Logger
		state       *localState
		members     *memberTable
		claims      *claims
		planner     *planner
		rand        *lockedRand
		acked       atomic.Uint64
		beat        atomic.Uint64
		incarnation atomic.Uint64 // incarnation
		ctx         context.Context
		cancel      context.CancelFunc
		loops       sync.WaitGroup
		done        chan struct{}
	}

	// Intervals is how often the duties run.
	Intervals struct {
		Sync           time.Duration // heartbeats
		List           time.Duration // instance list
		Plan           time.Duration // planning at rest
		Handover       time.Duration // planning while a handover is on its way
		StatusPoll     time.Duration // at rest: tasks, and reports of the daemons
		Watch          time.Duration // how long a watch waits
		Roster         time.Duration // looking whether we are still in it
		Lease          time.Duration // renewal of the planner's lease
		LeaseTTL       time.Duration
		PeerTimeout    time.Duration // silence of a peer
		ClaimRetention time.Duration // idempotency keys
	}

	lockedRand struct {
		mu   sync.Mutex
		rand *rand.Rand
	}
)

// claimLimit bounds the idempotency keys held by a daemon.
const claimLimit = 100_000

var _ tw.PeerHandler = (*Node)(nil)

// SetDefaults fills what was left out.
func (p *Intervals) SetDefaults() {
	for _, d := range []struct {
		at   *time.Duration
		rest time.Duration
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
		if *d.at == 0 {
			*d.at = d.rest
		}
	}
}

// New makes a node and starts its duties; Close ends them.
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

// startLoop runs a duty until the node is closed.
func (n *Node) startLoop(duty func(ctx context.Context)) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		duty(n.ctx)
	}()
}

// Claims is the keeper of idempotency keys.
func (n *Node) Claims() tw.Claims { return n.claims }

// Leave gives back the lease and the place in the roster, for a planned stop.
// The gateway must have stopped: nothing may be in flight any more.
func (n *Node) Leave(ctx context.Context) {
	n.cancel()
	<-n.done
	n.planner.release(ctx)
	n.unregister(ctx)
}

// Close ends the duties at once.
func (n *Node) Close() {
	n.cancel()
	<-n.done
}

// Done is closed when all duties have ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// sleep waits, and returns false when the node is closed.
func (n *Node) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.cfg.Clock.After(d):
		return true
	}
}

// jitter spreads d by a fifth to either side.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.rand.mu.Lock()
	defer n.rand.mu.Unlock()
	return time.Duration(float64(d) * (0.8 + 0.4*n.rand.rand.Float64()))
}

// oneIn is true once in n times on average.
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
