package standin_test

import (
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
