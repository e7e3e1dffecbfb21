package relay_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/relay"
)

// unknownLink is the bandwidth of a link that is never taken to be saturated.
const unknownLink tw.BytesPerSecond = 0

// TestRelayWhileShort checks that a daemon with a fast link relays while an owner is short of
// processor time, in one batch for each data hall, and for a while only.
func TestRelayWhileShort(t *testing.T) {
	runTestWithLink(t, unknownLink, func(r *fixture, o *relay.Orders) {
		r.direct.latency = 2 * time.Millisecond
		r.Expect(r.startAll(o, 20, "first")).To(HaveEach(BeNil()))
		r.Expect(r.relayed.starts()).To(BeZero())
		for range 3 {
			o.NoteShort()
			r.Expect(o.MaxParallelStarts()).To(Equal(1))
			r.Expect(r.startAll(o, 21, "first")).To(HaveEach(BeNil()))
		}
		r.Expect(r.batchSizes("r0")).To(Equal([]int{20, 20, 20}))
		r.Expect(r.batchSizes("r1")).To(BeEmpty())
		time.Sleep(2 * time.Second)
		r.Expect(r.startAll(o, 20, "first")).To(HaveEach(BeNil()))
		r.Expect(r.relayed.starts()).To(Equal(60))
	}, "r0", "r1")
}

// TestShortOwnerSpreadsOrders checks that the next batch goes to another relay while the first has
// not answered.
func TestShortOwnerSpreadsOrders(t *testing.T) {
	runTestWithLink(t, unknownLink, func(r *fixture, o *relay.Orders) {
		r.relayed.latency = 100 * time.Millisecond
		o.NoteShort()
		done := make(chan []error, 2)
		for n := range 2 {
			go func() { done <- r.startAll(o, 21, fmt.Sprint(n)) }()
			time.Sleep(50 * time.Millisecond)
		}
		r.Expect(<-done).To(HaveEach(BeNil()))
		r.Expect(<-done).To(HaveEach(BeNil()))
		r.Expect(r.batchSizes("r0")).To(HaveLen(1))
		r.Expect(r.batchSizes("r1")).To(HaveLen(1))
	}, "r0", "r1")
}

// TestRelayFailsWithinBatch checks the outcomes of a batch whose relay fails while the batch is on
// its way: what was answered counts, everything else is ambiguous, and nothing is sent again.
func TestRelayFailsWithinBatch(t *testing.T) {
	const answered = 6
	for name, c := range map[string]struct {
		// stopAfter is the number of answers after which the relay's process ends, late how much
		// later than the workers it answers.
		stopAfter int
		late      time.Duration
		repeat    bool
		succeed   int
	}{
		"relay ends":                  {stopAfter: answered, succeed: answered},
		"relay answers late":          {late: 300 * time.Millisecond, succeed: 20},
		"relay repeats its answers":   {repeat: true, succeed: 20},
		"relay answers after the end": {late: limit + 100*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runTestWithLink(t, unknownLink, func(r *fixture, o *relay.Orders) {
				o.NoteShort()
				r.startAll(o, 1, "first") // the one that is sent directly
				r.stopAfter, r.late, r.repeat = c.stopAfter, c.late, c.repeat
				held := r.holdDirect(o)
				errs := r.startAll(o, 20, "first")
				succeeded := 0
				for _, err := range errs {
					if err == nil {
						succeeded++
						continue
					}
					r.Expect(err).To(MatchError(tw.ErrAmbiguous))
					r.Expect(tw.NotApplied(err)).To(BeFalse())
				}
				r.Expect(succeeded).To(Equal(c.succeed))
				time.Sleep(2 * limit)
				r.Expect(<-held).NotTo(HaveOccurred())
				r.Expect(r.relayed.starts()).To(Equal(20))
				r.Expect(r.direct.starts()).To(Equal(2))
			}, "r0")
		})
	}
}

// holdDirect keeps a direct order in flight, so that all others are relayed, and returns its result
// later.
func (r *fixture) holdDirect(o *relay.Orders) <-chan error {
	held := make(chan error, 1)
	r.direct.latency = time.Second
	go func() {
		_, err := o.Start(context.Background(), tw.WorkerRef{ID: "held", Hall: hall}, tw.StartOrder{})
		held <- err
	}()
	time.Sleep(time.Millisecond)
	return held
}

// TestSlowWorkerDelaysNoOtherAnswer checks that a relay passes on the answers that it has together,
// without waiting for those of slow workers.
func TestSlowWorkerDelaysNoOtherAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		workers := &fakeWorkers{latency: time.Millisecond, latencies: map[tw.WorkerID]time.Duration{"w3": 200 * time.Millisecond}}
		server := relay.ServerConfig{Orders: workers, Clock: tw.SystemClock{}, Log: agecheck.Logger(t), Metrics: agecheck.Metrics(t)}.New()
		batch := make([]tw.RelayedStart, 10)
		for n := range batch {
			batch[n] = tw.RelayedStart{To: tw.WorkerRef{ID: tw.WorkerID(fmt.Sprintf("w%d", n))}, Limit: limit}
		}
		startedAt := time.Now()
		var sizes []int
		var took []time.Duration
		server.Start(t.Context(), batch, func(answers []tw.RelayedAnswer) {
			sizes, took = append(sizes, len(answers)), append(took, time.Since(startedAt))
		})
		g.Expect(sizes).To(Equal([]int{9, 1}))
		g.Expect(took[0]).To(BeNumerically("<", 50*time.Millisecond))
	})
}

// TestOwnerReplacedWhileBatchIsOnItsWay checks that a worker refuses relayed orders of a former owner
// once it has heard of the next one, and that the former owner learns that they were refused.
func TestOwnerReplacedWhileBatchIsOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := standin.FleetConfig{MaxHold: time.Hour}.New()
		s := &tw.Submission{ID: "s", Steps: []tw.Step{{Count: 5}}}
		fleet.RegisterSubmission(s, nil)
		refs := make([]tw.WorkerRef, 5)
		for n := range refs {
			refs[n] = tw.WorkerRef{ID: tw.WorkerID(fmt.Sprintf("w%d", n)), Address: fmt.Sprintf("w%d", n), Hall: hall}
			fleet.Add(tw.WorkerEntry{ID: refs[n].ID, Address: refs[n].Address, Capacity: tw.Resources{CPU: 4000, MemoryMB: 4000}})
		}
		r := newFixture(t, "r0")
		r.servers["r0"] = relay.ServerConfig{Orders: fleet, Clock: tw.SystemClock{}, Log: agecheck.Logger(t), Metrics: agecheck.Metrics(t)}.New()
		r.bandwidth, r.transit = unknownLink, 100*time.Millisecond
		o := r.orders()
		defer o.Close()
		o.NoteShort()
		held := r.holdDirect(o)
		errs := make(chan error, len(refs))
		for n, ref := range refs {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				_, err := o.Start(ctx, ref, tw.StartOrder{
					Subtask: tw.SubtaskID{Submission: "s", Index: n}, Run: 1, Fence: 1, Deadline: 1 << 40,
				})
				errs <- err
			}()
		}
		time.Sleep(50 * time.Millisecond)
		for _, ref := range refs {
			_, err := fleet.Hold(t.Context(), ref, tw.HoldOrder{Fence: 2})
			g.Expect(err).NotTo(HaveOccurred())
		}
		for range refs {
			g.Expect(tw.RefusedFor(<-errs, tw.RefusedStaleFence)).To(BeTrue())
		}
		g.Expect(fleet.Starts()).To(BeZero())
		<-held
	})
}

// TestCloseWhileBatchIsOnItsWay checks that orders are ambiguous if their daemon stops before the relay
// has answered, and that Close does not wait for the relay.
func TestCloseWhileBatchIsOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, "r0")
		r.bandwidth, r.unresponsive["r0"] = unknownLink, true
		o := r.orders()
		o.NoteShort()
		held := r.holdDirect(o)
		done := make(chan []error, 1)
		go func() { done <- r.startAll(o, 5, "s") }()
		time.Sleep(50 * time.Millisecond)
		o.Close()
		synctest.Wait()
		r.Expect(done).To(Receive(HaveEach(MatchError(tw.ErrAmbiguous))))
		<-held
	})
}
