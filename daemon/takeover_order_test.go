package daemon

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/membertest"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/run"
)

// inboxWatches counts the watches of inboxes in progress.
type inboxWatches struct {
	tw.KV
	running atomic.Int64
}

// Watch implements tw.KV.
func (k *inboxWatches) Watch(ctx context.Context, prefix tw.Key, after tw.KVRevision, wait time.Duration) ([]tw.KVEvent, tw.KVRevision, error) {
	if strings.HasPrefix(string(prefix), string(ledger.InboxPrefix("p"))) {
		k.running.Add(1)
		defer k.running.Add(-1)
	}
	return k.KV.Watch(ctx, prefix, after, wait)
}

// takeoverDaemon returns a daemon without listeners that can take over pools, and its store.
func takeoverDaemon(t *testing.T) (*QueueDaemon, *inboxWatches) {
	kv := &inboxWatches{KV: standin.KVConfig{Latency: time.Millisecond}.New()}
	self := member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1"}
	d := &QueueDaemon{kv: kv, clock: tw.SystemClock{}, log: agecheck.Logger(t), metrics: agecheck.Metrics(t), self: self}
	d.directory = newDirectory(d.kv, d.clock, d.log, d.metrics, func() {})
	members, endMembers := membertest.Start(t, kv, self)
	d.members = members
	d.machineCache = run.MachineCacheConfig{Machines: standin.CloudConfig{}.New(), Clock: d.clock, Log: d.log}.New()
	d.owners = newOwners(d)
	t.Cleanup(func() {
		d.owners.cancel()
		<-d.owners.done
		if watcher := d.directory.detachWorkerWatch(); watcher != nil {
			watcher.Close()
		}
		d.machineCache.Close()
		endMembers()
	})
	return d, kv
}

// openElsewhere has another daemon take the pool.
func openElsewhere(ctx context.Context, g *WithT, d *QueueDaemon) {
	other := ledger.Owner{Pool: "p", Daemon: "b", Address: "b:1", Incarnation: 1}
	_, err := ledger.Config{KV: d.kv, Clock: d.clock, Log: d.log, Owner: other}.Open(ctx)
	g.Expect(err).NotTo(HaveOccurred())
}

// takeoverEnds are what ends an ownership while its takeover is still under way.
var takeoverEnds = map[string]func(ctx context.Context, g *WithT, d *QueueDaemon){
	"the daemon stops": func(ctx context.Context, _ *WithT, d *QueueDaemon) { d.owners.handOver(ctx) },
	"another daemon takes the pool": func(ctx context.Context, g *WithT, d *QueueDaemon) {
		openElsewhere(ctx, g, d)
		g.Eventually(func() *run.Owner { return d.owners.Local("p") }, 5*time.Second).Should(BeNil())
	},
}

// TestTakeoverEndedWhileUnderWay guards against an inbox watch that is not set when its owner is
// closed: a stop failed with a nil pointer, and after a loss the watch went on for ever.
func TestTakeoverEndedWhileUnderWay(t *testing.T) {
	for name, end := range takeoverEnds {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d, kv := takeoverDaemon(t)
			d.owners.workersMu.Lock() // the takeover waits here once the owner is visible
			d.owners.takeOverFrom("p", 0, "test")
			g.Eventually(func() *run.Owner { return d.owners.Local("p") }, 5*time.Second).ShouldNot(BeNil())
			end(t.Context(), g, d)
			d.owners.workersMu.Unlock()
			g.Eventually(d.owners.pools, 5*time.Second).Should(BeEmpty())
			time.Sleep(100 * time.Millisecond)
			g.Expect(kv.running.Load()).To(BeZero())
		})
	}
}

// lateTakeovers are what happens before an owner that was started becomes visible.
var lateTakeovers = map[string]struct {
	before func(ctx context.Context, g *WithT, d *QueueDaemon, owned *ownedPool)
	want   error
}{
	"nothing": {before: func(context.Context, *WithT, *QueueDaemon, *ownedPool) {}},
	"the daemon stops": {
		before: func(ctx context.Context, _ *WithT, d *QueueDaemon, _ *ownedPool) { d.owners.handOver(ctx) }, want: errStopping,
	},
	"another daemon takes the pool": {
		before: func(ctx context.Context, g *WithT, d *QueueDaemon, owned *ownedPool) {
			openElsewhere(ctx, g, d)
			g.Eventually(owned.owner.Done(), 5*time.Second).Should(BeClosed())
			time.Sleep(100 * time.Millisecond) // its loss has been handled
		},
		want: errPoolLost,
	},
}

// TestPublishLate guards against an owner that has ended and stays the daemon's owner of the pool, so
// that the daemon never takes the pool again.
func TestPublishLate(t *testing.T) {
	for name, c := range lateTakeovers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d, _ := takeoverDaemon(t)
			self := ledger.Owner{Pool: "p", Daemon: "a", Address: "a:1", Incarnation: 1}
			book, err := ledger.Config{KV: d.kv, Clock: d.clock, Log: d.log, Owner: self}.Open(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			owned := d.owners.startOwner(book, self, nil)
			defer owned.close()
			c.before(t.Context(), g, d, owned)
			if c.want == nil {
				g.Expect(d.owners.publish("p", owned)).To(Succeed())
				return
			}
			g.Expect(d.owners.publish("p", owned)).To(MatchError(c.want))
			g.Expect(d.owners.Local("p")).To(BeNil())
		})
	}
}
