package run_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// TestStartDelay checks which submissions count among the start delays. A histogram leaves out what is
// negative, as an age is by the clock of another daemon. The rig fails on lines with impossible ages.
func TestStartDelay(t *testing.T) {
	for name, c := range map[string]struct {
		accepted func(now time.Time) time.Time
		counted  int
	}{
		"clocks agree":   {accepted: func(now time.Time) time.Time { return now }, counted: 1},
		"clock is ahead": {accepted: func(now time.Time) time.Time { return now.Add(2 * time.Second) }, counted: 1},
		// Others may have written the record.
		"record without a time": {accepted: func(time.Time) time.Time { return time.Time{} }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				defer r.end()
				o := r.newOwner("a")
				s := submission("s1", 1)
				s.Accepted = c.accepted(time.Now())
				r.submit(o, s)
				r.eventually(o, s.ID, tw.SubmissionSucceeded, 3*time.Second)
				var text bytes.Buffer
				r.metricSet.WritePrometheus(&text)
				count := fmt.Sprintf("tamarind_submission_start_seconds_count{pool=\"checks\"} %d\n", c.counted)
				if c.counted == 0 {
					r.Expect(text.String()).NotTo(ContainSubstring("tamarind_submission_start_seconds_count"))
				} else {
					r.Expect(text.String()).To(ContainSubstring(count))
				}
			})
		})
	}
}

// TestRestartAfterLongSilence has a worker answer again under its ID long after all that it was granted has
// lapsed. The rig fails on lines with impossible ages.
func TestRestartAfterLongSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.end()
		r.list["w0"] = r.fleet.Restart("w0", 5)
		o := r.newOwner("a")
		s := submission("s1", 1)
		r.submit(o, s)
		time.Sleep(100 * time.Millisecond)
		r.fleet.Kill("w0")
		time.Sleep(time.Minute)
		r.list["w0"] = r.fleet.Restart("w0", 7)
		r.publishWorkers(o)
		r.eventually(o, s.ID, tw.SubmissionSucceeded, 5*time.Second)
		r.expectNoViolations()
	})
}
