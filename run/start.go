package run

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

// fullPace is the pace, in percent, at which a subtask starts.
const fullPace = 100

// nextRun is a run number that no owner has used.
func (o *Owner) nextRun() tw.RunNumber {
	o.runCounter++
	return o.runCounter
}

// start gives the order to start a subtask on a worker.
func (o *Owner) start(t *task, w *worker, run tw.RunNumber, ticket string) {
	r := &runState{
		task: t, run: run, w: w, phase: starting, claim: t.step.spec.Claim(),
		startedAt: o.now, movedAt: o.now, pace: fullPace, trial: t.suspect(), ahead: t.ahead,
		afterAnswer: o.now.Sub(w.clockAt),
	}
	sub := t.step.rep.sub
	order := tw.StartOrder{
		Subtask: t.id, Run: run, Spec: sub.Spec, Checkpoint: t.checkpoint(), Ticket: ticket,
		Deadline: w.clockNow(o.now).Add(o.bounds.MaxHold), Fence: o.self.Fence,
	}
	decided := o.now
	var sentAt, answeredAt time.Time // of the session, which hands them over with its report
	sent := w.session.give(workOrder{
		start: true,
		stale: func(now time.Time) bool { return r.withdrawn.Load() || now.Sub(decided) > startAge },
		send: func(ctx context.Context) (tw.WorkerClock, error) {
			r.sent.Store(true)
			sentAt = o.clock.Now()
			clock, err := o.orders.Start(ctx, w.session.ref, order)
			answeredAt = o.clock.Now()
			return clock, err
		},
		done: func(clock tw.WorkerClock, err error) {
			o.startSettled(r, sentAt, answeredAt, err)
			o.startAnswered(r, sentAt, clock, err)
		},
	})
	if !sent {
		o.metrics.started("queue full")
		return
	}
	r.pending = o.window.decided(o.now)
	w.starts++
	w.doubtUntil = o.now.Add(o.holdBound())
	t.trialFrom, t.ahead = time.Time{}, false
	t.runs = append(t.runs, r)
	w.add(r)
	if r.trial {
		w.session.interrupt() // a look that waits would tell late that it is outlasted
	}
	o.log.Info("run: ordered", zap.Stringer("subtask", t.id), zap.Int64("run", int64(run)),
		zap.String("worker", string(w.entry.ID)), zap.Duration("waited", o.now.Sub(t.step.rep.due)),
		zap.Duration("worker_seen", o.now.Sub(w.clockAt)))
}

// checkpoint is what a start goes on from. All members of a gang bring the
// same, which may be any member's.
func (t *task) checkpoint() tw.Checkpoint {
	if !t.step.spec.Gang {
		return t.saved
	}
	for _, member := range t.step.tasks {
		if member.saved != "" {
			return member.saved
		}
	}
	return ""
}

// startSettled notes what an order to start that has come to an end tells of how soon orders
// are sent and answered. sentAt is zero if it was not sent.
func (o *Owner) startSettled(r *runState, sentAt, answeredAt time.Time, err error) {
	w := r.w
	if w.starts >= o.window.perWorker(w.startTook) || o.window.holds(o.now) {
		o.placeSoon = true // there may be work that has waited for this
	}
	w.starts = max(0, w.starts-1)
	switch {
	case sentAt.IsZero() && !r.withdrawn.Load() && o.now.Sub(r.pending.decided) > startAge:
		o.window.outdated(o.now, r.pending)
	case sentAt.IsZero():
		o.window.release(r.pending)
	case !tw.Answered(err):
		o.window.unanswered(o.now, r.pending)
	default:
		took := answeredAt.Sub(sentAt)
		w.startTook = smooth(w.startTook, took)
		o.window.answered(o.now, r.pending, took)
		o.metrics.startQueued.Update(sentAt.Sub(r.pending.decided).Seconds())
		o.metrics.startAnswer.Update(took.Seconds())
	}
}

// startAnswered takes up the answer to the order to start.
func (o *Owner) startAnswered(r *runState, sentAt time.Time, clock tw.WorkerClock, err error) {
	w := r.w
	if o.workers[w.entry.ID] != w || w.runs[w.key(r)] != r {
		return // the run was given up meanwhile
	}
	var refused *tw.OrderRefused
	switch {
	case err == nil && w.startedOver(clock, sentAt):
		o.log.Info("worker: its clock has started anew", zap.String("worker", string(w.entry.ID)), zap.Stringer("subtask", r.task.id))
		o.startUnclear(r)
	case err == nil:
		o.metrics.started("started")
		w.heard(o.now, clock)
		r.seen(clock)
		o.confirmStart(r)
	case errors.As(err, &refused):
		o.startRefused(r, refused)
	case errors.Is(err, errNotSent):
		o.metrics.started("outdated")
		o.runGone(r, "outdated")
	case tw.SurelyNotDone(err):
		o.metrics.started("not sent")
		w.unheard(o.now)
		o.logStart(r, err)
		o.runGone(r, "not sent")
	default:
		o.metrics.started("unanswered")
		r.cutOff = !tw.TimedOut(err)
		o.logStart(r, err)
		o.startUnclear(r)
	}
}

// startUnclear notes that an order to start may have been carried out, or may be later; a look
// at once tells more.
func (o *Owner) startUnclear(r *runState) {
	w := r.w
	w.unheard(o.now)
	w.nextLook = o.now
	w.session.interrupt()
	if r.phase == starting {
		r.phase = unclear
		r.visibleFrom = o.lookSeq + 1
	}
}

func (o *Owner) logStart(r *runState, err error) {
	o.log.Info("run: start not confirmed", zap.Stringer("subtask", r.task.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(r.w.entry.ID)), logsink.Err(err))
}

// confirmStart notes that a run exists on its worker.
func (o *Owner) confirmStart(r *runState) {
	if r.phase != starting && r.phase != unclear {
		return
	}
	r.phase = running
	r.visibleFrom = o.lookSeq + 1
	sub := r.task.step.rep.sub
	if !sub.begun {
		o.metrics.toStart.Update(o.now.Sub(sub.Accepted).Seconds())
	}
	o.begin(sub)
	if r.w.nextLook.Before(r.w.lookedAt) {
		r.w.nextLook = o.now
	}
}

// startRefused handles an order that the worker surely did not carry out.
func (o *Owner) startRefused(r *runState, refused *tw.OrderRefused) {
	w := r.w
	r.sent.Store(false) // so it is not what ended the worker
	o.metrics.started(string(refused.Reason))
	o.logStart(r, refused)
	w.heard(o.now, refused.Clock)
	switch refused.Reason {
	case tw.RefusedFence:
		o.depose("a worker has a newer owner")
		return
	case tw.RefusedLife:
		o.bury(w, replaced)
		return
	case tw.RefusedRoom, tw.RefusedUnhealthy:
		w.roomFrom = o.now.Add(roomPause)
		w.nextLook = o.now
	case tw.RefusedTicket:
		o.advisor.invalidate(r.task.step)
	}
	o.runGone(r, "refused: "+string(refused.Reason))
}

// stop tells a worker to stop a run, or never to start it.
func (o *Owner) stop(r *runState, why string) {
	if r.phase == stopping || r.phase == blocked {
		return
	}
	r.withdrawn.Store(true)
	r.phase = stopping
	r.why = why
	o.metrics.stopped(why)
	o.log.Info("run: stopped", zap.Stringer("subtask", r.task.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(r.w.entry.ID)), zap.String("why", why), zap.Int("percent", r.percent))
	o.sendStop(r)
}

func (o *Owner) sendStop(r *runState) {
	w := r.w
	order := tw.StopOrder{Subtask: r.task.id, Run: r.run, Fence: o.self.Fence}
	r.orderedAt = o.now
	w.session.give(workOrder{
		send: func(ctx context.Context) (tw.WorkerClock, error) { return o.orders.Stop(ctx, w.session.ref, order) },
		done: func(clock tw.WorkerClock, err error) { o.stopAnswered(r, clock, err) },
	})
}

func (o *Owner) stopAnswered(r *runState, clock tw.WorkerClock, err error) {
	w := r.w
	if o.workers[w.entry.ID] != w || w.runs[w.key(r)] != r {
		return
	}
	switch {
	case err == nil, tw.RefusedFor(err, tw.RefusedOldRun):
		w.heard(o.now, clock)
		r.phase = blocked
		r.visibleFrom = o.lookSeq + 1
		w.nextLook = earlier(w.nextLook, o.now.Add(o.bounds.StopTime/2))
	case tw.RefusedFor(err, tw.RefusedFence):
		o.depose("a worker has a newer owner")
	case tw.RefusedFor(err, tw.RefusedLife):
		o.bury(w, replaced)
	default:
		var refused *tw.OrderRefused
		if !errors.As(err, &refused) {
			w.unheard(o.now)
		}
	}
}

// stopRetry is the pause after a stop that was not answered.
const stopRetry = 400 * time.Millisecond

// runGone forgets a run that certainly does not exist any more.
func (o *Owner) runGone(r *runState, why string) {
	r.w.remove(r)
	t := r.task
	o.uncount(r)
	t.drop(r)
	t.endedAt, t.lostAt = o.now, o.now
	o.log.Info("run: gone", zap.Stringer("subtask", t.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(r.w.entry.ID)), zap.String("why", why), zap.Stringer("phase", r.phase),
		zap.Duration("since_start", o.now.Sub(r.startedAt)), r.w.answerAge(o.now))
	o.writer.confirmAfter(o.now)
	o.placeSoon = true
	if t.step.spec.Gang {
		o.breakGang(t, r.run, why)
	}
}

// breakGang stops the other members of a gang's run.
func (o *Owner) breakGang(t *task, run tw.RunNumber, why string) {
	for _, member := range t.step.tasks {
		if r := member.find(run); r != nil && r.phase != starting {
			o.stop(r, "a member of its gang is gone: "+why)
		}
	}
}
