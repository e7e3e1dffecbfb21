package relay

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Config configures Orders.
	Config struct {
		// Direct sends orders without a relay.
		Direct  tw.WorkerOrders
		Relays  tw.Relays
		Clock   tw.Clock
		Log     *zap.Logger
		Metrics *metrics.Set
		// LinkBandwidth is the bandwidth of the daemon's link in one direction. It is zero if
		// unknown; nothing is relayed for the link's sake then.
		LinkBandwidth tw.BytesPerSecond
	}

	// Orders sends orders to workers. It relays starts while the daemon's link is saturated or
	// its processor time is short, and sends all other orders directly.
	Orders struct {
		tw.WorkerOrders
		config Config
		counts counts
		ctx    context.Context
		cancel context.CancelFunc
		// batches counts the batches in flight; done is closed when Close has waited for them.
		batches sync.WaitGroup
		done    chan struct{}

		mu         sync.Mutex
		load       linkLoad
		batchers   map[tw.HallID]*batcher
		relays     map[string]*peer
		relayLists map[tw.HallID]relayList
		// shortUntil is the time until which starts are relayed because an owner is short.
		shortUntil time.Time
		// wasRelaying is whether starts were relayed when the last one was sent.
		wasRelaying bool
	}

	// relayList holds the relays of a data hall and the time at which they were listed.
	relayList struct {
		addresses []string
		at        time.Time
	}

	// counts holds the counters of relayed starts by outcome.
	counts struct{ answered, ambiguous, notRelayed *metrics.Counter }
)

const (
	// maxRelayListAge is the maximum age of the list of a data hall's relays.
	maxRelayListAge = 500 * time.Millisecond
	// maxPeers is above the number of relays of all data halls.
	maxPeers = 128
	// maxRelayedPerWorker is the number of concurrent starts to one worker while relaying.
	maxRelayedPerWorker = 4
	// relayBackoff is how long an unresponsive relay gets no orders.
	relayBackoff = 2 * time.Second
)

// errNotRelayed is the error of an order that a relay certainly did not send.
var errNotRelayed = errors.New("not relayed")

var (
	_ tw.WorkerOrders    = (*Orders)(nil)
	_ tw.ParallelStarter = (*Orders)(nil)
)

// New returns an Orders, which must be closed. It makes no call before the first order.
func (c Config) New() *Orders {
	ctx, cancel := context.WithCancel(context.Background())
	count := func(outcome string) *metrics.Counter {
		return c.Metrics.GetOrCreateCounter(`tamarind_relayed_starts_total{outcome="` + outcome + `"}`)
	}
	return &Orders{
		WorkerOrders: c.Direct, config: c, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		counts:   counts{answered: count("answered"), ambiguous: count("unclear"), notRelayed: count("not relayed")},
		load:     linkLoad{maxRate: maxStartRate(c.LinkBandwidth)},
		batchers: map[tw.HallID]*batcher{}, relays: map[string]*peer{}, relayLists: map[tw.HallID]relayList{},
	}
}

// Close cancels the calls to relays and waits for them. No order may be started after it.
func (o *Orders) Close() {
	o.cancel()
	o.batches.Wait()
	close(o.done)
}

// Done returns a channel that is closed at the end of Close.
func (o *Orders) Done() <-chan struct{} { return o.done }

// Start implements tw.WorkerOrders.
func (o *Orders) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	if via := o.pickBatcher(to); via != nil {
		clock, err := via.start(ctx, to, order)
		if !errors.Is(err, errNotRelayed) {
			return clock, err
		}
		if ctx.Err() != nil {
			return 0, errors.Wrap(tw.ErrUnavailable, "relay: the order was not sent in time")
		}
		o.mu.Lock()
		o.load.directSent()
		o.mu.Unlock()
	}
	return o.direct(ctx, to, order)
}

// direct sends an order directly. linkLoad.directSent must have counted it already.
func (o *Orders) direct(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	startedAt := o.config.Clock.Now()
	clock, err := o.WorkerOrders.Start(ctx, to, order)
	now := o.config.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.load.directEnded(now, now.Sub(startedAt), tw.Answered(err))
	return clock, err
}

// NoteShort has starts relayed for a while, because an owner cannot send the starts that it could
// place.
func (o *Orders) NoteShort() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shortUntil = o.config.Clock.Now().Add(relayHoldTime)
}

// pickBatcher returns the batcher for a start to a worker, or nil if the start is to be sent
// directly; it then counts the start as sent.
func (o *Orders) pickBatcher(to tw.WorkerRef) *batcher {
	now := o.config.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.load.recordStart(now)
	relaying := o.relaying(now)
	if relaying != o.wasRelaying {
		o.wasRelaying = relaying
		o.config.Log.Info("orders: relaying", zap.Bool("on", relaying), zap.Bool("link", o.load.relaying), zap.Float64("starts_per_second", o.load.rate(now)),
			zap.Float64("most", o.load.maxRate), zap.Duration("direct_took", o.load.latency), zap.Int("direct_open", o.load.inFlight))
	}
	if !relaying || o.load.inFlight < directWhileRelaying {
		o.load.directSent()
		return nil
	}
	b := o.batchers[to.Hall]
	if b == nil {
		b = &batcher{orders: o, hall: to.Hall}
		o.batchers[to.Hall] = b
	}
	return b
}

// relaying reports whether starts are relayed.
func (o *Orders) relaying(now time.Time) bool { return o.load.relaying || now.Before(o.shortUntil) }

// MaxParallelStarts implements tw.ParallelStarter. While the link is saturated, several concurrent starts
// to one worker make batches larger without needing more connections to it. Otherwise each worker has
// one, as without relays: if it is cut off, more of them would be ambiguous.
func (o *Orders) MaxParallelStarts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.load.relaying {
		return maxRelayedPerWorker
	}
	return 1
}

// Relaying reports whether starts are relayed.
func (o *Orders) Relaying() bool {
	now := o.config.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relaying(now)
}

// peers returns the relays of a data hall in order of preference, and the preferred number of
// orders in flight for each. While the link is saturated, the order is fixed: the same relays get
// all orders, so that specs are sent to few of them and few connections to workers are opened.
func (o *Orders) peers(hall tw.HallID) (peers []*peer, perRelay int) {
	now := o.config.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	list, known := o.relayLists[hall]
	if !known || now.Sub(list.at) > maxRelayListAge {
		list = relayList{addresses: o.config.Relays.Candidates(hall), at: now}
		o.relayLists[hall] = list
	}
	for _, address := range list.addresses {
		peers = append(peers, o.peerAt(address))
	}
	if o.load.relaying {
		return peers, preferredInFlightLink
	}
	leastBusyFirst(peers)
	return peers, preferredInFlightCPU
}

func (o *Orders) peerAt(address string) *peer {
	p := o.relays[address]
	if p == nil {
		if len(o.relays) >= maxPeers {
			clear(o.relays) // drops relays that have left; orders in flight keep theirs
		}
		p = &peer{address: address, sentSpecs: newSpecCache()}
		o.relays[address] = p
	}
	return p
}
