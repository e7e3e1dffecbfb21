package run

import (
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// lateStart is a run of which an order to start it may still reach the worker, because the order or a copy
// of it has no answer.
type lateStart struct {
	key     runKey
	orderAt time.Time
	// refusedBy is the incarnation that refuses the order, as it has or had the run; zero if none is known
	// to.
	refusedBy tw.WorkerStartTime
}

// noteLateStart remembers a run if a copy of its start may still come. The incarnation that was
// given the order refuses the copy or has the run, but where the next one has the same ID it would
// start the run again.
func (w *worker) noteLateStart(r *runState, now time.Time) {
	if w.startTime == 0 || !r.startOpen {
		return
	}
	w.lateStarts = append(recentStarts(w.lateStarts, now), lateStart{key: w.key(r), orderAt: r.startedAt})
}

// recentStarts returns the starts that may still come.
func recentStarts(starts []lateStart, now time.Time) []lateStart {
	return slices.DeleteFunc(starts, func(l lateStart) bool { return now.Sub(l.orderAt) > maxOrderDelay })
}

// startsUnderWay returns the runs that orders may still start on a worker with the ID of this one. Of runs that
// a previous owner has ordered it is not known whether a copy of the order is under way.
func (w *worker) startsUnderWay(now time.Time) []lateStart {
	var out []lateStart
	for _, l := range w.lateStarts {
		if r := w.runs[l.key]; r == nil || r.reported {
			l.refusedBy = w.startTime
		}
		out = append(out, l)
	}
	out = append(out, w.unforbidden...)
	for key, r := range w.runs {
		ordered := r.sent.Load() && (r.startOpen || r.pending == nil)
		if !ordered || r.reported && w.startTime == 0 || slices.ContainsFunc(out, func(l lateStart) bool { return l.key == key }) {
			continue
		}
		l := lateStart{key: key, orderAt: r.startedAt}
		if r.reported {
			l.refusedBy = w.startTime
		}
		out = append(out, l)
	}
	return recentStarts(out, now)
}

// forbidLateStarts stops, in advance, the runs that late orders could start on a worker that has answered: the
// next incarnation, or one that was wrongly taken for ended. The placeholders for them take no capacity unless a
// report lists them (chargeLateStart).
func (o *Owner) forbidLateStarts(w *worker) {
	late := recentStarts(w.unforbidden, o.now)
	w.unforbidden = nil
	for _, l := range late {
		w.lateStarts = append(w.lateStarts, l)
		if w.runs[l.key] != nil || l.refusedBy != 0 && l.refusedBy == w.startTime {
			continue
		}
		t := orphanTask(l.key.task, o.submissions[l.key.task.Submission])
		r := &runState{task: t, run: l.key.run, w: w, phase: running, startedAt: l.orderAt, progressAt: o.now, pace: fullPace}
		t.addRun(r)
		w.add(r)
		o.stop(r, "a late order could start it")
	}
}
