package daemon

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// storeFault is what a store does to the calls of one daemon. Fields that are nil change nothing.
type storeFault struct {
	call   func(ctx context.Context) error
	ranges func(items []tw.KVItem, at tw.KVRevision) ([]tw.KVItem, tw.KVRevision)
	events func(events []tw.KVEvent) []tw.KVEvent
	watch  func(ctx context.Context, after tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error)
	// lasting: it does not end. now is done to the store as the fault begins.
	lasting bool
	now     func(kv *standin.KV)
}

// faultyStore applies a fault while it is set.
type faultyStore struct {
	*standin.KV
	fault atomic.Pointer[storeFault]
}

// Range implements tw.KV.
func (k *faultyStore) Range(ctx context.Context, prefix tw.Key) ([]tw.KVItem, tw.KVRevision, error) {
	f := k.fault.Load()
	if f != nil && f.call != nil {
		if err := f.call(ctx); err != nil {
			return nil, 0, err
		}
	}
	items, at, err := k.KV.Range(ctx, prefix)
	if err == nil && f != nil && f.ranges != nil {
		items, at = f.ranges(items, at)
	}
	return items, at, err
}

// Watch implements tw.KV.
func (k *faultyStore) Watch(ctx context.Context, prefix tw.Key, after tw.KVRevision, wait time.Duration) ([]tw.KVEvent, tw.KVRevision, error) {
	f := k.fault.Load()
	if ctx.Err() != nil {
		return nil, 0, tw.ErrAmbiguous
	}
	if f != nil && f.watch != nil {
		return f.watch(ctx, after)
	}
	if f != nil && f.call != nil {
		if err := f.call(ctx); err != nil {
			return nil, 0, err
		}
	}
	events, at, err := k.KV.Watch(ctx, prefix, after, wait)
	// A call that has begun before the fault is struck by it as well.
	if f = k.fault.Load(); err == nil && f != nil && f.call != nil {
		if err := f.call(ctx); err != nil {
			return nil, 0, err
		}
	}
	if err == nil && f != nil && f.events != nil {
		events = f.events(events)
	}
	return events, at, err
}

// storeTimeout is how long the client of the store waits for an answer.
const storeTimeout = 900 * time.Millisecond

func callFails(err error) func(context.Context) error {
	return func(context.Context) error { return err }
}

// unansweredCall waits until the client gives a call up.
func unansweredCall(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	<-ctx.Done()
	return errors.WithSecondaryError(tw.ErrAmbiguous, ctx.Err())
}

var storeFaults = map[string]storeFault{
	"none": {},
	"slow": {lasting: true, call: func(context.Context) error {
		time.Sleep(240 * time.Millisecond)
		return nil
	}},
	"unavailable":       {call: callFails(tw.ErrUnavailable)},
	"rate limited":      {call: callFails(tw.ErrRateLimited)},
	"connections reset": {call: callFails(tw.ErrAmbiguous)},
	"silent":            {call: unansweredCall},
	"history gone":      {now: (*standin.KV).CompactHistory},
	"history always gone": {lasting: true, watch: func(context.Context, tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error) {
		return nil, 0, tw.ErrHistoryGone
	}},
	"watches answered at once with nothing": {lasting: true, watch: func(_ context.Context, after tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error) {
		return nil, after, nil
	}},
	"watches answered at once with a later revision": {lasting: true, watch: func(_ context.Context, after tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error) {
		return nil, after + 1000, nil
	}},
	"events out of order": {lasting: true, events: func(events []tw.KVEvent) []tw.KVEvent {
		out := slices.Clone(events)
		slices.Reverse(out)
		return out
	}},
	"events twice": {lasting: true, events: func(events []tw.KVEvent) []tw.KVEvent { return slices.Concat(events, events) }},
	"pages older than the items": {lasting: true, ranges: func(items []tw.KVItem, at tw.KVRevision) ([]tw.KVItem, tw.KVRevision) {
		return items, max(0, at-3)
	}},
}

// messageTimes are when another daemon confirms a cancel, after the beginning of a fault.
var messageTimes = map[string]time.Duration{
	"before it": -time.Millisecond, "as it begins": 0, "after 10 ms": 10 * time.Millisecond, "after 0.7 s": 700 * time.Millisecond,
	"after 1.5 s": 1500 * time.Millisecond, "after 2.6 s": 2600 * time.Millisecond, "after 4 s": 4 * time.Second,
}

// faultTimes are how long a fault lasts.
var faultTimes = map[string]time.Duration{"for 0.3 s": 300 * time.Millisecond, "for 1.6 s": 1600 * time.Millisecond, "for 5 s": 5 * time.Second}

// TestInboxWatchWithFaultyStore checks that an owner reads each message of its inbox within cancelBound after
// it was written or, if the store keeps the owner from that, after the store serves it again. Each is read
// once.
func TestInboxWatchWithFaultyStore(t *testing.T) {
	cells := 0
	for faultName, fault := range storeFaults {
		for lasts, duration := range faultTimes {
			for when, offset := range messageTimes {
				cells++
				t.Run(faultName+", "+lasts+", message "+when, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { readMessage(t, fault, duration, offset) })
				})
			}
		}
	}
	t.Logf("%d cells", cells)
}

func readMessage(t *testing.T, fault storeFault, duration, offset time.Duration) {
	g := NewWithT(t)
	kv := &faultyStore{KV: standin.KVConfig{Latency: time.Millisecond}.New()}
	messages := make(chan ledger.InboxRecord, 10)
	_, err := kv.Commit(t.Context(), ledger.CancelUnsubmitted("p", "", "s0"))
	g.Expect(err).NotTo(HaveOccurred())
	w := newInboxWatcher(kv, tw.SystemClock{}, agecheck.Logger(t), "p", func(m ledger.InboxRecord) { messages <- m })
	defer w.Close()
	for range keysOfCancel {
		g.Eventually(messages, time.Second).Should(Receive(Equal(ledger.InboxRecord{Kind: ledger.InboxCancel, ID: "s0"})))
	}
	time.Sleep(500 * time.Millisecond)
	faultBegins := time.Now().Add(time.Second)
	written := make(chan time.Time, 1)
	time.AfterFunc(time.Until(faultBegins), func() {
		kv.fault.Store(&fault)
		if fault.now != nil {
			fault.now(kv.KV)
		}
	})
	ends := faultBegins
	if !fault.lasting {
		ends = ends.Add(duration)
		time.AfterFunc(time.Until(ends), func() { kv.fault.Store(nil) })
	}
	time.AfterFunc(time.Until(faultBegins.Add(offset)), func() {
		// The store serves the other daemon. Further changes come with the message.
		for _, id := range []tw.SubmissionID{"s1", "s2"} {
			_, _ = kv.Commit(t.Context(), ledger.CancelUnsubmitted("p", "", id))
			kv.Remove(ledger.InboxKey("p", ledger.InboxRecord{Kind: ledger.InboxCancel, ID: "s0"}))
		}
		written <- time.Now()
	})
	due := <-written
	if ends.After(due) {
		due = ends
	}
	due = due.Add(cancelBound)
	got := map[tw.SubmissionID]int{}
	for len(got) < 2 && time.Now().Before(due) {
		select {
		case m := <-messages:
			got[m.ID]++
		case <-time.After(time.Until(due)):
		}
	}
	g.Expect(got).To(And(HaveKey(tw.SubmissionID("s1")), HaveKey(tw.SubmissionID("s2"))))
	time.Sleep(5 * time.Second)
	for len(messages) > 0 {
		m := <-messages
		got[m.ID]++
	}
	g.Expect(got).To(Equal(map[tw.SubmissionID]int{"s1": keysOfCancel, "s2": keysOfCancel}))
}

// keysOfCancel is the number of keys with the notice of a cancel, each of which is read once.
const keysOfCancel = 2
