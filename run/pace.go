package run

import (
	"context"

	tw "github.com/tamarindworks/tamarindworks"
)

// sendPace orders a filler's pace. An order that is not answered is repeated
// by the next adjustment.
func (o *Owner) sendPace(w *worker, r *runState, percent int) {
	order := tw.PaceOrder{Subtask: r.task.id, Run: r.run, Percent: percent, Fence: o.self.Fence}
	w.session.give(workOrder{
		send: func(ctx context.Context) (tw.WorkerClock, error) { return o.orders.Pace(ctx, w.session.ref, order) },
		done: func(clock tw.WorkerClock, err error) {
			switch {
			case err == nil:
				w.heard(o.now, clock)
			case tw.RefusedFor(err, tw.RefusedFence):
				o.depose("a worker has a newer owner")
			default:
				r.pace = paceUnknown
			}
		},
	})
}

// paceUnknown is no pace, so that the next adjustment gives an order.
const paceUnknown = -1
