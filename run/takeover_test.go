package run_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// earlyCases are what a new owner does with runs of a repetition that is not due
// yet by its own time of day, as the former owner's was ahead. It knew no such
// subtask: it stopped the runs, and of an end as done it only told the worker that
// it was noted. When the repetition fell due here, the subtask was started again.
// The log showed "run: ended", kind done, before the takeover's first start of the
// same subtask.
var earlyCases = map[string]func(r *rig){
	"takes up an end of a repetition that is not due yet": func(r *rig) {
		s := r.timed(3 * time.Second)
		r.startAs(1, 0, subtask("s1", 0, 0))
		time.Sleep(1500 * time.Millisecond)
		r.Expect(r.fleet.Done(subtask("s1", 0, 0))).To(BeTrue())
		b := r.take("b")
		r.eventually(b, s.ID, tw.Succeeded, 8*time.Second)
		r.kept()
		r.Expect(r.fleet.Starts()).To(Equal(2))
	},
	"lets a run of a repetition that is not due yet go on": func(r *rig) {
		s := r.timed(3 * time.Second)
		r.startAs(1, 0, subtask("s1", 0, 0))
		time.Sleep(100 * time.Millisecond)
		b := r.take("b")
		r.eventually(b, s.ID, tw.Succeeded, 8*time.Second)
		r.Expect(r.fleet.Starts()).To(Equal(2))
	},
}

// timed has an owner, which then ends, keep a submission with two repetitions,
// the first of which is due so much later.
func (r *rig) timed(later time.Duration) tw.Submission {
	a := r.take("a")
	s := submission("s1", 1)
	s.Schedule = tw.Schedule{Times: 2, First: time.Now().Add(later), Interval: time.Second}
	r.submit(a, s)
	a.Close()
	return s
}

func TestTakeoverOfEarlyRuns(t *testing.T) { playCases(t, earlyCases) }
