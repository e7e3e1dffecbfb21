package run

import (
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// An order without an answer may be carried out later, by whichever incarnation of the worker has the ID
// by then. What is under way therefore belongs to the ID: when a worker is removed, it is kept for the next
// one with the same ID.

// ordersUnderWay are the orders to a worker that was removed which may still be carried out.
type ordersUnderWay struct {
	starts []lateStart
	// runs are those of the starts that are not started elsewhere yet.
	runs []*runState
	// grantedAt is when an order that extends the deadline of runs was last sent.
	grantedAt time.Time
}

// maxOrderDelay is longer than the time after which an order without an answer may still be
// carried out.
const maxOrderDelay = 20 * time.Second

// returnTimeout is how long a subtask is not started elsewhere while its worker, which has an order to start it
// that may still be carried out, is taken for ended without proof. Restarts take up to some seconds, and work
// of a worker that is lost for good must not wait longer.
const returnTimeout = 4 * time.Second

// mayStartOnReturn reports whether the next worker with the ID of one that is taken for ended may start a run.
func (o *Owner) mayStartOnReturn(r *runState, end termination) bool {
	if end.proven || r.w.startTime == 0 && r.doubtUntil.IsZero() || !r.startOpen || o.now.Sub(r.startedAt) > maxOrderDelay {
		return false
	}
	if r.doubtUntil.IsZero() {
		r.doubtUntil = o.now.Add(returnTimeout)
	}
	return o.now.Before(r.doubtUntil)
}

// keepInDoubt keeps a run of a removed worker for the next one with its ID.
func (o *Owner) keepInDoubt(r *runState) {
	underWay := o.underWay[r.w.entry.ID]
	underWay.runs = append(underWay.runs, r)
	o.underWay[r.w.entry.ID] = underWay
	if record, ended := o.terminated[r.w.entry.ID]; ended {
		record.askAt = o.now.Add(pollRetryDelay) // the sooner it is told what not to start, the better
		o.terminated[r.w.entry.ID] = record
	}
	o.log.Info("run: in doubt, its worker may come back", zap.Stringer("subtask", r.task.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(r.w.entry.ID)), r.w.incarnationField(), zap.Stringer("phase", r.phase),
		zap.Duration("since_start", o.now.Sub(r.startedAt)), zap.Duration("for", r.doubtUntil.Sub(o.now)))
}

// endDoubts gives up the runs whose workers have not come back. It returns when the next one is due.
func (o *Owner) endDoubts() time.Time {
	var next time.Time
	for id, underWay := range o.underWay {
		var kept []*runState
		for _, r := range underWay.runs {
			if o.now.Before(r.doubtUntil) {
				kept = append(kept, r)
				next = earlier(next, r.doubtUntil)
				continue
			}
			o.runGone(r, "its worker has ended")
		}
		underWay.runs = kept
		o.underWay[id] = underWay
	}
	return next
}

// keepOrdersUnderWay keeps what is under way to a removed worker for the next one with its ID.
func (o *Owner) keepOrdersUnderWay(w *worker) {
	o.underWay[w.entry.ID] = ordersUnderWay{starts: w.startsUnderWay(o.now), grantedAt: w.grantedAt}
}

// takeOrdersUnderWay returns what is under way to a worker that is added.
func (o *Owner) takeOrdersUnderWay(id tw.WorkerID) ordersUnderWay {
	underWay := o.underWay[id]
	delete(o.underWay, id)
	return underWay
}

// dropOldOrders forgets the orders that are not carried out any more.
func (o *Owner) dropOldOrders() {
	for id, underWay := range o.underWay {
		if len(underWay.runs) == 0 && o.now.Sub(underWay.grantedAt) > maxOrderDelay {
			delete(o.underWay, id)
		}
	}
}
