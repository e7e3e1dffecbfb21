package run

import (
	"time"

	"go.uber.org/zap"
)

const (
	// watchInterval is the time between two checks of the runs.
	watchInterval = 200 * time.Millisecond
	// stallTimeout is the time without progress, as seen by polls, after which a run has
	// stalled. The progress of a run of 1 s advances every 10 ms.
	stallTimeout = 1200 * time.Millisecond
)

// watchRuns handles runs that make no progress, repeats unanswered stops and moves long-running
// subtasks. It returns when to check again.
func (o *Owner) watchRuns() time.Time {
	next := o.now.Add(watchInterval)
	stopping, longest := 0, time.Duration(0)
	for _, w := range o.workers {
		for _, r := range w.runs {
			o.watchRun(w, r)
			if !r.stoppedAt.IsZero() {
				stopping++
				longest = max(longest, o.now.Sub(r.stoppedAt))
			}
		}
	}
	o.metrics.stoppingRuns.Set(float64(stopping))
	o.metrics.longestStop.Set(longest.Seconds())
	o.moveLongRunning()
	return next
}

func (o *Owner) watchRun(w *worker, r *runState) {
	if r.task.isPrecounted(r) && w.survived(r) {
		o.clearSuspect(r.task)
	}
	switch {
	case r.phase == stopping && !r.stopOpen && o.now.Sub(r.orderedAt) > stopRetry:
		if r.orderedAt.Equal(r.stoppedAt) {
			o.log.Info("run: stop not confirmed, ordered again", zap.Stringer("subtask", r.task.id), zap.Int64("run", int64(r.run)),
				zap.String("worker", string(w.entry.ID)), zap.String("why", r.stopReason), zap.Bool("silent", w.silent()), w.answerAgeField(o.now))
		}
		o.sendStop(r)
	case r.phase == running && !r.task.step.spec.LongRunning && !w.silent() && o.stalled(r):
		o.log.Info("run: stalled", zap.Stringer("subtask", r.task.id), zap.String("worker", string(w.entry.ID)),
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

// handleStall quarantines a worker on which a run has stalled, unless one of the same subtask has
// stalled on another worker.
func (o *Owner) handleStall(w *worker, t *task) {
	if t.lastStalledOn == "" || t.lastStalledOn == w.entry.ID {
		o.quarantine(w, stallQuarantineTime, "a run has stalled there")
	}
	t.lastStalledOn = w.entry.ID
}

// stalled reports whether a run has made no progress for far longer than it should.
func (o *Owner) stalled(r *runState) bool {
	sinceProgress := o.now.Sub(r.progressAt)
	return o.overdue(r) && sinceProgress > stallTimeout && r.w.polledAt.Sub(r.progressAt) > stallTimeout
}
