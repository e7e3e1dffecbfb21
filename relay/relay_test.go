package relay_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/relay"
)

type (
	// workers answer starts after a time, each as its error says.
	workers struct {
		tw.WorkerOrders
		takes time.Duration
		errs  map[tw.WorkerID]error

		mu    sync.Mutex
		specs []string
	}

	// rig is a daemon with relays whose orders go to the same workers.
	rig struct {
		*WithT
		direct, relayed *workers
		servers         map[string]*relay.Server
		// fails are the errors of calls to relays, before anything is done.
		fails map[string]error
		// silent relays take orders and do not answer.
		silent map[string]bool

		mu      sync.Mutex
		batches map[string][]int // sizes, by relay
	}
)

const (
	hall tw.HallID = "h"
	// link carries 100 orders a second.
	link tw.BytesPerSecond = 73_000
	// slow is how long a direct start takes at a daemon that is short.
	slow  = 80 * time.Millisecond
	limit = 400 * time.Millisecond
)

func (w *workers) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	select {
	case <-time.After(w.takes):
	case <-ctx.Done():
		return 0, tw.ErrAmbiguous
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs = append(w.specs, order.Spec)
	return tw.WorkerTime(order.Run), w.errs[to.ID]
}

func (w *workers) starts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.specs)
}

func newRig(t *testing.T, relays ...string) *rig {
	r := &rig{
		WithT: NewWithT(t), direct: &workers{takes: slow}, relayed: &workers{takes: time.Millisecond, errs: map[tw.WorkerID]error{}},
		servers: map[string]*relay.Server{}, fails: map[string]error{}, silent: map[string]bool{}, batches: map[string][]int{},
	}
	for _, name := range relays {
		r.servers[name] = r.newServer()
	}
	return r
}

func (r *rig) newServer() *relay.Server {
	return relay.ServerConfig{Orders: r.relayed, Clock: tw.SystemClock{}, Log: zap.NewNop(), Metrics: metrics.NewSet()}.New()
}

func (r *rig) orders() *relay.Orders {
	return relay.Config{
		Direct: r.direct, Relays: r, Clock: tw.SystemClock{}, Log: zap.NewNop(), Metrics: metrics.NewSet(), LinkBandwidth: link,
	}.New()
}

// Candidates implements tw.Relays.
func (r *rig) Candidates(tw.HallID) []string {
	var out []string
	for n := range len(r.servers) {
		out = append(out, fmt.Sprintf("r%d", n))
	}
	return out
}

// Start implements tw.Relays.
func (r *rig) Start(ctx context.Context, address string, batch []tw.RelayedStart, answer func(tw.RelayedAnswer)) error {
	r.mu.Lock()
	r.batches[address] = append(r.batches[address], len(batch))
	r.mu.Unlock()
	if err := r.fails[address]; err != nil {
		return err
	}
	if r.silent[address] {
		<-ctx.Done()
		return tw.ErrAmbiguous
	}
	r.servers[address].Start(ctx, batch, answer)
	return nil
}

// sizes are those of the batches to a relay.
func (r *rig) sizes(address string) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.batches[address])
}

// give gives an order to each of some workers at once, and returns the errors.
func (r *rig) give(o *relay.Orders, count int, submission string) []error {
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

// shorten makes the daemon find that it is short.
func (r *rig) shorten(o *relay.Orders) {
	for range 4 {
		r.give(o, 20, "first")
	}
	r.Expect(r.relayed.starts()).To(BeNumerically(">", 0))
}

// play runs a test in a bubble, with orders that are closed at its end.
func play(t *testing.T, do func(r *rig, o *relay.Orders), relays ...string) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, relays...)
		o := r.orders()
		defer o.Close()
		do(r, o)
	})
}

// While the daemon sends as soon as workers answer, nothing is relayed, nor where it sends
// little and the workers are slow.
func TestNothingIsRelayedWithoutNeed(t *testing.T) {
	for name, c := range map[string]struct {
		takes time.Duration
		pause time.Duration
	}{
		"fast workers": {takes: 5 * time.Millisecond, pause: 20 * time.Millisecond},
		"few orders":   {takes: slow, pause: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig, o *relay.Orders) {
				r.direct.takes = c.takes
				for range 30 {
					r.Expect(r.give(o, 3, "s")).To(HaveEach(BeNil()))
					time.Sleep(c.pause)
				}
				r.Expect(r.relayed.starts()).To(BeZero())
			}, "r0")
		})
	}
}

// A daemon that is short relays in batches, over as few relays as are enough, and no more
// once it is not asked for much. The relays add the specs that they know.
func TestShortDaemonRelays(t *testing.T) {
	play(t, func(r *rig, o *relay.Orders) {
		r.shorten(o)
		before := len(r.sizes("r0"))
		r.Expect(r.give(o, 20, "second")).To(HaveEach(BeNil()))
		r.Expect(r.sizes("r0")[before:]).To(HaveLen(1))
		r.Expect(r.sizes("r2")).NotTo(BeEmpty())
		r.Expect(r.sizes("r3")).To(BeEmpty())
		r.Expect(r.relayed.specs).To(HaveEach(Or(Equal("spec of first"), Equal("spec of second"))))
		time.Sleep(2 * time.Second)
		relayed := r.relayed.starts()
		r.give(o, 1, "third")
		r.Expect(r.relayed.starts()).To(Equal(relayed))
	}, "r0", "r1", "r2", "r3")
}

// A relay that has started anew asks for the specs that it was sent before.
func TestRelayThatForgotSpecs(t *testing.T) {
	play(t, func(r *rig, o *relay.Orders) {
		r.shorten(o)
		r.servers["r0"] = r.newServer()
		r.Expect(r.give(o, 10, "first")).To(HaveEach(BeNil()))
		r.Expect(r.relayed.specs).To(HaveEach("spec of first"))
	}, "r0")
}

// What becomes of orders whose relay fails, or whose worker does.
func TestRelayedOrdersThatFail(t *testing.T) {
	refused := &tw.OrderRefusedError{Reason: tw.RefusedNoCapacity}
	for name, c := range map[string]struct {
		fail   error // of the calls to the relay
		silent bool
		worker error // of the relay's orders
		want   error // nil if the order is done in the end
		direct bool  // it is given directly then
	}{
		"a relay that is gone":                {fail: tw.ErrNotListening, direct: true},
		"a relay that can't be reached":       {fail: tw.ErrUnavailable, direct: true},
		"a relay whose answer is lost":        {fail: tw.ErrAmbiguous, want: tw.ErrAmbiguous},
		"a silent relay":                      {silent: true, want: tw.ErrAmbiguous},
		"a worker that refuses":               {worker: refused, want: refused},
		"a worker that does not answer":       {worker: tw.ErrAmbiguous, want: tw.ErrAmbiguous},
		"a worker that the relay can't reach": {worker: tw.ErrUnavailable, direct: true},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(r *rig, o *relay.Orders) {
				r.shorten(o)
				r.fails["r0"], r.silent["r0"] = c.fail, c.silent
				for n := range 10 {
					r.relayed.errs[tw.WorkerID(fmt.Sprintf("w%d", n))] = c.worker
				}
				direct := r.direct.starts()
				errs := r.give(o, 10, "first")
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
					r.Expect(count).To(BeNumerically(">=", 9)) // one may go directly in any case
				}
			}, "r0")
		})
	}
}

// A relay that did not answer is avoided for a while.
func TestSilentRelayIsAvoided(t *testing.T) {
	play(t, func(r *rig, o *relay.Orders) {
		r.shorten(o)
		r.silent["r0"] = true
		r.give(o, 10, "first")
		time.Sleep(limit) // the relay is waited for a little longer than its orders
		before := len(r.sizes("r0"))
		r.Expect(r.give(o, 10, "first")).To(HaveEach(BeNil()))
		r.Expect(r.sizes("r0")).To(HaveLen(before))
		r.Expect(r.sizes("r1")).NotTo(BeEmpty())
	}, "r0", "r1")
}

// An order that its caller has given up before the batch is sent is not given.
func TestGivenUpOrdersAreNotRelayed(t *testing.T) {
	play(t, func(r *rig, o *relay.Orders) {
		r.shorten(o)
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
