package ledger_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
)

const pool tw.PoolID = "checks"

// bench is a store with helpers for a test.
type bench struct {
	*WithT
	ctx context.Context
	kv  *standin.KV
}

func (b *bench) open(daemon tw.DaemonID) *ledger.Book {
	book, err := b.config(daemon).Open(b.ctx)
	b.Expect(err).NotTo(HaveOccurred())
	return book
}

func (b *bench) config(daemon tw.DaemonID) ledger.Config {
	return ledger.Config{
		KV: b.kv, Clock: tw.SystemClock{}, Log: zap.NewNop(), Owner: ledger.Owner{Pool: pool, Daemon: daemon, Incarnation: 1},
	}
}

func submission(id tw.SubmissionID) *tw.Submission {
	return &tw.Submission{ID: id, Policy: tw.RoutePolicy{Pool: pool}, Steps: []tw.Step{{Count: 2}}}
}

func (b *bench) accept(book *ledger.Book, id tw.SubmissionID) {
	results, err := book.Write(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission(id))})
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(results[0]).NotTo(HaveOccurred())
}

func (b *bench) ids(book *ledger.Book) []tw.SubmissionID {
	loaded, err := book.Load(b.ctx)
	b.Expect(err).NotTo(HaveOccurred())
	var out []tw.SubmissionID
	for _, l := range loaded {
		out = append(out, l.ID)
	}
	return out
}

// slowKV is the store as a daemon reaches it that is short of processor time.
type slowKV struct {
	tw.KV
	late time.Duration
}

func (k slowKV) Get(ctx context.Context, key tw.Key) (tw.KVItem, error) {
	time.Sleep(k.late)
	return k.KV.Get(ctx, key)
}

func (k slowKV) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	time.Sleep(k.late)
	return k.KV.Commit(ctx, txn)
}

var bookCases = map[string]func(b *bench){
	// A record that can't be read made every daemon fail that wanted to own the pool.
	"sets aside what it cannot read, and loads the rest": func(b *bench) {
		book := b.open("a")
		for _, id := range []tw.SubmissionID{"s1", "s2", "s3"} {
			b.accept(book, id)
		}
		b.kv.Put(ledger.SubmissionKey("s2"), []byte("\x00"))
		b.kv.Put(ledger.ProgressKey(pool, "s3"), []byte("[]"))
		b.kv.Put(ledger.InboxPrefix(pool)+"s1.other", []byte("{"))
		b.Expect(b.ids(b.open("b"))).To(ConsistOf(tw.SubmissionID("s1")))
	},
	"gives each owner a higher fence": func(b *bench) {
		first := b.open("a")
		second := b.open("b")
		b.Expect(second.Fence()).To(BeNumerically(">", first.Fence()))
		b.Expect(first.IsFirstOwner()).To(BeTrue())
		b.Expect(second.IsFirstOwner()).To(BeFalse())
	},
	"refuses the writes of a former owner": func(b *bench) {
		former := b.open("a")
		b.open("b")
		_, err := former.Write(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1"))})
		b.Expect(err).To(MatchError(ledger.ErrOwnershipLost))
		_, err = ledger.FindSubmission(b.ctx, b.kv, "s1")
		b.Expect(err).To(MatchError(tw.ErrNotFound))
	},
	"is opened over an owner that goes on writing": func(b *bench) {
		former := b.open("a")
		stop := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				if _, err := former.Write(b.ctx, nil); err != nil {
					return
				}
			}
		}()
		b.open("b")
		close(stop)
		<-ended
	},
	// A daemon that takes longer for its calls than the owner for a write found the book
	// changed each time, eight times in a row, and took that owner for one that was faster:
	// the pool stayed with an owner that was given up. In TestAllSoak, seed 29, at a daemon
	// short of processor time (80 of 600 plays):
	//
	//	5.730  ledger: the head changed before it was taken  fence 1, fence_now 1, count 10, count_now 11
	//	5.763  ledger: the head changed before it was taken  fence 1, fence_now 1, count 11, count_now 12
	"is opened by a slow daemon over an owner that goes on writing": func(b *bench) {
		former := b.open("a")
		ended := make(chan error)
		go func() {
			for {
				if _, err := former.Write(b.ctx, nil); err != nil {
					ended <- err
					return
				}
			}
		}()
		c := b.config("b")
		c.KV = slowKV{KV: b.kv, late: 50 * time.Millisecond}
		book, err := c.Open(b.ctx)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(<-ended).To(MatchError(ledger.ErrOwnershipLost))
		b.Expect(book.Fence()).To(Equal(former.Fence() + 1))
		b.accept(book, "s1")
	},
	"is opened by one of two daemons that do so at once": func(b *bench) {
		b.open("a")
		errs := make(chan error)
		for _, daemon := range []tw.DaemonID{"b", "c"} {
			go func() {
				_, err := b.config(daemon).Open(b.ctx)
				errs <- err
			}()
		}
		b.Expect([]error{<-errs, <-errs}).To(ConsistOf(BeNil(), MatchError(ledger.ErrOwnershipLost)))
	},
	"is opened although the first answer is lost": func(b *bench) {
		b.open("a")
		b.kv.SetFaults(standin.KVFaults{LoseAnswers: 1})
		b.accept(b.open("b"), "s1")
	},
	"gives a higher fence although the owner's record is lost or can't be read": func(b *bench) {
		first := b.open("a")
		b.kv.Remove(ledger.OwnerKey(pool))
		second := b.open("b")
		b.Expect(second.Fence()).To(BeNumerically(">", first.Fence()))
		b.kv.Put(ledger.OwnerKey(pool), []byte("\x00"))
		b.Expect(b.open("c").Fence()).To(BeNumerically(">", second.Fence()))
	},
	"keeps all but those that exist": func(b *bench) {
		book := b.open("a")
		b.accept(book, "s1")
		results, err := book.Write(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1")), ledger.AcceptSubmission(submission("s2"))})
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(results[0]).To(MatchError(ledger.ErrExists))
		b.Expect(results[1]).NotTo(HaveOccurred())
		b.Expect(b.ids(book)).To(ConsistOf(tw.SubmissionID("s1"), tw.SubmissionID("s2")))
	},
	"writes several submissions beside each other": func(b *bench) {
		book := b.open("a")
		var wg sync.WaitGroup
		for _, id := range []tw.SubmissionID{"s1", "s2", "s3"} {
			wg.Go(func() {
				_, err := book.WriteConcurrent(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission(id))})
				b.Expect(err).NotTo(HaveOccurred())
			})
		}
		b.accept(book, "s4")
		wg.Wait()
		b.Expect(b.ids(book)).To(HaveLen(4))
	},
	"keeps all but those that exist beside the chain": func(b *bench) {
		book := b.open("a")
		b.accept(book, "s1")
		results, err := book.WriteConcurrent(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1")), ledger.AcceptSubmission(submission("s2"))})
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(results[0]).To(MatchError(ledger.ErrExists))
		b.Expect(results[1]).NotTo(HaveOccurred())
	},
	"takes what it finds after a lost answer beside the chain for another's": func(b *bench) {
		book := b.open("a")
		b.kv.SetFaults(standin.KVFaults{LoseAnswers: 2})
		results, err := book.WriteConcurrent(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1")), ledger.AcceptSubmission(submission("s2"))})
		b.Expect(err).NotTo(HaveOccurred())
		// Another daemon may have kept them in the same words, with a message in the inbox.
		b.Expect(results[0]).To(MatchError(ledger.ErrExists))
		b.Expect(results[1]).To(MatchError(ledger.ErrExists))
		b.Expect(b.ids(book)).To(HaveLen(2))
	},
	"has nothing left to write beside the chain once all exists": func(b *bench) {
		book := b.open("a")
		b.accept(book, "s1")
		calls := b.kv.Calls()
		results, err := book.WriteConcurrent(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1"))})
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(results[0]).To(MatchError(ledger.ErrExists))
		b.Expect(b.kv.Calls() - calls).To(Equal(1))
	},
	"ends a submission although another daemon has kept a new one of the same write": func(b *bench) {
		book := b.open("a")
		b.accept(book, "s2")
		b.kv.SetFaults(standin.KVFaults{LateWrites: 1})
		var results []error
		done := make(chan error, 1)
		go func() {
			var err error
			results, err = book.WriteConcurrent(b.ctx, []ledger.Change{
				ledger.AcceptSubmission(submission("s1")), ledger.EndSubmission(pool, submission("s2"), tw.SubmissionSucceeded, tw.Resources{}),
			})
			done <- err
		}()
		time.Sleep(5 * time.Millisecond)
		_, err := b.kv.Commit(b.ctx, ledger.AcceptViaInbox(submission("s1")))
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(<-done).NotTo(HaveOccurred())
		b.Expect(results[0]).To(MatchError(ledger.ErrExists)) // its message is in the inbox
		record, err := ledger.FindSubmission(b.ctx, b.kv, "s2")
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(record.Final).To(Equal(tw.SubmissionSucceeded))
	},
	"keeps nothing beside the chain once another has opened the book": func(b *bench) {
		former := b.open("a")
		b.kv.SetFaults(standin.KVFaults{LateWrites: 1})
		unclear := make(chan error, 1)
		go func() {
			_, err := former.WriteConcurrent(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1"))})
			unclear <- err
		}()
		time.Sleep(5 * time.Millisecond)
		present := b.open("b")
		b.kv.DoLate()
		b.Expect(<-unclear).To(MatchError(ledger.ErrOwnershipLost))
		b.Expect(b.ids(present)).To(BeEmpty())
	},
	"knows its own write again after its answer was lost": func(b *bench) {
		book := b.open("a")
		b.kv.SetFaults(standin.KVFaults{LoseAnswers: 2})
		b.accept(book, "s1")
		b.accept(book, "s2")
	},
	"lets no late write undo a later one": func(b *bench) {
		book := b.open("a")
		b.accept(book, "s1")
		b.kv.SetFaults(standin.KVFaults{LateWrites: 1})
		p := &ledger.Progress{}
		p.Step(0, 0).Done.Add(0)
		_, err := book.Write(b.ctx, []ledger.Change{ledger.SaveProgress(pool, "s1", p)})
		b.Expect(err).NotTo(HaveOccurred())
		p.Step(0, 0).Done.Add(1)
		_, err = book.Write(b.ctx, []ledger.Change{ledger.SaveProgress(pool, "s1", p)})
		b.Expect(err).NotTo(HaveOccurred())
		b.kv.DoLate()
		got, err := ledger.FindProgress(b.ctx, b.kv, pool, "s1")
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(got.Step(0, 0).Done.All(2)).To(BeTrue())
	},
	"says that nothing was done when the store refuses": func(b *bench) {
		book := b.open("a")
		for _, faults := range []standin.KVFaults{{Down: true}, {Limited: true}} {
			b.kv.SetFaults(faults)
			_, err := book.Write(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1"))})
			b.Expect(tw.NotApplied(err)).To(BeTrue())
		}
		b.kv.SetFaults(standin.KVFaults{})
		b.accept(book, "s1")
	},
	"says nothing of a write that it gave up in doubt": func(b *bench) {
		book := b.open("a")
		b.kv.SetFaults(standin.KVFaults{LateWrites: 1000})
		ctx, cancel := context.WithTimeout(b.ctx, time.Second)
		defer cancel()
		_, err := book.Write(ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1"))})
		b.Expect(err).To(MatchError(context.DeadlineExceeded))
		b.Expect(tw.NotApplied(err)).To(BeFalse())
	},
	"loads what a former owner recorded": func(b *bench) {
		book := b.open("a")
		b.accept(book, "s1")
		b.accept(book, "s2")
		p := &ledger.Progress{}
		p.Step(0, 0).Failures = map[int][]tw.RunNumber{1: {7}}
		_, err := book.Write(b.ctx, []ledger.Change{ledger.SaveProgress(pool, "s1", p), ledger.EndSubmission(pool, &tw.Submission{ID: "s2"}, tw.SubmissionSucceeded, tw.Resources{})})
		b.Expect(err).NotTo(HaveOccurred())
		loaded, err := b.open("b").Load(b.ctx)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(loaded).To(HaveLen(2))
		b.Expect(loaded[0].Progress.Step(0, 0).Failures[1]).To(Equal([]tw.RunNumber{7}))
		b.Expect(loaded[1].Record.Final).To(Equal(tw.SubmissionSucceeded))
		b.Expect(loaded[1].Record.Submission).To(BeNil())
	},
	"keeps one submission whoever keeps it": func(b *bench) {
		book := b.open("a")
		_, err := b.kv.Commit(b.ctx, ledger.AcceptViaInbox(submission("s1")))
		b.Expect(err).NotTo(HaveOccurred())
		results, err := book.Write(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1"))})
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(results[0]).To(MatchError(ledger.ErrExists))
		_, err = b.kv.Commit(b.ctx, ledger.AcceptViaInbox(submission("s1")))
		b.Expect(err).To(BeAssignableToTypeOf(&tw.KVConflictError{}))
	},
	"tells operators of all pools": func(b *bench) {
		book := b.open("a")
		b.accept(book, "s1")
		b.accept(book, "s2")
		_, err := book.Write(b.ctx, []ledger.Change{ledger.EndSubmission(pool, &tw.Submission{ID: "s2"}, tw.SubmissionFailed, tw.Resources{})})
		b.Expect(err).NotTo(HaveOccurred())
		_, err = b.kv.Commit(b.ctx, ledger.AcceptViaInbox(submission("s3")))
		b.Expect(err).NotTo(HaveOccurred())
		survey, err := ledger.TakeSurvey(b.ctx, b.kv)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(survey.Pools).To(HaveLen(1))
		got := survey.Pools[0]
		b.Expect(got.Owner.Daemon).To(Equal(tw.DaemonID("a")))
		b.Expect(got.OwnerAlive).To(BeFalse())
		b.Expect(got.Open).To(Equal(2))
		b.Expect(got.Ended).To(Equal(map[tw.SubmissionState]int{tw.SubmissionFailed: 1}))
		b.Expect(got.Inbox).To(Equal(1))
	},
	"keeps the progress of a wave": func(b *bench) {
		book := b.open("a")
		want := ledger.WaveProgress{Done: []tw.InstanceID{"m1"}, Finished: true}
		_, err := book.Write(b.ctx, []ledger.Change{ledger.SaveWaveProgress(3, want)})
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(ledger.FindWave(b.ctx, b.kv, 3)).To(Equal(want))
		b.Expect(ledger.FindWave(b.ctx, b.kv, 4)).To(Equal(ledger.WaveProgress{}))
	},
}

func TestBook(t *testing.T) {
	for name, c := range bookCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := standin.KVConfig{Latency: 4 * time.Millisecond}.New()
				c(&bench{WithT: NewWithT(t), ctx: t.Context(), kv: kv})
			})
		})
	}
}

func TestBits(t *testing.T) {
	g := NewWithT(t)
	var b ledger.Bitset
	g.Expect(b.All(0)).To(BeTrue())
	for _, n := range []int{0, 9, 3} {
		g.Expect(b.Has(n)).To(BeFalse())
		b.Add(n)
		g.Expect(b.Has(n)).To(BeTrue())
	}
	g.Expect(b.All(2)).To(BeFalse())
	b.Add(1)
	g.Expect(b.All(2)).To(BeTrue())
}
