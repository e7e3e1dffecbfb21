package run

import (
	tw "github.com/tamarindworks/tamarindworks"
)

// readyPercent: a lasting subtask is at work when its worker says so.
const readyPercent = 100

// moveLasting takes lasting subtasks off workers that are leaving, so many of
// a step at a time as it may miss. What runs for a limited time is left to
// end by itself, unless its worker ends before.
func (o *Owner) moveLasting() {
	// What the former owner told to stop is listed as running until it has.
	if o.now.Sub(o.takeoverAt) < o.bounds.StopTime+2*shortPollWait {
		return
	}
	for _, w := range o.workers {
		if !w.vacating && !w.entry.Draining || w.unanswered > 0 {
			continue
		}
		for _, r := range w.runs {
			if r.phase != running || !r.task.step.spec.LongRunning {
				continue
			}
			// The platform takes a draining worker away in any case.
			if !w.entry.Draining && !o.mayInterrupt(r) {
				continue
			}
			if !o.roomElsewhere(w, r.task.step.spec) {
				continue
			}
			o.stop(r, "its worker is to be emptied")
		}
	}
}

// mayInterrupt tells whether the others of a lasting step are at work, but
// for fewer than it may miss.
func (o *Owner) mayInterrupt(r *runState) bool {
	st := r.task.step
	away := 0
	for _, t := range st.tasks {
		if t != r.task && !o.lastingReady(t) {
			away++
		}
	}
	return away < max(1, st.spec.MaxDisrupted)
}

// lastingReady tells whether a lasting subtask was at work when last looked at.
func (o *Owner) lastingReady(t *task) bool {
	if len(t.runs) != 1 {
		return false
	}
	r := t.runs[0]
	return r.phase == running && r.percent >= readyPercent && r.w.unanswered == 0 && !r.w.entry.Draining
}

// roomElsewhere tells whether another worker would take a subtask of a step, at
// once or after some of its present work has ended: placement keeps that room.
func (o *Owner) roomElsewhere(not *worker, spec *tw.Step) bool {
	for _, w := range o.workers {
		if w == not || w.vacating || !w.usable(o.now) {
			continue
		}
		if w.attainable().Fits(spec.Reservation()) && w.entry.HasLabel(spec.Label) {
			return true
		}
	}
	return false
}
