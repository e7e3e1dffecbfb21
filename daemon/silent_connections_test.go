package daemon

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tamarindworks/tamarindworks/ledger"
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
				_, err := r.store.Commit(ctx, ledger.CancelViaInbox("p", "known"))
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
