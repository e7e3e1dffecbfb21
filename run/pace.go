package run

import (
	"context"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// tailHighWater is the fraction of a target tail latency above which fillers on the same
	// worker are slowed, tailLowWater the fraction below which they may speed up.
	tailHighWater = 0.9
	tailLowWater  = 0.6
	// paceDecreaseFactor is the factor by which one step slows a filler. paceIncrease is what one
	// step of speeding up adds, in percent.
	paceDecreaseFactor = 0.5
	paceIncrease       = 15
	// minPace is the pace in percent below which a filler is paused.
	minPace = 15
	// paceInterval is the minimum time between two changes of a filler's pace. Tail latencies are
	// measured over half a second.
	paceInterval = 700 * time.Millisecond
)

// paceFillers slows the fillers on a worker while the tail latency of a subtask there is near its
// target, and speeds them up again when it is well below.
func (o *Owner) paceFillers(w *worker) {
	worstRatio := 0.0
	for _, r := range w.runs {
		target := r.task.step.spec.TailTarget
		if target == 0 || r.phase != running {
			continue
		}
		worstRatio = max(worstRatio, float64(r.tailLatency)/float64(target))
	}
	for _, r := range w.runs {
		if r.task.step.spec.Filler && r.phase == running && o.now.Sub(r.orderedAt) >= paceInterval {
			o.adjustPace(w, r, worstRatio)
		}
	}
}

func (o *Owner) adjustPace(w *worker, filler *runState, worstRatio float64) {
	pace := max(0, filler.pace)
	switch {
	case worstRatio >= 1:
		pace = 0
	case worstRatio > tailHighWater:
		pace = int(paceDecreaseFactor * float64(pace))
		if pace < minPace {
			pace = 0
		}
	case filler.pace == paceInherited && worstRatio >= tailLowWater:
		return // it is neither to be slowed nor to speed up, whatever its pace is
	case filler.pace == paceInherited:
		pace = fullPace
	case worstRatio < tailLowWater:
		pace = min(fullPace, pace+paceIncrease)
	}
	if pace == filler.pace {
		return
	}
	filler.pace = pace
	filler.orderedAt = o.now
	o.log.Info("run: paced", zap.Stringer("subtask", filler.task.id), zap.String("worker", string(w.entry.ID)),
		zap.Int("percent", pace), zap.Float64("worst_tail_of_target", worstRatio))
	o.sendPace(w, filler, pace)
}

// sendPace orders a filler's pace. If the order fails, the next adjustment counts from a pace of
// zero and sends another order.
func (o *Owner) sendPace(w *worker, r *runState, percent int) {
	order := tw.PaceOrder{Subtask: r.task.id, Run: r.run, Percent: percent, Fence: o.self.Fence}
	session := w.session
	session.enqueue(workOrder{
		subtask: r.task.id,
		send:    func(ctx context.Context) (tw.WorkerTime, error) { return o.orders.Pace(ctx, session.ref, order) },
		done: func(result orderResult, err error) {
			switch {
			case r.w != w:
				// Its next incarnation starts runs at full pace.
			case w.session != session:
				r.pace = paceUnknown
			case err == nil && !o.noteOrderAnswer(w, result.clock, result.sentAt):
				r.pace = paceUnknown
			case err == nil:
			case tw.RefusedFor(err, tw.RefusedStaleFence):
				o.loseOwnership("a worker has a newer owner")
			default:
				r.pace = paceUnknown
			}
		},
	})
}

const (
	// paceUnknown differs from every pace, so that the next adjustment sends an order.
	paceUnknown = -1
	// paceInherited is the pace of a run that another owner has started. Most fillers work at full
	// pace, so it is not raised step by step.
	paceInherited = -2
)
