package ledger_test

import (
	"context"
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

const pool tw.PoolID = "checks"

// fixture is a fake store with test helpers.
type fixture struct {
	*WithT
	t   *testing.T
	ctx context.Context
	kv  *standin.KV
}

func (b *fixture) open(daemon tw.DaemonID) *ledger.Book {
	book, err := b.config(daemon).Open(b.ctx)
	b.Expect(err).NotTo(HaveOccurred())
	return book
}

func (b *fixture) config(daemon tw.DaemonID) ledger.Config {
	return ledger.Config{
		KV: b.kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(b.t), Owner: ledger.Owner{Pool: pool, Daemon: daemon, Incarnation: 1},
	}
}

func submission(id tw.SubmissionID) *tw.Submission {
	return &tw.Submission{ID: id, Policy: tw.RoutePolicy{Pool: pool}, Steps: []tw.Step{{Count: 2}}}
}

func (b *fixture) accept(book *ledger.Book, id tw.SubmissionID) {
	results, err := book.Write(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission(id))})
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(results[0]).NotTo(HaveOccurred())
}

func (b *fixture) ids(book *ledger.Book) []tw.SubmissionID {
	loaded, err := book.Load(b.ctx)
	b.Expect(err).NotTo(HaveOccurred())
	var out []tw.SubmissionID
	for _, l := range loaded {
		out = append(out, l.ID)
	}
	return out
}

// slowKV delays calls to the store, as on a daemon that is short of CPU time.
type slowKV struct {
	tw.KV
	delay time.Duration
}

func (k slowKV) Get(ctx context.Context, key tw.Key) (tw.KVItem, error) {
	time.Sleep(k.delay)
	return k.KV.Get(ctx, key)
}

func (k slowKV) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	time.Sleep(k.delay)
	return k.KV.Commit(ctx, txn)
}

var bookCases = map[string]func(b *fixture){
	// A daemon that was partitioned off while it took a pool over must not take it from the owner
	// that the pool has got meanwhile.
	"leaves a pool to an owner that is newer than the one to be succeeded": func(b *fixture) {
		first := b.open("a")
		late := b.config("b")
		late.Succeeds = first.Fence()
		newer := b.open("c")
		_, err := late.Open(b.ctx)
		b.Expect(err).To(MatchError(ledger.ErrNewerOwner))
		b.accept(newer, "s1")
		late.Succeeds = newer.Fence()
		book, err := late.Open(b.ctx)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(b.ids(book)).To(ConsistOf(tw.SubmissionID("s1")))
	},
	// A takeover that failed after its first write is repeated.
	"opens the book again after this daemon's own last try": func(b *fixture) {
		first := b.open("a")
		again := b.config("b")
		again.Succeeds = first.Fence()
		b.open("b")
		_, err := again.Open(b.ctx)
		b.Expect(err).NotTo(HaveOccurred())
	},
	// An unreadable record must not keep every daemon from taking over the pool.
	"skips unreadable records and loads the rest": func(b *fixture) {
		book := b.open("a")
		for _, id := range []tw.SubmissionID{"s1", "s2", "s3"} {
			b.accept(book, id)
		}
		b.kv.Put(ledger.SubmissionKey("s2"), []byte("\x00"))
		b.kv.Put(ledger.ProgressKey(pool, "s3"), []byte("[]"))
		b.kv.Put(ledger.InboxPrefix(pool)+"s1.other", []byte("{"))
		b.Expect(b.ids(b.open("b"))).To(ConsistOf(tw.SubmissionID("s1")))
	},
	"gives each owner a higher fence": func(b *fixture) {
		first := b.open("a")
		second := b.open("b")
		b.Expect(second.Fence()).To(BeNumerically(">", first.Fence()))
		b.Expect(first.IsFirstOwner()).To(BeTrue())
		b.Expect(second.IsFirstOwner()).To(BeFalse())
	},
	"rejects writes of a previous owner": func(b *fixture) {
		previous := b.open("a")
		b.open("b")
		_, err := previous.Write(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1"))})
		b.Expect(err).To(MatchError(ledger.ErrOwnershipLost))
		_, err = ledger.FindSubmission(b.ctx, b.kv, "s1")
		b.Expect(err).To(MatchError(tw.ErrNotFound))
	},
	"opens while the previous owner keeps writing": func(b *fixture) {
		previous := b.open("a")
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
				if _, err := previous.Write(b.ctx, nil); err != nil {
					return
				}
			}
		}()
		b.open("b")
		close(stop)
		<-ended
	},
	// If opening the book were conditional on the head, a daemon whose calls take longer than
	// the owner's writes would find the head changed at every attempt. After eight attempts it
	// concluded that a faster daemon had become the owner, and the pool stayed with an owner that
	// was considered failed.
	"opens on a slow daemon while the previous owner keeps writing": func(b *fixture) {
		previous := b.open("a")
		ended := make(chan error)
		go func() {
			for {
				if _, err := previous.Write(b.ctx, nil); err != nil {
					ended <- err
					return
				}
			}
		}()
		config := b.config("b")
		config.KV = slowKV{KV: b.kv, delay: 50 * time.Millisecond}
		book, err := config.Open(b.ctx)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(<-ended).To(MatchError(ledger.ErrOwnershipLost))
		b.Expect(book.Fence()).To(Equal(previous.Fence() + 1))
		b.accept(book, "s1")
	},
	"opens for one of two concurrent daemons": func(b *fixture) {
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
	"opens although the first answer is lost": func(b *fixture) {
		b.open("a")
		b.kv.SetFaults(standin.KVFaults{LoseAnswers: 1})
		b.accept(b.open("b"), "s1")
	},
	"gives a higher fence although the owner record is lost or unreadable": func(b *fixture) {
		first := b.open("a")
		b.kv.Remove(ledger.OwnerKey(pool))
		second := b.open("b")
		b.Expect(second.Fence()).To(BeNumerically(">", first.Fence()))
		b.kv.Put(ledger.OwnerKey(pool), []byte("\x00"))
		b.Expect(b.open("c").Fence()).To(BeNumerically(">", second.Fence()))
	},
	"stores all submissions except those that exist": func(b *fixture) {
		book := b.open("a")
		b.accept(book, "s1")
		results, err := book.Write(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1")), ledger.AcceptSubmission(submission("s2"))})
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(results[0]).To(MatchError(ledger.ErrExists))
		b.Expect(results[1]).NotTo(HaveOccurred())
		b.Expect(b.ids(book)).To(ConsistOf(tw.SubmissionID("s1"), tw.SubmissionID("s2")))
	},
	"stores several submissions concurrently": func(b *fixture) {
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
	"stores outside the chain all submissions except those that exist": func(b *fixture) {
		book := b.open("a")
		b.accept(book, "s1")
		results, err := book.WriteConcurrent(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1")), ledger.AcceptSubmission(submission("s2"))})
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(results[0]).To(MatchError(ledger.ErrExists))
		b.Expect(results[1]).NotTo(HaveOccurred())
	},
	"reports submissions as existing after a lost answer to a write outside the chain": func(b *fixture) {
		book := b.open("a")
		b.kv.SetFaults(standin.KVFaults{LoseAnswers: 2})
		results, err := book.WriteConcurrent(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1")), ledger.AcceptSubmission(submission("s2"))})
		b.Expect(err).NotTo(HaveOccurred())
		// Another daemon may have stored identical records, with a message in the inbox.
		b.Expect(results[0]).To(MatchError(ledger.ErrExists))
		b.Expect(results[1]).To(MatchError(ledger.ErrExists))
		b.Expect(b.ids(book)).To(HaveLen(2))
	},
	"stops writing outside the chain once all submissions exist": func(b *fixture) {
		book := b.open("a")
		b.accept(book, "s1")
		calls := b.kv.Calls()
		results, err := book.WriteConcurrent(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1"))})
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(results[0]).To(MatchError(ledger.ErrExists))
		b.Expect(b.kv.Calls() - calls).To(Equal(1))
	},
	"ends a submission although another daemon has stored a new one of the same write": func(b *fixture) {
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
	"stores nothing outside the chain once another daemon has opened the book": func(b *fixture) {
		previous := b.open("a")
		b.kv.SetFaults(standin.KVFaults{LateWrites: 1})
		result := make(chan error, 1)
		go func() {
			_, err := previous.WriteConcurrent(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1"))})
			result <- err
		}()
		time.Sleep(5 * time.Millisecond)
		current := b.open("b")
		b.kv.ApplyLateWrites()
		b.Expect(<-result).To(MatchError(ledger.ErrOwnershipLost))
		b.Expect(b.ids(current)).To(BeEmpty())
	},
	"recognises its own write after a lost answer": func(b *fixture) {
		book := b.open("a")
		b.kv.SetFaults(standin.KVFaults{LoseAnswers: 2})
		b.accept(book, "s1")
		b.accept(book, "s2")
	},
	"does not let a delayed write undo a later one": func(b *fixture) {
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
		b.kv.ApplyLateWrites()
		got, err := ledger.FindProgress(b.ctx, b.kv, pool, "s1")
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(got.Step(0, 0).Done.All(2)).To(BeTrue())
	},
	"reports that nothing was written when the store refuses": func(b *fixture) {
		book := b.open("a")
		for _, faults := range []standin.KVFaults{{Down: true}, {RateLimited: true}} {
			b.kv.SetFaults(faults)
			_, err := book.Write(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1"))})
			b.Expect(tw.NotApplied(err)).To(BeTrue())
		}
		b.kv.SetFaults(standin.KVFaults{})
		b.accept(book, "s1")
	},
	"reports an unknown outcome of a write that it gave up": func(b *fixture) {
		book := b.open("a")
		b.kv.SetFaults(standin.KVFaults{LateWrites: 1000})
		ctx, cancel := context.WithTimeout(b.ctx, time.Second)
		defer cancel()
		_, err := book.Write(ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1"))})
		b.Expect(err).To(MatchError(context.DeadlineExceeded))
		b.Expect(tw.NotApplied(err)).To(BeFalse())
	},
	"loads what a previous owner stored": func(b *fixture) {
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
	"stores a submission only once, whichever daemon stores it": func(b *fixture) {
		book := b.open("a")
		_, err := b.kv.Commit(b.ctx, ledger.AcceptViaInbox(submission("s1")))
		b.Expect(err).NotTo(HaveOccurred())
		results, err := book.Write(b.ctx, []ledger.Change{ledger.AcceptSubmission(submission("s1"))})
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(results[0]).To(MatchError(ledger.ErrExists))
		_, err = b.kv.Commit(b.ctx, ledger.AcceptViaInbox(submission("s1")))
		b.Expect(err).To(BeAssignableToTypeOf(&tw.KVConflictError{}))
	},
	"surveys all pools": func(b *fixture) {
		book := b.open("a")
		b.accept(book, "s1")
		b.accept(book, "s2")
		_, err := book.Write(b.ctx, []ledger.Change{ledger.EndSubmission(pool, &tw.Submission{ID: "s2"}, tw.SubmissionFailed, tw.Resources{})})
		b.Expect(err).NotTo(HaveOccurred())
		_, err = b.kv.Commit(b.ctx, ledger.AcceptViaInbox(submission("s3")))
		b.Expect(err).NotTo(HaveOccurred())
		_, err = b.kv.Commit(b.ctx, ledger.CancelUnsubmitted(pool, "", "s4"))
		b.Expect(err).NotTo(HaveOccurred())
		survey, err := ledger.TakeSurvey(b.ctx, b.kv)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(survey.Pools).To(HaveLen(1))
		got := survey.Pools[0]
		b.Expect(got.Owner.Daemon).To(Equal(tw.DaemonID("a")))
		b.Expect(got.OwnerAlive).To(BeFalse())
		b.Expect(got.Open).To(Equal(2))
		b.Expect(got.Ended).To(Equal(map[tw.SubmissionState]int{tw.SubmissionFailed: 1}))
		b.Expect(got.Inbox).To(Equal(3))
	},
	"stores the progress of a wave": func(b *fixture) {
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
				c(&fixture{WithT: NewWithT(t), t: t, ctx: t.Context(), kv: kv})
			})
		})
	}
}

func TestBitset(t *testing.T) {
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
