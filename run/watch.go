package run

import (
	"time"

	"go.uber.org/zap"
)

const (
	// watchEvery is the pace at which runs are watched.
	watchEvery = 200 * time.Millisecond
	// stuckAfter: the worker's progress report of a run of a second moves
	// every 10 ms; nothing for so long, seen by looks, is a standstill.
	stuckAfter = 1200 * time.Millisecond
)

// watchRuns resolves runs that do not go on, and returns when to watch again.
func (o *Owner) watchRuns() time.Time {
	next := o.now.Add(watchEvery)
	for _, w := range o.workers {
		for _, r := range w.runs {
			o.watchRun(w, r)
		}
	}
	o.moveLasting()
	return next
}

func (o *Owner) watchRun(w *worker, r *runState) {
	if r.ahead && w.outlasted(r) {
		o.exonerate(r.task)
	}
	switch {
	case r.phase == stopping && o.now.Sub(r.orderedAt) > stopRetry:
		o.sendStop(r)
	case r.phase == running && !r.task.step.spec.Lasting && w.unanswered == 0 && o.stuck(r):
		o.log.Info("run: stands still", zap.Stringer("subtask", r.task.id), zap.String("worker", string(w.entry.ID)),
			zap.Int("percent", r.percent), zap.Duration("since", o.now.Sub(r.movedAt)))
		o.judgeStuck(w, r.task)
		if o.wantsCopy(r.task) {
			o.placeSoon = true
			return
		}
		if !r.task.step.spec.Copies {
			o.stop(r, "it stands still")
		}
	}
}

// judgeStuck shuns a worker on which a run stands still, unless one of the same subtask
// has done so elsewhere.
func (o *Owner) judgeStuck(w *worker, t *task) {
	if t.stuckOn == "" || t.stuckOn == w.entry.ID {
		o.shun(w, shunStuck, "a run stands still there")
	}
	t.stuckOn = w.entry.ID
}

// stuck tells whether a run made no progress for far longer than it should.
func (o *Owner) stuck(r *runState) bool {
	still := o.now.Sub(r.movedAt)
	return o.overdue(r) && still > stuckAfter && r.w.lookedAt.Sub(r.movedAt) > stuckAfter
}
