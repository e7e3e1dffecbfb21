package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// callTimeout is the time after which a call of unansweringKV fails.
const callTimeout = time.Second

type (
	// outcome is what unansweringKV does with a transaction.
	outcome int

	// unansweringKV leaves transactions unanswered until their timeout.
	unansweringKV struct {
		tw.KV
		// outcomeOf chooses the outcome of the nth transaction.
		outcomeOf func(n int) outcome

		mu    sync.Mutex
		calls int
	}
)

const (
	answered outcome = iota
	// lost means not applied and not answered.
	lost
	// unanswered means applied and not answered.
	unanswered
	// refused means answered as not applied.
	refused
)

// Commit implements tw.KV.
func (k *unansweringKV) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	k.mu.Lock()
	k.calls++
	what := k.outcomeOf(k.calls)
	k.mu.Unlock()
	switch what {
	case refused:
		return 0, tw.ErrUnavailable
	case answered:
		return k.KV.Commit(ctx, txn)
	case unanswered:
		_, _ = k.KV.Commit(ctx, txn) // the caller gets no answer
	case lost:
	}
	select {
	case <-time.After(callTimeout):
	case <-ctx.Done():
	}
	return 0, tw.ErrAmbiguous
}

func (k *unansweringKV) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// resend returns a Resender over a store with the given outcomes.
func (b *fixture) resend(outcomeOf func(n int) outcome) (*ledger.Resender, *unansweringKV) {
	kv := &unansweringKV{KV: b.kv, outcomeOf: outcomeOf}
	return ledger.ResenderConfig{KV: kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(b.t), Metrics: agecheck.Metrics(b.t)}.New(), kv
}

var resenderCases = map[string]func(b *fixture){
	"writes quickly while every second answer is lost": func(b *fixture) {
		kv, _ := b.resend(func(n int) outcome { return []outcome{unanswered, answered}[n%2] })
		book := b.openOver(kv)
		began := time.Now()
		for n := range 20 {
			b.accept(book, tw.SubmissionID(fmt.Sprint("s", n)))
		}
		b.Expect(time.Since(began)).To(BeNumerically("<", 4*time.Second))
		b.Expect(b.ids(book)).To(HaveLen(20))
	},
	"writes soon after an outage": func(b *fixture) {
		down := time.Now().Add(5 * time.Second)
		kv, calls := b.resend(func(int) outcome {
			if time.Now().Before(down) {
				return lost
			}
			return answered
		})
		b.openOver(kv)
		b.Expect(time.Since(down)).To(BeNumerically("<", 350*time.Millisecond))
		b.Expect(calls.count()).To(BeNumerically("<", 30))
	},
	"sends a transaction once while the store answers, also if that is slow": func(b *fixture) {
		kv, calls := b.resend(func(int) outcome { return answered })
		book := b.openOver(kv)
		b.kv.SetFaults(standin.KVFaults{Slow: 236 * time.Millisecond})
		for n := range 5 {
			b.accept(book, tw.SubmissionID(fmt.Sprint("s", n)))
		}
		// The first slow write has copies, as the usual answer time is still that of a fast store.
		b.Expect(calls.count()).To(BeNumerically("<=", 6+6))
	},
	"is unclear if a copy is unanswered and another refused": func(b *fixture) {
		kv, _ := b.resend(func(n int) outcome { return []outcome{refused, unanswered}[n%2] })
		ctx, cancel := context.WithTimeout(b.ctx, 2*time.Second)
		defer cancel()
		_, err := kv.Commit(ctx, ledger.AcceptViaInbox(submission("s1")))
		b.Expect(err).To(MatchError(tw.ErrAmbiguous))
		b.Expect(tw.NotApplied(err)).To(BeFalse())
	},
	"is refused if all copies are": func(b *fixture) {
		kv, calls := b.resend(func(int) outcome { return refused })
		_, err := kv.Commit(b.ctx, ledger.AcceptViaInbox(submission("s1")))
		b.Expect(tw.NotApplied(err)).To(BeTrue())
		b.Expect(calls.count()).To(Equal(1))
	},
	"sends a transaction without conditions once": func(b *fixture) {
		kv, calls := b.resend(func(int) outcome { return lost })
		_, err := kv.Commit(b.ctx, tw.KVTxn{Puts: []tw.KVPut{{Key: "k"}}})
		b.Expect(err).To(MatchError(tw.ErrAmbiguous))
		b.Expect(calls.count()).To(Equal(1))
	},
	"stops with the context": func(b *fixture) {
		kv, _ := b.resend(func(int) outcome { return lost })
		ctx, cancel := context.WithTimeout(b.ctx, 200*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := kv.Commit(ctx, ledger.AcceptViaInbox(submission("s1")))
		b.Expect(err).To(MatchError(tw.ErrAmbiguous))
		b.Expect(time.Since(began)).To(Equal(200 * time.Millisecond))
	},
	"knows how long the store has been silent": func(b *fixture) {
		silent := false
		kv, _ := b.resend(func(int) outcome {
			if silent {
				return lost
			}
			return answered
		})
		book := b.openOver(kv)
		b.Expect(kv.Silence()).To(BeZero())
		silent = true
		ctx, cancel := context.WithTimeout(b.ctx, 2*time.Second)
		defer cancel()
		go func() { _, _ = book.Write(ctx, nil) }() // ends with ctx
		time.Sleep(1500 * time.Millisecond)
		b.Expect(kv.Silence()).To(Equal(1500 * time.Millisecond))
		time.Sleep(time.Second)
		b.Expect(kv.Silence()).To(BeZero())
	},
}

// openOver opens the book over a store.
func (b *fixture) openOver(kv tw.KV) *ledger.Book {
	c := b.config("a")
	c.KV = kv
	book, err := c.Open(b.ctx)
	b.Expect(err).NotTo(HaveOccurred())
	return book
}

func TestResender(t *testing.T) {
	for name, c := range resenderCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := standin.KVConfig{Latency: 4 * time.Millisecond}.New()
				c(&fixture{WithT: NewWithT(t), t: t, ctx: t.Context(), kv: kv})
			})
		})
	}
}
