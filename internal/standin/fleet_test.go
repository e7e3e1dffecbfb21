package standin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

// Guards against a check that looks for a second run only when an end is acknowledged. Such
// a check misses work that was restarted after it was done: a subtask is done on one worker,
// is started and stopped on another, and only then is the first worker's end acknowledged.
func TestFleetDetectsRestartAfterDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := standin.FleetConfig{MaxHold: 6 * time.Second, StopTime: 100 * time.Millisecond}.New()
		s := &tw.Submission{ID: "s1", Steps: []tw.Step{{Count: 1, Estimate: time.Second}}}
		fleet.RegisterSubmission(s, nil)
		id := tw.SubtaskID{Submission: "s1"}
		refs := make([]tw.WorkerRef, 2)
		for n, worker := range []tw.WorkerID{"w0", "w1"} {
			refs[n] = tw.WorkerRef{ID: worker, Address: string(worker)}
			fleet.Add(tw.WorkerEntry{ID: worker, Address: refs[n].Address})
		}
		start := func(n int, run tw.RunNumber) {
			hold, err := fleet.Hold(t.Context(), refs[n], tw.HoldOrder{})
			g.Expect(err).NotTo(HaveOccurred())
			_, err = fleet.Start(t.Context(), refs[n], tw.StartOrder{Subtask: id, Run: run, Deadline: hold.Clock.Add(5 * time.Second)})
			g.Expect(err).NotTo(HaveOccurred())
		}
		start(0, 1)
		time.Sleep(1500 * time.Millisecond)
		start(1, 2)
		_, err := fleet.Stop(t.Context(), refs[1], tw.StopOrder{Subtask: id, Run: 2})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(500 * time.Millisecond)
		g.Expect(fleet.SubtaskRuns(id)).To(BeZero())
		_, err = fleet.Hold(t.Context(), refs[0], tw.HoldOrder{AckedSequence: 1})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fleet.Violations()).To(ContainElement(HavePrefix("TWICE")))
	})
}

// cancelledRuns are what happens to a run after the cancel of its submission was confirmed, and whether
// it breaks a rule that it goes on.
var cancelledRuns = map[string]struct {
	after  func(ctx context.Context, fleet *standin.Fleet, ref tw.WorkerRef)
	broken bool
}{
	"nobody stops it": {after: func(context.Context, *standin.Fleet, tw.WorkerRef) {}, broken: true},
	"it is stopped": {after: func(ctx context.Context, fleet *standin.Fleet, ref tw.WorkerRef) {
		_, _ = fleet.Stop(ctx, ref, tw.StopOrder{Subtask: tw.SubtaskID{Submission: "s1"}, Run: 1})
	}},
	"its worker answers nothing": {after: func(_ context.Context, fleet *standin.Fleet, ref tw.WorkerRef) {
		fleet.UpdateWorker(ref.ID, func(w *standin.SimWorker) { w.Silent = true })
	}},
	"the store has faults": {after: func(_ context.Context, fleet *standin.Fleet, _ tw.WorkerRef) { fleet.SetStoreFaulty(true) }},
}

// TestFleetDetectsRunsAfterTheirCancel guards against a check of cancels that sees only starts.
func TestFleetDetectsRunsAfterTheirCancel(t *testing.T) {
	for name, c := range cancelledRuns {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				fleet := standin.FleetConfig{MaxHold: 20 * time.Second, StopTime: 100 * time.Millisecond}.New()
				fleet.RegisterSubmission(&tw.Submission{ID: "s1", Steps: []tw.Step{{Count: 1, Estimate: 10 * time.Second}}}, nil)
				ref := tw.WorkerRef{ID: "w0", Address: "w0"}
				fleet.Add(tw.WorkerEntry{ID: ref.ID, Address: ref.Address})
				hold, err := fleet.Hold(t.Context(), ref, tw.HoldOrder{})
				g.Expect(err).NotTo(HaveOccurred())
				_, err = fleet.Start(t.Context(), ref, tw.StartOrder{Subtask: tw.SubtaskID{Submission: "s1"}, Run: 1, Deadline: hold.Clock.Add(15 * time.Second)})
				g.Expect(err).NotTo(HaveOccurred())
				fleet.NoteCancelled("s1")
				c.after(t.Context(), fleet, ref)
				time.Sleep(3 * time.Second)
				g.Expect(fleet.Violations()).To(BeEmpty())
				time.Sleep(time.Second)
				if c.broken {
					g.Expect(fleet.Violations()).To(ConsistOf(HavePrefix("UNASKED")))
				} else {
					g.Expect(fleet.Violations()).To(BeEmpty())
				}
			})
		})
	}
}
