package queue

import (
	"context"
	"sync/atomic"
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

// mutedKV is a store that can fall silent: calls get no answer any more.
type mutedKV struct {
	*standin.KV
	muted atomic.Bool
}

func (k *mutedKV) wait(ctx context.Context) error {
	if !k.muted.Load() {
		return nil
	}
	<-ctx.Done()
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

// cutDaemon is the router of a daemon whose network and store can fall silent.
type cutDaemon struct {
	*Router
	kv     *mutedKV
	others *membertest.Peers
}

// cutNow makes everything outside the daemon silent.
func (d *cutDaemon) cutNow() {
	d.kv.muted.Store(true)
	d.others.Unresponsive.Store(true)
}

func startCutDaemon() (d *cutDaemon, end func()) {
	d = &cutDaemon{kv: &mutedKV{KV: standin.KVConfig{Latency: time.Millisecond}.New()}, others: &membertest.Peers{}}
	membertest.Announce(d.kv.KV, member.DaemonRecord{Daemon: "b", Incarnation: 1, Address: "b:1", Hall: "far"})
	members, end := membertest.StartWithPeers(d.kv, member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1", Hall: "near"}, d.others)
	d.Router = RouterConfig{Pools: noOwners{}, Members: members, KV: d.kv, Clock: tw.SystemClock{}, Log: zap.NewNop()}.New()
	time.Sleep(2 * time.Second)
	return d, end
}

// The answers to a submission, by what was sent and what is proved. A deadline
// of 3 s is never waited for once the answer is known.
var answerCases = map[string]struct {
	befall func(d *cutDaemon)
	proved bool // that it was not taken
	taken  bool
	within time.Duration
}{
	"nothing is sent once the daemon is isolated": {
		befall: func(d *cutDaemon) {
			d.cutNow()
			time.Sleep(time.Second)
		},
		proved: true, within: time.Millisecond,
	},
	"sent just before the cut": {
		befall: func(d *cutDaemon) { d.cutNow() }, within: isolationNoticed,
	},
	"the store refuses it": {
		befall: func(d *cutDaemon) { d.kv.SetFaults(standin.KVFaults{Down: true}) }, proved: true, within: 10 * time.Millisecond,
	},
	"the store's answer was lost": {
		befall: func(d *cutDaemon) { d.kv.SetFaults(standin.KVFaults{LoseAnswers: 1}) }, taken: true, within: 100 * time.Millisecond,
	},
	"an owner that is known not to answer is not asked": {
		befall: func(d *cutDaemon) {
			d.Members.RecordOwner(ledger.Owner{Pool: "p", Daemon: "b", Address: "b:1", Incarnation: 1, Fence: 3})
			d.others.Unresponsive.Store(true)
			time.Sleep(2 * time.Second)
		},
		taken: true, within: 10 * time.Millisecond,
	},
}

// isolationNoticed is within how long a daemon knows that it is isolated.
const isolationNoticed = 900 * time.Millisecond

func TestAnswersByProof(t *testing.T) {
	for name, c := range answerCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d, end := startCutDaemon()
				defer end()
				c.befall(d)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				began := time.Now()
				err := d.Submit(ctx, tw.Submission{ID: "5c0e7a21d94b36f8", Policy: tw.RoutePolicy{Pool: "p"}})
				g.Expect(time.Since(began)).To(BeNumerically("<=", c.within))
				g.Expect(err == nil).To(Equal(c.taken))
				g.Expect(err != nil && notApplied(err)).To(Equal(c.proved))
			})
		})
	}
}
