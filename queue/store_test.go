package queue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// refusingKV refuses all transactions, with a given conflict.
type refusingKV struct {
	tw.KV
	conflict tw.KVConflictError
}

// Commit implements tw.KV.
func (k refusingKV) Commit(context.Context, tw.KVTxn) (tw.KVRevision, error) { return 0, &k.conflict }

// conflictsWithoutRecord are conflicts that do not show that a submission is stored.
var conflictsWithoutRecord = map[string]tw.KVConflictError{
	"no items":                 {},
	"the key is not there":     {Items: []tw.KVItem{{Key: ledger.SubmissionKey("5c0e7a21d94b36f8")}}},
	"the item of another key":  {Items: []tw.KVItem{{Key: "k", Revision: 7}}},
	"a record that is no JSON": {Items: []tw.KVItem{{Key: ledger.SubmissionKey("5c0e7a21d94b36f8"), Value: []byte("{"), Revision: 7}}},
}

// TestConflictWithoutRecordIsNoAcceptance guards against a submission that is confirmed and never runs:
// the store refused to store it, and did not have it either.
func TestConflictWithoutRecordIsNoAcceptance(t *testing.T) {
	for name, conflict := range conflictsWithoutRecord {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, end := newTestRouter(t)
				defer end()
				r.KV = refusingKV{KV: r.KV, conflict: conflict}
				s := tw.Submission{ID: "5c0e7a21d94b36f8", Policy: tw.RoutePolicy{Pool: "p", Route: "r"}, Steps: []tw.Step{{Count: 1}}}
				ctx, stop := context.WithTimeout(t.Context(), time.Second)
				defer stop()
				g.Expect(r.Submit(ctx, s)).To(MatchError(tw.ErrAmbiguous))
			})
		})
	}
}
