package run

import (
	"maps"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// unclaimedEnd is an end of a run whose submission is not known here.
type unclaimedEnd struct {
	w     *worker
	end   tw.EndedSubtask
	since time.Time
}

const (
	// maxUnclaimed bounds the submissions of which ends are kept: more than
	// a pool of hundreds of workers runs at a time.
	maxUnclaimed = 2000
	// unclaimedTTL is how long ends are kept once there are so many: a
	// submission that was kept without the owner is in its inbox, which is
	// read within seconds once the store answers.
	unclaimedTTL = time.Minute
)

// claimRuns gives a submission the runs of it that were taken for strays,
// because its workers told of them before the store did. They were told to
// stop; until they have, they must not be started elsewhere.
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
			r.claim = t.step.spec.Reservation()
			w.add(r)
			t.runs = append(t.runs, r)
			o.markBegun(sub)
			o.log.Info("run: its submission is known now", zap.Stringer("subtask", t.id), zap.Int64("run", int64(r.run)),
				zap.String("worker", string(w.entry.ID)))
		}
	}
}

// keepUnclaimedEnd keeps an end for the case that its submission is taken up later.
func (o *Owner) keepUnclaimedEnd(w *worker, e tw.EndedSubtask) {
	if len(o.unclaimed) >= maxUnclaimed {
		maps.DeleteFunc(o.unclaimed, func(_ tw.SubmissionID, ends []unclaimedEnd) bool {
			return o.now.Sub(ends[len(ends)-1].since) > unclaimedTTL
		})
	}
	id := e.Subtask.Submission
	if o.unclaimed[id] == nil && len(o.unclaimed) >= maxUnclaimed {
		o.log.Warn("run: end of an unknown submission not kept, there are too many", zap.Stringer("subtask", e.Subtask))
		return
	}
	o.unclaimed[id] = append(o.unclaimed[id], unclaimedEnd{w: w, end: e, since: o.now})
}

// claimEnds applies the ends that were seen before the submission was known.
func (o *Owner) claimEnds(sub *submission) {
	ends := o.unclaimed[sub.ID]
	delete(o.unclaimed, sub.ID)
	for _, kept := range ends {
		if t := o.taskOf(sub, kept.end.Subtask); t != nil {
			o.applyEnd(kept.w, t, kept.end)
		}
	}
}
