package daemon

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
)

type (
	// silentCall is a call whose connection goes silent when its request comes.
	silentCall struct {
		// path is a part of the request.
		path string
		// noticed is the time after which the call ends, as in docs/PROMISES.md.
		noticed time.Duration
		call    func(ctx context.Context, r *silentRig) error
		// want is the result of the call; nil if it is made in another way meanwhile.
		want error
	}
)

// silentCalls are the calls of the table in docs/PROMISES.md that are not watches.
var silentCalls = map[string]silentCall{
	"write without conditions": {path: "/api/kv-txn", noticed: time.Second, want: tw.ErrAmbiguous, call: func(ctx context.Context, r *silentRig) error {
		_, err := r.store.Commit(ctx, tw.KVTxn{Puts: []tw.KVPut{{Key: ledger.LiveKey("a"), Value: []byte("{}")}}})
		return err
	}},
	"grant of a lease": {path: "/api/kv-lease", noticed: time.Second, want: tw.ErrAmbiguous, call: func(ctx context.Context, r *silentRig) error {
		_, _, err := r.store.Grant(ctx, time.Second)
		return err
	}},
	"read of a range": {path: "/api/kv-range", noticed: time.Second, want: tw.ErrAmbiguous, call: func(ctx context.Context, r *silentRig) error {
		_, _, err := r.store.Range(ctx, ledger.MemberPrefix)
		return err
	}},
	"write of an owner": {path: "/api/kv-txn", noticed: 40 * time.Millisecond, call: func(ctx context.Context, r *silentRig) error {
		return r.ownerWrite(ctx)
	}},
	"renewal": {path: "/api/kv-keep/", noticed: 40 * time.Millisecond, call: func(ctx context.Context, r *silentRig) error {
		return r.store.Renew(ctx, r.lease)
	}},
	"read of one key": {path: "/api/kv-key", noticed: 40 * time.Millisecond, call: func(ctx context.Context, r *silentRig) error {
		_, err := ledger.FindSubmission(ctx, r.store, "known")
		return err
	}},
	"poll": {path: "/api/hold", noticed: 2300 * time.Millisecond, want: tw.ErrAmbiguous, call: func(ctx context.Context, r *silentRig) error {
		_, err := r.orders.Hold(ctx, r.worker(), tw.HoldOrder{Fence: 1, Wait: 1500 * time.Millisecond})
		return err
	}},
	"start": {path: "/api/run-start", noticed: 800 * time.Millisecond, want: tw.ErrAmbiguous, call: func(ctx context.Context, r *silentRig) error {
		_, err := r.orders.Start(ctx, r.worker(), tw.StartOrder{Run: 1, Fence: 1})
		return err
	}},
	"stop": {path: "/api/run-stop", noticed: 800 * time.Millisecond, want: tw.ErrAmbiguous, call: func(ctx context.Context, r *silentRig) error {
		_, err := r.orders.Stop(ctx, r.worker(), tw.StopOrder{Run: 1, Fence: 1})
		return err
	}},
	"pace": {path: "/api/pace", noticed: 800 * time.Millisecond, want: tw.ErrAmbiguous, call: func(ctx context.Context, r *silentRig) error {
		_, err := r.orders.Pace(ctx, r.worker(), tw.PaceOrder{Run: 1, Fence: 1, Percent: 50})
		return err
	}},
	"submission to an owner": {path: "/Submit", noticed: 900 * time.Millisecond, call: func(ctx context.Context, r *silentRig) error {
		if err := r.router.Submit(ctx, *silentSubmission("new")); err != nil {
			return err
		}
		return r.inbox(ctx, ledger.InboxRecord{Kind: ledger.InboxSubmitted, ID: "new"})
	}},
	"cancel at an owner": {path: "/Cancel", noticed: 900 * time.Millisecond, call: func(ctx context.Context, r *silentRig) error {
		if err := r.router.Cancel(ctx, member.SubmissionRequest{Pool: "p", ID: "known"}); err != nil {
			return err
		}
		return r.inbox(ctx, ledger.InboxRecord{Kind: ledger.InboxCancel, ID: "known"})
	}},
	"state at an owner": {path: "/State", noticed: 900 * time.Millisecond, call: func(ctx context.Context, r *silentRig) error {
		_, err := r.router.State(ctx, member.SubmissionRequest{Pool: "p", ID: "known"})
		return err
	}},
	"count of waiting submissions": {path: "/Waiting", noticed: 900 * time.Millisecond, want: tw.ErrAmbiguous, call: func(ctx context.Context, r *silentRig) error {
		_, err := r.router.Waiting(ctx, "p", "r")
		return err
	}},
	"survey of evacuations": {path: "/Evacuations", noticed: time.Second, call: func(ctx context.Context, r *silentRig) error {
		member.SurveyEvacuations(ctx, r.peers, []member.DaemonRecord{{Daemon: "b", Address: r.link.address()}})
		return nil
	}},
}

func (r *silentRig) worker() tw.WorkerRef { return tw.WorkerRef{ID: "w0", Address: r.link.address()} }

// inbox fails unless a message is in the inbox.
func (r *silentRig) inbox(ctx context.Context, m ledger.InboxRecord) error {
	_, err := r.stand.Get(ctx, ledger.InboxKey("p", m))
	return err
}

// TestSilentCalls guards against calls that wait for longer than docs/PROMISES.md allows on a connection
// that has gone silent when they were sent, and against a result that says more than is known.
func TestSilentCalls(t *testing.T) {
	for name, c := range silentCalls {
		for way, directions := range silentWays {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				r := newSilentRig(t)
				r.link.silenceAt(c.path, directions)
				began := time.Now()
				err := c.call(t.Context(), r)
				r.Expect(time.Since(began)).To(BeNumerically("<", c.noticed+silenceMargin))
				r.Expect(r.link.struckCount()).To(BeNumerically(">", 0))
				if c.want == nil {
					r.Expect(err).NotTo(HaveOccurred())
					return
				}
				r.Expect(err).To(MatchError(c.want))
			})
		}
	}
}
