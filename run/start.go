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

// nextRun returns a run number that no owner has used.
func (o *Owner) nextRun() tw.RunNumber {
	o.runCounter++
	return o.runCounter
}

// order orders the worker of a placed run to start it.
func (o *Owner) order(r *runState) {
	t, w := r.task, r.w
	sub := t.step.rep.sub
	order := tw.StartOrder{
		Subtask: t.id, Run: r.run, Spec: sub.Spec, Checkpoint: t.checkpoint(), Ticket: o.advisor.ticket(t.step, w.entry.ID),
		Deadline: w.estimateClock(o.now).Add(o.bounds.MaxHold), Fence: o.self.Fence,
	}
	r.sinceLastAnswer, r.resumed = o.now.Sub(w.clockAt), order.Checkpoint != ""
	orderedAt, session := o.now, w.session
	queued := session.enqueue(workOrder{
		subtask: t.id, isStart: true,
		repeatable: o.repeatable(r),
		stale:      func(now time.Time) bool { return r.withdrawn.Load() || now.Sub(orderedAt) > maxStartAge },
		send: func(ctx context.Context) (tw.WorkerTime, error) {
			r.sent.Store(true)
			return o.orders.Start(ctx, session.ref, order)
		},
		done: func(result orderResult, err error) {
			o.noteOrder(r, result)
			o.startFinished(w, r, result)
			if r.w == w && w.session == session {
				// Else nothing tells whether the next incarnation has answered.
				o.startAnswered(r, result, err)
			}
		},
	})
	if !queued {
		o.metrics.started("queue full")
		o.withdraw(r, "queue full")
		return
	}
	if r.startedAt != o.now {
		// The time for which it waited to be recorded says nothing about its worker.
		o.window.release(r.pending)
		r.pending = o.window.addStart(o.now)
		r.startedAt, r.progressAt = o.now, o.now
	}
	r.phase = starting
	w.noteGrant(o.now, o.now.Add(o.maxHoldTime()))
	r.startOpen = true
	if r.trial {
		o.requestPoll(w) // an open poll would report late that the worker survived the run
	}
	o.log.Info("run: ordered", zap.Stringer("subtask", t.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(w.entry.ID)), w.incarnationField(), ageField("waited", o.now, t.step.rep.due),
		ageField("worker_seen", o.now, w.clockAt))
}

// checkpoint is the checkpoint from which a start resumes. All members of a gang must be given
// the same one, which may be any member's.
func (t *task) checkpoint() tw.Checkpoint {
	if !t.step.spec.Gang {
		return t.lastCheckpoint
	}
	for _, member := range t.step.tasks {
		if member.lastCheckpoint != "" {
			return member.lastCheckpoint
		}
	}
	return ""
}

// repeatable reports whether the order to start a run may be sent again. A suspect is sent once, as
// a copy could reach the next worker on the machine. Where that has the same ID, nothing is sent
// again before answers are known to be lost.
func (o *Owner) repeatable(r *runState) bool {
	return !r.trial && (r.w.startTime == 0 || o.loss.share(o.now) > 0)
}

// noteOrder counts an order to start or stop a run, and logs it if it was sent again.
func (o *Owner) noteOrder(r *runState, result orderResult) {
	if result.copies == 0 {
		return
	}
	o.metrics.answeredCopies[result.answeredCopy].Inc()
	if result.copies == 1 {
		return
	}
	o.log.Info("run: order sent again", zap.Stringer("subtask", r.task.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(r.w.entry.ID)), zap.Stringer("phase", r.phase), zap.Int("copies", result.copies),
		zap.Int("answered_copy", result.answeredCopy), zap.Duration("after", o.now.Sub(result.firstSentAt)),
		zap.Float64("lost_share", o.loss.share(o.now)), r.w.answerAgeField(o.now))
}

// startFinished updates the send window with the outcome of an order to start.
func (o *Owner) startFinished(w *worker, r *runState, result orderResult) {
	if w.startsInFlight >= o.window.workerLimit(w.startLatency) || o.window.limited(o.now) {
		o.placeRequested = true // work may have waited for this answer
	}
	w.startsInFlight = max(0, w.startsInFlight-1)
	o.noteLag(result.answeredAt)
	switch {
	case result.firstSentAt.IsZero() && !r.withdrawn.Load() && o.now.Sub(r.pending.placedAt) > maxStartAge:
		o.window.noteOutdated(o.now, r.pending)
	case result.firstSentAt.IsZero():
		o.window.release(r.pending)
	case result.answeredAt.IsZero() && o.loss.share(o.now) > 0 && !w.session.silence.isSilent():
		o.window.release(r.pending) // lost answers are no sign of a slow owner
	case result.answeredAt.IsZero():
		o.window.noteTimeout(o.now, r.pending)
	default:
		took := result.answeredAt.Sub(result.sentAt)
		w.startLatency = smooth(w.startLatency, took)
		r.pending.lostTime = result.sentAt.Sub(result.firstSentAt)
		o.window.noteAnswer(o.now, r.pending, took)
		o.metrics.startQueued.Update(result.firstSentAt.Sub(r.pending.placedAt).Seconds())
		o.metrics.startAnswer.Update(took.Seconds())
	}
}

// startAnswered updates the run with the outcome of the order to start it.
func (o *Owner) startAnswered(r *runState, result orderResult, err error) {
	w := r.w
	r.startOpen, r.copies = result.unanswered, result.copies
	r.closeStart()
	w.noteLateStart(r, o.now)
	if o.workers[w.entry.ID] != w || w.runs[w.key(r)] != r {
		return // the run has been removed meanwhile
	}
	var refused *tw.OrderRefusedError
	switch {
	case err == nil && !o.noteOrderAnswer(w, result.clock, result.sentAt):
		o.startUnconfirmed(r)
	case err == nil:
		o.metrics.started("started")
		r.noteSeen(result.clock)
		o.confirmStart(r)
	case errors.As(err, &refused):
		o.startRefused(r, refused, result.sentAt)
	case errors.Is(err, errNotSent):
		o.metrics.started("outdated")
		o.runGone(r, "outdated")
	case tw.NotApplied(err):
		o.metrics.started("not sent")
		w.noteUnanswered(o.now)
		o.logStartFailure(r, err)
		o.runGone(r, "not sent")
	default:
		o.metrics.started("unanswered")
		r.connectionLost = result.connectionLost
		o.logStartFailure(r, err)
		if result.answeredAt.IsZero() && !result.lost {
			w.noteUnanswered(o.now)
		}
		o.startUnconfirmed(r)
	}
}

// closeStart records that the order to start a run is not carried out any more if a report has listed the run
// and the order was sent once.
func (r *runState) closeStart() {
	if r.reported && r.copies == 1 {
		r.startOpen = false
	}
}

// startUnconfirmed handles an order to start that may have been executed or may still be. It polls
// the worker at once.
func (o *Owner) startUnconfirmed(r *runState) {
	o.requestPoll(r.w)
	if r.phase == starting {
		r.phase = unconfirmed
		r.firstVisiblePoll = o.pollSeq + 1
	}
}

func (o *Owner) logStartFailure(r *runState, err error, extra ...zap.Field) {
	fields := append([]zap.Field{
		zap.Stringer("subtask", r.task.id), zap.Int64("run", int64(r.run)), zap.String("worker", string(r.w.entry.ID)), r.w.incarnationField(), logsink.Err(err),
	}, extra...)
	o.log.Info("run: start not confirmed", fields...)
}

// confirmStart records that a run exists on its worker.
func (o *Owner) confirmStart(r *runState) {
	if r.phase != starting && r.phase != unconfirmed {
		return
	}
	r.phase = running
	r.firstVisiblePoll = o.pollSeq + 1
	sub := r.task.step.rep.sub
	if !sub.begun && !sub.Accepted.IsZero() {
		// The clock of the daemon that has accepted it may be ahead.
		o.metrics.startDelay.Update(max(0, o.now.Sub(sub.Accepted)).Seconds())
	}
	o.markBegun(sub)
	if r.w.nextPoll.Before(r.w.polledAt) {
		r.w.nextPoll = o.now
	}
}

// startRefused handles an order that the worker certainly did not execute.
func (o *Owner) startRefused(r *runState, refused *tw.OrderRefusedError, sentAt time.Time) {
	w := r.w
	r.sent.Store(false) // so it cannot be the cause of the worker's end
	o.metrics.started(string(refused.Reason))
	o.logStartFailure(r, refused, w.clockOffsetField(refused.Clock, o.now))
	if refused.Reason == tw.RefusedDeadlinePassed && w.startTime != 0 {
		// The order was not on its way for as long as a deadline lasts, so that is the time of another
		// incarnation.
		o.askIncarnation(w)
	} else {
		o.noteOrderAnswer(w, refused.Clock, sentAt)
	}
	switch refused.Reason {
	case tw.RefusedStaleFence:
		o.loseOwnership("a worker has a newer owner")
		return
	case tw.RefusedOtherIncarnation:
		o.refusedAtAddress(w)
		return
	case tw.RefusedNoCapacity, tw.RefusedUnhealthy:
		w.fullUntil = o.now.Add(fullBackoff)
		w.nextPoll = o.now
	case tw.RefusedTicket:
		o.advisor.invalidate(r.task.step)
	}
	o.runGone(r, "refused: "+string(refused.Reason))
}

// stop orders a worker to stop a run, or never to start it.
func (o *Owner) stop(r *runState, reason string) {
	if r.phase == stopping || r.phase == stopConfirmed {
		return
	}
	r.withdrawn.Store(true)
	r.phase = stopping
	r.stopReason, r.stoppedAt = reason, o.now
	o.metrics.stopped(reason)
	o.log.Info("run: stopped", zap.Stringer("subtask", r.task.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(r.w.entry.ID)), zap.String("why", reason), zap.Int("percent", r.percent))
	o.sendStop(r)
}

func (o *Owner) sendStop(r *runState) {
	w := r.w
	order := tw.StopOrder{Subtask: r.task.id, Run: r.run, Fence: o.self.Fence}
	r.orderedAt = o.now
	session := w.session
	r.stopOpen = session.enqueue(workOrder{
		subtask: r.task.id, isStop: true, repeatable: true,
		send: func(ctx context.Context) (tw.WorkerTime, error) { return o.orders.Stop(ctx, session.ref, order) },
		done: func(result orderResult, err error) {
			o.noteOrder(r, result)
			if r.w != w || w.session != session {
				return // it says nothing of the next incarnation, which was given another order
			}
			r.stopOpen = false
			o.stopAnswered(r, result, err)
		},
	})
	if !r.stopOpen {
		r.orderedAt = time.Time{} // there may be room before an answer could have come
	}
}

func (o *Owner) stopAnswered(r *runState, result orderResult, err error) {
	w := r.w
	if o.workers[w.entry.ID] != w || w.runs[w.key(r)] != r {
		return
	}
	switch {
	case err == nil, tw.RefusedFor(err, tw.RefusedStaleRun):
		if !o.noteOrderAnswer(w, result.clock, result.sentAt) {
			return // it is ordered again
		}
		r.phase = stopConfirmed
		r.firstVisiblePoll = o.pollSeq + 1
		w.nextPoll = earlier(w.nextPoll, o.now.Add(o.bounds.StopTime/2))
		if _, useful := o.hedge.current(); useful && r.firstSeen == 0 {
			o.requestPoll(w) // it has probably never run
		}
	case tw.RefusedFor(err, tw.RefusedStaleFence):
		o.loseOwnership("a worker has a newer owner")
	case tw.RefusedFor(err, tw.RefusedOtherIncarnation):
		o.refusedAtAddress(w)
	default:
		if !tw.Answered(err) && !result.lost {
			w.noteUnanswered(o.now)
		}
	}
}

// stopRetry is the time after which a stop that was not answered is sent again.
const stopRetry = 400 * time.Millisecond

// runGone removes a run that certainly does not exist any more.
func (o *Owner) runGone(r *runState, reason string) {
	r.w.remove(r)
	t := r.task
	o.uncountCrash(r)
	t.removeRun(r)
	t.endedAt, t.lostAt = o.now, o.now
	o.metrics.givenUp(reason)
	o.log.Info("run: gone", zap.Stringer("subtask", t.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(r.w.entry.ID)), zap.String("why", reason), zap.Stringer("phase", r.phase),
		r.w.incarnationField(),
		zap.Bool("reported", r.reported), zap.Duration("since_start", o.now.Sub(r.startedAt)), r.w.answerAgeField(o.now))
	o.writer.confirmAfter(o.now)
	o.placeRequested = true
	if t.step.spec.Gang {
		o.stopGang(t, r.run, reason)
	}
}

// stopGang stops the other members of a gang's run.
func (o *Owner) stopGang(t *task, run tw.RunNumber, reason string) {
	for _, member := range t.step.tasks {
		if r := member.findRun(run); r != nil && r.phase != starting {
			o.stop(r, "a member of its gang is gone: "+reason)
		}
	}
}
