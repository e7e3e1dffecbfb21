package run

import (
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

type (
	// worker is the owner's view of one life of a worker.
	worker struct {
		entry  tw.WorkerEntry
		rank   int
		listed bool
		// missingSince is when the entry went from the list of workers.
		missingSince time.Time
		// duplicateSince is since when another life of its machine is known; zero if
		// none is.
		duplicateSince time.Time
		session        *session
		// stateKnown: it has answered to this owner's fence, so what runs there
		// is stateKnown.
		stateKnown bool
		// startTime is the life that it told of; zero if it told of none.
		startTime tw.WorkerStartTime
		// grantsExpireAt is when everything that any owner may have started there
		// has ended, if nothing is heard of it before.
		grantsExpireAt time.Time
		// mayHaveInheritedRuns: it was there before this ownership and has not
		// answered yet; runs of the former owner may be on it.
		mayHaveInheritedRuns bool

		// runs are changed by add and remove alone, which keep the tally.
		runs  map[runKey]*runState
		tally tally
		// usage is that of all workers of the pool.
		usage usage
		// seenEnd is the last end that was taken up, recordedEnd the last whose
		// effect is in the store, confirmedEnd the last that the worker was confirmedEnd of.
		seenEnd, recordedEnd, confirmedEnd int64
		// unrecorded are the ends that are seen and not recorded, in their order.
		unrecorded []endMark

		clock   tw.WorkerTime // as of clockAt
		clockAt time.Time

		polling  bool
		polledAt time.Time // of the last answer
		nextPoll time.Time // not before
		// probeSince is when the list of machines was asked for that says that this
		// life has ended, until it answers.
		probeSince  time.Time
		unanswered  int // orders in a row without an answer
		silentSince time.Time

		// startsInFlight are the orders to start on their way, startTook is the smoothed time that
		// such an order takes from its sending to its answer; zero if none was answered.
		startsInFlight int
		startLatency   time.Duration

		health    workerHealth
		vacating  bool // its machine is wanted for something else
		fullUntil time.Time
	}

	// tally is what the runs of a worker take. Placement asks for it at each pass
	// of every worker.
	tally struct {
		used, lasting    tw.Resources
		lastingRuns      int
		fillers, serving int
		trials           int // of suspects
	}

	// runKey names a run on a worker.
	runKey struct {
		task tw.SubtaskID
		run  tw.RunNumber
	}

	// workerHealth is how a worker did of late.
	workerHealth struct {
		failures         int // in a row, of subtasks that have not failed elsewhere
		quarantinedUntil time.Time
		slowness         float64 // run time over what was expected, smoothed
		slowSamples      int
	}
)

const (
	// slownessWeight smooths slowness over about the last four runs, so that
	// a worker is known as slow after few.
	slownessWeight = 0.25
	// slowWorkerRatio: a worker that takes so much longer is used last. Siblings
	// of a step differ by about 15%.
	slowWorkerRatio = 1.6
	// failuresToQuarantine in a row keep work away from a worker.
	failuresToQuarantine = 2
	// quarantineTime is how long a worker is kept without work; grey workers of
	// the platform's pages stay so for about 5 s.
	quarantineTime = 5 * time.Second
	// stallQuarantineTime is the same after a run stood still there.
	stallQuarantineTime = 4 * time.Second
	// fullBackoff keeps work away from a worker that said it is full.
	fullBackoff = 300 * time.Millisecond
)

// estimateClock is an estimate of the worker's clock that does not run ahead by
// more than the way of an order.
func (w *worker) estimateClock(now time.Time) tw.WorkerTime {
	// Reckoned without the drift, the deadline of a start on a worker that was idle for
	// a minute was 1.2 s beyond what its owner counted on.
	return w.clock.Add(time.Duration(float64(now.Sub(w.clockAt)) / clockDrift))
}

// noteAnswer notes the worker's clock as read from an answer.
func (w *worker) noteAnswer(now time.Time, clock tw.WorkerTime) {
	if clock != 0 {
		w.clock, w.clockAt = clock, now
	}
	w.unanswered = 0
	w.silentSince = time.Time{}
}

// answerAgeField is the age of the last answer, for a log line; nothing if there was none.
func (w *worker) answerAgeField(now time.Time) zap.Field {
	if w.clockAt.IsZero() {
		return zap.Skip()
	}
	return zap.Duration("last_answer", now.Sub(w.clockAt))
}

// noteUnanswered notes an order without an answer.
func (w *worker) noteUnanswered(now time.Time) {
	w.unanswered++
	if w.silentSince.IsZero() {
		w.silentSince = now
	}
}

// usable tells whether new work may be put there.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.stateKnown && !w.entry.Draining && w.unanswered == 0 &&
		!now.Before(w.health.quarantinedUntil) && !now.Before(w.fullUntil)
}

// add notes a run on the worker.
func (w *worker) add(r *runState) {
	w.runs[w.key(r)] = r
	w.tally.count(r, 1)
	w.usage.add(r, 1)
}

// remove forgets a run; a run that is not there is no harm.
func (w *worker) remove(r *runState) {
	key := w.key(r)
	if w.runs[key] != r {
		return
	}
	delete(w.runs, key)
	w.tally.count(r, -1)
	w.usage.add(r, -1)
}

// count adds a run n times.
func (t *tally) count(r *runState, n int) {
	spec := r.task.step.spec
	claim := r.claim.Times(n)
	t.used = t.used.Plus(claim)
	if spec.LongRunning {
		t.lasting = t.lasting.Plus(claim)
		t.lastingRuns += n
	}
	if spec.Filler {
		t.fillers += n
	}
	if spec.TailTarget > 0 {
		t.serving += n
	}
	if r.trial {
		t.trials += n
	}
}

// free is the capacity that no run takes.
func (w *worker) free() tw.Resources { return w.entry.Capacity.Minus(w.tally.used) }

// attainable is the capacity that is free once all that does not last has ended.
func (w *worker) attainable() tw.Resources { return w.entry.Capacity.Minus(w.tally.lasting) }

// offer is the worker as the scheduler sees it; most bounds what may be placed there.
func (w *worker) offer(most int) *schedule.Worker {
	out := &schedule.Worker{
		MaxPlacements: most,
		ID:            w.entry.ID,
		Hall:          w.entry.Hall,
		Rack:          w.entry.Rack(),
		Labels:        w.entry.Labels,
		Free:          w.free(),
		Rank:          w.rank,

		Attainable: w.attainable(),
		Fillers:    w.tally.fillers,
		Serving:    w.tally.serving,
	}
	if w.health.slowness > slowWorkerRatio {
		out.Suspicion = 1
	}
	return out
}

// noteRunTime notes how long a run took against what was expected.
func (w *worker) noteRunTime(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	if w.health.slowSamples == 0 {
		w.health.slowness = 1
	}
	w.health.slowSamples++
	w.health.slowness += slownessWeight * (ratio - w.health.slowness)
}

func (w *worker) key(r *runState) runKey { return runKey{task: r.task.id, run: r.run} }
