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

// A submission may be tried at two daemons at once. One try waits at the owner behind a
// write that the store does not answer; the other, through a daemon that did not reach the
// owner, is carried out by the store late, with a message in the owner's inbox. The owner
// read the message, dropped what it had fetched since the waiting try stood in its table,
// and had the message taken out all the same; then it refused the waiting try. The record
// stayed in the store and nobody knew of it. From the owners' logs, in seconds:
//
//	20.536  submission: refused, the store does not take it
//	22.994  submission: kept without the owner
//	22.998  submission: not taken  run: the store does not answer
var triesCases = map[string]func(r *rig){
	"keeps what waits at it and is kept by another daemon": func(r *rig) {
		kv, o := r.waits("s1")
		r.leave(submission("s1", 2))
		o.HandleInbox(r.ctx, submitted("s1"))
		time.Sleep(time.Second) // what waits is refused meanwhile
		kv.mute.Store(false)
		r.ends(o, "s1", tw.SubmissionSucceeded, 5*time.Second)
	},
	"keeps it also if its message is read after it was refused": func(r *rig) {
		kv, o := r.waits("s1")
		r.leave(submission("s1", 2))
		time.Sleep(time.Second)
		o.HandleInbox(r.ctx, submitted("s1"))
		kv.mute.Store(false)
		r.ends(o, "s1", tw.SubmissionSucceeded, 5*time.Second)
	},
	"cancels it for those who asked while it waited": func(r *rig) {
		kv, o := r.waits("s1")
		r.leave(submission("s1", 2))
		cancelled := make(chan error, 1)
		go func() { cancelled <- o.Cancel(r.ctx, "", "s1") }()
		o.HandleInbox(r.ctx, submitted("s1"))
		time.Sleep(time.Second)
		kv.mute.Store(false)
		r.Expect(<-cancelled).To(Succeed())
		r.ends(o, "s1", tw.SubmissionCancelled, 5*time.Second)
		r.Expect(r.fleet.Begun("s1")).To(BeFalse())
	},
}

// ends waits for a submission that may not be known yet to end.
func (r *rig) ends(o *run.Owner, id tw.SubmissionID, want tw.SubmissionState, within time.Duration) {
	r.t.Helper()
	r.Eventually(func() tw.SubmissionState {
		state, err := o.State(r.ctx, "", id)
		if err != nil {
			r.Expect(err).To(MatchError(run.ErrUnknownSubmission))
		}
		return state
	}, within, 20*time.Millisecond).Should(Equal(want))
}

func TestTries(t *testing.T) { playCases(t, triesCases) }

func submitted(id tw.SubmissionID) ledger.InboxRecord {
	return ledger.InboxRecord{Kind: ledger.InboxSubmitted, ID: id}
}

// waits has a submission wait at an owner behind a write that is not answered.
func (r *rig) waits(id string) (*muteKV, *run.Owner) {
	kv := &muteKV{KV: r.kv}
	o := r.open("a", kv, r.fleet)
	time.Sleep(time.Second)
	kv.mute.Store(true)
	for _, id := range []string{"before", id} {
		s := submission(id, 2)
		r.fleet.Expect(&s, nil)
		go func() { _ = o.Submit(r.ctx, s) }() // its answer is not what the case is about
		time.Sleep(50 * time.Millisecond)
	}
	return kv, o
}

// triesSeeds are the seeds of TestTwoTries.
const triesSeeds = 1200

// TestTwoTries plays random orders of what may happen to a submission that is tried
// several times: at owners, without them, with writes that are carried out late, stalls of
// the store, takeovers and cancels. What was kept for a caller, or stands in the store,
// must end; what nobody kept must never begin.
func TestTwoTries(t *testing.T) {
	for seed := range uint64(triesSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &tries{rig: newRig(t, 3), rand: rand.New(rand.NewPCG(seed, 3)), sub: submission("s1", 2)}
				defer p.end()
				p.play()
				p.kept()
			})
		})
	}
}

// tries is a rig in which one submission is tried several times.
type tries struct {
	*rig
	rand  *rand.Rand
	sub   tw.Submission
	kv    *muteKV
	owner *run.Owner
	// late are tries of other daemons that the store has yet to carry out.
	late []tw.KVTxn
	// results are the answers of owners; other is what other daemons were answered.
	results   []chan error
	other     []error
	cancelled bool
}

// triesActs is how many things happen in a play.
const triesActs = 12

func (p *tries) play() {
	p.fleet.Expect(&p.sub, nil)
	p.replace()
	time.Sleep(time.Second)
	for range triesActs {
		p.act()
		time.Sleep(time.Duration(p.rand.IntN(300)) * time.Millisecond)
	}
	p.heal()
	p.check()
}

func (p *tries) act() {
	switch p.rand.IntN(11) {
	case 9:
		p.askOther()
	case 0, 1:
		p.ask(func(ctx context.Context, o *run.Owner) error { return o.Submit(ctx, p.sub) })
	case 2:
		_, err := p.rig.kv.Commit(p.ctx, ledger.AcceptViaInbox(&p.sub))
		p.other = append(p.other, err)
	case 3:
		p.late = append(p.late, ledger.AcceptViaInbox(&p.sub))
	case 4:
		p.carryOut()
	case 5, 6:
		p.tellInbox()
	case 7:
		p.kv.mute.Store(p.rand.IntN(2) == 0)
		p.kv.deaf.Store(p.rand.IntN(2) == 0)
	case 10:
		p.cancelled = true
		_, err := p.rig.kv.Commit(p.ctx, ledger.CancelViaInbox(pool, "s1"))
		p.Expect(err).NotTo(HaveOccurred())
	case 8:
		if p.rand.IntN(2) == 0 {
			p.replace()
			return
		}
		p.cancelled = true
		p.ask(func(ctx context.Context, o *run.Owner) error { return o.Cancel(ctx, "", "s1") })
	}
}

// ask has the present owner do something; its answer is awaited at the end.
func (p *tries) ask(what func(ctx context.Context, o *run.Owner) error) {
	result := make(chan error, 1)
	o := p.owner
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, patience)
		defer cancel()
		result <- what(ctx, o)
	}()
	p.results = append(p.results, result)
}

// askOther hands in another submission, behind whose write the next one waits.
func (p *tries) askOther() {
	s := submission(fmt.Sprint("other", len(p.results)), 1)
	p.fleet.Expect(&s, nil)
	o := p.owner
	go func() { _ = o.Submit(p.ctx, s) }() // its answer is not what the play is about
}

func (p *tries) carryOut() {
	for _, txn := range p.late {
		_, _ = p.rig.kv.Commit(p.ctx, txn) // nobody waits for the answer
	}
	p.late = nil
}

// tellInbox tells the owner what stands in its inbox, as its watch would.
func (p *tries) tellInbox() {
	items, _, err := p.rig.kv.Range(p.ctx, ledger.InboxPrefix(pool))
	p.Expect(err).NotTo(HaveOccurred())
	for _, item := range items {
		m, err := ledger.DecodeInbox(item)
		p.Expect(err).NotTo(HaveOccurred())
		p.owner.HandleInbox(p.ctx, m)
	}
}

// replace makes another daemon the owner, with a connection to the store of its own.
func (p *tries) replace() {
	p.kv = &muteKV{KV: p.rig.kv}
	p.owner = p.open(tw.DaemonID(fmt.Sprint("d", len(p.opened))), p.kv, p.fleet)
}

func (p *tries) heal() {
	p.carryOut()
	p.kv.mute.Store(false)
	p.kv.deaf.Store(false)
	for range 30 {
		time.Sleep(500 * time.Millisecond)
		p.tellInbox()
	}
}

func (p *tries) check() {
	kept := false
	for _, result := range p.results {
		kept = <-result == nil || kept
	}
	_, err := ledger.FindSubmission(p.ctx, p.rig.kv, "s1")
	if kept = kept || err == nil; !kept {
		p.Expect(p.fleet.Begun("s1")).To(BeFalse(), "what nobody kept has begun")
		return
	}
	p.Expect(p.state(p.owner, "s1").Final()).To(BeTrue(), "what was kept has not ended")
	if !p.cancelled {
		p.Expect(p.state(p.owner, "s1")).To(Equal(tw.SubmissionSucceeded))
	}
}
