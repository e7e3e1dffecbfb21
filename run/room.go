package run

import (
	"time"

	"github.com/tamarindworks/tamarindworks/schedule"
)

// roomShortTime is how long after a placement pass that left work waiting a pool counts as full.
// While work waits, passes follow each other sooner than this.
const roomShortTime = 500 * time.Millisecond

// noteRoom notes whether a placement pass left work waiting for lack of capacity alone. Long-running
// work and fillers are left out: they may wait for long, and few ends release what they need.
func (o *Owner) noteRoom(groups []*schedule.Group, placements []schedule.Placement) {
	placed := map[*step]int{}
	for _, p := range placements {
		placed[o.submissions[p.Subtask.Submission].task(p.Subtask).step]++
	}
	for _, g := range groups {
		if g.Step.LongRunning || g.Step.Filler || g.Constrained() {
			continue
		}
		st := o.submissions[g.Subtasks[0].Submission].task(g.Subtasks[0]).step
		placed[st] -= len(g.Subtasks) - g.Withheld
		if placed[st] < 0 {
			o.roomShortAt = o.now
			return
		}
	}
}

// roomShort reports whether work has waited of late for capacity that ends release. An owner that
// is short of processor time or link bandwidth has capacity that it can't use.
func (o *Owner) roomShort() bool {
	return !o.roomShortAt.IsZero() && o.now.Sub(o.roomShortAt) < roomShortTime && !o.window.busy(o.now)
}

// noteLag records how long an answer has waited to be handled, from which the owner knows whether it
// keeps up. arrived is zero if there was no answer.
func (o *Owner) noteLag(arrived time.Time) {
	before := o.window.lag.busy
	o.window.lag.note(o.now, arrived)
	if busy := o.window.lag.busy; busy != before {
		o.hedge.setBusy(busy)
		if busy {
			o.logShort()
		}
	}
}
