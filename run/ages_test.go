package run_test

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// TestStartDelayWithAClockAhead checks that a submission counts among the start delays although the clock
// of the daemon that has accepted it is ahead: a histogram leaves out what is negative.
func TestStartDelayWithAClockAhead(t *testing.T) {
	for name, ahead := range map[string]time.Duration{"clocks agree": 0, "clock is ahead": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				defer r.end()
				o := r.newOwner("a")
				s := submission("s1", 1)
				s.Accepted = s.Accepted.Add(ahead)
				r.submit(o, s)
				r.eventually(o, s.ID, tw.SubmissionSucceeded, 3*time.Second)
				var text bytes.Buffer
				r.metricSet.WritePrometheus(&text)
				r.Expect(text.String()).To(ContainSubstring(`tamarind_submission_start_seconds_count{pool="checks"} 1` + "\n"))
			})
		})
	}
}
