package daemon

import (
	"context"
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
	"github.com/tamarindworks/tamarindworks/relay"
)

// blockingKV answers no call, so that a takeover never completes.
type blockingKV struct{ tw.KV }

func (blockingKV) Get(ctx context.Context, _ tw.Key) (tw.KVItem, error) {
	<-ctx.Done()
	return tw.KVItem{}, tw.ErrAmbiguous
}

func (blockingKV) Range(ctx context.Context, _ tw.Key) ([]tw.KVItem, tw.KVRevision, error) {
	<-ctx.Done()
	return nil, 0, tw.ErrAmbiguous
}

func (blockingKV) Commit(ctx context.Context, _ tw.KVTxn) (tw.KVRevision, error) {
	<-ctx.Done()
	return 0, tw.ErrAmbiguous
}

// bareDaemon returns a daemon without listeners that has learnt the owner of the pool "p"
// from a peer.
func bareDaemon(t testing.TB, known ledger.Owner) (d *QueueDaemon, end func()) {
	kv := standin.KVConfig{Latency: time.Millisecond}.New()
	self := member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1"}
	d = &QueueDaemon{kv: blockingKV{}, clock: tw.SystemClock{}, log: agecheck.Logger(t), self: self}
	d.directory = &directory{kv: d.kv, clock: d.clock, log: d.log}
	members, endMembers := membertest.Start(t, kv, self)
	d.members = members
	d.members.RecordOwner(known)
	d.owners = newOwners(d)
	return d, func() {
		synctest.Wait() // until a takeover has started and is blocked
		d.owners.cancel()
		<-d.owners.done
		if watcher := d.directory.detachWorkerWatch(); watcher != nil {
			watcher.Close()
		}
		endMembers()
	}
}

// fenceCases are the fences of the known owner and of the daemon that requests a
// takeover, with the expected results.
var fenceCases = map[string]struct {
	known, requesting tw.FencingToken
	taken, superseded bool
}{
	"the owner":                    {known: 4, requesting: 4, taken: true},
	"a previous owner":             {known: 9, requesting: 4, superseded: true},
	"an owner newer than known":    {known: 4, requesting: 9, taken: true},
	"a daemon that sends no fence": {known: 4, taken: true, superseded: true},
}

// A daemon must ignore a request to take a pool if it knows a newer owner than the daemon that
// requests it, and a daemon with an older fence must find itself superseded: otherwise a former
// owner interrupts the pool after a network partition.
func TestTakeOnlyFromOwner(t *testing.T) {
	for name, c := range fenceCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				known := ledger.Owner{Pool: "p", Daemon: "b", Address: "b:1", Incarnation: 1, Fence: c.known}
				d, end := bareDaemon(t, known)
				defer end()
				_, err := d.Take(t.Context(), &member.TakeRequest{Pool: "p", Fence: c.requesting})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(len(d.owners.pools()) > 0).To(Equal(c.taken))
				g.Expect(d.owners.superseded(ledger.Owner{Pool: "p", Daemon: "a", Fence: c.requesting})).To(Equal(c.superseded))
			})
		})
	}
}

// A daemon that is too slow for a pool must have its starts relayed, and no other daemon.
func TestOverloadHasStartsRelayed(t *testing.T) {
	for name, c := range map[string]struct {
		overload func(context.Context) (time.Duration, error)
		relayed  bool
	}{
		"too slow":            {overload: func(context.Context) (time.Duration, error) { return time.Second, nil }, relayed: true},
		"fast enough":         {overload: func(context.Context) (time.Duration, error) { return 0, nil }},
		"owner has ended":     {overload: func(context.Context) (time.Duration, error) { return time.Second, context.Canceled }},
		"manager of machines": {},
	} {
		t.Run(name, func(t *testing.T) {
			orders := relay.Config{Clock: tw.SystemClock{}, Log: agecheck.Logger(t), Metrics: agecheck.Metrics(t)}.New()
			defer orders.Close()
			o := &owners{d: &QueueDaemon{orders: orders}, ctx: t.Context()}
			o.checkOverload(ownership{overload: c.overload})
			NewWithT(t).Expect(orders.Relaying()).To(Equal(c.relayed))
		})
	}
}
