package run

import (
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// handleEnd handles an end that a worker reports.
func (o *Owner) handleEnd(w *worker, e tw.EndedSubtask) {
	o.metrics.endedRun(e.Kind)
	r := w.runs[runKey{task: e.Subtask, run: e.Run}]
	sub := o.submissions[e.Subtask.Submission]
	var t *task
	if r != nil {
		t = r.task
	} else if sub != nil {
		t = o.taskOf(sub, e.Subtask)
	}
	o.logEnd(w, e, r)
	o.logDuplicateRun(w, t, r, e)
	if sub == nil || !sub.durable {
		o.keepUnclaimedEnd(w, e)
	}
	if t == nil {
		return
	}
	if r != nil {
		o.recordOutcome(w, r, e.Kind)
		w.remove(r)
		o.uncountCrash(r)
		t.removeRun(r)
	}
	o.applyEnd(w, t, e)
}

// applyEnd updates a subtask after the end of one of its runs.
func (o *Owner) applyEnd(w *worker, t *task, e tw.EndedSubtask) {
	t.endedAt = o.now
	t.step.changed = true
	o.placeRequested = true
	o.markBegun(t.step.rep.sub)
	if t.step.rep.sub.final != "" {
		return
	}
	switch e.Kind {
	case tw.EndDone:
		o.taskDone(t, e.Run)
	case tw.EndFailed:
		o.clearSuspect(t)
		o.taskFailed(w, t, e.Run)
	default:
		o.taskInterrupted(t, e)
	}
}

func (o *Owner) logEnd(w *worker, e tw.EndedSubtask, r *runState) {
	const maxFields = 7
	fields := append(make([]zap.Field, 0, maxFields),
		zap.Stringer("subtask", e.Subtask), zap.Int64("run", int64(e.Run)), zap.String("worker", string(w.entry.ID)),
		zap.String("kind", string(e.Kind)), zap.Int64("sequence", e.Sequence),
	)
	if r != nil {
		fields = append(fields, zap.Duration("ran", o.now.Sub(r.startedAt)))
		if r.stopReason != "" {
			fields = append(fields, zap.String("stopped_for", r.stopReason))
		}
	}
	o.log.Info("run: ended", fields...)
}

// logDuplicateRun logs and counts a run that was given up but has completed, while another run of
// its subtask goes on.
func (o *Owner) logDuplicateRun(w *worker, t *task, r *runState, e tw.EndedSubtask) {
	if r != nil || t == nil || e.Kind != tw.EndDone || !t.active() || t.step.spec.AllowCopies {
		return
	}
	o.metrics.duplicateRuns.Inc()
	other := t.runs[0]
	o.log.Warn("run: ended though it was given up", zap.Stringer("subtask", e.Subtask), zap.Int64("run", int64(e.Run)),
		zap.String("worker", string(w.entry.ID)), zap.Int64("other_run", int64(other.run)),
		zap.String("other_worker", string(other.w.entry.ID)), zap.Duration("other_since", o.now.Sub(other.startedAt)))
}

// taskDone records that a subtask is done. The end of one member completes its gang.
func (o *Owner) taskDone(t *task, run tw.RunNumber) {
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	sub := t.step.rep.sub
	if t.done {
		return // a copy of it ended before
	}
	for _, m := range members {
		if m.done {
			continue
		}
		m.setDone()
		sub.progress.Step(m.id.Repetition, m.id.Step).Done.Add(m.id.Index)
		for _, r := range m.runs {
			if r.run != run {
				o.stop(r, "a copy of it is done")
			}
		}
	}
	o.writer.markDirty(sub)
	if t.step.done == t.step.spec.Count {
		o.stepDone(t.step)
	}
}

func (o *Owner) stepDone(st *step) {
	st.rep.openSteps--
	if st.rep.openSteps == 0 {
		o.closeFinished(st.rep.sub)
	}
}

// closeFinished closes the repetitions that are done, and ends the submission with the last of
// them.
func (o *Owner) closeFinished(sub *submission) {
	if sub.closed() {
		return
	}
	for k, rep := range sub.reps {
		if rep.openSteps == 0 {
			delete(sub.reps, k)
		}
	}
	for sub.progress.Finished < sub.nextRep && sub.reps[sub.progress.Finished] == nil {
		delete(sub.progress.Repetitions, sub.progress.Finished)
		sub.progress.Finished++
	}
	if sub.progress.Finished >= sub.Repetitions() {
		o.endSubmission(sub, tw.SubmissionSucceeded, "all subtasks are done")
	}
}

// taskFailed counts a failure. After the last attempt the submission fails.
func (o *Owner) taskFailed(w *worker, t *task, run tw.RunNumber) {
	if t.done {
		return
	}
	t.lastFailedOn = w.entry.ID
	spec := t.step.spec
	if !t.fail(run) || spec.LongRunning {
		return
	}
	sub := t.step.rep.sub
	p := sub.progress.Step(t.id.Repetition, t.id.Step)
	if p.Failures == nil {
		p.Failures = map[int][]tw.RunNumber{}
	}
	p.Failures[t.id.Index] = append(p.Failures[t.id.Index], run)
	o.writer.markDirty(sub)
	if t.failed() >= sub.Policy.Attempts {
		o.endSubmission(sub, tw.SubmissionFailed, "subtask "+t.id.String()+" has failed in all its attempts")
	}
}

// taskInterrupted keeps the checkpoint of a run that was interrupted.
func (o *Owner) taskInterrupted(t *task, e tw.EndedSubtask) {
	if e.Checkpoint == "" || t.done || !t.step.spec.Checkpoints {
		return
	}
	t.lastCheckpoint = e.Checkpoint
	p := t.step.rep.sub.progress.Step(t.id.Repetition, t.id.Step)
	if p.Checkpoints == nil {
		p.Checkpoints = map[int]tw.Checkpoint{}
	}
	p.Checkpoints[t.id.Index] = e.Checkpoint
	o.writer.markDirty(t.step.rep.sub)
}

// recordOutcome updates the health of a worker after the end of a run.
func (o *Owner) recordOutcome(w *worker, r *runState, kind tw.EndKind) {
	took := o.now.Sub(r.startedAt)
	switch kind {
	case tw.EndDone:
		w.health.failures = 0
		w.noteRunTime(took, o.expectedRunTime(r.task.step))
		o.noteRunTime(r, took)
	case tw.EndFailed:
		o.recordFailure(w, r.task)
	}
}

// recordFailure quarantines a worker on which several runs in a row fail, unless their subtasks
// fail on other workers too. Failures of long-running subtasks, which may come at any time, count
// as well.
func (o *Owner) recordFailure(w *worker, t *task) {
	if t.failed() > 0 && t.lastFailedOn != w.entry.ID {
		return
	}
	w.health.failures++
	if w.health.failures >= failuresToQuarantine {
		w.health.failures = 0
		o.quarantine(w, quarantineTime, "its runs fail")
	}
}

// quarantine keeps new work away from a worker for a while, but never from more than half of the
// workers.
func (o *Owner) quarantine(w *worker, d time.Duration, reason string) {
	quarantined := 0
	for _, other := range o.workers {
		if o.now.Before(other.health.quarantinedUntil) {
			quarantined++
		}
	}
	if 2*(quarantined+1) > len(o.workers) {
		return
	}
	w.health.quarantinedUntil = o.now.Add(d)
	o.log.Info("worker: given no work", zap.String("worker", string(w.entry.ID)),
		zap.String("why", reason), zap.Duration("for", d))
}
