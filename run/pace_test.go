package run_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

const (
	tailTarget = 100 * time.Millisecond
	// harmTime is how long the platform lets a tail stay over its target through
	// fillers.
	harmTime = 4 * time.Second
)

// paceCases are the tail of what serves on a worker, what a filler at its full
// pace adds, and the pace at which the filler works in the end.
var paceCases = map[string]struct {
	tail, disturbance time.Duration
	least, most       int
}{
	"a filler that disturbs nobody":        {tail: 20 * time.Millisecond, least: 100, most: 100},
	"a filler that brings it over":         {tail: 20 * time.Millisecond, disturbance: 200 * time.Millisecond, most: 40},
	"a filler that brings it near":         {tail: 30 * time.Millisecond, disturbance: 65 * time.Millisecond, least: 1, most: 95},
	"it is over without the filler, too":   {tail: 150 * time.Millisecond, disturbance: 10 * time.Millisecond},
	"it is calm enough for a filler's all": {tail: 10 * time.Millisecond, disturbance: 40 * time.Millisecond, least: 100, most: 100},
}

// A filler beside a subtask that serves users never keeps its tail over the
// target for as long as harms, and works at its full pace again once it
// disturbs nobody.
func TestFillersArePaced(t *testing.T) {
	for name, c := range paceCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				defer r.end()
				r.fleet.Set(workerID(0), func(w *standin.SimWorker) { w.Tail, w.Disturbance = c.tail, c.disturbance })
				o := r.take("a")
				serving := lasting("serving", 1)
				serving.Steps[0].TailTarget = tailTarget
				r.submit(o, serving)
				filler := submission("filler", 1)
				filler.Steps[0].Filler, filler.Steps[0].Estimate = true, time.Hour
				r.submit(o, filler)
				time.Sleep(2 * time.Second)
				r.Expect(r.longestHarm(20 * time.Second)).To(BeNumerically("<", harmTime))
				_, pace := r.fleet.TailOn(workerID(0))
				r.Expect(pace).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
				r.fleet.Set(workerID(0), func(w *standin.SimWorker) { w.Tail, w.Disturbance = 0, 0 })
				time.Sleep(15 * time.Second)
				_, pace = r.fleet.TailOn(workerID(0))
				r.Expect(pace).To(Equal(100))
				r.Expect(o.Cancel(r.ctx, "", tw.SubmissionID("filler"))).To(Succeed())
				r.kept()
			})
		})
	}
}

// longestHarm is the longest time without a break in which a filler worked
// while the tail beside it was over its target.
func (r *rig) longestHarm(watch time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	var longest, present time.Duration
	for range watch / step {
		time.Sleep(step)
		tail, pace := r.fleet.TailOn(workerID(0))
		present += step
		if tail <= tailTarget || pace == 0 {
			present = 0
		}
		longest = max(longest, present)
	}
	return longest
}
