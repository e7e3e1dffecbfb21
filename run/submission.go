package run

import (
	"sync/atomic"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type (
	// submission is the owner's view of a submission.
	submission struct {
		tw.Submission
		// inherited submissions were accepted before this ownership: the
		// former owner may have started their subtasks anywhere.
		inherited bool
		// mayBeExhausted: former owners have started a subtask of it as often as it may be, and
		// have not recorded what came of that.
		mayBeExhausted bool
		// inboxPending: nothing of it is started before its message has been taken out
		// of the inbox. A successor who finds the message so knows that nothing
		// was started, and need not wait for workers that are silent: submissions
		// kept while a pool had no owner waited 5.8 s behind a cut (mean of a play).
		inboxPending bool
		// durable: it stands in the store.
		durable  bool
		progress ledger.Progress
		reps     map[int]*repetition
		// nextRep is the first repetition that has not been opened yet.
		nextRep int
		// recordedAt is when the last write of its progress that was done was sent.
		recordedAt time.Time
		// hasEarly: some of reps may be; each step of the loop asks for it.
		hasEarly bool
		begun    bool
		// pendingFinal is the final state that is to be recorded, final the one
		// that is recorded.
		pendingFinal  tw.SubmissionState
		final         tw.SubmissionState
		endedAt       time.Time
		waiters       []chan<- error
		cancelWaiters []chan<- error
	}

	// repetition is one repetition of a submission's steps.
	repetition struct {
		sub       *submission
		index     int
		due       time.Time
		steps     []*step
		openSteps int // steps that are not done
		// early: it was opened before it is due; nothing of it is started yet.
		early bool
	}

	// step is one step of a repetition.
	step struct {
		rep   *repetition
		index int
		spec  *tw.Step
		tasks []*task
		done  int
		// readyAt is when it was first found that the step may start.
		readyAt time.Time
		// totalRunTime gathers the run times of subtasks that are done.
		totalRunTime   time.Duration
		runTimeSamples int
		// gangFailures are the runs in which the gang failed.
		gangFailures map[tw.RunNumber]bool
		advice       *stepAdvice
	}

	// task is one subtask.
	task struct {
		id       tw.SubtaskID
		step     *step
		done     bool
		failures map[tw.RunNumber]bool
		// crashes are the workers in a row that have ended soon after it was started.
		crashes int
		// crashesUncertain: one of them may have outlasted the subtask.
		crashesUncertain bool
		// uncounted: a former owner may have started it once more than was counted.
		uncounted bool
		// crashedAt is when that changed last.
		crashedAt time.Time
		// startPrecounted: its next start is in crashes already.
		startPrecounted bool
		// trialWaitSince is since when it could have been tried apart from other work.
		trialWaitSince time.Time
		saved          tw.Checkpoint
		// runs are those that may exist on a worker.
		runs []*runState
		// lastFailedOn is where it failed last.
		lastFailedOn tw.WorkerID
		// lastStalledOn is where it stood still last.
		lastStalledOn tw.WorkerID
		// endedAt is when a run last ended, for whatever reason.
		endedAt time.Time
		// lostAt is when a run was given up without its worker's word. Until
		// the ownership is confirmed after that, a newer owner may know better.
		lostAt time.Time
	}

	// phase is what is known of a run.
	phase int

	// runState is a run that may exist on a worker.
	runState struct {
		// task is never nil: strayTask stands for one that is not known.
		task  *task
		run   tw.RunNumber
		w     *worker
		phase phase
		claim tw.Resources
		// firstVisiblePoll is the first look that must list the run, if it exists.
		firstVisiblePoll int64
		startedAt        time.Time
		percent          int
		// progressAt is when percent last changed.
		progressAt  time.Time
		tailLatency time.Duration
		pace        int // in percent, as last ordered
		// orderedAt is when a stop or a pace was last sent.
		orderedAt time.Time
		// stopReason the run was told to stop.
		stopReason string
		// pending is the order to start it; nil for a run that this owner has not ordered.
		pending *pendingStart
		// withdrawn: its start must not be sent any more; sent: it was.
		withdrawn, sent atomic.Bool
		// sinceLastAnswer is how long before the order the worker had last answered; cutOff: the
		// connection was closed before it answered the order.
		sinceLastAnswer time.Duration
		connectionLost  bool
		// firstSeen is the worker's clock when it first told of the run; zero before.
		firstSeen tw.WorkerTime
		// precounted: it was counted as a crash before its start, until it is known not to be one.
		precounted bool
		// trial: its subtask is a suspect, and the worker has not outlasted it yet.
		trial bool
	}
)

const (
	// starting: the order is under way.
	starting phase = iota
	// running: the worker has confirmed it.
	running
	// unconfirmed: the order to start it was not answered.
	unconfirmed
	// stopping: it was told to stop, or never to start.
	stopping
	// stopConfirmed: the worker has confirmed the stop.
	stopConfirmed
)

func (p phase) String() string {
	return [...]string{"starting", "running", "unclear", "stopping", "blocked"}[p]
}

// newSubmission takes up a submission with the progress that is recorded.
func newSubmission(s tw.Submission, progress ledger.Progress) *submission {
	sub := &submission{Submission: s, progress: progress, reps: map[int]*repetition{}}
	sub.nextRep = progress.Finished
	if progress.CancelRequested {
		sub.pendingFinal = tw.SubmissionCancelled
	}
	return sub
}

// openDue opens the repetitions that are due, and those below a number in any case.
// What has no time of its own is due at once, whatever the accepting daemon's time
// of day was.
func (s *submission) openDue(now time.Time, below int) {
	for s.nextRep < s.Repetitions() {
		due := s.Due(s.nextRep)
		if due.After(now) && s.Scheduled() && s.nextRep >= below {
			return
		}
		if due.After(now) && !s.Scheduled() {
			due = now
		}
		s.openRepetition(s.nextRep, due)
		if rep := s.reps[s.nextRep]; rep != nil {
			rep.early = due.After(now)
			s.hasEarly = s.hasEarly || rep.early
		}
		s.nextRep++
	}
}

// hasFutureRepetitions tells whether a repetition is still to come or to begin.
func (s *submission) hasFutureRepetitions() bool { return s.hasEarly || s.nextRep < s.Repetitions() }

// beginDue lets the repetitions begin that were opened early and are due now. It returns
// when the next one is.
func (s *submission) beginDue(now time.Time) (begun bool, next time.Time) {
	if !s.hasEarly {
		return false, time.Time{}
	}
	s.hasEarly = false
	for _, rep := range s.reps {
		switch {
		case !rep.early:
		case now.Before(rep.due):
			s.hasEarly, next = true, earlier(rep.due, next)
		default:
			rep.early, begun = false, true
		}
	}
	return begun, next
}

// recordedDone tells whether a repetition beyond the first open one is done.
func (s *submission) recordedDone(k int) bool {
	recorded := s.progress.Repetitions[k]
	if recorded == nil || len(recorded.Steps) < len(s.Steps) {
		return false
	}
	for i := range s.Steps {
		p := recorded.Steps[i]
		if p == nil || !p.Done.All(s.Steps[i].Count) {
			return false
		}
	}
	return true
}

func (s *submission) openRepetition(k int, due time.Time) {
	if s.recordedDone(k) {
		return
	}
	r := &repetition{sub: s, index: k, due: due, openSteps: len(s.Steps)}
	for i := range s.Steps {
		r.steps = append(r.steps, r.newStep(i))
	}
	s.reps[k] = r
}

func (r *repetition) newStep(i int) *step {
	spec := &r.sub.Steps[i]
	st := &step{rep: r, index: i, spec: spec, gangFailures: map[tw.RunNumber]bool{}}
	var recorded *ledger.StepProgress
	if rep := r.sub.progress.Repetitions[r.index]; rep != nil {
		recorded = rep.Steps[i]
	}
	for n := range spec.Count {
		t := &task{
			id:   tw.SubtaskID{Submission: r.sub.ID, Repetition: r.index, Step: i, Index: n},
			step: st,
		}
		if recorded != nil {
			t.restore(recorded)
		}
		st.tasks = append(st.tasks, t)
	}
	if st.done == spec.Count {
		r.openSteps--
	}
	return st
}

func (t *task) restore(recorded *ledger.StepProgress) {
	if recorded.Done.Has(t.id.Index) {
		t.done = true
		t.step.done++
		t.step.rep.sub.begun = true
	}
	for _, run := range recorded.Failures[t.id.Index] {
		t.fail(run)
	}
	t.crashes = recorded.Crashes[t.id.Index]
	t.crashesUncertain = t.crashes > 0
	t.uncounted = recorded.UncountedStarts[t.id.Index]
	t.saved = recorded.Checkpoints[t.id.Index]
}

// fail counts a failed run once.
func (t *task) fail(run tw.RunNumber) (first bool) {
	if t.failures == nil {
		t.failures = map[tw.RunNumber]bool{}
	}
	first = !t.failures[run]
	t.failures[run] = true
	if t.step.spec.Gang {
		t.step.gangFailures[run] = true
	}
	return first
}

// failed counts the failures that go against the subtask's attempts.
func (t *task) failed() int {
	if t.step.spec.Gang {
		return len(t.step.gangFailures)
	}
	return len(t.failures)
}

// ready tells whether the steps that the step waits for are done.
func (st *step) ready() bool {
	for _, earlier := range st.spec.After {
		if dep := st.rep.steps[earlier]; dep.done < dep.spec.Count {
			return false
		}
	}
	return true
}

// state is what callers are told.
func (s *submission) state() tw.SubmissionState {
	switch {
	case s.final != "":
		return s.final
	case s.begun:
		return tw.SubmissionStarted
	}
	return tw.SubmissionWaiting
}

// closed tells whether nothing more is to be started.
func (s *submission) closed() bool { return s.final != "" || s.pendingFinal != "" }

// task finds a subtask, or nil.
func (s *submission) task(id tw.SubtaskID) *task {
	r := s.reps[id.Repetition]
	if r == nil || id.Step < 0 || id.Step >= len(r.steps) {
		return nil
	}
	tasks := r.steps[id.Step].tasks
	if id.Index < 0 || id.Index >= len(tasks) {
		return nil
	}
	return tasks[id.Index]
}

// active tells whether a run of the subtask may exist.
func (t *task) active() bool { return len(t.runs) > 0 }

// findRun is the run with a number, or nil.
func (t *task) findRun(run tw.RunNumber) *runState {
	for _, r := range t.runs {
		if r.run == run {
			return r
		}
	}
	return nil
}

func (t *task) removeRun(r *runState) {
	for i, have := range t.runs {
		if have == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return
		}
	}
}
