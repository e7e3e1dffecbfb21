package run

import (
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// A subtask may crash every worker that starts it. It differs from one whose workers end for
// other reasons in that the worker ends soon after the start, each time. So a subtask becomes a
// suspect when a worker ends before it has survived a run of the subtask. Suspects are started in
// trials, apart from suspects of other steps and from other recent starts, and a suspect under
// which several workers in a row have ended is given up.

const (
	// survivalTime is how long a worker must keep running, by its own clock, after it has reported
	// a run, for the run to be ruled out as the cause of the worker's end. Subtasks that crash
	// their workers did so within 10 ms; the answer to a start takes up to 0.2 s.
	survivalTime = 150 * time.Millisecond
	// trialTime is the duration of a trial by the owner's clock: the start is answered within
	// some milliseconds, and the worker's clock may be slow.
	trialTime = survivalTime + survivalTime/10
	// minRestartTime is less than the time in which a machine starts a new worker after a crash,
	// which is some seconds.
	minRestartTime = time.Second
	// recentAnswer is the age of its last answer up to which a worker counts as alive.
	recentAnswer = 100 * time.Millisecond
	// maxCrashes is the number of workers in a row that may end under a subtask before it is
	// given up. The platform allows giving up after two, and allows at most two more starts after
	// the third crash. With two, innocent work is given up far more often where many workers
	// crash.
	maxCrashes = 3
	// crashDetectTime is how soon after a start an owner that is not slow learns that the worker
	// has ended under it, unless the worker was silent.
	crashDetectTime = 500 * time.Millisecond
	// maxUncertainCrashes replaces maxCrashes if some of the crashes may have had other causes.
	// One more start would be the third after the third crash. Crashes are uncertain if a previous
	// owner counted them before a start and was replaced before it recorded the outcome, if they
	// were detected so late that the worker may have survived the subtask, or if work of other
	// submissions may have caused the last one. With maxCrashes in all cases, owners that are
	// short of processor time or link bandwidth would give up innocent work.
	maxUncertainCrashes = maxCrashes + 2
)

// survived reports whether the worker has kept running for so long that the run cannot be the
// cause of its end. Members of a gang only begin to work when all of them have started.
func (w *worker) survived(r *runState) bool {
	if r.firstSeen == 0 || r.task.step.spec.Gang && r.percent == 0 {
		return false
	}
	return w.clock >= r.firstSeen.Add(survivalTime)
}

// noteSeen records, by the worker's clock, when the run was first reported.
func (r *runState) noteSeen(clock tw.WorkerTime) {
	if r.firstSeen == 0 {
		r.firstSeen = clock
	}
}

// attributeCrash counts the end of a worker against those of its runs that may have caused it.
// replaced reports that a newer worker of the same machine already answers.
func (o *Owner) attributeCrash(w *worker, runs []*runState, replaced bool) {
	if w.entry.Draining {
		return
	}
	var candidates []*runState
	for _, r := range runs {
		switch {
		case w.survived(r):
			o.clearSuspect(r.task)
		case r.crashCounted: // at the end of a previous incarnation
		case replaced && o.now.Sub(r.startedAt) < minRestartTime:
			o.log.Info("run: not counted as a crash, the machine runs a new worker too soon", zap.Stringer("subtask", r.task.id),
				zap.String("worker", string(w.entry.ID)), zap.Duration("since_start", o.now.Sub(r.startedAt)))
		case r.reachedWorker():
			candidates = append(candidates, r)
		case r.sent.Load():
			o.noteUncertainStart(r)
		}
	}
	several := severalSubmissions(candidates)
	for _, r := range candidates {
		o.countCrash(w, r, several)
	}
}

// noteUncertainStart records a start of which it is unknown whether it reached a living worker. One
// that was counted in advance stays counted. Otherwise the subtask may have been started once more
// than is counted; later starts are counted in advance, so that there is no second such start.
func (o *Owner) noteUncertainStart(r *runState) {
	t := r.task
	sub := t.step.rep.sub
	switch {
	case t.done || sub.closed():
		return
	case t.forgetPrecount(r):
		t.crashedAt, t.crashesUncertain = o.now, true
	case !t.uncounted:
		t.noteUncounted()
	}
	o.writer.markDirty(sub)
	o.log.Info("run: unknown whether it has ended its worker", zap.Stringer("subtask", t.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(r.w.entry.ID)), zap.Int("workers", t.crashes), zap.Bool("uncounted_start", t.uncounted))
}

// severalSubmissions reports whether the runs belong to more than one submission.
func severalSubmissions(runs []*runState) bool {
	return slices.ContainsFunc(runs, func(r *runState) bool { return r.task.id.Submission != runs[0].task.id.Submission })
}

// reachedWorker reports whether the order to start the run reached a living worker: the start was
// answered, its connection broke before the answer, or the worker had answered just before. A
// worker without runs is not polled, and may have been dead for long.
func (r *runState) reachedWorker() bool {
	return r.firstSeen != 0 || r.sent.Load() && (r.connectionLost || r.sinceLastAnswer <= recentAnswer)
}

// countCrash counts the end of a worker against a run. several reports that runs of several
// submissions may have caused it.
func (o *Owner) countCrash(w *worker, r *runState, several bool) {
	t := r.task
	sub := t.step.rep.sub
	if t.done || sub.closed() {
		return
	}
	if !t.forgetPrecount(r) {
		t.setCrashes(t.crashes + 1)
	}
	t.crashedAt = o.now
	sinceStart := o.now.Sub(r.startedAt)
	t.crashesUncertain = t.crashesUncertain || sinceStart > o.crashDetectLimit()
	limit := t.crashLimit(several)
	r.crashCounted = true
	o.metrics.suspectedRuns.Inc()
	o.writer.markDirty(sub)
	o.log.Info("run: may have ended its worker", zap.Stringer("subtask", t.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(w.entry.ID)), zap.Int("workers", t.crashes), zap.Bool("on_trial", r.trial),
		zap.Duration("since_start", sinceStart), zap.Bool("company", several), zap.Int("give_up_at", limit))
	if t.crashes-t.precountedCrashes() >= limit {
		o.giveUp(t)
	}
}

// crashDetectLimit is how soon after a start a crash must be detected to be certain. The polls of
// a slow owner come late: there, any crash detected after survivalTime is uncertain.
func (o *Owner) crashDetectLimit() time.Duration {
	if o.window.latency >= slowStartLatency {
		return survivalTime
	}
	return crashDetectTime
}

// crashLimit is the number of crashes at which a subtask is given up. several reports that runs
// of several submissions may have caused the last one.
func (t *task) crashLimit(several bool) int {
	if t.crashesUncertain || several {
		return t.uncertainCrashLimit()
	}
	return maxCrashes
}

// uncertainCrashLimit is maxUncertainCrashes, less one for a start that may not have been
// counted.
func (t *task) uncertainCrashLimit() int {
	if t.uncounted {
		return maxUncertainCrashes - 1
	}
	return maxUncertainCrashes
}

// progress is the recorded progress of the subtask's step.
func (t *task) progress() *ledger.StepProgress {
	return t.step.rep.sub.progress.Step(t.id.Repetition, t.id.Step)
}

func (o *Owner) giveUp(t *task) {
	o.endSubmission(t.step.rep.sub, tw.SubmissionFailed, "workers have ended under subtask "+t.id.String()+" each time it was started")
}

// exhausted reports whether a subtask of the submission must not be started again.
func (s *submission) exhausted() bool { return s.firstTask((*task).exhausted) != nil }

// exhausted reports whether the subtask must not be started again.
func (t *task) exhausted() bool { return !t.done && t.crashes >= t.uncertainCrashLimit() }

// giveUpIfExhausted gives up a submission if an exhausted subtask would have to be started again,
// and reports whether it did. It must not be called before all workers are known, as the last run
// may still go on.
func (o *Owner) giveUpIfExhausted(sub *submission) bool {
	t := sub.firstTask(func(t *task) bool {
		o.resolvePrecounted(t)
		return !t.active() && t.exhausted()
	})
	if t == nil {
		return false
	}
	o.log.Info("run: may have ended its worker each time", zap.Stringer("subtask", t.id), zap.Int("workers", t.crashes),
		zap.Any("precounted", t.precounted), zap.Bool("uncounted_start", t.uncounted))
	o.giveUp(t)
	return true
}

// firstTask returns the first subtask of an open repetition that satisfies a condition, or nil.
func (s *submission) firstTask(matches func(*task) bool) *task {
	for _, rep := range s.reps {
		for _, st := range rep.steps {
			if i := slices.IndexFunc(st.tasks, matches); i >= 0 {
				return st.tasks[i]
			}
		}
	}
	return nil
}

// mayHaveCrashedWorker reports whether a worker may have ended under a run of the subtask.
func (t *task) mayHaveCrashedWorker() bool {
	return slices.ContainsFunc(t.runs, func(r *runState) bool { return !r.w.survived(r) })
}

// clearSuspect resets the crash count of a subtask after a worker has survived a run of it.
func (o *Owner) clearSuspect(t *task) {
	if t.crashes == 0 && !t.uncounted {
		return
	}
	t.setPrecounted(nil)
	t.setCrashes(0)
	t.uncounted = false
	delete(t.progress().UncountedStarts, t.id.Index)
	o.placeRequested = true
	sub := t.step.rep.sub
	if !sub.closed() {
		o.writer.markDirty(sub)
	}
	for _, r := range t.runs {
		r.w.endTrial(r)
	}
	o.log.Info("run: cleared, its worker survived it", zap.Stringer("subtask", t.id))
}

// clearSurvived clears the suspects whose trial the worker has survived.
func (o *Owner) clearSurvived(w *worker) {
	if w.tally.trials == 0 {
		return
	}
	for _, r := range w.runs {
		if r.trial && w.survived(r) {
			o.clearSuspect(r.task)
		}
	}
}

// setCrashes sets how many workers in a row have ended under the subtask, also in its recorded
// progress.
func (t *task) setCrashes(n int) {
	t.crashes = n
	t.step.changed = true
	p := t.progress()
	if n == 0 {
		t.crashesUncertain = false
		delete(p.Crashes, t.id.Index)
		return
	}
	if p.Crashes == nil {
		p.Crashes = map[int]int{}
	}
	p.Crashes[t.id.Index] = n
}

// noteUncounted records that the subtask may have been started once without counting the start.
func (t *task) noteUncounted() {
	t.uncounted = true
	p := t.progress()
	if p.UncountedStarts == nil {
		p.UncountedStarts = map[int]bool{}
	}
	p.UncountedStarts[t.id.Index] = true
}

// suspect reports whether workers have ended under the subtask, or may have.
func (t *task) suspect() bool { return t.crashes > 0 }

// endTrial records that a run is no longer on trial.
func (w *worker) endTrial(r *runState) {
	if r.trial && w.runs[w.key(r)] == r {
		w.tally.trials--
	}
	r.trial = false
}

// trialDue is when the worker will have survived all its trials.
func (w *worker) trialDue() time.Time {
	var due time.Time
	for _, r := range w.runs {
		if r.trial {
			due = later(due, r.startedAt.Add(trialTime))
		}
	}
	return due
}
