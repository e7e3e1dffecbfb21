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
		// Direct gives orders without a relay.
		Direct  tw.WorkerOrders
		Relays  tw.Relays
		Clock   tw.Clock
		Log     *zap.Logger
		Metrics *metrics.Set
		// LinkBandwidth is what the daemon's link carries in one direction; zero if that is not
		// known, and nothing is relayed then.
		LinkBandwidth tw.BytesPerSecond
	}

	// Orders gives orders to workers. While the daemon is short, starts go over relays;
	// all other orders are always given directly.
	Orders struct {
		tw.WorkerOrders
		config Config
		counts counts
		ctx    context.Context
		cancel context.CancelFunc
		// batches are those under way; done is closed when the last has ended.
		batches sync.WaitGroup
		done    chan struct{}

		mu         sync.Mutex
		load       linkLoad
		batchers   map[string]*batcher
		relayLists map[tw.HallID]relayList
	}

	// relayList are the relays of a data hall, as listed at a time.
	relayList struct {
		addresses []string
		at        time.Time
	}

	// counts are the figures of relayed starts by their outcome.
	counts struct{ answered, unclear, notRelayed *metrics.Counter }
)

const (
	// maxRelayListAge is how old the list of a data hall's relays may be.
	maxRelayListAge = 500 * time.Millisecond
	// maxBatchers is more than the relays of all data halls.
	maxBatchers = 128
	// maxRelayedPerWorker starts to one worker may be under way over relays.
	maxRelayedPerWorker = 4
	// relayBackoff is how long a relay that did not answer gets no orders.
	relayBackoff = 2 * time.Second
)

// errNotRelayed is the error of an order that surely was not given by a relay.
var errNotRelayed = errors.New("not relayed")

var (
	_ tw.WorkerOrders    = (*Orders)(nil)
	_ tw.ParallelStarter = (*Orders)(nil)
)

// New makes Orders, which Close ends; no call is made before the first order.
func (c Config) New() *Orders {
	ctx, cancel := context.WithCancel(context.Background())
	count := func(outcome string) *metrics.Counter {
		return c.Metrics.GetOrCreateCounter(`tamarind_relayed_starts_total{outcome="` + outcome + `"}`)
	}
	return &Orders{
		WorkerOrders: c.Direct, config: c, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		counts:   counts{answered: count("answered"), unclear: count("unclear"), notRelayed: count("not relayed")},
		load:     linkLoad{maxRate: maxStartRate(c.LinkBandwidth)},
		batchers: map[string]*batcher{}, relayLists: map[tw.HallID]relayList{},
	}
}

// Close ends the calls to relays. No order may be given after it.
func (o *Orders) Close() {
	o.cancel()
	o.batches.Wait()
	close(o.done)
}

// Done is closed when Close has ended.
func (o *Orders) Done() <-chan struct{} { return o.done }

// Start implements tw.WorkerOrders.
func (o *Orders) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	if via := o.pickRelay(to); via != nil {
		clock, err := via.start(ctx, to, order)
		if !errors.Is(err, errNotRelayed) {
			return clock, err
		}
		if ctx.Err() != nil {
			return 0, errors.Wrap(tw.ErrUnavailable, "relay: the order was not given in time")
		}
		o.mu.Lock()
		o.load.directSent()
		o.mu.Unlock()
	}
	return o.direct(ctx, to, order)
}

// direct gives an order that is counted as sent.
func (o *Orders) direct(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	began := o.config.Clock.Now()
	clock, err := o.WorkerOrders.Start(ctx, to, order)
	now := o.config.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.load.directEnded(now, now.Sub(began), tw.Answered(err))
	return clock, err
}

// pickRelay is the relay for a start to a worker, or nil if it is to be given directly, which is
// counted then. The fewest relays of the worker's data hall are used: their batches are larger
// then, and they open fewer connections to workers.
func (o *Orders) pickRelay(to tw.WorkerRef) *batcher {
	now := o.config.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	was := o.load.relaying
	relays := o.load.recordStart(now)
	if relays != was {
		o.config.Log.Info("orders: relaying", zap.Bool("on", relays), zap.Float64("starts_per_second", o.load.rate(now)),
			zap.Float64("most", o.load.maxRate), zap.Duration("direct_took", o.load.latency), zap.Int("direct_open", o.load.inFlight))
	}
	if !relays || o.load.inFlight < directWhileRelaying {
		o.load.directSent()
		return nil
	}
	var least *batcher
	fewest := maxInFlight
	for _, address := range o.relays(now, to.Hall) {
		l := o.batcherFor(address)
		open, usable := l.state(now)
		switch {
		case !usable:
		case open < preferredInFlight:
			return l
		case open < fewest:
			least, fewest = l, open
		}
	}
	if least == nil {
		o.load.directSent()
	}
	return least
}

// MaxParallelStarts implements tw.ParallelStarts: batches grow where several starts to one worker
// are under way, and no more connections to it are needed.
func (o *Orders) MaxParallelStarts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.load.relaying {
		return maxRelayedPerWorker
	}
	return 1
}

// relays are the addresses of a data hall's relays.
func (o *Orders) relays(now time.Time, hall tw.HallID) []string {
	have, known := o.relayLists[hall]
	if !known || now.Sub(have.at) > maxRelayListAge {
		have = relayList{addresses: o.config.Relays.Candidates(hall), at: now}
		o.relayLists[hall] = have
	}
	return have.addresses
}

func (o *Orders) batcherFor(address string) *batcher {
	l := o.batchers[address]
	if l == nil {
		if len(o.batchers) >= maxBatchers {
			clear(o.batchers) // relays that have left; orders under way keep their links
		}
		l = &batcher{orders: o, address: address, sentSpecs: newSpecCache()}
		o.batchers[address] = l
	}
	return l
}
