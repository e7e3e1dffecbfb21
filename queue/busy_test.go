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

// busyCases are the expected results of a submission to a busy owner. answers are the owner's
// responses; the last one is repeated.
var busyCases = map[string]struct {
	answers []error
	// storedBefore: an earlier attempt was stored without the owner.
	storedBefore bool
	busy, stored bool
	within       time.Duration
}{
	"is refused immediately and not stored": {
		answers: []error{errBusy}, busy: true, within: 20 * time.Millisecond,
	},
	"was stored in an earlier attempt": {
		answers: []error{errBusy}, storedBefore: true, stored: true, within: 20 * time.Millisecond,
	},
	"is not reported as refused after an ambiguous attempt": {
		answers: []error{tw.ErrAmbiguous, errBusy}, stored: true, within: 20 * time.Millisecond,
	},
	"is accepted by an owner that is not busy": {answers: []error{nil}, within: 20 * time.Millisecond},
}

func TestBusyOwner(t *testing.T) {
	for name, c := range busyCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, end := newTestRouter(t)
				defer end()
				s := tw.Submission{ID: "00000000000000aa", Policy: tw.RoutePolicy{Pool: "p"}}
				if c.storedBefore {
					_, err := r.KV.Commit(t.Context(), ledger.AcceptViaInbox(&s))
					g.Expect(err).NotTo(HaveOccurred())
				}
				answers := c.answers
				start := time.Now()
				err := r.submit(t.Context(), s, func(context.Context, tw.Submission) error {
					answer := answers[0]
					answers = answers[min(1, len(answers)-1):]
					return answer
				})
				g.Expect(time.Since(start)).To(BeNumerically("<=", c.within))
				if c.busy {
					g.Expect(err).To(Equal(errBusy))
					g.Expect(notApplied(err)).To(BeTrue())
				} else {
					g.Expect(err).NotTo(HaveOccurred())
				}
				_, err = ledger.FindSubmission(t.Context(), r.KV, s.ID)
				g.Expect(err == nil).To(Equal(c.stored))
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
		"a fraction":    {after: 1700 * time.Millisecond, want: "2"},
		"whole":         {after: 3 * time.Second, want: "3"},
	} {
		t.Run(name, func(t *testing.T) { NewWithT(t).Expect(wholeSeconds(c.after)).To(Equal(c.want)) })
	}
}

// A busy owner must not be called again while it is certainly still busy, and must be called
// again afterwards.
func TestBusyOwnerIsCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, end := newTestRouter(t)
		defer end()
		calls := 0
		owner := func(context.Context, tw.Submission) error {
			calls++
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
		g.Expect(calls).To(Equal(1))
		time.Sleep(time.Second)
		g.Expect(submit("00000000000000ab")).To(HaveOccurred())
		g.Expect(calls).To(Equal(2))
		_, err := ledger.FindSubmission(t.Context(), r.KV, "00000000000000aa")
		g.Expect(err).To(MatchError(tw.ErrNotFound))
	})
}

// While a pool has no owner, submissions that its busy previous owner would have refused must not
// be stored for the successor. They are stored again some time after the last refusal.
func TestBusyPoolWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, end := newTestRouter(t)
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
