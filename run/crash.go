package run

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
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
	// justAnswered is within which time after its last answer a worker counts as alive.
	justAnswered = 100 * time.Millisecond
	// crashesToGiveUp is after how many workers in a row a subtask is given up. It may be
	// after two, and must not be started for the third time after the third. With two,
	// work that is only unlucky is given up far more often where many workers crash.
	crashesToGiveUp = 3
	// crashesUnseen is the count at which a subtask is given up though no owner has seen the
	// last of them: each was counted before a start by an owner that was replaced before it
	// recorded what came of it. One start more would be the third after the third crash.
	crashesUnseen = crashesToGiveUp + 2
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

// blame counts the end of a worker against the subtasks that may have caused it.
func (o *Owner) blame(w *worker) {
	if w.entry.Draining {
		return
	}
	for _, r := range w.runs {
		switch {
		case w.outlasted(r):
			o.exonerate(r.task)
		case r.reached() && r.phase != blocked:
			o.crashedUnder(w, r)
		}
	}
}

// reached tells whether the order to start the run came to a living worker: it was
// answered, its connection broke before it was, or the worker had answered just before. A
// worker that nothing runs on is not looked at, and may lie dead for long.
func (r *runState) reached() bool {
	return r.seenFrom != 0 || r.sent.Load() && (r.cutOff || r.afterAnswer <= justAnswered)
}

// timedOut tells whether a call ended because nothing came, rather than by a connection
// that was closed.
func timedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (o *Owner) crashedUnder(w *worker, r *runState) {
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
	o.metrics.suspected.Inc()
	o.writer.mark(sub)
	o.log.Info("run: may have ended its worker", zap.Stringer("subtask", t.id), zap.Int64("run", int64(r.run)),
		zap.String("worker", string(w.entry.ID)), zap.Int("workers", t.crashes), zap.Bool("on_trial", r.trial))
	if t.crashes-t.countedAhead() >= crashesToGiveUp {
		o.giveUp(t)
	}
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

// giveUpUnseen gives a submission up that former owners have started too often without
// recording what came of it.
func (o *Owner) giveUpUnseen(sub *submission) {
	for _, rep := range sub.reps {
		for _, st := range rep.steps {
			for _, t := range st.tasks {
				if !t.done && t.crashes >= crashesUnseen {
					o.giveUp(t)
					return
				}
			}
		}
	}
}

// countAhead counts the next start of a subtask as a crash before it is made. Else, if the
// ownership ended before a crash is recorded, the next owner would not know of it.
func (o *Owner) countAhead(t *task) {
	t.ahead = true
	t.setCrashes(t.crashes + 1)
	t.crashedAt = o.now
	o.writer.mark(t.step.rep.sub)
}

// countsAhead tells whether that is to be done: for suspects, and for what a former owner
// may have started, so that the first start of a new submission waits for no record.
func (t *task) countsAhead() bool {
	return !t.ahead && t.crashes < crashesUnseen && (t.suspect() || t.step.rep.sub.inherited)
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
	p := t.step.rep.sub.progress.Step(t.id.Repetition, t.id.Step)
	if n == 0 {
		delete(p.Crashes, t.id.Index)
		return
	}
	if p.Crashes == nil {
		p.Crashes = map[int]int{}
	}
	p.Crashes[t.id.Index] = n
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
