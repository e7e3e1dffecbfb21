package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/membertest"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
)

// stuckKV answers no call, so that a takeover never gets anywhere.
type stuckKV struct{ tw.KV }

func (stuckKV) Get(ctx context.Context, _ tw.Key) (tw.KVItem, error) {
	<-ctx.Done()
	return tw.KVItem{}, tw.ErrAmbiguous
}

func (stuckKV) Range(ctx context.Context, _ tw.Key) ([]tw.KVItem, tw.KVRevision, error) {
	<-ctx.Done()
	return nil, 0, tw.ErrAmbiguous
}

func (stuckKV) Commit(ctx context.Context, _ tw.KVTxn) (tw.KVRevision, error) {
	<-ctx.Done()
	return 0, tw.ErrAmbiguous
}

// bareDaemon is a daemon without listeners that knows the owner of the pool "p"
// by the word of a peer.
func bareDaemon(known ledger.Owner) (d *QueueDaemon, end func()) {
	kv := standin.KVConfig{Latency: time.Millisecond}.New()
	self := member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1"}
	d = &QueueDaemon{kv: stuckKV{}, clock: tw.SystemClock{}, log: zap.NewNop(), self: self}
	d.directory = &directory{kv: d.kv, clock: d.clock, log: d.log}
	members, endMembers := membertest.Start(kv, self)
	d.members = members
	d.members.RecordOwner(known)
	d.owners = newOwners(d)
	return d, func() {
		synctest.Wait() // a takeover has begun, and is stuck
		d.owners.cancel()
		<-d.owners.done
		if watcher := d.directory.detachWorkerWatch(); watcher != nil {
			watcher.Close()
		}
		endMembers()
	}
}

// fenceCases are the fences of the owner that this daemon knows and of the one
// who asks it to take the pool, and what follows.
var fenceCases = map[string]struct {
	known, asking     tw.FencingToken
	taken, superseded bool
}{
	"the owner asks":               {known: 4, asking: 4, taken: true},
	"a former owner asks":          {known: 9, asking: 4, superseded: true},
	"a newer one than known asks":  {known: 4, asking: 9, taken: true},
	"an asker that names no fence": {known: 4, taken: true, superseded: true},
}

func TestTakeOnlyFromTheOwner(t *testing.T) {
	for name, c := range fenceCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				known := ledger.Owner{Pool: "p", Daemon: "b", Address: "b:1", Incarnation: 1, Fence: c.known}
				d, end := bareDaemon(known)
				defer end()
				_, err := d.Take(t.Context(), &member.TakeRequest{Pool: "p", Fence: c.asking})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(len(d.owners.pools()) > 0).To(Equal(c.taken))
				g.Expect(d.owners.superseded(ledger.Owner{Pool: "p", Daemon: "a", Fence: c.asking})).To(Equal(c.superseded))
			})
		})
	}
}
