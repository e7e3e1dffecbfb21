package daemon

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
)

// maxKept is the number of connections that the clients of the store and of other daemons keep.
const maxKept = 8

// repeatedCalls are calls as their callers repeat them.
var repeatedCalls = map[string]struct {
	path  string
	bound time.Duration
	call  func(ctx context.Context, r *silentRig) error
}{
	"write of an owner": {
		path: "/api/kv-txn", bound: storeOutageTimeout,
		call: func(ctx context.Context, r *silentRig) error { return r.ownerWrite(ctx) },
	},
	"renewal": {
		path: "/api/kv-keep/", bound: recordTTL - renewInterval,
		call: func(ctx context.Context, r *silentRig) error { return r.store.Renew(ctx, r.lease) },
	},
	"read of one key": {
		path: "/api/kv-key", bound: contactTime,
		call: func(ctx context.Context, r *silentRig) error {
			_, err := ledger.FindSubmission(ctx, r.store, "known")
			return err
		},
	},
	"read of a range": {
		path: "/api/kv-range", bound: contactTime,
		call: func(ctx context.Context, r *silentRig) error {
			return repeat(ctx, func() error {
				_, _, err := r.store.Range(ctx, ledger.MemberPrefix)
				return err
			})
		},
	},
	"cancel left in the inbox": {
		path: "/api/kv-txn", bound: contactTime,
		call: func(ctx context.Context, r *silentRig) error {
			return repeat(ctx, func() error {
				record, err := ledger.FindSubmission(ctx, r.stand, "known")
				if err != nil || record.Cancelled {
					return err
				}
				_, err = r.store.Commit(ctx, ledger.ConfirmCancel("known", record))
				return err
			})
		},
	},
}

const (
	// recordTTL is the lease of a daemon's record, renewInterval the pause between its renewals.
	recordTTL     = 1500 * time.Millisecond
	renewInterval = 400 * time.Millisecond
	// retryPause is the pause of callers that repeat a call.
	retryPause = 50 * time.Millisecond
)

// repeat makes a call until it succeeds.
func repeat(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(retryPause)
	}
}

// TestSilentConnectionsAreReplaced guards against calls that try one silent connection after the other,
// as all that a client keeps go silent at once.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	for name, c := range repeatedCalls {
		for way, directions := range silentWays {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				r := newSilentRig(t)
				r.keepConnections(maxKept, func() error {
					_, _, err := r.kv.Range(t.Context(), "other/")
					return err
				})
				r.link.silenceAt(c.path, directions)
				began := time.Now()
				r.Expect(c.call(t.Context(), r)).To(Succeed())
				r.Expect(time.Since(began)).To(BeNumerically("<", c.bound))
				r.Expect(r.link.struckCount()).To(BeNumerically(">=", maxKept))
			})
		}
	}
}

// pingNoticed is the time after which an owner that does not answer a ping is known to be unresponsive.
const pingNoticed = 700 * time.Millisecond

// TestPingsNoticeSilence guards against an owner that is not used for longer than contactTime after the
// connections to it have gone silent, and against callers that wait for it meanwhile.
func TestPingsNoticeSilence(t *testing.T) {
	for way, directions := range silentWays {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			r := newSilentRig(t)
			r.keepConnections(maxKept, func() error {
				_, err := r.peers.Ping(t.Context(), r.link.address(), member.PingRequest{From: "a"})
				return err
			})
			members := r.pingingMembers(t)
			address := r.link.address()
			time.Sleep(300 * time.Millisecond) // it is pinged
			r.Expect(members.Unresponsive(address)).To(BeFalse())
			r.link.silenceAt("/Ping", directions)
			r.Eventually(r.link.struckCount, time.Second, time.Millisecond).Should(BeNumerically(">=", maxKept))
			struck := time.Now()
			unresponsive := func() bool { return members.Unresponsive(address) }
			r.Eventually(unresponsive, pingNoticed+silenceMargin, 5*time.Millisecond).Should(BeTrue())
			r.Eventually(unresponsive, contactTime-time.Since(struck), 5*time.Millisecond).Should(BeFalse())
		})
	}
}

// pingingMembers returns the members of a daemon that pings the owner of pool p.
func (r *silentRig) pingingMembers(t *testing.T) *member.Members {
	clock, log := tw.SystemClock{}, agecheck.Logger(t)
	kv := standin.KVConfig{Latency: time.Millisecond}.New()
	self := member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1"}
	presence := member.PresenceConfig{KV: kv, Clock: clock, Log: log, Self: self}.New()
	members := member.Config{
		KV: kv, Clock: clock, Log: log, Self: self, Peers: r.peers, Presence: presence,
		Pools: func() []tw.PoolID { return nil }, OwnedPools: func() []tw.PoolID { return nil },
		ConfigVersion: func() tw.Version { return 0 }, TakeOver: func(tw.PoolID, string) {},
		OnNewerConfig: func(string, tw.Version) {},
		Evacuations:   func() *tw.Evacuations { return nil }, OnEvacuations: func(*tw.Evacuations, string) {},
	}.New()
	members.RecordOwner(ledger.Owner{Pool: "p", Daemon: "b", Address: r.link.address(), Incarnation: 1, Fence: 1})
	t.Cleanup(func() {
		members.Close()
		presence.Close(context.Background())
	})
	return members
}
