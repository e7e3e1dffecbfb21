package run_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// duplicateCases guard against losing a submission that arrives through two daemons at once.
// One attempt waits at the owner behind a write that the store does not answer. The other,
// through a daemon that did not reach the owner, is executed late by the store, with a message in
// the owner's inbox. The owner read the message but discarded the stored submission because the
// waiting attempt was in its table, deleted the message, and then refused the waiting attempt.
// The record stayed in the store, but no daemon knew of it.
var duplicateCases = map[string]func(r *rig){
	"keeps a waiting submission that another daemon has stored": func(r *rig) {
		kv, o := r.submitStalled("s1")
		r.storeViaInbox(submission("s1", 2))
		o.HandleInbox(r.ctx, submitted("s1"))
		time.Sleep(time.Second) // the waiting attempt is refused meanwhile
		kv.dropWrites.Store(false)
		r.waitForEnd(o, "s1", tw.SubmissionSucceeded, 5*time.Second)
	},
	"keeps a stored submission if its message is read after the waiting attempt was refused": func(r *rig) {
		kv, o := r.submitStalled("s1")
		r.storeViaInbox(submission("s1", 2))
		time.Sleep(time.Second)
		o.HandleInbox(r.ctx, submitted("s1"))
		kv.dropWrites.Store(false)
		r.waitForEnd(o, "s1", tw.SubmissionSucceeded, 5*time.Second)
	},
	"applies a cancel that arrived while the submission waited": func(r *rig) {
		kv, o := r.submitStalled("s1")
		r.storeViaInbox(submission("s1", 2))
		cancelled := make(chan error, 1)
		go func() { cancelled <- o.Cancel(r.ctx, "", "s1") }()
		o.HandleInbox(r.ctx, submitted("s1"))
		time.Sleep(time.Second)
		kv.dropWrites.Store(false)
		r.Expect(<-cancelled).To(Succeed())
		r.waitForEnd(o, "s1", tw.SubmissionCancelled, 5*time.Second)
		r.Expect(r.fleet.EverStarted("s1")).To(BeFalse())
	},
}

// waitForEnd waits for a submission, which may not be known yet, to end.
func (r *rig) waitForEnd(o *run.Owner, id tw.SubmissionID, want tw.SubmissionState, within time.Duration) {
	r.t.Helper()
	r.Eventually(func() tw.SubmissionState {
		state, err := o.State(r.ctx, "", id)
		if err != nil {
			r.Expect(err).To(MatchError(run.ErrUnknownSubmission))
		}
		return state
	}, within, 20*time.Millisecond).Should(Equal(want))
}

func TestDuplicateSubmissions(t *testing.T) { runCases(t, duplicateCases) }

func submitted(id tw.SubmissionID) ledger.InboxRecord {
	return ledger.InboxRecord{Kind: ledger.InboxSubmitted, ID: id}
}

// submitStalled makes a submission wait at an owner behind a write that is not answered.
func (r *rig) submitStalled(id string) (*unansweredKV, *run.Owner) {
	kv := &unansweredKV{KV: r.kv}
	o := r.newOwnerWith("a", kv, r.fleet)
	time.Sleep(time.Second)
	kv.dropWrites.Store(true)
	for _, id := range []string{"before", id} {
		s := submission(id, 2)
		r.fleet.RegisterSubmission(&s, nil)
		go func() { _ = o.Submit(r.ctx, s) }() // the answer does not matter here
		time.Sleep(50 * time.Millisecond)
	}
	return kv, o
}

// triesSeeds is the number of seeds of TestTwoTries.
const triesSeeds = 1200

// TestTwoTries runs random sequences of what may happen to a submission that is submitted several
// times: at owners, without an owner, with writes that are executed late, stalls of the store,
// takeovers and cancels. A submission that an owner accepted or that is in the store must end; one
// that was not stored must never begin.
func TestTwoTries(t *testing.T) {
	t.Parallel()
	for seed := range uint64(triesSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &tries{rig: newRig(t, 3), rand: rand.New(rand.NewPCG(seed, 3)), sub: submission("s1", 2)}
				defer p.end()
				p.run()
				p.expectNoViolations()
			})
		})
	}
}

// tries is a rig in which one submission is submitted several times.
type tries struct {
	*rig
	rand  *rand.Rand
	sub   tw.Submission
	kv    *unansweredKV
	owner *run.Owner
	// late are attempts of other daemons that the store has yet to apply.
	late []tw.KVTxn
	// results are the answers of owners, other those that other daemons got from the store.
	results   []chan error
	other     []error
	cancelled bool
	// cancelInStore: a cancel was confirmed by what is in the store. Owners that are replaced after that
	// must know it.
	cancelInStore bool
}

// triesActions is the number of random actions per seed.
const triesActions = 12

func (p *tries) run() {
	p.fleet.RegisterSubmission(&p.sub, nil)
	p.replaceOwner()
	time.Sleep(time.Second)
	for range triesActions {
		p.act()
		time.Sleep(time.Duration(p.rand.IntN(300)) * time.Millisecond)
	}
	p.endFaults()
	p.check()
}

func (p *tries) act() {
	switch p.rand.IntN(11) {
	case 9:
		p.submitOther()
	case 0, 1:
		p.call(func(ctx context.Context, o *run.Owner) error { return o.Submit(ctx, p.sub) })
	case 2:
		_, err := p.rig.kv.Commit(p.ctx, ledger.AcceptViaInbox(&p.sub))
		p.other = append(p.other, err)
	case 3:
		p.late = append(p.late, ledger.AcceptViaInbox(&p.sub))
	case 4:
		p.applyLate()
	case 5, 6:
		p.deliverInbox()
	case 7:
		p.kv.dropWrites.Store(p.rand.IntN(2) == 0)
		p.kv.dropAnswers.Store(p.rand.IntN(2) == 0)
	case 10:
		p.cancelled = true
		_, err := cancelInStore(p.ctx, p.rig.kv, "s1")
		p.Expect(err).NotTo(HaveOccurred())
		p.cancelInStore = true
	case 8:
		if p.rand.IntN(2) == 0 {
			p.replaceOwner()
			return
		}
		p.cancelled = true
		p.call(func(ctx context.Context, o *run.Owner) error {
			err := o.Cancel(ctx, "", "s1")
			if err == nil {
				p.fleet.NoteCancelled("s1")
			}
			return err
		})
	}
}

// call calls the current owner in the background; its answer is awaited at the end.
func (p *tries) call(f func(ctx context.Context, o *run.Owner) error) {
	result := make(chan error, 1)
	o := p.owner
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, callerTimeout)
		defer cancel()
		result <- f(ctx, o)
	}()
	p.results = append(p.results, result)
}

// submitOther submits another submission, behind whose write the next one waits.
func (p *tries) submitOther() {
	s := submission(fmt.Sprint("other", len(p.results)), 1)
	p.fleet.RegisterSubmission(&s, nil)
	o := p.owner
	go func() { _ = o.Submit(p.ctx, s) }() // the answer does not matter here
}

func (p *tries) applyLate() {
	for _, txn := range p.late {
		_, _ = p.rig.kv.Commit(p.ctx, txn) // no caller waits for the answer
	}
	p.late = nil
}

// deliverInbox passes the messages in the inbox to the owner, as its watch would.
func (p *tries) deliverInbox() {
	items, _, err := p.rig.kv.Range(p.ctx, ledger.InboxPrefix(pool))
	p.Expect(err).NotTo(HaveOccurred())
	for _, item := range items {
		m, err := ledger.DecodeInbox(item)
		p.Expect(err).NotTo(HaveOccurred())
		p.owner.HandleInbox(p.ctx, m)
	}
}

// replaceOwner makes another daemon the owner, with its own connection to the store.
func (p *tries) replaceOwner() {
	p.kv = &unansweredKV{KV: p.rig.kv}
	p.owner = p.newOwnerWith(tw.DaemonID(fmt.Sprint("d", len(p.opened))), p.kv, p.fleet)
	if p.cancelInStore {
		p.fleet.NoteCancelled("s1")
	}
}

func (p *tries) endFaults() {
	p.applyLate()
	p.kv.dropWrites.Store(false)
	p.kv.dropAnswers.Store(false)
	for range 30 {
		time.Sleep(500 * time.Millisecond)
		p.deliverInbox()
	}
}

func (p *tries) check() {
	stored := false
	for _, result := range p.results {
		stored = <-result == nil || stored
	}
	record, err := ledger.FindSubmission(p.ctx, p.rig.kv, "s1")
	if stored = stored || err == nil; !stored || record.Unsubmitted {
		p.Expect(p.fleet.EverStarted("s1")).To(BeFalse(), "a submission that was not stored has begun")
		return
	}
	p.Expect(p.state(p.owner, "s1").Final()).To(BeTrue(), "a stored submission has not ended")
	if !p.cancelled {
		p.Expect(p.state(p.owner, "s1")).To(Equal(tw.SubmissionSucceeded))
	}
}

// TestUnreadableRecordIsNoAcceptance guards against a submission that is confirmed and never runs: the
// store had another record under its ID, which no owner can read.
func TestUnreadableRecordIsNoAcceptance(t *testing.T) {
	runCase(t, "", 1, func(r *rig) {
		o := r.newOwner("a")
		r.kv.Put(ledger.SubmissionKey("s1"), []byte("{"))
		r.Expect(o.Submit(r.ctx, submission("s1", 1))).To(MatchError(tw.ErrAmbiguous))
	})
}

// TestUnreadableRecordIsReadOnceAtATime guards against repeated requests for a submission with an unreadable
// record that use up the calls that the store takes: each of them read it again and again.
func TestUnreadableRecordIsReadOnceAtATime(t *testing.T) {
	runCase(t, "", 1, func(r *rig) {
		o := r.newOwner("a")
		r.kv.Put(ledger.SubmissionKey("s1"), []byte("{"))
		for range 20 {
			r.Expect(o.Submit(r.ctx, submission("s1", 1))).To(MatchError(tw.ErrAmbiguous))
		}
		before := r.kv.Calls()
		time.Sleep(5 * time.Second)
		r.Expect(r.kv.Calls() - before).To(BeNumerically("<", 60)) // 33 reads, and the owner's own calls
	})
}
