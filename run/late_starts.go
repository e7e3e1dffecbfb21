package run

import (
	"slices"
	"time"
)

// lateStart is a run that was ordered several times. A copy of the order that has no answer may still
// reach the worker.
type lateStart struct {
	key     runKey
	orderAt time.Time
}

// maxOrderDelay is longer than the time after which an order without an answer may still be
// carried out.
const maxOrderDelay = 20 * time.Second

// noteLateStart remembers a run if a copy of its start may still come. The incarnation that was
// given the order refuses the copy or has the run, but where the next one has the same ID it would
// start the run again.
func (w *worker) noteLateStart(r *runState, now time.Time) {
	if w.startTime == 0 || !r.startOpen {
		return
	}
	w.lateStarts = slices.DeleteFunc(w.lateStarts, func(l lateStart) bool { return now.Sub(l.orderAt) > maxOrderDelay })
	w.lateStarts = append(w.lateStarts, lateStart{key: w.key(r), orderAt: r.startedAt})
}

// startsUnderWay returns the runs that orders may still start on a worker of which the end is not proven.
func (w *worker) startsUnderWay() []lateStart {
	out := slices.Clone(w.lateStarts)
	for key, r := range w.runs {
		if r.sent.Load() && r.firstSeen == 0 {
			out = append(out, lateStart{key: key, orderAt: r.startedAt})
		}
	}
	return out
}

// forbidLateStarts stops, in advance, the runs that late orders could start on a worker: the next
// incarnation, or one that was wrongly taken for ended. Those that are still expected to run are not
// among them.
func (o *Owner) forbidLateStarts(late []lateStart, w *worker) {
	for _, l := range late {
		if o.now.Sub(l.orderAt) > maxOrderDelay {
			continue
		}
		w.lateStarts = append(w.lateStarts, l)
		if w.runs[l.key] != nil {
			continue
		}
		t := orphanTask(l.key.task, o.submissions[l.key.task.Submission])
		r := &runState{task: t, run: l.key.run, w: w, phase: running, startedAt: l.orderAt, progressAt: o.now, pace: fullPace}
		t.addRun(r)
		w.add(r)
		o.stop(r, "a late order could start it")
	}
}
