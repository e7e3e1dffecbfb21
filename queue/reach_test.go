package queue

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/membertest"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
)

// mutedCallTime is the time after which an unanswered call to mutedKV fails.
const mutedCallTime = time.Second

// mutedKV is a store in which Commit and Renew get no answer while muted is true.
type mutedKV struct {
	*standin.KV
	muted atomic.Bool
}

func (k *mutedKV) wait(ctx context.Context) error {
	if !k.muted.Load() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(mutedCallTime):
	}
	return tw.ErrAmbiguous
}

func (k *mutedKV) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	if err := k.wait(ctx); err != nil {
		return 0, err
	}
	return k.KV.Commit(ctx, txn)
}

func (k *mutedKV) Renew(ctx context.Context, lease tw.KVLeaseID) error {
	if err := k.wait(ctx); err != nil {
		return err
	}
	return k.KV.Renew(ctx, lease)
}

// partitionedDaemon is the router of a daemon that can be partitioned from other daemons and the store.
type partitionedDaemon struct {
	*Router
	kv    *mutedKV
	peers *membertest.Peers
}

// partition partitions the daemon from all others and from the store.
func (d *partitionedDaemon) partition() {
	d.kv.muted.Store(true)
	d.peers.Unresponsive.Store(true)
}

func startPartitionedDaemon(t testing.TB) (d *partitionedDaemon, end func()) {
	d = &partitionedDaemon{kv: &mutedKV{KV: standin.KVConfig{Latency: time.Millisecond}.New()}, peers: &membertest.Peers{}}
	membertest.Announce(d.kv.KV, member.DaemonRecord{Daemon: "b", Incarnation: 1, Address: "b:1", Hall: "far"})
	store := ledger.ResenderConfig{KV: d.kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(t), Metrics: agecheck.Metrics(t)}.New()
	members, end := membertest.StartWithPeers(t, store, member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1", Hall: "near"}, d.peers)
	d.Router = RouterConfig{
		Pools: noOwners{}, Members: members, KV: store, StoreSilence: store.Silence, Clock: tw.SystemClock{}, Log: agecheck.Logger(t),
	}.New()
	time.Sleep(2 * time.Second)
	return d, end
}

// answerCases are the expected results of a submission during faults. The router
// must not wait for the caller's deadline of 3 s once the result is certain.
var answerCases = map[string]struct {
	event    func(d *partitionedDaemon)
	proved   bool // the error proves that it was not accepted
	accepted bool
	within   time.Duration
}{
	"the daemon is isolated": {
		event: func(d *partitionedDaemon) {
			d.partition()
			time.Sleep(time.Second)
		},
		proved: true, within: time.Millisecond,
	},
	"sent just before the partition": {
		event: func(d *partitionedDaemon) { d.partition() }, within: isolationDetectionTime,
	},
	"the store is silent": {
		event: func(d *partitionedDaemon) {
			d.kv.muted.Store(true)
			time.Sleep(time.Second)
		},
		proved: true, within: time.Millisecond,
	},
	"the store is unavailable": {
		event: func(d *partitionedDaemon) { d.kv.SetFaults(standin.KVFaults{Down: true}) }, proved: true, within: 10 * time.Millisecond,
	},
	"the store's response was lost": {
		event: func(d *partitionedDaemon) { d.kv.SetFaults(standin.KVFaults{LoseAnswers: 1}) }, accepted: true, within: 100 * time.Millisecond,
	},
	"an owner that does not answer pings is not called": {
		event: func(d *partitionedDaemon) {
			d.Members.RecordOwner(ledger.Owner{Pool: "p", Daemon: "b", Address: "b:1", Incarnation: 1, Fence: 3})
			d.peers.Unresponsive.Store(true)
			time.Sleep(2 * time.Second)
		},
		accepted: true, within: 10 * time.Millisecond,
	},
}

// isolationDetectionTime is the maximum time in which a daemon detects that it is isolated.
const isolationDetectionTime = 900 * time.Millisecond

func TestSubmitDuringFaults(t *testing.T) {
	for name, c := range answerCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d, end := startPartitionedDaemon(t)
				defer end()
				c.event(d)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				start := time.Now()
				err := d.Submit(ctx, tw.Submission{ID: "5c0e7a21d94b36f8", Policy: tw.RoutePolicy{Pool: "p"}})
				g.Expect(time.Since(start)).To(BeNumerically("<=", c.within))
				g.Expect(err == nil).To(Equal(c.accepted))
				g.Expect(err != nil && notApplied(err)).To(Equal(c.proved))
			})
		})
	}
}
