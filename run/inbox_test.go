package run_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// leave keeps a submission as another daemon does that can't reach the owner.
func (r *rig) leave(s tw.Submission) tw.Submission {
	r.fleet.Expect(&s, nil)
	_, err := r.kv.Commit(r.ctx, ledger.AcceptViaInbox(&s))
	r.Expect(err).NotTo(HaveOccurred())
	return s
}

// inboxCases are what an owner does with what other daemons have kept, in a pool
// of four workers.
var inboxCases = map[string]func(r *rig){
	"takes up what another daemon has kept without it": func(r *rig) {
		o := r.take("a")
		r.keepUnowned(o, submission("s1", 2))
		r.eventually(o, "s1", tw.SubmissionSucceeded, 5*time.Second)
	},
	"starts what stands in the inbox although a worker is silent": func(r *rig) {
		r.take("a").Close()
		r.leave(submission("s1", 2))
		r.fleet.Set(workerID(0), func(w *standin.SimWorker) { w.Silent = true })
		b := r.take("b")
		r.eventually(b, "s1", tw.SubmissionSucceeded, 2*time.Second)
	},
	"starts nothing whose message is still in the inbox": func(r *rig) {
		o := r.take("a")
		r.leave(submission("s1", 2))
		r.kv.SetFaults(standin.KVFaults{LateWrites: 1000})
		o.HandleInbox(r.ctx, ledger.InboxRecord{Kind: ledger.InboxSubmitted, ID: "s1"})
		time.Sleep(time.Second)
		r.Expect(r.state(o, "s1")).To(Equal(tw.SubmissionWaiting))
		r.Expect(r.fleet.Begun("s1")).To(BeFalse())
		r.kv.SetFaults(standin.KVFaults{})
		r.eventually(o, "s1", tw.SubmissionSucceeded, 5*time.Second)
	},
	// A daemon that did not reach the owner had left the cancel in the inbox and had
	// answered it. The next owner knew the submission from the store, started it, and
	// read the inbox only then. In three plays with real processes whose connections fell
	// silent there were 3, 1 and 2 such starts; one of them ran to its end, so that what
	// had been cancelled was recorded as succeeded:
	//
	//	460.926  submission: kept without the owner
	//	462.625  owner: taken                 fence 5
	//	462.655  run: ordered                 fence 5
	//	462.746  watch: store answers         the inbox
	//	462.749  submission: ends             cancelled, asked by the caller
	"starts nothing whose cancel is in the inbox when it takes over": func(r *rig) {
		r.take("a").Close()
		r.leave(submission("s1", 2))
		_, err := r.kv.Commit(r.ctx, ledger.CancelViaInbox(pool, "s1"))
		r.Expect(err).NotTo(HaveOccurred())
		b := r.take("b")
		time.Sleep(500 * time.Millisecond) // the inbox is read so much later
		b.HandleInbox(r.ctx, ledger.InboxRecord{Kind: ledger.InboxCancel, ID: "s1"})
		r.eventually(b, "s1", tw.SubmissionCancelled, 5*time.Second)
		r.Expect(r.fleet.Starts()).To(BeZero())
	},
	"goes on trying to read what another daemon has kept": func(r *rig) {
		kv := &blindKV{KV: r.kv}
		o := r.open("a", kv, r.fleet)
		s := r.leave(submission("s1", 2))
		kv.blind.Store(true)
		r.Expect(o.Submit(r.ctx, s)).To(Succeed())
		time.Sleep(2 * time.Second)
		kv.blind.Store(false)
		r.Eventually(r.fleet.Starts, 2*time.Second).Should(Equal(2))
	},
	"takes up a run that the former owner started of what it was not told of": func(r *rig) {
		s := submission("s1", 1)
		r.fleet.Expect(&s, nil)
		r.take("a").Close()
		time.Sleep(time.Second) // so that the list of machines can be read again
		r.startAs(1, 0, subtask("s1", 0, 0))
		b := r.take("b")
		time.Sleep(20 * time.Millisecond) // it has looked at all workers
		r.keepUnowned(b, s)
		r.eventually(b, "s1", tw.SubmissionSucceeded, 5*time.Second)
	},
	"takes up an end that it saw before it was told of the submission": func(r *rig) {
		s := submission("s1", 1, 1)
		r.fleet.Expect(&s, nil)
		r.take("a").Close()
		r.startAs(1, 0, subtask("s1", 0, 0))
		time.Sleep(3 * time.Second)
		r.Expect(r.fleet.Done(subtask("s1", 0, 0))).To(BeTrue())
		b := r.take("b")
		time.Sleep(2 * time.Second) // it has seen the end and said so
		r.keepUnowned(b, s)
		r.eventually(b, "s1", tw.SubmissionSucceeded, 5*time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(2))
	},
}

func TestInbox(t *testing.T) { playCases(t, inboxCases) }
