package run

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

// pollWorkers sends the polls that are due and returns when the next one is.
func (o *Owner) pollWorkers() time.Time {
	var next time.Time
	if !o.permit.valid(o.now) {
		return next
	}
	for _, w := range o.workers {
		if w.entry.Address == "" {
			continue
		}
		next = earlier(next, o.askDisputed(w))
		at, mayWait, wanted := o.pollDue(w)
		if !wanted {
			continue
		}
		renewAt, mayRenew := o.pollRenewal(w)
		if !mayRenew {
			continue
		}
		at = later(at, renewAt)
		if o.now.Before(at) {
			next = earlier(next, at)
			continue
		}
		wait := time.Duration(0)
		if mayWait {
			wait = o.pollWait(w)
		}
		o.poll(w, wait)
	}
	return next
}

// pollDue reports whether and when a worker must be polled next, and whether the worker may
// wait for an end before it answers.
func (o *Owner) pollDue(w *worker) (at time.Time, mayWait, wanted bool) {
	if w.unanswered > 0 || !w.stateKnown || w.needsProbe() {
		return w.nextPoll, false, true
	}
	if w.pollRequested() && w.tally.trials == 0 {
		return w.nextPoll, false, true
	}
	if len(w.runs) == 0 && w.ackedEnd >= w.seenEnd && w.mayStartLate(o.now) {
		// If it starts again, the next incarnation must be told at once what it is not to start. A
		// poll that waits is interrupted then, while one that is sent later waits there.
		return w.polledAt, true, true
	}
	if len(w.runs) == 0 {
		return w.polledAt.Add(ackEndsDelay), false, w.ackedEnd < w.recordedEnd
	}
	if o.now.Sub(w.polledAt) < startAnswerWait && w.starting() {
		// A poll that waits would not report a start that went wrong.
		return w.polledAt.Add(startAnswerWait), false, true
	}
	if w.recordedEnd < w.seenEnd {
		// The worker answers at once as long as it has ends that are not acknowledged. Other
		// runs may have ended since, and their capacity is needed.
		return w.polledAt.Add(o.unrecordedPollDelay()), false, true
	}
	return w.nextPoll, true, true
}

// starting reports whether starts are in flight.
func (w *worker) starting() bool {
	for _, r := range w.runs {
		if r.phase == starting {
			return true
		}
	}
	return false
}

// mayStartLate reports whether an order may still be carried out by the next incarnation of the worker.
func (w *worker) mayStartLate(now time.Time) bool {
	return slices.ContainsFunc(w.lateStarts, func(l lateStart) bool { return now.Sub(l.orderAt) <= maxOrderDelay })
}

// pollWait returns how long a worker may wait for an end before it answers a poll. A worker with
// trials may wait until they are over, but at most shortPollWait. For other workers the wait is zero
// while a start is unconfirmed or a stopped run has yet to end, shortPollWait where tail latencies
// must be watched or a run is overdue, that of readyPollWait where a long-running run is not ready,
// and longPollWait elsewhere.
func (o *Owner) pollWait(w *worker) time.Duration {
	if w.tally.trials > 0 {
		return min(max(0, w.trialDue().Sub(o.now)), shortPollWait)
	}
	serving, fillers := false, false
	for _, r := range w.runs {
		if r.phase == unconfirmed || r.phase == stopConfirmed {
			return 0
		}
		if r.task == nil {
			continue
		}
		spec := r.task.step.spec
		serving = serving || spec.TailTarget > 0
		fillers = fillers || spec.Filler
		if spec.LongRunning && r.percent < readyPercent {
			return o.readyPollWait(r)
		}
		if !spec.LongRunning && o.overdue(r) {
			return shortPollWait
		}
	}
	if serving && fillers {
		return shortPollWait
	}
	return longPollWait
}

// poll sends a hold: an order that asks the worker for its runs and ends, and extends the deadline
// of the runs.
func (o *Owner) poll(w *worker, wait time.Duration) {
	o.pollSeq++
	wait = min(wait, maxPollWait(o.loss.share(o.now)))
	hold := tw.HoldOrder{Fence: o.self.Fence, AckedSequence: w.ackableEnd(o.now), Wait: wait}
	if w.stateKnown && w.unanswered == 0 && o.silenceExplained(w) {
		hold.Deadline = w.estimateClock(o.now).Add(o.bounds.MaxHold)
		w.noteGrant(o.now, o.now.Add(o.maxHoldTime()))
	}
	w.sentPoll = o.pollSeq
	w.openPolls = append(w.openPolls, openPoll{seq: o.pollSeq, sentAt: o.now, wait: wait})
	o.metrics.polls.Inc()
	session := w.session
	limit := time.Duration(0)
	if w.stateKnown && w.needsProbe() || o.loss.share(o.now) > 0 {
		limit = wait + o.orderTimeout.current(o.now)
	}
	session.polls <- pollRequest{hold: hold, seq: o.pollSeq, timeout: limit, done: func(result pollResult) {
		if w.session == session {
			o.pollAnswered(w, hold, result)
		}
	}}
}

// pollAnswered handles the result of a poll.
func (o *Owner) pollAnswered(w *worker, hold tw.HoldOrder, result pollResult) {
	poll := w.closePoll(result.seq)
	o.noteLag(result.answeredAt)
	if o.workers[w.entry.ID] != w || o.draining {
		return
	}
	now := o.now
	if result.err != nil {
		o.pollFailed(w, result)
		return
	}
	o.notePollAnswer(w, poll)
	if !o.sameIncarnation(w, poll.sentAt, result.report.StartTime) {
		return
	}
	o.refuteDispute(w, poll.sentAt)
	if w.silent() {
		o.log.Info("worker: answers again", zap.String("worker", string(w.entry.ID)),
			zap.Duration("silent", now.Sub(w.silentSince)))
	}
	w.noteAnswer(now, result.report.Clock)
	w.polledAt, w.ignoredAnswers = now, 0
	w.answeredPollOf = later(w.answeredPollOf, poll.sentAt)
	w.ackedEnd = max(w.ackedEnd, hold.AckedSequence)
	first := !w.stateKnown
	if w.knownSince.IsZero() {
		w.knownSince = now
	}
	w.stateKnown = true
	if !mayBeTruncated(result.report) {
		w.mayHaveInheritedRuns = false
	}
	o.handleEnds(w, result.report.Ended)
	if w.supersedes(result) {
		w.lastReportClock, w.lastReportSeq = result.report.Clock, o.pollSeq
		o.reconcileRuns(w, result)
	}
	o.clearSurvived(w)
	if first {
		o.noteAlive(w, len(result.report.Running))
		o.resolvePrecountedOn(w)
		o.forbidLateStarts(w)
		o.log.Info("worker: answers", zap.String("worker", string(w.entry.ID)),
			zap.Int("running", len(result.report.Running)), zap.Int("ended", len(result.report.Ended)))
	}
	o.paceFillers(w)
	w.nextPoll = now.Add(o.endBatchDelay(w))
	if first {
		w.nextPoll = now
	}
	o.placeRequested = true
}

// unrecordedPollDelay returns the time between polls of a worker with ends that are not recorded
// yet. It is shorter if work waits for the capacity that further ends release.
func (o *Owner) unrecordedPollDelay() time.Duration {
	if o.roomShort() {
		return fullPoolUnrecordedDelay
	}
	return unrecordedPollDelay
}

// endBatchDelay returns the pause before the next poll, so that one report carries several ends.
// It is short if work waits for the capacity that ends release, or if a step there has few subtasks
// left, as other steps may wait for that step.
func (o *Owner) endBatchDelay(w *worker) time.Duration {
	if o.roomShort() {
		return fullPoolBatchDelay
	}
	for _, r := range w.runs {
		st := r.task.step
		if !st.spec.LongRunning && st.spec.Count-st.done <= fewSubtasksLeft {
			if o.window.busy(o.now) {
				return busyLastEndBatchDelay
			}
			return lastEndBatchDelay
		}
	}
	return endBatchDelay
}

func (o *Owner) pollFailed(w *worker, result pollResult) {
	err := result.err
	switch {
	case tw.RefusedFor(err, tw.RefusedOtherIncarnation):
		o.refusedAtAddress(w)
		return
	case tw.RefusedFor(err, tw.RefusedStaleFence):
		o.loseOwnership("a worker has a newer owner")
		return
	case tw.RefusedFor(err, tw.RefusedDeadlinePassed):
		o.askIncarnation(w) // by a poll that grants nothing
		return
	}
	if result.lost {
		return // a later call was answered
	}
	if !tw.Answered(err) && !errors.Is(err, errNotSent) {
		wasSilent := w.silent()
		w.noteUnanswered(o.now)
		if w.silent() && !wasSilent {
			o.log.Info("worker: does not answer", zap.String("worker", string(w.entry.ID)),
				zap.Int("runs", len(w.runs)), zap.Int("calls", w.unanswered), zap.Float64("lost_share", o.loss.share(o.now)), logsink.Err(err))
		}
		o.placeRequested = true
	}
	w.nextPoll = o.now.Add(pollRetryDelay)
	if errors.Is(err, errNotSent) || !w.silent() {
		w.nextPoll = o.now
	}
}

// handleEnds handles the ends that were not seen before.
func (o *Owner) handleEnds(w *worker, ended []tw.EndedSubtask) {
	before := w.seenEnd
	for _, e := range ended {
		if e.Sequence <= w.seenEnd {
			continue
		}
		w.seenEnd = e.Sequence
		o.handleEnd(w, e)
	}
	if w.seenEnd > before {
		o.writer.noteEnds(w)
	}
}

// reconcileRuns compares the reported runs with those that the owner expects.
func (o *Owner) reconcileRuns(w *worker, result pollResult) {
	listed := make(map[runKey]bool, len(result.report.Running))
	for _, running := range result.report.Running {
		key := runKey{task: running.Subtask, run: running.Run}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = o.adopt(w, running)
		}
		o.chargeLateStart(w, r)
		o.updateProgress(r, running, result.report.Clock)
	}
	if mayBeTruncated(result.report) {
		return
	}
	for key, r := range w.runs {
		if listed[key] || r.firstVisiblePoll > result.seq {
			continue
		}
		o.handleMissing(w, r)
	}
}

// mayBeTruncated reports whether a report may lack ends. A run that it does not list may then be
// among the ends that are still to come.
func mayBeTruncated(report tw.HoldReport) bool { return len(report.Ended) >= tw.MaxEndsListed }

// adopt adds a run of a previous owner, or one whose start was given up.
func (o *Owner) adopt(w *worker, listed tw.RunningSubtask) *runState {
	r := &runState{run: listed.Run, w: w, phase: running, startedAt: o.now, progressAt: o.now, pace: paceInherited}
	var t *task
	if sub := o.submissions[listed.Subtask.Submission]; sub != nil {
		t = o.taskOf(sub, listed.Subtask)
	}
	if t == nil {
		// Its resources are unknown, so it is stopped and charged with the whole worker until
		// it is gone.
		t = orphanTask(listed.Subtask, o.submissions[listed.Subtask.Submission])
		r.reservation = w.entry.Capacity
	} else {
		r.reservation = t.step.spec.Reservation()
	}
	r.task = t
	r.sent.Store(true)
	r.trial = t.suspect()
	if !t.step.spec.AllowCopies && t.crashes > len(t.precounted) && !t.isPrecounted(r) {
		// A previous owner counted the start of a suspect before it made the start, but its
		// version did not record for which worker.
		t.setPrecounted(append(t.precounted, precountOf(r)))
	}
	t.addRun(r)
	w.add(r)
	sub := t.step.rep.sub
	switch {
	case sub.closed() || t.done:
		o.stop(r, "its submission has ended")
	case len(t.runs) > 1 && !t.step.spec.AllowCopies:
		o.stop(r, "it runs elsewhere")
	default:
		o.markBegun(sub)
	}
	return r
}

// taskOf returns a subtask that a worker reports, or nil. Its repetition may not be due here yet,
// if a previous owner whose clock was ahead has started it. The repetition is opened then, as
// the end would otherwise be acknowledged but not recorded, and the subtask would run again.
func (o *Owner) taskOf(sub *submission, id tw.SubtaskID) *task {
	if sub.durable && !sub.closed() && id.Repetition >= sub.nextRep {
		o.openBelow(sub, id.Repetition+1)
	}
	return sub.task(id)
}

// orphanTask returns a placeholder for a subtask of which nothing is known, except for the
// submission if that has ended.
func orphanTask(id tw.SubtaskID, ended *submission) *task {
	sub := &submission{Submission: tw.Submission{ID: id.Submission}, final: tw.SubmissionCancelled}
	if ended != nil {
		sub.Organisation = ended.Organisation
	}
	st := &step{rep: &repetition{sub: sub}, spec: &tw.Step{Count: 1}}
	return &task{id: id, step: st}
}

func (o *Owner) updateProgress(r *runState, running tw.RunningSubtask, clock tw.WorkerTime) {
	r.noteSeen(clock)
	r.reported = true
	r.closeStart()
	if r.phase == starting || r.phase == unconfirmed {
		r.pace = fullPace // on the next incarnation, where it was not slowed yet
		o.confirmStart(r)
	}
	o.noteProgress(r, running.Percent)
	if running.Checkpoint != "" {
		r.task.lastCheckpoint = running.Checkpoint
	}
	r.tailLatency = running.TailLatency
}

// handleMissing handles a run that a poll should list if it existed, but does not.
func (o *Owner) handleMissing(w *worker, r *runState) {
	switch r.phase {
	case placed, starting:
		return // the start is not ordered or not answered yet
	case unconfirmed:
		// The start may still be carried out, unless a stop revokes it.
		o.stop(r, "its start was not answered")
	case stopping:
		return // the stop has not been answered yet
	default:
		o.log.Warn("run: not reported any more", zap.Stringer("subtask", r.task.id), zap.Int64("run", int64(r.run)),
			zap.String("worker", string(w.entry.ID)), zap.Stringer("phase", r.phase))
		o.runGone(r, "not listed by its worker")
	}
}
