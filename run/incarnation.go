package run

import (
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// A worker may restart under its ID and address, so that orders to the previous incarnation reach
// the new one. The start time tells that another one answers; which is the later one, the order of
// the calls tells, as a machine's clock may have been set back between them. The owner treats the new
// incarnation as another worker: unrecorded ends of the previous one must not be acknowledged to it.

// clockTolerance is how far the clock in an answer may seem to lag because of rounding.
const clockTolerance = 5 * time.Millisecond

// sameIncarnation reports whether a poll was answered by the known incarnation. If it was sent after
// that one last answered, another one that answers is a later one and replaces the worker. Otherwise
// the worker is polled again.
func (o *Owner) sameIncarnation(w *worker, sentAt time.Time, startTime tw.WorkerStartTime) bool {
	switch {
	case startTime == 0 || startTime == w.startTime:
		return true
	case w.startTime == 0:
		w.startTime = startTime
		return true
	case !sentAt.After(w.polledAt):
		w.nextPoll = o.now
		o.requestPoll(w)
		o.noteIgnoredAnswer(w, startTime)
		return false
	}
	o.replaceIncarnation(w, w.nextEntry(startTime))
	return false
}

// noteIgnoredAnswer records an answer of another incarnation than the known one. Only the first in a
// row is logged.
func (o *Owner) noteIgnoredAnswer(w *worker, startTime tw.WorkerStartTime) {
	o.metrics.ignoredAnswers.Inc()
	if w.ignoredAnswers == 0 {
		o.log.Warn("worker: answer of another incarnation ignored", zap.String("worker", string(w.entry.ID)),
			zap.Int64("born", int64(startTime)), zap.Int64("known_born", int64(w.startTime)), zap.Int("runs", len(w.runs)), w.answerAgeField(o.now))
	}
	w.ignoredAnswers++
}

// replaceIncarnation replaces a worker by its next incarnation. Runs that a report has listed have ended
// with the previous one. Other starts may have been carried out by the next one, also if they were answered,
// or may still be, even if the previous incarnation was told to revoke them: the next one is told again.
func (o *Owner) replaceIncarnation(w *worker, entry tw.WorkerEntry) {
	o.log.Info("worker: has started again", zap.String("worker", string(entry.ID)), zap.Int64("born", int64(entry.StartTime)),
		zap.Int64("before", int64(w.startTime)), zap.Int("runs", len(w.runs)), w.answerAgeField(o.now))
	o.removeWorker(w, "it has started again")
	o.attributeCrash(w, slices.Collect(maps.Values(w.runs)), true)
	next := o.addWorker(entry)
	next.startTime = entry.StartTime
	next.inheritedExpireAt = o.inheritedExpireAt()
	next.mayHaveInheritedRuns = o.now.Before(next.inheritedExpireAt)
	next.listed, next.missingSince, next.vacating, next.maintenanceDue = w.listed, w.missingSince, w.vacating, w.maintenanceDue
	ended, unclear := 0, 0
	for _, r := range w.runs {
		if r.reported && !r.startOpen || !r.sent.Load() {
			ended++
			o.runGone(r, "its worker has started again")
			continue
		}
		unclear++
		o.handOver(r, next)
	}
	o.forbidLateStarts(next)
	o.metrics.restarted(ended, unclear)
	o.log.Info("worker: runs of its previous incarnation", zap.String("worker", string(entry.ID)), next.incarnationField(), zap.Int("ended", ended),
		zap.Int("unclear", unclear), zap.Int("late_starts", len(next.lateStarts)), zap.Duration("grants_left", max(0, next.grantsExpireAt.Sub(o.now))))
}

// unknownAnswerAge is the age of the last answer before an order that was not sent to the incarnation.
const unknownAnswerAge = time.Duration(math.MaxInt64)

// handOver makes a run one that the next incarnation of its worker may have started.
func (o *Owner) handOver(r *runState, next *worker) {
	r.w.remove(r)
	revoked := r.phase == stopping || r.phase == stopConfirmed
	// The order was sent to the previous incarnation, so it does not show that this one was reached.
	r.connectionLost, r.sinceLastAnswer = false, unknownAnswerAge
	r.w, r.phase = next, unconfirmed
	r.firstVisiblePoll = o.pollSeq + 1
	r.firstSeen, r.reported = 0, false
	r.stoppedAt = time.Time{}
	next.add(r)
	if revoked {
		o.stop(r, r.stopReason)
	}
}

// noteOrderAnswer records the answer to an order other than a poll, which does not tell the incarnation. It returns
// false, and has the worker polled, if the clock in the answer shows that another one than the known has answered.
func (o *Owner) noteOrderAnswer(w *worker, clock tw.WorkerTime, sentAt time.Time) (known bool) {
	if w.clockRestarted(clock, sentAt) {
		o.log.Info("worker: clock has restarted", zap.String("worker", string(w.entry.ID)), w.incarnationField(), w.clockOffsetField(clock, o.now))
		o.askIncarnation(w)
		return false
	}
	w.noteAnswer(o.now, clock)
	return true
}

// askIncarnation has a worker polled of which another incarnation seems to have answered an order.
func (o *Owner) askIncarnation(w *worker) {
	w.noteUncertain(o.now)
	o.requestPoll(w)
}

// clockRestarted reports whether the clock in the answer to an order can't be that of the known
// incarnation, because even if that clock ran slow it was further ahead when the order was sent.
func (w *worker) clockRestarted(clock tw.WorkerTime, sentAt time.Time) bool {
	if w.startTime == 0 || clock == 0 || w.clockAt.IsZero() {
		return false
	}
	since := sentAt.Sub(w.clockAt)
	if since > 0 {
		since = time.Duration(float64(since) / clockDrift)
	}
	return clock.Add(clockTolerance) < w.clock.Add(since)
}

// incarnationField returns the start time of the worker's incarnation as a log field; an empty one if no
// report has told it.
func (w *worker) incarnationField() zap.Field {
	if w.startTime == 0 {
		return zap.Skip()
	}
	return zap.Int64("born", int64(w.startTime))
}

// ackableEnd returns the sequence number of the last end that may be acknowledged to a worker. It
// is zero while the next incarnation may answer, as that numbers its ends from one, and if it has been
// acknowledged.
func (w *worker) ackableEnd(now time.Time) int64 {
	mayHaveRestarted := w.unanswered > 0 || len(w.openPolls) > 0 || now.Sub(w.polledAt) >= minRestartTime
	if w.startTime != 0 && (mayHaveRestarted || w.recordedEnd <= w.ackedEnd) {
		return 0
	}
	return w.recordedEnd
}
