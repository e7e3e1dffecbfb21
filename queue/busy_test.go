package queue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

var errBusy = &run.BusyError{RetryAfter: 1700 * time.Millisecond}

// busyCases are what becomes of a submission whose owner has accepted all that it can start
// in time. answers are the owner's, the last of them for good.
var busyCases = map[string]struct {
	answers []error
	// keptBefore: another try of it has been kept without the owner.
	keptBefore bool
	busy, kept bool
	within     time.Duration
}{
	"is refused at once, and the store does not keep it": {
		answers: []error{errBusy}, busy: true, within: 20 * time.Millisecond,
	},
	"was kept in another try": {
		answers: []error{errBusy}, keptBefore: true, kept: true, within: 20 * time.Millisecond,
	},
	"is not said to be refused after a try that is unclear": {
		answers: []error{tw.ErrAmbiguous, errBusy}, kept: true, within: 20 * time.Millisecond,
	},
	"is taken once the owner takes it": {answers: []error{nil}, within: 20 * time.Millisecond},
}

func TestBusyOwner(t *testing.T) {
	for name, c := range busyCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, end := lonely()
				defer end()
				s := tw.Submission{ID: "00000000000000aa", Policy: tw.RoutePolicy{Pool: "p"}}
				if c.keptBefore {
					_, err := r.KV.Commit(t.Context(), ledger.AcceptViaInbox(&s))
					g.Expect(err).NotTo(HaveOccurred())
				}
				answers := c.answers
				began := time.Now()
				err := r.submit(t.Context(), s, func(context.Context, tw.Submission) error {
					answer := answers[0]
					answers = answers[min(1, len(answers)-1):]
					return answer
				})
				g.Expect(time.Since(began)).To(BeNumerically("<=", c.within))
				if c.busy {
					g.Expect(err).To(Equal(errBusy))
					g.Expect(notApplied(err)).To(BeTrue())
				} else {
					g.Expect(err).NotTo(HaveOccurred())
				}
				_, err = ledger.FindSubmission(t.Context(), r.KV, s.ID)
				g.Expect(err == nil).To(Equal(c.kept))
			})
		})
	}
}

func TestWholeSeconds(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		want  string
	}{
		"none":          {want: "1"},
		"less than one": {after: 200 * time.Millisecond, want: "1"},
		"a part more":   {after: 1700 * time.Millisecond, want: "2"},
		"whole":         {after: 3 * time.Second, want: "3"},
	} {
		t.Run(name, func(t *testing.T) { NewWithT(t).Expect(wholeSeconds(c.after)).To(Equal(c.want)) })
	}
}

// An owner that is busy is not asked again while it surely still is, and is asked again then.
func TestBusyOwnerIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, end := lonely()
		defer end()
		asked := 0
		owner := func(context.Context, tw.Submission) error {
			asked++
			return &run.BusyError{RetryAfter: 2 * time.Second}
		}
		submit := func(id tw.SubmissionID) error {
			return r.submit(t.Context(), tw.Submission{ID: id, Policy: tw.RoutePolicy{Pool: "p"}}, owner)
		}
		var busy *run.BusyError
		for range 10 {
			g.Expect(errors.As(submit("00000000000000aa"), &busy)).To(BeTrue())
			g.Expect(busy.RetryAfter).To(BeNumerically("<=", 2*time.Second))
		}
		g.Expect(asked).To(Equal(1))
		time.Sleep(time.Second)
		g.Expect(submit("00000000000000ab")).To(HaveOccurred())
		g.Expect(asked).To(Equal(2))
		_, err := ledger.FindSubmission(t.Context(), r.KV, "00000000000000aa")
		g.Expect(err).To(MatchError(tw.ErrNotFound))
	})
}

// What a busy owner would refuse must not be kept for its successor while nobody owns the
// pool; an owner that has been gone for long says nothing any more.
func TestBusyPoolWithoutAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, end := lonely()
		defer end()
		var answer error = errBusy
		submit := func(id tw.SubmissionID) error {
			s := tw.Submission{ID: id, Policy: tw.RoutePolicy{Pool: "p"}}
			return r.submit(t.Context(), s, func(context.Context, tw.Submission) error { return answer })
		}
		g.Expect(submit("00000000000000aa")).To(MatchError(errBusy))
		time.Sleep(2 * time.Second)
		answer = run.ErrNotOwner
		err := submit("00000000000000ab")
		g.Expect(errors.HasType(err, errBusy)).To(BeTrue())
		g.Expect(notApplied(err)).To(BeTrue())
		_, err = ledger.FindSubmission(t.Context(), r.KV, "00000000000000ab")
		g.Expect(err).To(MatchError(tw.ErrNotFound))
		time.Sleep(4 * time.Second)
		g.Expect(submit("00000000000000ac")).To(Succeed())
		_, err = ledger.FindSubmission(t.Context(), r.KV, "00000000000000ac")
		g.Expect(err).NotTo(HaveOccurred())
	})
}
