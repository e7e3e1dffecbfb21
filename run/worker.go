package run

import (
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

type (
	// worker is the owner's view of one incarnation of a worker.
	worker struct {
		entry tw.WorkerEntry
		// rank is unique in the pool. Of otherwise equal workers, placement fills the one with the
		// lowest rank first.
		rank   int
		listed bool
		// missingSince is when the entry disappeared from the list of workers.
		missingSince time.Time
		// duplicateSince is since when another worker of its machine is known; zero if none
		// is.
		duplicateSince time.Time
		session        *session
		// stateKnown: it has answered this owner, so its runs are known. knownSince is when it
		// first did; from then on it accepts no orders of the previous owner.
		stateKnown bool
		knownSince time.Time
		// startTime identifies the incarnation that has answered; zero if none has reported it.
		startTime tw.WorkerStartTime
		// presumedEnd is the record of its end if it was taken for ended without proof and has not
		// answered since; nil otherwise.
		presumedEnd *terminatedWorker
		// dispute is a listed entry that contradicts what the worker has answered; nil if none does.
		dispute *dispute
		// ignoredAnswers is the number of answers in a row that were taken for those of another
		// incarnation.
		ignoredAnswers int
		// grantsExpireAt is when the deadlines that any owner may have granted there have
		// passed, unless the worker answers before.
		grantsExpireAt time.Time
		// grantedAt is when an order that extends these deadlines was last sent to a worker with this
		// ID.
		grantedAt time.Time
		// mayHaveInheritedRuns: it existed before this ownership and has not answered yet, so
		// runs of the previous owner may be on it, until inheritedExpireAt at the latest.
		mayHaveInheritedRuns bool
		inheritedExpireAt    time.Time

		// lateStarts are the runs of which an order may still come although they have ended, or will
		// be stopped if they start. unforbidden are those that the worker is still to be told of.
		lateStarts, unforbidden []lateStart

		// runs are changed by add and remove only, which update the tally.
		runs  map[runKey]*runState
		tally tally
		// usage is the usage of all workers of the pool.
		usage usage
		// seenEnd is the sequence number of the last end that was handled, recordedEnd of the
		// last whose effect is in the store, ackedEnd of the last that was acknowledged.
		seenEnd, recordedEnd, ackedEnd int64
		// unrecorded are the ends that are handled and not recorded, in order.
		unrecorded []endMark

		clock   tw.WorkerTime // as of clockAt
		clockAt time.Time

		// openPolls are the polls that have not ended, in the order in which they were sent.
		openPolls []openPoll
		polledAt  time.Time // of the last answer
		// answeredPollOf is when the last answered poll was sent.
		answeredPollOf time.Time
		nextPoll       time.Time // not before
		// sentPoll is the sequence number of the last poll. A poll with at least requestedPoll
		// answers the last request for one that does not wait for the open ones.
		sentPoll, requestedPoll int64
		// lastReportClock is the worker's clock in the newest report, lastReportSeq the sequence
		// number of the last poll that was sent before that report arrived.
		lastReportClock tw.WorkerTime
		lastReportSeq   int64
		// probeSince is when a list of machines was requested that shows this worker as ended,
		// or when a suspect was to be tried on it. Only a newer answer shows that the worker is
		// alive.
		probeSince time.Time
		// unanswered is the number of orders in a row without an answer. silentSince is since when
		// lost answers can't explain that; zero if they can.
		unanswered  int
		silentSince time.Time

		// startsInFlight is the number of starts queued or in flight, startLatency the smoothed
		// time from the sending of a start to its answer; zero if none was answered.
		startsInFlight int
		startLatency   time.Duration

		health   workerHealth
		vacating bool // its machine or hall is to be vacated
		// maintenanceDue: a maintenance wave will take its machine down.
		maintenanceDue bool
		fullUntil      time.Time
	}

	// tally sums up the runs of a worker. It is kept up to date, as each placement pass needs
	// it for every worker.
	tally struct {
		used, longRunning tw.Resources
		longRunningRuns   int
		fillers, serving  int
		trials            int // of suspects
	}

	// runKey identifies a run on a worker.
	runKey struct {
		task tw.SubtaskID
		run  tw.RunNumber
	}

	// workerHealth sums up the results of a worker's recent runs.
	workerHealth struct {
		failures         int // in a row, of subtasks that have not failed elsewhere
		quarantinedUntil time.Time
		slowness         float64 // smoothed ratio of run time to expected run time
		slowSamples      int
	}
)

const (
	// slownessWeight smooths slowness over about the last four runs, so that a slow worker is
	// recognised after few.
	slownessWeight = 0.25
	// slowWorkerRatio is the slowness above which a worker is used last. The subtasks of a step
	// differ by about 15%.
	slowWorkerRatio = 1.6
	// failuresToQuarantine is the number of failures in a row that quarantine a worker.
	failuresToQuarantine = 2
	// quarantineTime is how long a quarantined worker gets no new work. According to the
	// platform's documentation, degraded workers stay so for about 5 s.
	quarantineTime = 5 * time.Second
	// stallQuarantineTime is the same after a run has stalled there.
	stallQuarantineTime = 4 * time.Second
	// fullBackoff is how long a worker gets no new work after it refused a start as full or
	// unhealthy.
	fullBackoff = 300 * time.Millisecond
)

// estimateClock returns an estimate of the worker's clock that is ahead by no more than the
// transmission time of an order.
func (w *worker) estimateClock(now time.Time) tw.WorkerTime {
	// Without the drift, the deadline of a start on a worker that was idle for a minute was
	// 1.2 s later than the owner assumed.
	return w.clock.Add(time.Duration(float64(now.Sub(w.clockAt)) / clockDrift))
}

// noteGrant records an order that extends the deadline of the runs on the worker, until expireAt at the latest.
func (w *worker) noteGrant(now, expireAt time.Time) {
	w.grantedAt, w.grantsExpireAt = later(w.grantedAt, now), later(w.grantsExpireAt, expireAt)
	if w.mayHaveInheritedRuns {
		w.inheritedExpireAt = w.grantsExpireAt
	}
}

// noteAnswer records an answer and the worker's clock that it carried.
func (w *worker) noteAnswer(now time.Time, clock tw.WorkerTime) {
	if clock != 0 {
		w.clock, w.clockAt = clock, now
	}
	w.unanswered = 0
	w.silentSince = time.Time{}
}

// answerAgeField returns the age of the last answer as a log field; an empty one if there was none.
func (w *worker) answerAgeField(now time.Time) zap.Field {
	return ageField("last_answer", now, w.clockAt)
}

// clockOffsetField returns how far the clock in an answer is ahead of the worker's estimated clock, in
// milliseconds, as a log field; an empty one if either is unknown. An offset of more than the time of the
// call shows that another incarnation has answered.
func (w *worker) clockOffsetField(clock tw.WorkerTime, now time.Time) zap.Field {
	if clock == 0 || w.clockAt.IsZero() {
		return zap.Skip()
	}
	return zap.Int64("clock_offset_ms", int64(clock-w.estimateClock(now)))
}

// noteUnanswered records an order without an answer.
func (w *worker) noteUnanswered(now time.Time) {
	w.unanswered++
	if w.silentSince.IsZero() && w.session.silence.isSilent() {
		w.silentSince = now
	}
}

// noteUncertain records that the worker may have ended although an order was answered. It gets no work until a
// poll is answered.
func (w *worker) noteUncertain(now time.Time) {
	w.unanswered++
	if w.silentSince.IsZero() {
		w.silentSince = now
	}
}

// silent reports whether the worker does not answer, other than because answers are lost.
func (w *worker) silent() bool { return !w.silentSince.IsZero() }

// usable reports whether new work may be placed there.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.stateKnown && !w.entry.Draining && !w.silent() && !w.dispute.pending() &&
		!now.Before(w.health.quarantinedUntil) && !now.Before(w.fullUntil)
}

// add adds a run.
func (w *worker) add(r *runState) {
	w.runs[w.key(r)] = r
	w.tally.count(r, 1)
	w.usage.add(r, 1)
}

// remove removes a run. It ignores one that is not there.
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
	reservation := r.reservation.Times(n)
	t.used = t.used.Plus(reservation)
	if spec.LongRunning {
		t.longRunning = t.longRunning.Plus(reservation)
		t.longRunningRuns += n
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

// free returns the capacity that no run uses.
func (w *worker) free() tw.Resources { return w.entry.Capacity.Minus(w.tally.used) }

// attainable returns the capacity that is free once all runs but the long-running ones have ended.
func (w *worker) attainable() tw.Resources { return w.entry.Capacity.Minus(w.tally.longRunning) }

// offer returns the worker as the scheduler sees it, with room for at most maxPlacements subtasks.
func (w *worker) offer(maxPlacements int) *schedule.Worker {
	out := &schedule.Worker{
		MaxPlacements: maxPlacements,
		ID:            w.entry.ID,
		Hall:          w.entry.Hall,
		Rack:          w.entry.Rack(),
		Labels:        w.entry.Labels,
		Free:          w.free(),
		Rank:          w.rank,

		Attainable: w.attainable(),
		Fillers:    w.tally.fillers,
		Serving:    w.tally.serving,
		Leaving:    w.maintenanceDue,
	}
	if w.health.slowness > slowWorkerRatio {
		out.Suspicion = 1
	}
	return out
}

// noteRunTime updates the slowness by the run time and the expected run time of a run.
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
