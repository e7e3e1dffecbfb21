package member

import (
	"context"
	"hash/fnv"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// RelayConfig configures a Relay.
	RelayConfig struct {
		// Self is this daemon.
		Self tw.DaemonID
		// Relays are daemons of a hall that answer and may give orders for this one.
		Relays func(hall tw.HallID) []Live
		Peers  RelayCaller
		// Direct gives orders to workers itself.
		Direct tw.WorkerOrders
		Clock  tw.Clock
		Log    *zap.Logger
		// Metrics counts what went through others; nil for none.
		Metrics *metrics.Set
		// Busy is the rate of starts above which they are relayed, in starts a
		// second; below it a relay would only add its way.
		Busy float64
	}

	// RelayCaller has another daemon give starts.
	RelayCaller interface {
		// Start calls each with every message of the answer.
		Start(ctx context.Context, address string, m StartsRequest, each func(StartsResponse)) error
		// Look begins looks and returns what was found meanwhile.
		Look(ctx context.Context, address string, m LooksRequest) (*LooksResponse, error)
	}

	// Relay gives orders to workers. While an owner starts much, its starts go
	// through other daemons of the workers' halls, in batches that carry the spec
	// of a submission once, and so do its looks.
	Relay struct {
		RelayConfig

		mu      sync.Mutex
		rate    rate
		batches map[string]*startBatch
		links   map[string]*lookLink
	}

	// startBatch are the starts that wait to be sent to one relay.
	startBatch struct {
		items []*batchItem
	}

	// batchItem are the starts of one worker.
	batchItem struct {
		to      tw.WorkerRef
		timeout time.Duration
		starts  []tw.StartOrder
		results chan []tw.StartResult // takes one
	}

	// rate is how often something happens, smoothed over about a second.
	rate struct {
		count float64 // fading
		at    time.Time
	}
)

const (
	// batchGather is how long starts for one relay gather: those of one placement
	// pass come within it.
	batchGather = 2 * time.Millisecond
	// relayMargin is added to the time that the starts themselves may take, for
	// the way there and back.
	relayMargin = 300 * time.Millisecond
	// relayWithin is how old an order may be when a relay sends it.
	relayWithin = 400 * time.Millisecond
	// rateFade is the time in which a rate forgets two thirds of what was.
	rateFade = time.Second
)

var (
	_ tw.WorkerOrders = (*Relay)(nil)
	_ tw.StartBatches = (*Relay)(nil)
)

// New makes a relay; it makes no call yet.
func (c RelayConfig) New() *Relay {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return &Relay{RelayConfig: c, batches: map[string]*startBatch{}, links: map[string]*lookLink{}}
}

// Stop implements tw.WorkerOrders.
func (r *Relay) Stop(ctx context.Context, to tw.WorkerRef, order tw.StopOrder) (tw.WorkerClock, error) {
	return r.Direct.Stop(ctx, to, order)
}

// Hold implements tw.WorkerOrders.
func (r *Relay) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	if link := r.linkFor(to); link != nil {
		if answer, made := link.hold(ctx, to, order); made {
			return answer.report, answer.err
		}
	}
	return r.Direct.Hold(ctx, to, order)
}

// linkFor is the link to the daemon that looks at a worker; nil if this one does
// itself. It is the same one for each worker as long as the relays are the same.
func (r *Relay) linkFor(to tw.WorkerRef) *lookLink {
	if !r.busy(0) {
		return nil
	}
	relay, found := pick(r.Relays(to.Hall), string(to.ID))
	if !found {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	link := r.links[relay.Address]
	if link == nil {
		link = &lookLink{relay: r, to: relay, waiting: map[int64]chan lookAnswer{}}
		r.links[relay.Address] = link
	}
	return link
}

// pick chooses one of the relays, the same one for what has the same name.
func pick(relays []Live, name string) (Live, bool) {
	if len(relays) == 0 {
		return Live{}, false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return relays[int(h.Sum32())%len(relays)], true
}

// Pace implements tw.WorkerOrders.
func (r *Relay) Pace(ctx context.Context, to tw.WorkerRef, order tw.PaceOrder) (tw.WorkerClock, error) {
	return r.Direct.Pace(ctx, to, order)
}

// Start implements tw.WorkerOrders.
func (r *Relay) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerClock, error) {
	result := r.StartAll(ctx, to, patienceOf(ctx, r.Clock), []tw.StartOrder{order})[0]
	return result.Clock, result.Err
}

// patienceOf is how long a context lasts.
func patienceOf(ctx context.Context, clock tw.Clock) time.Duration {
	if deadline, bounded := ctx.Deadline(); bounded {
		return deadline.Sub(clock.Now())
	}
	return relayMargin
}

// StartAll implements tw.StartBatches.
func (r *Relay) StartAll(ctx context.Context, to tw.WorkerRef, each time.Duration, starts []tw.StartOrder) []tw.StartResult {
	relay, found := r.relayFor(to, starts)
	if !found {
		return run.StartEach(ctx, r.Direct, to, each, starts)
	}
	item := &batchItem{to: to, timeout: each, starts: starts, results: make(chan []tw.StartResult, 1)}
	r.add(ctx, relay, item)
	select {
	case results := <-item.results:
		return results
	case <-ctx.Done():
		return allFailed(len(starts), errors.Wrap(tw.ErrUnclear, "member: relayed starts were given up"))
	}
}

// relayFor picks the daemon through which starts go: one of the worker's hall, the
// same for all of a submission.
func (r *Relay) relayFor(to tw.WorkerRef, starts []tw.StartOrder) (Live, bool) {
	if !r.busy(len(starts)) {
		return Live{}, false
	}
	return pick(r.Relays(to.Hall), string(starts[0].Subtask.Submission))
}

// busy counts starts and tells whether they come fast enough to be relayed.
func (r *Relay) busy(starts int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rate.add(r.Clock.Now(), starts) > r.Busy
}

// add puts starts into the batch for a relay, which is sent soon.
func (r *Relay) add(ctx context.Context, relay Live, item *batchItem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := r.batches[relay.Address]
	if batch == nil {
		batch = &startBatch{}
		r.batches[relay.Address] = batch
		go r.send(context.WithoutCancel(ctx), relay, batch)
	}
	batch.items = append(batch.items, item)
}

// send waits for more and then has a batch carried out.
func (r *Relay) send(ctx context.Context, relay Live, batch *startBatch) {
	<-r.Clock.After(batchGather)
	r.mu.Lock()
	delete(r.batches, relay.Address)
	r.mu.Unlock()
	request := batch.request()
	callCtx, cancel := context.WithTimeout(ctx, batch.timeout()+relayWithin+relayMargin)
	defer cancel()
	delivered := make([]bool, len(batch.items))
	err := r.Peers.Start(callCtx, relay.Address, request, func(m StartsResponse) {
		for _, w := range m.Workers {
			if w.Index < 0 || w.Index >= len(delivered) || delivered[w.Index] {
				continue
			}
			if results, whole := batch.items[w.Index].take(w); whole {
				delivered[w.Index] = true
				batch.items[w.Index].results <- results
			}
		}
	})
	r.Metrics.GetOrCreateCounter("tamarind_relayed_batches_total").Inc()
	r.Metrics.GetOrCreateCounter("tamarind_relayed_starts_total").Add(batch.starts())
	if err == nil {
		err = errors.Wrap(tw.ErrUnclear, "member: the relay's answer is not complete")
	}
	r.logMissing(relay, delivered, err)
	for i, item := range batch.items {
		if delivered[i] {
			continue
		}
		if errors.Is(err, tw.ErrGone) || errors.Is(err, tw.ErrUnavailable) {
			// The relay got nothing.
			go func() { item.results <- run.StartEach(ctx, r.Direct, item.to, item.timeout, item.starts) }()
			continue
		}
		item.results <- allFailed(len(item.starts), err)
	}
}

// logMissing tells of the workers whose starts a relay did not vouch for.
func (r *Relay) logMissing(relay Live, delivered []bool, err error) {
	missing := 0
	for _, whole := range delivered {
		if !whole {
			missing++
		}
	}
	if missing == 0 {
		return
	}
	r.Metrics.GetOrCreateCounter("tamarind_relay_failures_total").Inc()
	r.Log.Info("relay: starts without an outcome", zap.String("daemon", string(relay.Daemon)),
		zap.Int("workers", missing), zap.Int("of", len(delivered)), logsink.Err(err))
}

// starts counts the starts of the batch.
func (b *startBatch) starts() int {
	n := 0
	for _, item := range b.items {
		n += len(item.starts)
	}
	return n
}

// timeout is the longest that a start of the batch may take.
func (b *startBatch) timeout() time.Duration {
	longest := time.Duration(0)
	for _, item := range b.items {
		longest = max(longest, item.timeout)
	}
	return longest
}

func (b *startBatch) request() StartsRequest {
	out := StartsRequest{Within: relayWithin}
	places := map[tw.SubmissionID]int{}
	for _, item := range b.items {
		w := WorkerStarts{ID: item.to.ID, Address: item.to.Address, Fence: item.starts[0].Fence, Timeout: item.timeout}
		for _, order := range item.starts {
			id := order.Subtask.Submission
			place, known := places[id]
			if !known {
				place = len(out.Specs)
				places[id] = place
				out.Specs = append(out.Specs, StartsSpec{ID: id, Spec: order.Spec})
			}
			w.Starts = append(w.Starts, relayedStart(order, place))
		}
		out.Workers = append(out.Workers, w)
	}
	return out
}

// take reads the outcomes of the item's starts; false if they are not whole.
func (b *batchItem) take(w WorkerOutcomes) ([]tw.StartResult, bool) {
	if len(w.Outcomes) != len(b.starts) {
		return nil, false
	}
	out := make([]tw.StartResult, len(w.Outcomes))
	for i, o := range w.Outcomes {
		out[i] = o.result()
	}
	return out, true
}

// allFailed is the outcome of starts that all ended in the same way.
func allFailed(n int, err error) []tw.StartResult {
	out := make([]tw.StartResult, n)
	for i := range out {
		out[i].Err = err
	}
	return out
}

// add counts and returns the rate, in events a second.
func (r *rate) add(now time.Time, n int) float64 {
	if !r.at.IsZero() {
		r.count *= math.Exp(-now.Sub(r.at).Seconds() / rateFade.Seconds())
	}
	r.at = now
	r.count += float64(n)
	return r.count / rateFade.Seconds()
}
