package run_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// lostEnds leaves the writes that end a submission unanswered, and never applies them.
type lostEnds struct{ tw.KV }

// Commit implements tw.KV.
func (k lostEnds) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	for _, put := range txn.Puts {
		if strings.HasPrefix(string(put.Key), "tw/submission/") && strings.Contains(string(put.Value), `"final"`) {
			return 0, unanswered(ctx)
		}
	}
	return k.KV.Commit(ctx, txn)
}

// cancelViaInbox cancels a submission as another daemon does that can't reach the owner, and confirms
// that to its caller.
func (r *rig) cancelViaInbox(o *run.Owner, id tw.SubmissionID) {
	r.confirmCancelInStore(id)
	o.HandleInbox(r.ctx, ledger.InboxRecord{Kind: ledger.InboxCancel, ID: id})
}

// inboxCancelCases end an owner that has applied a cancel from the inbox, while the end of the
// submission can't be recorded and other writes can.
var inboxCancelCases = map[string]func(r *rig, o *run.Owner){
	"killed":  func(_ *rig, o *run.Owner) { o.Close() },
	"stopped": func(r *rig, o *run.Owner) { o.Drain(r.ctx) },
}

// TestInboxCancelSurvivesItsOwner guards against a confirmed cancel that is lost with the owner: it
// removed the request from the inbox although the end was not recorded, and its successor ran the
// submission.
func TestInboxCancelSurvivesItsOwner(t *testing.T) {
	for name, end := range inboxCancelCases {
		runCase(t, name, 4, func(r *rig) {
			o := r.newOwnerWith("a", lostEnds{r.kv}, r.fleet)
			s := submission("s1", 2, 2)
			s.Steps[0].Estimate = 10 * time.Second
			r.submit(o, s)
			r.kv.SetFaults(standin.KVFaults{Slow: 200 * time.Millisecond}) // ends are written beside all else
			time.Sleep(2 * time.Second)
			r.Expect(r.fleet.Starts()).To(Equal(2))
			r.cancelViaInbox(o, "s1")
			time.Sleep(2 * time.Second)
			end(r, o)
			r.kv.SetFaults(standin.KVFaults{})
			o = r.newOwner("b")
			r.eventually(o, "s1", tw.SubmissionCancelled, 5*time.Second)
			r.Expect(r.fleet.Starts()).To(Equal(2))
			r.expectInboxEmpty()
		})
	}
}

// expectInboxEmpty expects all messages to have been removed from the inbox soon.
func (r *rig) expectInboxEmpty() {
	r.t.Helper()
	r.Eventually(func() []tw.KVItem {
		items, _, err := r.kv.Range(r.ctx, ledger.InboxPrefix(pool))
		r.Expect(err).NotTo(HaveOccurred())
		return items
	}, time.Second).Should(BeEmpty())
}
