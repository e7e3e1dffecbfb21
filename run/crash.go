package run

import (
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// A subtask may bring down each worker that starts it. What tells it from one whose
// workers end for reasons of their own is how soon that comes after its start, and that
// it comes again: so a run that its worker has not outlasted makes its subtask a suspect,
// suspects are tried apart from each other and from what was started just before, and
// one that goes down with several workers in a row is given up.

const (
	// probation is for how long a worker must live on, by its own clock, after a run has
	// begun, so that the run is not taken for the cause of its end. Subtasks that crash
	// their workers did so within 10 ms; a start waits for its answer up to 0.2 s.
	probation = 150 * time.Millisecond
	// trialTime is how long a trial takes by the owner's clock: the start is answered within
	// some milliseconds, and the worker's clock may run slow.
	trialTime = probation + probation/10
	// restartLeast is less than a machine takes to run a worker again that a subtask has
	// brought down: that takes some seconds.
	restartLeast = time.Second
	// justAnswered is within which time after its last answer a worker counts as alive.
	justAnswered = 100 * time.Millisecond
	// crashesToGiveUp is after how many workers in a row a subtask is given up. It may be
	// after two, and must not be started for the third time after the third. With two,
	// work that is only unlucky is given up far more often where many workers crash.
	crashesToGiveUp = 3
	// crashKnownWithin is how soon after a start an owner that isn't slow knows that the worker
	// has ended under it, unless the worker was silent: 560 of 563 crashes on days of deadly
	// subtasks were known by then, the others 0.52 s after the start.
	crashKnownWithin = 500 * time.Millisecond
	// crashesInDoubt is the count at which a subtask is given up though it may have had no part
	// in some of them: one start more would be the third after the third crash. They were
	// counted before a start by an owner that was replaced before it recorded what came of it,
	// were learned so late that the worker may have outlasted the subtask, or work of other
	// submissions may have caused the last one. With three in any case, innocent work was given
	// up on 8 of 1,000 seeds of TestAllSoak, in which owners are short.
	crashesInDoubt = crashesToGiveUp + 2
)

// outlasted tells whether the run's worker has lived on for so long that the run is not
// what ends it. Members of a gang only begin to work when all are there.
func (w *worker) outlasted(r *runState) bool {
	if r.seenFrom == 0 || r.task.step.spec.Gang && r.percent == 0 {
		return false
	}
	return w.clock >= r.seenFrom.Add(probation)
}

// seen notes that a run is on its worker, by the worker's clock.
func (r *runState) seen(clock tw.WorkerClock) {
	if r.seenFrom == 0 {
		r.seenFrom = clock
	}
}

// blame counts the end of a worker against the subtasks that may have caused it. followed: another
// life of its machine answers by now.
func (o *Owner) blame(w *worker, followed bool) {
	if w.entry.Draining {
		return
	}
	var candidates []*runState
	for _, r := range w.runs {
		switch {
		case w.outlasted(r):
			o.exonerate(r.task)
		case followed && o.now.Sub(r.startedAt) < restartLeast:
			o.log.Info("run: has not ended its worker, which is back too soon", zap.Stringer("subtask", r.task.id),
				zap.String("worker", string(w.entry.ID)), zap.Duration("since_start", o.now.Sub(r.startedAt)))
		case r.reached():
			candidates = append(candidates, r)
		}
	}
	company := severalSubmissions(candidates)
	for _, r := range candidates {
		o.crashedUnder(w, r, company)
	}
}

// severalSubmissions tells whether runs are of more than one submission.
func severalSubmissions(runs []*runState) bool {
	return slices.ContainsFunc(runs, func(r *runState) bool { return r.task.id.Submission != runs[0].task.id.Submission })
}

// reached tells whether the order to start the run came to a living worker: it was
// answered, its connection broke before it was, or the worker had answered just before. A
// worker that nothing runs on is not looked at, and may lie dead for long.
func (r *runState) reached() bool {
	return r.seenFrom != 0 || r.sent.Load() && (r.cutOff || r.afterAnswer <= justAnswered)
}

// crashedUnder counts the end of a worker against a run; company: work of other submissions may
// have caused it as well.
func (o *Owner) crashedUnder(w *worker, r *runState, company bool) {
	t := r.task
	sub := t.step.rep.sub
	if t.done || sub.over() {
		return
	}
	if !r.ahead {
		t.setCrashes(t.crashes + 1)
	}
	r.ahead = false
	t.crashedAt = o.now
	sinceStart := o.now.Sub(r.startedAt)
	t.inDoubt = t.inDoubt || sinceStart > o.knownWithin()
	most := t.mostCrashes(company)
	o.metrics.suspected.Inc()
	o.writer.mark(sub)
	o.log.Info("run: may have ended its worker", zap.Stringer("subtask", t.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(w.entry.ID)), zap.Int("workers", t.crashes), zap.Bool("on_trial", r.trial),
		zap.Duration("since_start", sinceStart), zap.Bool("company", company), zap.Int("give_up_at", most))
	if t.crashes-t.countedAhead() >= most {
		o.giveUp(t)
	}
}

// knownWithin is how soon after a start it is known that the worker has ended under it. The
// looks of an owner that is slow come late: any that comes after probation leaves a doubt.
func (o *Owner) knownWithin() time.Duration {
	if o.window.age >= slowOrder {
		return probation
	}
	return crashKnownWithin
}

// mostCrashes is the count at which a subtask is given up after a crash; company: work of other
// submissions may have caused it as well.
func (t *task) mostCrashes(company bool) int {
	if t.inDoubt || company {
		return t.mostInDoubt()
	}
	return crashesToGiveUp
}

// mostInDoubt is crashesInDoubt, less the start that may have gone uncounted.
func (t *task) mostInDoubt() int {
	if t.uncounted {
		return crashesInDoubt - 1
	}
	return crashesInDoubt
}

// progress is what is recorded of the subtask's step.
func (t *task) progress() *ledger.StepProgress {
	return t.step.rep.sub.progress.Step(t.id.Repetition, t.id.Step)
}

// countedAhead is how many of the crashes are counted for starts whose workers may live on.
func (t *task) countedAhead() int {
	n := 0
	if t.ahead {
		n++
	}
	for _, r := range t.runs {
		if r.ahead {
			n++
		}
	}
	return n
}

func (o *Owner) giveUp(t *task) {
	o.conclude(t.step.rep.sub, tw.Failed, "workers have ended under subtask "+t.id.String()+" each time it was started")
}

// spent tells whether former owners have started a subtask as often as it may be.
func (s *submission) spent() bool { return s.firstTask((*task).spent) != nil }

// spent tells whether the subtask must not be started again.
func (t *task) spent() bool { return !t.done && !t.ahead && t.crashes >= t.mostInDoubt() }

// gaveUpSpent gives a submission up of which a subtask would have to be started once more
// than it may be, and tells whether it did. Until all workers are known it isn't: the last
// start may be alive, and one of 2,000 seeds of TestSoak lost innocent work whose run went on.
func (o *Owner) gaveUpSpent(sub *submission) bool {
	t := sub.firstTask(func(t *task) bool { return !t.active() && t.spent() })
	if t == nil {
		return false
	}
	o.giveUp(t)
	return true
}

// firstTask is a subtask of the open repetitions for which a condition holds, or nil.
func (s *submission) firstTask(is func(*task) bool) *task {
	for _, rep := range s.reps {
		for _, st := range rep.steps {
			if i := slices.IndexFunc(st.tasks, is); i >= 0 {
				return st.tasks[i]
			}
		}
	}
	return nil
}

// countAhead counts the next start of a subtask as a crash before it is made. Else, if the
// ownership ended before a crash is recorded, the next owner would not know of it.
func (o *Owner) countAhead(t *task) {
	t.ahead = true
	if t.crashes == 0 && t.step.rep.sub.inherited {
		t.noteUncounted()
	}
	t.setCrashes(t.crashes + 1)
	t.crashedAt = o.now
	o.writer.mark(t.step.rep.sub)
}

// countsAhead tells whether that is to be done: for suspects, for what a former owner may have
// started, and for a copy of a run whose worker may have ended under it, so that the first
// start of a new submission waits for no record, and no second one goes uncounted.
func (t *task) countsAhead() bool {
	if t.ahead || t.crashes >= t.mostInDoubt() {
		return false
	}
	return t.suspect() || t.step.rep.sub.inherited || t.unproven()
}

// unproven tells whether a worker may have ended under a run of the subtask.
func (t *task) unproven() bool {
	return slices.ContainsFunc(t.runs, func(r *runState) bool { return !r.w.outlasted(r) })
}

// uncount takes back that a run was counted as a crash, as it ended in another way.
func (o *Owner) uncount(r *runState) {
	t := r.task
	sub := t.step.rep.sub
	if !r.ahead || t.crashes == 0 || t.done || sub.over() {
		return
	}
	r.ahead = false
	t.setCrashes(t.crashes - 1)
	o.writer.mark(sub)
}

// exonerate clears a subtask of suspicion, as a worker has outlasted a run of it.
func (o *Owner) exonerate(t *task) {
	if t.crashes == 0 {
		return
	}
	t.setCrashes(0)
	o.placeSoon = true
	sub := t.step.rep.sub
	if !sub.over() {
		o.writer.mark(sub)
	}
	for _, r := range t.runs {
		r.ahead = false
		r.w.endTrial(r)
	}
	o.log.Info("run: cleared, its worker lives on", zap.Stringer("subtask", t.id))
}

// exonerateOn clears the suspects that a worker has outlasted.
func (o *Owner) exonerateOn(w *worker) {
	if w.tally.trials == 0 {
		return
	}
	for _, r := range w.runs {
		if r.trial && w.outlasted(r) {
			o.exonerate(r.task)
		}
	}
}

// setCrashes keeps how many workers in a row have ended under the subtask, also in
// what is recorded of it.
func (t *task) setCrashes(n int) {
	t.crashes = n
	p := t.progress()
	if n == 0 {
		t.inDoubt, t.uncounted = false, false
		delete(p.Crashes, t.id.Index)
		delete(p.Uncounted, t.id.Index)
		return
	}
	if p.Crashes == nil {
		p.Crashes = map[int]int{}
	}
	p.Crashes[t.id.Index] = n
}

// noteUncounted notes that a former owner may have started the subtask without counting that.
func (t *task) noteUncounted() {
	t.uncounted = true
	p := t.progress()
	if p.Uncounted == nil {
		p.Uncounted = map[int]bool{}
	}
	p.Uncounted[t.id.Index] = true
}

// suspect tells whether workers have ended under the subtask, or may have.
func (t *task) suspect() bool { return t.crashes > 1 || t.crashes > 0 && !t.ahead }

// endTrial notes that a run is not on trial any more.
func (w *worker) endTrial(r *runState) {
	if r.trial && w.runs[w.key(r)] == r {
		w.tally.trials--
	}
	r.trial = false
}

// trialDue is when the suspects on a worker will have been outlasted, if it lives on.
func (w *worker) trialDue() time.Time {
	var due time.Time
	for _, r := range w.runs {
		if r.trial {
			due = later(due, r.startedAt.Add(trialTime))
		}
	}
	return due
}
