package queue

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

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
		r, end := newTestRouter(t)
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

// racingKV has another write applied right before the first transaction.
type racingKV struct {
	tw.KV
	// first is that write; nil for none.
	first *tw.KVTxn
	// commits counts the transactions of the router.
	commits atomic.Int64
	// refused is the error of all transactions of the router; nil if they are applied.
	refused error
}

// Commit implements tw.KV.
func (k *racingKV) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	k.commits.Add(1)
	if k.refused != nil {
		return 0, k.refused
	}
	if first := k.first; first != nil {
		k.first = nil
		if _, err := k.KV.Commit(ctx, *first); err != nil {
			return 0, err
		}
	}
	return k.KV.Commit(ctx, txn)
}

// cancelRequest cancels the submission of the tests below.
var cancelRequest = member.SubmissionRequest{Pool: "p", ID: "5c0e7a21d94b36f8", Organisation: "red"}

func cancelledSubmission() *tw.Submission {
	return &tw.Submission{
		ID: cancelRequest.ID, Organisation: "red", Policy: tw.RoutePolicy{Pool: "p2", Route: "r"}, Steps: []tw.Step{{Count: 1}},
	}
}

// cancelCases are what is in the store as a cancel is handled, and what it rests on.
var cancelCases = map[string]struct {
	// before was written before the cancel, meanwhile after the daemon has read the record.
	before, meanwhile func(s *tw.Submission) tw.KVTxn
	// refused is the error of all writes of the daemon.
	refused error
	want    error
	basis   cancelBasis
	commits int64
	record  ledger.Record
}{
	"never submitted": {
		want: run.ErrUnknownSubmission, basis: basisUnknown, commits: 1,
		record: ledger.Record{Pool: "p", Organisation: "red", Final: tw.SubmissionCancelled, Unsubmitted: true},
	},
	"never submitted, and cancelled before": {
		before: func(s *tw.Submission) tw.KVTxn { return ledger.CancelUnsubmitted("p", "red", s.ID) },
		want:   run.ErrUnknownSubmission, basis: basisUnknown,
		record: ledger.Record{Pool: "p", Organisation: "red", Final: tw.SubmissionCancelled, Unsubmitted: true},
	},
	"stored meanwhile": {
		meanwhile: ledger.AcceptViaInbox, basis: basisRecord, commits: 2,
		record: ledger.Record{Pool: "p2", Organisation: "red", Cancelled: true},
	},
	"stored": {
		before: ledger.AcceptViaInbox, basis: basisRecord, commits: 1,
		record: ledger.Record{Pool: "p2", Organisation: "red", Cancelled: true},
	},
	"cancelled by another daemon before": {
		before: func(s *tw.Submission) tw.KVTxn {
			return tw.KVTxn{Puts: ledger.ConfirmCancel(s.ID, ledger.Record{Pool: "p2", Submission: s, Organisation: "red"}).Puts}
		},
		basis: basisRecord, record: ledger.Record{Pool: "p2", Organisation: "red", Cancelled: true},
	},
	"ended meanwhile": {
		before: ledger.AcceptViaInbox, meanwhile: succeeded, basis: basisEnded, commits: 1,
		record: ledger.Record{Pool: "p2", Organisation: "red", Final: tw.SubmissionSucceeded},
	},
	"never submitted, and the store refuses": {
		refused: tw.ErrUnavailable, want: tw.ErrUnavailable, basis: basisNone,
	},
	"stored, and the store does not answer": {
		before: ledger.AcceptViaInbox, refused: tw.ErrAmbiguous, want: tw.ErrAmbiguous, basis: basisNone,
		record: ledger.Record{Pool: "p2", Organisation: "red"},
	},
}

// succeeded returns the write of an owner that ends a submission.
func succeeded(s *tw.Submission) tw.KVTxn {
	return tw.KVTxn{Puts: ledger.EndSubmission(s.Policy.Pool, s, tw.SubmissionSucceeded, tw.Resources{}).Puts}
}

// TestCancelRestsOnTheStore checks that a cancel is answered by what is in the store, which is changed on the
// condition that it is as it was read, and that the owner of the pool is notified.
func TestCancelRestsOnTheStore(t *testing.T) {
	for name, c := range cancelCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, end := newTestRouter(t)
				defer end()
				s, store := cancelledSubmission(), r.KV
				if c.before != nil {
					_, err := store.Commit(t.Context(), c.before(s))
					g.Expect(err).NotTo(HaveOccurred())
				}
				kv := &racingKV{KV: store, refused: c.refused}
				if c.meanwhile != nil {
					meanwhile := c.meanwhile(s)
					kv.first = &meanwhile
				}
				r.KV = kv
				ctx, stop := context.WithTimeout(t.Context(), time.Second)
				defer stop()
				if err := r.Cancel(ctx, cancelRequest); c.want != nil {
					g.Expect(err).To(MatchError(c.want))
				} else {
					g.Expect(err).NotTo(HaveOccurred())
				}
				g.Expect(r.Metrics.GetOrCreateCounter(fmt.Sprintf("tamarind_cancels_total{basis=%q}", string(c.basis))).Get()).To(Equal(uint64(1)))
				if c.refused == nil {
					g.Expect(kv.commits.Load()).To(Equal(c.commits))
				}
				record, err := ledger.FindSubmission(t.Context(), store, s.ID)
				if c.record.Pool == "" {
					g.Expect(err).To(MatchError(tw.ErrNotFound))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(record.Submission != nil).To(Equal(record.Final == ""))
				record.Submission, record.Revision = nil, 0
				g.Expect(record).To(Equal(c.record))
				notices, _, err := store.Range(t.Context(), ledger.InboxPrefix(record.Pool)+tw.Key(s.ID)+".cancel")
				g.Expect(err).NotTo(HaveOccurred())
				if record.Cancelled || record.Unsubmitted {
					// One for this version's owners, one that owners of older versions leave.
					g.Expect(notices).To(HaveLen(2))
				} else {
					g.Expect(notices).To(BeEmpty())
				}
			})
		})
	}
}

// TestCancelledBeforeItIsSubmitted checks what callers see of a submission that was cancelled before it was
// stored: a later request to store it succeeds and stores nothing, and nothing is shown.
func TestCancelledBeforeItIsSubmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, end := newTestRouter(t)
		defer end()
		g.Expect(r.Cancel(t.Context(), cancelRequest)).To(MatchError(run.ErrUnknownSubmission))
		s := cancelledSubmission()
		g.Expect(r.Submit(t.Context(), *s)).To(Succeed())
		s.Organisation = "blue"
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		g.Expect(r.Submit(ctx, *s)).To(MatchError(tw.ErrUnavailable))
		_, err := r.State(t.Context(), cancelRequest)
		g.Expect(err).To(MatchError(run.ErrUnknownSubmission))
		g.Expect(r.Cancel(t.Context(), cancelRequest)).To(MatchError(run.ErrUnknownSubmission))
		record, err := ledger.FindSubmission(t.Context(), r.KV, s.ID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(record.Unsubmitted).To(BeTrue())
	})
}
