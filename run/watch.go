package run

import (
	"time"

	"go.uber.org/zap"
)

const (
	// watchInterval is the pace at which runs are watched.
	watchInterval = 200 * time.Millisecond
	// stallTimeout: the worker's progress report of a run of a second moves
	// every 10 ms; nothing for so long, seen by looks, is a standstill.
	stallTimeout = 1200 * time.Millisecond
)

// watchRuns resolves runs that do not go on, and returns when to watch again.
func (o *Owner) watchRuns() time.Time {
	next := o.now.Add(watchInterval)
	for _, w := range o.workers {
		for _, r := range w.runs {
			o.watchRun(w, r)
		}
	}
	o.moveLasting()
	return next
}

func (o *Owner) watchRun(w *worker, r *runState) {
	if r.precounted && w.survived(r) {
		o.clearSuspect(r.task)
	}
	switch {
	case r.phase == stopping && o.now.Sub(r.orderedAt) > stopRetry:
		o.sendStop(r)
	case r.phase == running && !r.task.step.spec.LongRunning && w.unanswered == 0 && o.stalled(r):
		o.log.Info("run: stands still", zap.Stringer("subtask", r.task.id), zap.String("worker", string(w.entry.ID)),
			zap.Int("percent", r.percent), zap.Duration("since", o.now.Sub(r.progressAt)))
		o.handleStall(w, r.task)
		if o.wantsCopy(r.task) {
			o.placeRequested = true
			return
		}
		if !r.task.step.spec.AllowCopies {
			o.stop(r, "it stands still")
		}
	}
}

// handleStall shuns a worker on which a run stands still, unless one of the same subtask
// has done so elsewhere.
func (o *Owner) handleStall(w *worker, t *task) {
	if t.lastStalledOn == "" || t.lastStalledOn == w.entry.ID {
		o.quarantine(w, stallQuarantineTime, "a run stands still there")
	}
	t.lastStalledOn = w.entry.ID
}

// stalled tells whether a run made no progress for far longer than it should.
func (o *Owner) stalled(r *runState) bool {
	still := o.now.Sub(r.progressAt)
	return o.overdue(r) && still > stallTimeout && r.w.polledAt.Sub(r.progressAt) > stallTimeout
}
