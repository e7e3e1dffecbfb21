package run

import (
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// settledPercent: a lasting subtask is at work when its worker says so.
const settledPercent = 100

// moveLasting takes lasting subtasks off workers that are leaving, so many of
// a step at a time as it may miss. What runs for a limited time is left to
// end by itself, unless its worker ends before.
func (o *Owner) moveLasting() {
	// What the former owner told to stop is listed as running until it has.
	if o.now.Sub(o.takenAt) < o.bounds.StopTime+2*closeLook {
		return
	}
	for _, w := range o.workers {
		if !w.leaving && !w.entry.Draining || w.unanswered > 0 {
			continue
		}
		for _, r := range w.runs {
			if r.phase != running || !r.task.step.spec.Lasting {
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
		if t != r.task && !o.atWork(t) {
			away++
		}
	}
	return away < max(1, st.spec.MaxAway)
}

// atWork tells whether a lasting subtask was at work when last looked at.
func (o *Owner) atWork(t *task) bool {
	if len(t.runs) != 1 {
		return false
	}
	r := t.runs[0]
	return r.phase == running && r.percent >= settledPercent && r.w.unanswered == 0 && !r.w.entry.Draining
}

// roomElsewhere tells whether another worker would take a subtask of a step.
func (o *Owner) roomElsewhere(not *worker, spec *tw.Step) bool {
	for _, w := range o.workers {
		if w == not || w.leaving || !w.usable(o.now) {
			continue
		}
		if w.free().Fits(spec.Claim()) && w.entry.HasLabel(spec.Label) {
			return true
		}
	}
	return false
}

// hasLasting counts the lasting subtasks on a worker.
func (w *worker) hasLasting() int {
	n := 0
	for _, r := range w.runs {
		if r.task.step.spec.Lasting {
			n++
		}
	}
	return n
}

const (
	// tailLimit is the share of a target above which fillers beside it are
	// slowed, tailCalm that below which they may speed up.
	tailLimit = 0.9
	tailCalm  = 0.6
	// paceCut is what one step of slowing leaves, paceRise what one step of
	// speeding up adds, in percent.
	paceCut  = 0.5
	paceRise = 15
	// paceFloor: below this a filler is held still.
	paceFloor = 15
	// paceRest is the least time between two changes of a filler's pace; the
	// tails are measured over half a second.
	paceRest = 700 * time.Millisecond
)

// watchTails slows the fillers beside subtasks whose tail nears its target,
// and lets them speed up again when it is calm.
func (o *Owner) watchTails(w *worker) {
	worst := 0.0
	for _, r := range w.runs {
		target := r.task.step.spec.TailTarget
		if target == 0 || r.phase != running {
			continue
		}
		ratio := float64(r.tail) / float64(target)
		worst = max(worst, ratio)
		if ratio < 1 {
			r.overFrom = time.Time{}
		} else if r.overFrom.IsZero() {
			r.overFrom = o.now
		}
	}
	for _, r := range w.runs {
		if r.task.step.spec.Filler && r.phase == running && o.now.Sub(r.paceSent) >= paceRest {
			o.adjustPace(w, r, worst)
		}
	}
}

func (o *Owner) adjustPace(w *worker, filler *runState, worst float64) {
	pace := max(0, filler.pace)
	switch {
	case worst >= 1:
		pace = 0
	case worst > tailLimit:
		pace = int(paceCut * float64(pace))
		if pace < paceFloor {
			pace = 0
		}
	case worst < tailCalm:
		pace = min(fullPace, pace+paceRise)
	}
	if pace == filler.pace {
		return
	}
	filler.pace = pace
	filler.paceSent = o.now
	o.log.Info("run: paced", zap.Stringer("subtask", filler.task.id), zap.String("worker", string(w.entry.ID)),
		zap.Int("percent", pace), zap.Float64("worst_tail_of_target", worst))
	o.sendPace(w, filler, pace)
}
