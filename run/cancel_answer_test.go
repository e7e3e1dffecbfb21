package run_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// TestCancelOfUnstoredSubmissionSurvivesItsOwner guards against a confirmed cancel that is lost with the
// owner: a submission was cancelled while it was being stored, and the cancel was confirmed as soon as
// the submission was stored, before its end was.
func TestCancelOfUnstoredSubmissionSurvivesItsOwner(t *testing.T) {
	ends := map[string]func(r *rig, o *run.Owner){
		"killed":  func(_ *rig, o *run.Owner) { o.Close() },
		"stopped": func(r *rig, o *run.Owner) { o.Drain(r.ctx) },
	}
	for name, end := range ends {
		runCase(t, name, 4, func(r *rig) {
			o := r.newOwnerWith("a", lostEnds{r.kv}, r.fleet)
			time.Sleep(time.Second)
			r.kv.SetFaults(standin.KVFaults{Slow: 200 * time.Millisecond})
			s := submission("s1", 2)
			r.fleet.RegisterSubmission(&s, nil)
			submitted, cancelled := make(chan error, 1), make(chan error, 1)
			go func() { submitted <- o.Submit(r.ctx, s) }()
			time.Sleep(100 * time.Millisecond)
			ctx, stop := context.WithTimeout(r.ctx, 2*time.Second)
			defer stop()
			go func() { cancelled <- o.Cancel(ctx, "", s.ID) }()
			r.Expect(<-submitted).To(Succeed())
			time.Sleep(time.Second)
			end(r, o)
			confirmed := <-cancelled == nil
			r.kv.SetFaults(standin.KVFaults{})
			o = r.newOwner("b")
			if confirmed {
				r.fleet.NoteCancelled(s.ID)
				r.eventually(o, s.ID, tw.SubmissionCancelled, 5*time.Second)
				r.Expect(r.fleet.EverStarted(s.ID)).To(BeFalse())
			} else {
				r.eventually(o, s.ID, tw.SubmissionSucceeded, 5*time.Second)
			}
		})
	}
}

// cancelInStore cancels a submission as a daemon does that can't reach the owner. It returns the
// transaction of that, which is empty if the submission has ended.
func cancelInStore(ctx context.Context, kv tw.KV, id tw.SubmissionID) (tw.KVTxn, error) {
	record, err := ledger.FindSubmission(ctx, kv, id)
	var txn tw.KVTxn
	switch {
	case errors.Is(err, tw.ErrNotFound):
		txn = ledger.CancelUnsubmitted(pool, "", id)
	case err != nil || record.Final != "":
		return tw.KVTxn{}, err
	default:
		txn = ledger.ConfirmCancel(id, record)
	}
	_, err = kv.Commit(ctx, txn)
	return txn, err
}

// confirmCancelInStore has cancelInStore confirmed to the caller.
func (r *rig) confirmCancelInStore(id tw.SubmissionID) {
	r.t.Helper()
	_, err := cancelInStore(r.ctx, r.kv, id)
	r.Expect(err).NotTo(HaveOccurred())
	r.fleet.NoteCancelled(id)
}

// TestConfirmedCancelOutlastsItsMessage guards against a confirmed cancel that no owner knows of: the
// messages in the inbox were the only trace of it, and one owner removed them and ended.
func TestConfirmedCancelOutlastsItsMessage(t *testing.T) {
	runCase(t, "", 4, func(r *rig) {
		r.newOwner("a").Close()
		s := r.storeViaInbox(submission("s1", 2))
		r.confirmCancelInStore(s.ID)
		items, _, err := r.kv.Range(r.ctx, ledger.InboxPrefix(pool))
		r.Expect(err).NotTo(HaveOccurred())
		for _, item := range items {
			_, err := r.kv.Commit(r.ctx, tw.KVTxn{Removes: []tw.Key{item.Key}})
			r.Expect(err).NotTo(HaveOccurred())
		}
		b := r.newOwner("b")
		r.eventually(b, s.ID, tw.SubmissionCancelled, 5*time.Second)
		r.Expect(r.fleet.EverStarted(s.ID)).To(BeFalse())
	})
}

// markedCancelCases have an owner learn of a submission with a confirmed cancel otherwise than from the
// notice of the cancel.
var markedCancelCases = map[string]func(r *rig, o *run.Owner, s tw.Submission){
	"message of the submission": func(r *rig, o *run.Owner, s tw.Submission) {
		o.HandleInbox(r.ctx, ledger.InboxRecord{Kind: ledger.InboxSubmitted, ID: s.ID})
	},
	"submitted again": func(r *rig, o *run.Owner, s tw.Submission) { r.Expect(o.Submit(r.ctx, s)).To(Succeed()) },
}

// TestMarkedCancelIsReadWithTheSubmission guards against a confirmed cancel of which an owner knows nothing
// although it has read the submission's record.
func TestMarkedCancelIsReadWithTheSubmission(t *testing.T) {
	for name, learn := range markedCancelCases {
		runCase(t, name, 4, func(r *rig) {
			o := r.newOwner("a")
			s := r.storeViaInbox(submission("s1", 2))
			r.confirmCancelInStore(s.ID)
			r.removeNotices(s.ID)
			learn(r, o, s)
			r.Eventually(func() (tw.SubmissionState, error) { return o.State(r.ctx, "", s.ID) }, 5*time.Second, 20*time.Millisecond).
				Should(Equal(tw.SubmissionCancelled))
			r.Expect(r.fleet.EverStarted(s.ID)).To(BeFalse())
		})
	}
}

// removeNotices removes the notices of a cancel from the inbox, as an owner of an older version may.
func (r *rig) removeNotices(id tw.SubmissionID) {
	r.t.Helper()
	removal := ledger.RemoveMessage(pool, ledger.InboxRecord{Kind: ledger.InboxCancel, ID: id})
	_, err := r.kv.Commit(r.ctx, tw.KVTxn{Removes: removal.Removes})
	r.Expect(err).NotTo(HaveOccurred())
}

// unsubmittedCases have an owner learn of a cancel of a submission that the store does not have.
var unsubmittedCases = map[string]func(r *rig, id tw.SubmissionID) *run.Owner{
	"at takeover": func(r *rig, id tw.SubmissionID) *run.Owner {
		r.confirmCancelInStore(id)
		return r.newOwner("a")
	},
	"from the inbox": func(r *rig, id tw.SubmissionID) *run.Owner {
		o := r.newOwner("a")
		r.confirmCancelInStore(id)
		return o
	},
	"while it stores the submission": func(r *rig, id tw.SubmissionID) *run.Owner {
		o := r.newOwner("a")
		r.kv.SetFaults(standin.KVFaults{Slow: 200 * time.Millisecond})
		s := submission(string(id), 2)
		go func() { _ = o.Submit(r.ctx, s) }()
		time.Sleep(100 * time.Millisecond) // the write is under way
		for _, put := range ledger.CancelUnsubmitted(pool, "", id).Puts {
			r.kv.Put(put.Key, put.Value)
		}
		r.kv.SetFaults(standin.KVFaults{})
		return o
	},
}

// TestCancelBeforeSubmission checks that an owner shows nothing of a submission that was cancelled before it was
// stored, starts nothing of it, and removes the notice of the cancel.
func TestCancelBeforeSubmission(t *testing.T) {
	for name, learn := range unsubmittedCases {
		runCase(t, name, 4, func(r *rig) {
			const id = "00000000000000aa"
			o := learn(r, id)
			o.HandleInbox(r.ctx, ledger.InboxRecord{Kind: ledger.InboxCancel, ID: id})
			r.expectInboxEmpty()
			check := func() {
				_, err := o.State(r.ctx, "", id)
				r.Expect(err).To(MatchError(run.ErrUnknownSubmission))
				r.Expect(o.Cancel(r.ctx, "", id)).To(MatchError(run.ErrUnknownSubmission))
			}
			check()
			r.Expect(o.Submit(r.ctx, submission(id, 2))).To(Succeed())
			time.Sleep(2 * time.Second)
			check()
			waiting, err := o.Waiting(r.ctx, "quick")
			r.Expect(err).NotTo(HaveOccurred())
			r.Expect(waiting).To(BeZero())
			r.Expect(r.fleet.EverStarted(id)).To(BeFalse())
		})
	}
}

// TestCancelOfAnOlderDaemonIsReadAtTakeover guards against a confirmed cancel that is lost during an upgrade:
// a daemon of an older version leaves messages in the inbox and does not mark the record.
func TestCancelOfAnOlderDaemonIsReadAtTakeover(t *testing.T) {
	runCase(t, "", 4, func(r *rig) {
		r.newOwner("a").Close()
		s := r.storeViaInbox(submission("s1", 2))
		record, err := ledger.FindSubmission(r.ctx, r.kv, s.ID)
		r.Expect(err).NotTo(HaveOccurred())
		for _, put := range ledger.ConfirmCancel(s.ID, record).Puts {
			if put.Key != ledger.SubmissionKey(s.ID) {
				r.kv.Put(put.Key, put.Value)
			}
		}
		r.fleet.NoteCancelled(s.ID)
		b := r.newOwner("b")
		r.eventually(b, s.ID, tw.SubmissionCancelled, 5*time.Second)
		r.Expect(r.fleet.EverStarted(s.ID)).To(BeFalse())
		r.expectInboxEmpty()
	})
}

// cancelOnSilentWorkers has work that takes the whole cap cancelled by a daemon that can't reach the owner,
// while the workers that run it are silent.
func (r *capRig) cancelOnSilentWorkers() tw.SubmissionID {
	id := r.send("checks", "red", redCap, 5*time.Second)
	r.watch(time.Second)
	for n := range redCap {
		for _, w := range r.fleet.RunningOn(subtask(string(id), 0, n)) {
			r.fleet.UpdateWorker(w, func(w *standin.SimWorker) { w.Silent = true })
		}
	}
	r.confirmCancelInStore(id)
	return id
}
