package relay_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/relay"
)

type (
	// fakeWorkers is a fake that answers starts after a time, with an error per worker.
	fakeWorkers struct {
		tw.WorkerOrders
		latency time.Duration
		errs    map[tw.WorkerID]error
		// latencies holds the latencies of workers that differ from latency.
		latencies map[tw.WorkerID]time.Duration

		mu    sync.Mutex
		specs []string
	}

	// fixture is a daemon with relays. All relays send orders to the same fake workers.
	fixture struct {
		*WithT
		t               *testing.T
		direct, relayed *fakeWorkers
		bandwidth       tw.BytesPerSecond
		servers         map[string]*relay.Server
		// relayErrs holds errors of calls to relays that fail before anything is done.
		relayErrs map[string]error
		// unresponsive holds the relays that accept orders and do not answer.
		unresponsive map[string]bool
		// stopAfter is the number of answers after which a relay's process ends, if not zero. late
		// is how long relays hold their answers back, transit how long a batch takes to them.
		stopAfter     int
		late, transit time.Duration
		// repeat has relays send each answer twice, and one for an order that there is not.
		repeat bool

		mu      sync.Mutex
		batches map[string][]int // sizes, by relay
	}
)

const (
	hall tw.HallID = "h"
	// link is the bandwidth of about 100 orders per second.
	link tw.BytesPerSecond = 73_000
	// slow is the latency of direct starts over a saturated link.
	slow  = 80 * time.Millisecond
	limit = 400 * time.Millisecond
)

func (w *fakeWorkers) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	latency, differs := w.latencies[to.ID]
	if !differs {
		latency = w.latency
	}
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		return 0, tw.ErrAmbiguous
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs = append(w.specs, order.Spec)
	return tw.WorkerTime(order.Run), w.errs[to.ID]
}

func (w *fakeWorkers) starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.specs)
}

func newFixture(t *testing.T, relays ...string) *fixture {
	r := &fixture{
		WithT: NewWithT(t), t: t, bandwidth: link, direct: &fakeWorkers{latency: slow}, relayed: &fakeWorkers{latency: time.Millisecond, errs: map[tw.WorkerID]error{}},
		servers: map[string]*relay.Server{}, relayErrs: map[string]error{}, unresponsive: map[string]bool{}, batches: map[string][]int{},
	}
	for _, name := range relays {
		r.servers[name] = r.newServer()
	}
	return r
}

func (r *fixture) newServer() *relay.Server {
	return relay.ServerConfig{Orders: r.relayed, Clock: tw.SystemClock{}, Log: agecheck.Logger(r.t), Metrics: agecheck.Metrics(r.t)}.New()
}

func (r *fixture) orders() *relay.Orders {
	return relay.Config{
		Direct: r.direct, Relays: r, Clock: tw.SystemClock{}, Log: agecheck.Logger(r.t), Metrics: agecheck.Metrics(r.t), LinkBandwidth: r.bandwidth,
	}.New()
}

// Candidates implements tw.Relays.
func (r *fixture) Candidates(tw.HallID) []string {
	var out []string
	for n := range len(r.servers) {
		out = append(out, fmt.Sprintf("r%d", n))
	}
	return out
}

// Start implements tw.Relays.
func (r *fixture) Start(ctx context.Context, address string, batch []tw.RelayedStart, answer func(tw.RelayedAnswer)) error {
	r.mu.Lock()
	r.batches[address] = append(r.batches[address], len(batch))
	r.mu.Unlock()
	if err := r.relayErrs[address]; err != nil {
		return err
	}
	if r.unresponsive[address] {
		<-ctx.Done()
		return tw.ErrAmbiguous
	}
	time.Sleep(r.transit)
	count := 0
	r.servers[address].Start(ctx, batch, func(answers []tw.RelayedAnswer) {
		time.Sleep(r.late)
		for _, a := range answers {
			if count++; r.stopAfter == 0 || count <= r.stopAfter {
				answer(a)
			}
			if r.repeat {
				answer(a)
				answer(tw.RelayedAnswer{Index: len(batch)})
			}
		}
	})
	if r.stopAfter > 0 {
		return tw.ErrAmbiguous
	}
	return nil
}

// batchSizes returns the sizes of the batches sent to a relay.
func (r *fixture) batchSizes(address string) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.batches[address])
}

// startAll sends an order to each of count workers concurrently and returns the errors.
func (r *fixture) startAll(o *relay.Orders, count int, submission string) []error {
	errs := make([]error, count)
	var wg sync.WaitGroup
	for n := range count {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			clock, err := o.Start(ctx, tw.WorkerRef{ID: tw.WorkerID(fmt.Sprintf("w%d", n)), Hall: hall}, tw.StartOrder{
				Subtask: tw.SubtaskID{Submission: tw.SubmissionID(submission), Index: n}, Run: tw.RunNumber(n + 1), Spec: "spec of " + submission,
			})
			if err == nil {
				r.Expect(clock).To(BeEquivalentTo(n + 1))
			}
			errs[n] = err
		})
	}
	wg.Wait()
	return errs
}

// saturate sends orders until the daemon detects that its link is saturated.
func (r *fixture) saturate(o *relay.Orders) {
	for range 4 {
		r.startAll(o, 20, "first")
	}
	r.Expect(r.relayed.starts()).To(BeNumerically(">", 0))
}

// runTest runs a test in a synctest bubble and closes its Orders at the end.
func runTest(t *testing.T, do func(r *fixture, o *relay.Orders), relays ...string) {
	runTestWithLink(t, link, do, relays...)
}

func runTestWithLink(t *testing.T, bandwidth tw.BytesPerSecond, do func(r *fixture, o *relay.Orders), relays ...string) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, relays...)
		r.bandwidth = bandwidth
		o := r.orders()
		defer o.Close()
		do(r, o)
	})
}

// TestNoRelayWithoutSaturation checks that nothing is relayed while workers answer quickly, nor
// at a low start rate with slow workers.
func TestNoRelayWithoutSaturation(t *testing.T) {
	for name, c := range map[string]struct {
		latency time.Duration
		pause   time.Duration
	}{
		"fast workers": {latency: 5 * time.Millisecond, pause: 20 * time.Millisecond},
		"few orders":   {latency: slow, pause: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(r *fixture, o *relay.Orders) {
				r.direct.latency = c.latency
				for range 30 {
					r.Expect(r.startAll(o, 3, "s")).To(HaveEach(BeNil()))
					time.Sleep(c.pause)
				}
				r.Expect(r.relayed.starts()).To(BeZero())
			}, "r0")
		})
	}
}

// TestRelayOverSaturatedLink checks that a daemon with a saturated link relays in batches through
// as few relays as are enough, and stops relaying at a low start rate. Relays fill in the specs
// that they know.
func TestRelayOverSaturatedLink(t *testing.T) {
	runTest(t, func(r *fixture, o *relay.Orders) {
		r.saturate(o)
		before := len(r.batchSizes("r0"))
		r.Expect(r.startAll(o, 20, "second")).To(HaveEach(BeNil()))
		r.Expect(r.batchSizes("r0")[before:]).To(HaveLen(1))
		r.Expect(r.batchSizes("r2")).NotTo(BeEmpty())
		r.Expect(r.batchSizes("r3")).To(BeEmpty())
		r.Expect(r.relayed.specs).To(HaveEach(Or(Equal("spec of first"), Equal("spec of second"))))
		time.Sleep(2 * time.Second)
		relayed := r.relayed.starts()
		r.startAll(o, 1, "third")
		r.Expect(r.relayed.starts()).To(Equal(relayed))
	}, "r0", "r1", "r2", "r3")
}

// TestRestartedRelay checks that a restarted relay is sent the specs again that it had before
// the restart.
func TestRestartedRelay(t *testing.T) {
	runTest(t, func(r *fixture, o *relay.Orders) {
		r.saturate(o)
		r.servers["r0"] = r.newServer()
		r.Expect(r.startAll(o, 10, "first")).To(HaveEach(BeNil()))
		r.Expect(r.relayed.specs).To(HaveEach("spec of first"))
	}, "r0")
}

// TestFailedRelayedOrders checks the outcome of orders whose relay or worker fails.
func TestFailedRelayedOrders(t *testing.T) {
	refused := &tw.OrderRefusedError{Reason: tw.RefusedNoCapacity}
	for name, c := range map[string]struct {
		relayErr     error // of calls to the relay
		unresponsive bool
		workerErr    error // of orders from the relay to workers
		want         error // nil if the order succeeds in the end
		direct       bool  // whether the order is then sent directly
	}{
		"relay has ended":                     {relayErr: tw.ErrNotListening, direct: true},
		"relay is unreachable":                {relayErr: tw.ErrUnavailable, direct: true},
		"answer of the relay is lost":         {relayErr: tw.ErrAmbiguous, want: tw.ErrAmbiguous},
		"relay does not answer":               {unresponsive: true, want: tw.ErrAmbiguous},
		"worker refuses":                      {workerErr: refused, want: refused},
		"worker does not answer":              {workerErr: tw.ErrAmbiguous, want: tw.ErrAmbiguous},
		"worker is unreachable for the relay": {workerErr: tw.ErrUnavailable, direct: true},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(r *fixture, o *relay.Orders) {
				r.saturate(o)
				r.relayErrs["r0"], r.unresponsive["r0"] = c.relayErr, c.unresponsive
				for n := range 10 {
					r.relayed.errs[tw.WorkerID(fmt.Sprintf("w%d", n))] = c.workerErr
				}
				direct := r.direct.starts()
				errs := r.startAll(o, 10, "first")
				count := 0
				for _, err := range errs {
					if c.want == nil {
						r.Expect(err).NotTo(HaveOccurred())
					} else if err != nil {
						r.Expect(err).To(MatchError(c.want))
						count++
					}
				}
				if c.direct {
					r.Expect(r.direct.starts() - direct).To(Equal(10))
				} else {
					r.Expect(count).To(BeNumerically(">=", 9)) // one may be sent directly in any case
				}
			}, "r0")
		})
	}
}

// TestUnresponsiveRelayIsAvoided checks that a relay that did not answer gets no orders for a
// while.
func TestUnresponsiveRelayIsAvoided(t *testing.T) {
	runTest(t, func(r *fixture, o *relay.Orders) {
		r.saturate(o)
		r.unresponsive["r0"] = true
		r.startAll(o, 10, "first")
		time.Sleep(limit) // the call to the relay times out a little later than its orders
		before := len(r.batchSizes("r0"))
		r.Expect(r.startAll(o, 10, "first")).To(HaveEach(BeNil()))
		r.Expect(r.batchSizes("r0")).To(HaveLen(before))
		r.Expect(r.batchSizes("r1")).NotTo(BeEmpty())
	}, "r0", "r1")
}

// TestCancelledOrdersAreNotRelayed checks that an order is not sent if its context is cancelled
// before the batch is sent.
func TestCancelledOrdersAreNotRelayed(t *testing.T) {
	runTest(t, func(r *fixture, o *relay.Orders) {
		r.saturate(o)
		before := r.relayed.starts()
		var wg sync.WaitGroup
		for n := range 5 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				time.AfterFunc(5*time.Millisecond, cancel)
				_, err := o.Start(ctx, tw.WorkerRef{ID: tw.WorkerID(fmt.Sprintf("w%d", n)), Hall: hall}, tw.StartOrder{Run: 1})
				r.Expect(err).To(HaveOccurred())
			})
		}
		wg.Wait()
		time.Sleep(limit)
		r.Expect(r.relayed.starts()).To(Equal(before))
	}, "r0")
}
