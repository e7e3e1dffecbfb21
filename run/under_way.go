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
	// inheritedUntil is until when the next worker with the ID is expected to carry out an order of the
	// previous owner; zero if it is not. capacity is what it may use for that.
	inheritedUntil time.Time
	capacity       tw.Resources
}

// maxOrderDelay is longer than the time after which an order without an answer may still be
// carried out.
const maxOrderDelay = 20 * time.Second

// returnTimeout is how long a subtask is not started elsewhere while its worker, which has an order to start it
// that may still be carried out, is taken for ended without proof. Restarts take up to some seconds, and work
// of a worker that is lost for good must not wait longer. Once a worker with the ID is listed as running, its
// answer is waited for, as for that of any worker.
const returnTimeout = 4 * time.Second

// mayStartOnReturn reports whether the next worker with the ID of one that is taken for ended may start a run.
func (o *Owner) mayStartOnReturn(r *runState, end termination) bool {
	idsAreReused := r.w.startTime != 0 || !r.doubtUntil.IsZero()
	mayComeLate := r.startOpen && o.now.Sub(r.startedAt) <= maxOrderDelay
	waitIsOver := !r.doubtUntil.IsZero() && !o.now.Before(r.doubtUntil)
	return end.mayReturn && idsAreReused && mayComeLate && !waitIsOver
}

// lateStartExpiresAt returns until when a run may last on a silent worker if its next incarnation carries out the
// order to start it; zero if it can't.
func (o *Owner) lateStartExpiresAt(r *runState) time.Time {
	if r.w.startTime == 0 || !r.startOpen {
		return time.Time{}
	}
	return r.startedAt.Add(maxOrderDelay + o.maxHoldTime())
}

// keepInDoubt keeps a run of a removed worker for the next one with its ID.
func (o *Owner) keepInDoubt(r *runState) {
	if r.doubtUntil.IsZero() {
		r.doubtUntil = o.now.Add(returnTimeout)
	}
	underWay := o.underWay[r.w.entry.ID]
	underWay.runs = append(underWay.runs, r)
	o.underWay[r.w.entry.ID] = underWay
	o.askSoon(r.w.entry.ID)
	o.log.Info("run: in doubt, its worker may come back", zap.Stringer("subtask", r.task.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(r.w.entry.ID)), r.w.incarnationField(), zap.Stringer("phase", r.phase),
		zap.Duration("since_start", o.now.Sub(r.startedAt)), zap.Duration("for", r.doubtUntil.Sub(o.now)))
}

// keepInheritedInDoubt has inherited work wait for the next worker with the ID of one that was taken for ended
// without proof and has never answered this owner: the previous one may have ordered it to start something.
func (o *Owner) keepInheritedInDoubt(w *worker, end termination) {
	if !end.mayReturn || !w.mayHaveInheritedRuns || w.entry.StartTime == 0 {
		return
	}
	until := o.now.Add(returnTimeout)
	if w.inheritedExpireAt.Before(until) {
		until = w.inheritedExpireAt
	}
	underWay := o.underWay[w.entry.ID]
	underWay.inheritedUntil, underWay.capacity = until, w.entry.Capacity
	o.underWay[w.entry.ID] = underWay
	o.askSoon(w.entry.ID)
}

// askSoon has a worker that was taken for ended asked soon whether it has: the sooner it is told what not to
// start, the better.
func (o *Owner) askSoon(id tw.WorkerID) {
	if record, ended := o.terminated[id]; ended {
		record.askAt = o.now.Add(pollRetryDelay)
		o.terminated[id] = record
	}
}

// inheritedInDoubt reports whether inherited work waits for a worker that was taken for ended.
func (o *Owner) inheritedInDoubt() bool {
	for _, underWay := range o.underWay {
		if !underWay.inheritedUntil.IsZero() {
			return true
		}
	}
	return false
}

// endDoubts gives up the runs whose workers have not come back. It returns when the next one is due.
func (o *Owner) endDoubts() time.Time {
	var next time.Time
	for id, underWay := range o.underWay {
		if until := underWay.inheritedUntil; !until.IsZero() && !o.now.Before(until) {
			underWay.inheritedUntil = time.Time{}
			o.placeRequested = true
		}
		next = earlier(next, underWay.inheritedUntil)
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

// takeOrdersUnderWay returns what is under way to a worker that is added. known reports whether one with its ID
// was removed before.
func (o *Owner) takeOrdersUnderWay(id tw.WorkerID) (underWay ordersUnderWay, known bool) {
	underWay, known = o.underWay[id]
	delete(o.underWay, id)
	return underWay, known
}

// dropOldOrders forgets the orders that are not carried out any more.
func (o *Owner) dropOldOrders() {
	for id, underWay := range o.underWay {
		if len(underWay.runs) == 0 && underWay.inheritedUntil.IsZero() && o.now.Sub(underWay.grantedAt) > maxOrderDelay {
			delete(o.underWay, id)
		}
	}
}
