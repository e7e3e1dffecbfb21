package run_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/run"
)

const (
	tailTarget = 100 * time.Millisecond
	// maxOverTarget is how long the platform lets fillers keep a tail latency over its target.
	maxOverTarget = 4 * time.Second
)

// paceCases are the tail latency of the serving subtask on a worker, what a filler at full pace
// adds to it, and the bounds, in percent, of the pace that the filler ends up with.
var paceCases = map[string]struct {
	tail, interference time.Duration
	minPace, maxPace   int
}{
	"a filler without effect":              {tail: 20 * time.Millisecond, minPace: 100, maxPace: 100},
	"a filler raises the tail over target": {tail: 20 * time.Millisecond, interference: 200 * time.Millisecond, maxPace: 40},
	"a filler raises the tail near target": {tail: 30 * time.Millisecond, interference: 65 * time.Millisecond, minPace: 1, maxPace: 95},
	"over the target without the filler":   {tail: 150 * time.Millisecond, interference: 10 * time.Millisecond},
	"far below the target at full pace":    {tail: 10 * time.Millisecond, interference: 40 * time.Millisecond, minPace: 100, maxPace: 100},
}

// TestFillersArePaced checks that a filler never keeps the tail latency of a serving subtask over
// the target for longer than the platform allows, and returns to full pace once it has no effect.
func TestFillersArePaced(t *testing.T) {
	for name, c := range paceCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				defer r.end()
				r.fleet.UpdateWorker(workerID(0), func(w *standin.SimWorker) { w.TailLatency, w.FillerInterference = c.tail, c.interference })
				o := r.newOwner("a")
				serving := longRunning("serving", 1)
				serving.Steps[0].TailTarget = tailTarget
				r.submit(o, serving)
				filler := submission("filler", 1)
				filler.Steps[0].Filler, filler.Steps[0].Estimate = true, time.Hour
				r.submit(o, filler)
				time.Sleep(2 * time.Second)
				r.Expect(r.longestOverTarget(20 * time.Second)).To(BeNumerically("<", maxOverTarget))
				_, pace := r.fleet.TailLatencyOn(workerID(0))
				r.Expect(pace).To(And(BeNumerically(">=", c.minPace), BeNumerically("<=", c.maxPace)))
				r.fleet.UpdateWorker(workerID(0), func(w *standin.SimWorker) { w.TailLatency, w.FillerInterference = 0, 0 })
				time.Sleep(15 * time.Second)
				_, pace = r.fleet.TailLatencyOn(workerID(0))
				r.Expect(pace).To(Equal(100))
				r.Expect(o.Cancel(r.ctx, "", tw.SubmissionID("filler"))).To(Succeed())
				r.expectNoViolations()
			})
		})
	}
}

// longestOverTarget is the longest continuous time for which a filler worked while the tail
// latency on its worker was over the target.
func (r *rig) longestOverTarget(watch time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	var longest, current time.Duration
	for range watch / step {
		time.Sleep(step)
		tail, pace := r.fleet.TailLatencyOn(workerID(0))
		current += step
		if tail <= tailTarget || pace == 0 {
			current = 0
		}
		longest = max(longest, current)
	}
	return longest
}

// startPaced starts a serving subtask and a filler that raises its tail latency over the target, and waits
// until the filler is paused.
func (r *rig) startPaced(o *run.Owner) {
	r.fleet.UpdateWorker(workerID(0), func(w *standin.SimWorker) {
		w.TailLatency, w.FillerInterference = 50*time.Millisecond, 2*time.Second
	})
	serving := longRunning("serving", 1)
	serving.Steps[0].TailTarget = tailTarget
	r.submit(o, serving)
	filler := submission("filler", 1)
	filler.Steps[0].Filler, filler.Steps[0].Estimate = true, time.Hour
	r.submit(o, filler)
	r.Eventually(r.fillerPace, time.Second, 10*time.Millisecond).Should(Equal(100))
	r.Eventually(r.fillerPace, 5*time.Second, 50*time.Millisecond).Should(BeZero())
}

func (r *rig) fillerPace() int {
	_, pace := r.fleet.TailLatencyOn(workerID(0))
	return pace
}

// TestPaceOfPreviousOwner checks that a filler that was paused by the previous owner works again under the
// next one, which does not know its pace.
func TestPaceOfPreviousOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.end()
		o := r.newOwner("a")
		r.startPaced(o)
		o.Close()
		r.fleet.UpdateWorker(workerID(0), func(w *standin.SimWorker) { w.TailLatency, w.FillerInterference = 0, 0 })
		r.newOwner("b")
		r.Eventually(r.fillerPace, 15*time.Second, 100*time.Millisecond).Should(Equal(100))
		r.expectNoViolations()
	})
}

// lateCopies executes the starts of fillers without answering them, and once more on request.
type lateCopies struct {
	*standin.Fleet
	filler tw.SubmissionID
	to     tw.WorkerRef
	order  tw.StartOrder
}

func (l *lateCopies) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	clock, err := l.Fleet.Start(ctx, to, order)
	if order.Subtask.Submission != l.filler {
		return clock, err
	}
	l.to, l.order = to, order
	<-ctx.Done()
	return 0, errors.Wrap(tw.ErrAmbiguous, ctx.Err().Error())
}

// TestPaceOnNextIncarnation checks that a filler that a late order has started on the next incarnation of
// its worker, at full pace, is slowed there like any other one.
func TestPaceOnNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.end()
		r.setStartTimes()
		orders := &lateCopies{Fleet: r.fleet, filler: "filler"}
		o := r.newOwnerWith("a", r.kv, orders)
		r.startPaced(o)
		entry := r.restart(0)
		r.fleet.UpdateWorker(workerID(0), func(w *standin.SimWorker) {
			w.TailLatency, w.FillerInterference = 50*time.Millisecond, 2*time.Second
		})
		_, err := r.fleet.Start(r.ctx, orders.to, orders.order)
		r.Expect(err).NotTo(HaveOccurred())
		r.relistWorker(o, entry)
		r.Expect(r.longestOverTarget(20 * time.Second)).To(BeNumerically("<", maxOverTarget))
		r.expectNoViolations()
	})
}
