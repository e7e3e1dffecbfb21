package run

import (
	"maps"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// unclaimedEnd is the end of a run whose submission is not known to this owner.
type unclaimedEnd struct {
	w     *worker
	end   tw.EndedSubtask
	since time.Time
}

const (
	// maxUnclaimed bounds the submissions of which ends are kept: more than a pool of hundreds of
	// workers runs at a time.
	maxUnclaimed = 2000
	// unclaimedTTL is how long ends are kept once the bound is reached. A submission that was
	// accepted without the owner is in its inbox, which is read within seconds once the store
	// answers.
	unclaimedTTL = time.Minute
)

// claimRuns assigns to a submission its runs that were reported by workers before the submission
// was read from the store. They were treated as unknown and ordered to stop; until they have
// stopped, their subtasks must not be started elsewhere.
func (o *Owner) claimRuns(sub *submission) {
	for _, w := range o.workers {
		for _, r := range w.runs {
			if r.task.id.Submission != sub.ID || r.task.step.rep.sub == sub {
				continue
			}
			t := o.taskOf(sub, r.task.id)
			if t == nil {
				continue
			}
			w.remove(r)
			r.task = t
			r.reservation = t.step.spec.Reservation()
			w.add(r)
			t.addRun(r)
			o.markBegun(sub)
			o.log.Info("run: assigned to its submission, which is now known", zap.Stringer("subtask", t.id), zap.Int64("run", int64(r.run)),
				zap.String("worker", string(w.entry.ID)))
		}
	}
}

// keepUnclaimedEnd keeps an end in case its submission is read later.
func (o *Owner) keepUnclaimedEnd(w *worker, e tw.EndedSubtask) {
	if len(o.unclaimed) >= maxUnclaimed {
		maps.DeleteFunc(o.unclaimed, func(_ tw.SubmissionID, ends []unclaimedEnd) bool {
			return o.now.Sub(ends[len(ends)-1].since) > unclaimedTTL
		})
	}
	id := e.Subtask.Submission
	if o.unclaimed[id] == nil && len(o.unclaimed) >= maxUnclaimed {
		o.log.Warn("run: end of an unknown submission dropped, too many are kept", zap.Stringer("subtask", e.Subtask))
		return
	}
	o.unclaimed[id] = append(o.unclaimed[id], unclaimedEnd{w: w, end: e, since: o.now})
}

// claimEnds applies the ends that were reported before the submission was known.
func (o *Owner) claimEnds(sub *submission) {
	ends := o.unclaimed[sub.ID]
	delete(o.unclaimed, sub.ID)
	for _, unclaimed := range ends {
		if t := o.taskOf(sub, unclaimed.end.Subtask); t != nil {
			o.applyEnd(unclaimed.w, t, unclaimed.end)
		}
	}
}

// chargeLateStart charges a run that was to be stopped before it starts, and that has started, with its resources, or
// with the whole worker where they are unknown.
func (o *Owner) chargeLateStart(w *worker, r *runState) {
	if r.pending != nil || r.reservation != (tw.Resources{}) {
		return
	}
	reservation := w.entry.Capacity
	if sub := o.submissions[r.task.id.Submission]; sub != nil {
		if t := o.taskOf(sub, r.task.id); t != nil {
			reservation = t.step.spec.Reservation()
		}
	}
	w.remove(r)
	r.reservation = reservation
	w.add(r)
}
