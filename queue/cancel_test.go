package queue

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/run"
)

// TestCancelOfSubmissionBeingStored guards against cancelled work that runs: the cancel was answered
// because the store had no such submission, and a write that was under way stored it later.
func TestCancelOfSubmissionBeingStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, end := newTestRouter()
		defer end()
		s := &tw.Submission{ID: "5c0e7a21d94b36f8", Policy: tw.RoutePolicy{Pool: "p", Route: "r"}, Steps: []tw.Step{{Count: 1}}}
		late := ledger.AcceptViaInbox(s)
		err := r.Cancel(t.Context(), member.SubmissionRequest{Pool: "p", ID: s.ID})
		g.Expect(err).To(MatchError(run.ErrUnknownSubmission))
		_, _ = r.KV.Commit(t.Context(), late) // it may be refused
		record, err := ledger.FindSubmission(t.Context(), r.KV, s.ID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(record.Final).To(Equal(tw.SubmissionCancelled))
	})
}
