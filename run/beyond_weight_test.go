package run_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// TestLongRunningBeyondWeight checks that long-running work is not put behind other work where its
// organisation sends more than its weight.
func TestLongRunningBeyondWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.end()
		r.queueConfig = &tw.QueueConfig{Version: 1, Organisations: []tw.Organisation{{ID: "red", Weight: 1}}}
		o := r.newOwner("a")
		for n := range 4 { // each fills the worker
			s := submission(fmt.Sprintf("%016x", n+1), 4)
			if n == 0 {
				s.Organisation = "red"
			}
			r.submit(o, s)
		}
		lasting := submission("00000000000000aa", 1)
		lasting.Organisation = "red"
		lasting.Steps[0].LongRunning = true
		r.submit(o, lasting)
		r.Expect(r.metricSet.GetOrCreateCounter(`tamarind_submissions_beyond_weight_total{pool="checks"}`).Get()).To(Equal(uint64(1)))
		r.Eventually(func() int { return r.fleet.SubmissionRuns("00000000000000aa") }, 1200*time.Millisecond, 10*time.Millisecond).Should(Equal(1))
		r.expectNoViolations()
	})
}

// TestWeightsWithAClockAhead checks that the clock of a daemon that is ahead does not make what an
// organisation sends within its weight count as beyond it.
func TestWeightsWithAClockAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		defer r.end()
		r.queueConfig = &tw.QueueConfig{Version: 1, Organisations: []tw.Organisation{{ID: "red", Weight: 10}}}
		o := r.newOwner("a")
		for n := range 40 {
			s := submission(fmt.Sprintf("%016x", n+1), 1)
			s.Organisation = "red"
			if n == 0 {
				s.Accepted = s.Accepted.Add(2 * time.Second)
			}
			r.submit(o, s)
			time.Sleep(100 * time.Millisecond)
		}
		r.Expect(r.metricSet.GetOrCreateCounter(`tamarind_submissions_beyond_weight_total{pool="checks"}`).Get()).To(BeZero())
	})
}

// TestCancelsOfUnknownSubmissionsCountForNoWeight guards against submissions that count as beyond their
// organisation's weight because it has cancelled IDs that were never submitted.
func TestCancelsOfUnknownSubmissionsCountForNoWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4)
		defer r.end()
		r.queueConfig = &tw.QueueConfig{Version: 1, Organisations: []tw.Organisation{{ID: "red", Weight: 10}}}
		o := r.newOwner("a")
		for n := range 100 {
			id := tw.SubmissionID(fmt.Sprintf("%016x", n+100))
			_, err := r.kv.Commit(r.ctx, ledger.CancelUnsubmitted(pool, "red", id))
			r.Expect(err).NotTo(HaveOccurred())
			o.HandleInbox(r.ctx, ledger.InboxRecord{Kind: ledger.InboxCancel, ID: id})
		}
		r.expectInboxEmpty()
		s := submission("s1", 1)
		s.Organisation = "red"
		r.submit(o, s)
		r.Expect(r.metricSet.GetOrCreateCounter(`tamarind_submissions_beyond_weight_total{pool="checks"}`).Get()).To(BeZero())
	})
}
