package run

import (
	"slices"
	"sync/atomic"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type (
	// submission is the owner's view of a submission.
	submission struct {
		tw.Submission
		// inherited submissions were accepted before this ownership. The previous owner may
		// have started their subtasks on any worker.
		inherited bool
		// mayBeExhausted: previous owners have started one of its subtasks as often as
		// allowed, and have not recorded the outcome.
		mayBeExhausted bool
		// inboxPending: none of its subtasks is started before its message has been removed
		// from the inbox. A successor that finds the message thus knows that nothing was
		// started, and need not wait for silent workers. Without this, submissions stored
		// while a pool had no owner waited 5.8 s on average during a network partition.
		inboxPending bool
		// cancelInInbox: the inbox has the notice of a confirmed cancel of it, which is deleted once its
		// end is recorded.
		cancelInInbox bool
		// unsubmitted: it was cancelled before it was stored, and never is.
		unsubmitted bool
		// durable: it is in the store.
		durable bool
		// ahead is how far its organisation was ahead of its weight with it; zero if it is
		// within the weight.
		ahead    time.Duration
		progress ledger.Progress
		reps     map[int]*repetition
		// nextRep is the first repetition that has not been opened yet.
		nextRep int
		// recordedAt is when the last successful write of its progress was sent.
		recordedAt time.Time
		// hasEarly: some of reps may be early. It is read in each iteration of the owner's loop.
		hasEarly bool
		begun    bool
		// pendingFinal is the final state that is to be recorded, final the one that is
		// recorded.
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
		// class is its class when it last waited for workers.
		class workClass
		// early: it was opened before it is due. None of its subtasks is started yet.
		early bool
	}

	// step is one step of a repetition.
	step struct {
		rep   *repetition
		index int
		spec  *tw.Step
		tasks []*task
		done  int
		// waiting counts the subtasks that are neither done nor have a run.
		waiting int
		// changed: a subtask is not as it was when the submission was accepted. ids are all
		// subtasks, which wait as long as it is unset; nil if not needed yet.
		changed bool
		ids     []tw.SubtaskID
		// readyAt is when the step was first found ready to start.
		readyAt time.Time
		// totalRunTime is the sum of the run times of subtasks that are done, runTimeSamples
		// their number.
		totalRunTime   time.Duration
		runTimeSamples int
		// learned: the expected run times have learned from it.
		learned bool
		// estimate is the last estimate of the run time from other steps.
		estimate cachedEstimate
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
		// crashes is the number of workers in a row that have ended soon after it was started, or
		// may have.
		crashes int
		// precounted are the starts in crashes that were counted before they were ordered and of
		// which the outcome is unknown, by this owner or a previous one.
		precounted []ledger.PrecountedStart
		// crashesUncertain: one of these workers may have ended for another reason.
		crashesUncertain bool
		// uncounted: one more start may have been made than was counted, by this owner or a
		// previous one.
		uncounted bool
		// crashedAt is when a crash was last counted, also in advance.
		crashedAt time.Time
		// trialWaitSince is since when it has waited for a trial; zero if it does not wait.
		trialWaitSince time.Time
		lastCheckpoint tw.Checkpoint
		// runs are the runs that may exist on a worker.
		runs []*runState
		// lastFailedOn is the worker on which it failed last.
		lastFailedOn tw.WorkerID
		// lastStalledOn is the worker on which it stalled last.
		lastStalledOn tw.WorkerID
		// endedAt is when a run last ended, for any reason.
		endedAt time.Time
		// lostAt is when a run was given up without a report of its end. Until the ownership
		// is confirmed after that, a newer owner may know better.
		lostAt time.Time
	}

	// phase is the state of a run as known to the owner.
	phase int

	// runState is a run that may exist on a worker.
	runState struct {
		// task is never nil; an unknown one is replaced by orphanTask.
		task        *task
		run         tw.RunNumber
		w           *worker
		phase       phase
		reservation tw.Resources
		// firstVisiblePoll is the first poll that must list the run, if it exists.
		firstVisiblePoll int64
		startedAt        time.Time
		percent          int
		// progressAt is when percent last changed.
		progressAt  time.Time
		tailLatency time.Duration
		pace        int // in percent, as last ordered
		// orderedAt is when a stop or a pace was last sent.
		orderedAt time.Time
		// stopOpen: a stop is queued or has no result yet.
		stopOpen bool
		// stopReason is why the run was stopped, stoppedAt when that was first ordered.
		stopReason string
		stoppedAt  time.Time
		// pending is its place in the send window; nil for a run that this owner has not placed.
		pending *pendingStart
		// withdrawn: its start must not be sent any more; sent: it was sent.
		withdrawn, sent atomic.Bool
		// sinceLastAnswer is the age of the worker's last answer when the start was ordered.
		// connectionLost: the connection was closed before the start was answered.
		sinceLastAnswer time.Duration
		connectionLost  bool
		// crashCounted: the end of a worker was counted against it. One order starts it once.
		crashCounted bool
		// startOpen: the order to start it, or a copy of it, has no answer and may be carried out
		// later. copies is how often the order was sent; zero until that is known.
		startOpen bool
		copies    int
		// doubtUntil is until when it is expected to be started by the next worker with the ID of its
		// own, which is taken for ended; zero if that was never so.
		doubtUntil time.Time
		// firstSeen is the worker's clock when it first reported the run; zero before.
		firstSeen tw.WorkerTime
		// reported: a report of its worker has listed it. Unlike an answer to the start, a report
		// tells which incarnation it is from.
		reported bool
		// trial: its subtask is a suspect, and the worker has not survived it yet.
		trial bool
		// resumed: it went on from a checkpoint.
		resumed bool
	}
)

const (
	// placed: it has a worker, and is ordered once its start is recorded as a possible crash.
	placed phase = iota
	// starting: the order to start it is in flight.
	starting
	// running: the worker has confirmed it.
	running
	// unconfirmed: the order to start it was not answered.
	unconfirmed
	// stopping: a stop was ordered, which also revokes a start.
	stopping
	// stopConfirmed: the worker has confirmed the stop.
	stopConfirmed
)

func (p phase) String() string {
	return [...]string{"placed", "starting", "running", "unclear", "stopping", "blocked"}[p]
}

// newSubmission returns a submission with its recorded progress.
func newSubmission(s tw.Submission, progress ledger.Progress) *submission {
	sub := &submission{Submission: s, progress: progress, reps: map[int]*repetition{}}
	sub.nextRep = progress.Finished
	if progress.CancelRequested {
		sub.pendingFinal = tw.SubmissionCancelled
	}
	return sub
}

// openDue opens the repetitions that are due, and those below a number in any case. A submission
// without a schedule is due at once, whatever the clock of the accepting daemon was.
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

// hasFutureRepetitions reports whether a repetition is still to be opened or to begin.
func (s *submission) hasFutureRepetitions() bool { return s.hasEarly || s.nextRep < s.Repetitions() }

// beginDue begins the repetitions that were opened early and are due now. It returns when the
// next one is due.
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

// recordedDone reports whether a repetition after the first open one is recorded as done.
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
	st := &step{rep: r, index: i, spec: spec, tasks: make([]*task, 0, spec.Count), waiting: spec.Count}
	var recorded *ledger.StepProgress
	if rep := r.sub.progress.Repetitions[r.index]; rep != nil {
		recorded = rep.Steps[i]
	}
	tasks := make([]task, spec.Count)
	for n := range spec.Count {
		t := &tasks[n]
		t.id, t.step = tw.SubtaskID{Submission: r.sub.ID, Repetition: r.index, Step: i, Index: n}, st
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
	t.step.changed = true
	if recorded.Done.Has(t.id.Index) {
		t.setDone()
		t.step.rep.sub.begun = true
	}
	for _, run := range recorded.Failures[t.id.Index] {
		t.fail(run)
	}
	t.crashes = recorded.Crashes[t.id.Index]
	t.precounted = slices.Clone(recorded.PrecountedStarts[t.id.Index])
	t.crashesUncertain = t.crashes > 0
	t.uncounted = recorded.UncountedStarts[t.id.Index]
	t.lastCheckpoint = recorded.Checkpoints[t.id.Index]
}

// fail counts a failed run once. It reports whether the run is new.
func (t *task) fail(run tw.RunNumber) (first bool) {
	if t.failures == nil {
		t.failures = map[tw.RunNumber]bool{}
	}
	first = !t.failures[run]
	t.failures[run] = true
	if t.step.spec.Gang {
		if t.step.gangFailures == nil {
			t.step.gangFailures = map[tw.RunNumber]bool{}
		}
		t.step.gangFailures[run] = true
	}
	return first
}

// failed returns the number of failures that count against the subtask's attempts.
func (t *task) failed() int {
	if t.step.spec.Gang {
		return len(t.step.gangFailures)
	}
	return len(t.failures)
}

// ready reports whether the steps that the step depends on are done.
func (st *step) ready() bool {
	for _, earlier := range st.spec.After {
		if dep := st.rep.steps[earlier]; dep.done < dep.spec.Count {
			return false
		}
	}
	return true
}

// state returns the state that is reported to callers.
func (s *submission) state() tw.SubmissionState {
	switch {
	case s.final != "":
		return s.final
	case s.begun:
		return tw.SubmissionStarted
	}
	return tw.SubmissionWaiting
}

// closed reports whether nothing more is to be started.
func (s *submission) closed() bool { return s.final != "" || s.pendingFinal != "" }

// task returns a subtask, or nil.
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

// active reports whether a run of the subtask may exist.
func (t *task) active() bool { return len(t.runs) > 0 }

// findRun returns the run with a number, or nil.
func (t *task) findRun(run tw.RunNumber) *runState {
	for _, r := range t.runs {
		if r.run == run {
			return r
		}
	}
	return nil
}
