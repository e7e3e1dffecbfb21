package run

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

type (
	// estimateKey identifies the subtasks that share a run time estimate.
	estimateKey struct {
		route tw.RouteName
		image string
	}

	// cachedEstimate is the run time that RunTimes expected of a step after a number of steps.
	cachedEstimate struct {
		from    *schedule.RunTimes
		steps   int
		runTime time.Duration
		// log is the logarithm of the caller's estimate in seconds, known once steps is not zero.
		log float64
	}

	// typicalWork is the size of recent submissions of the pool: exponential moving averages of
	// their work in millicore-seconds and of their objective.
	typicalWork struct {
		cpu       float64
		objective time.Duration
	}
)

const (
	// overdueFactor: a run is overdue once it takes this many times as long as expected. The run
	// times of a step's subtasks differ by about 15%.
	overdueFactor = 1.8
	// overdueSlack is added to that limit, for short work and for the time until the end is
	// reported.
	overdueSlack = 400 * time.Millisecond
	// typicalWeight averages over about the last fifty submissions.
	typicalWeight = 0.02
	// maxUsualSteps is the number of steps up to which the times of a repetition's steps need no
	// allocation.
	maxUsualSteps = 8
	// defaultEstimate is used where the caller gave no estimate.
	defaultEstimate = time.Second
)

func estimateKeyOf(st *step) estimateKey {
	return estimateKey{route: st.rep.sub.Policy.Route, image: st.spec.Image}
}

func callerEstimate(spec *tw.Step) time.Duration {
	if spec.Estimate > 0 {
		return spec.Estimate
	}
	return defaultEstimate
}

// expectedRunTime is the expected run time of a subtask: the mean of its step's finished subtasks, or
// else what the caller's estimate has meant for other steps of the route and image.
func (o *Owner) expectedRunTime(st *step) time.Duration {
	if st.runTimeSamples > 0 {
		return st.totalRunTime / time.Duration(st.runTimeSamples)
	}
	cached := &st.estimate
	if cached.from == nil {
		cached.from = o.runTimes[estimateKeyOf(st)]
	}
	if cached.from == nil || cached.from.Steps() == 0 {
		return callerEstimate(st.spec)
	}
	steps := cached.from.Steps()
	if cached.steps == 0 {
		cached.log = math.Log(callerEstimate(st.spec).Seconds())
	}
	if cached.steps != steps {
		cached.runTime, cached.steps = cached.from.ExpectedOf(cached.log), steps
	}
	return cached.runTime
}

// noteRunTime adds the run time of a subtask to those of its step, and has the expected run times
// learn from the step once most of its subtasks are done. Runs that resumed from a checkpoint, and
// those of which this owner has not seen the start, are left out.
func (o *Owner) noteRunTime(r *runState, took time.Duration) {
	if r.resumed || r.pending == nil {
		return
	}
	st := r.task.step
	st.totalRunTime += took
	st.runTimeSamples++
	if st.learned || 4*st.runTimeSamples < 3*st.spec.Count {
		return
	}
	st.learned = true
	key := estimateKeyOf(st)
	if o.runTimes[key] == nil {
		o.runTimes[key] = &schedule.RunTimes{}
	}
	o.runTimes[key].Add(callerEstimate(st.spec), st.totalRunTime/time.Duration(st.runTimeSamples))
}

// add updates the averages with a new submission.
func (u *typicalWork) add(cpu float64, objective time.Duration) {
	if u.cpu == 0 {
		u.cpu, u.objective = cpu, objective
		return
	}
	u.cpu += typicalWeight * (cpu - u.cpu)
	u.objective += time.Duration(typicalWeight * float64(objective-u.objective))
}

// relativeSize is an amount of work relative to the average submission.
func (u *typicalWork) relativeSize(cpu float64) float64 {
	if u.cpu <= 0 {
		return 0
	}
	return cpu / u.cpu
}

// remainingWork is the work that a repetition still has to do. Long-running steps have no end and
// are left out.
func (o *Owner) remainingWork(rep *repetition) Work {
	var work Work
	for _, st := range rep.steps {
		if st.spec.LongRunning {
			continue
		}
		seconds := o.expectedRunTime(st).Seconds() * float64(st.spec.Count-st.done)
		work.CPU += seconds * float64(st.spec.Reservation().CPU)
		work.MemoryMB += seconds * float64(st.spec.Reservation().MemoryMB)
	}
	return work
}

// overdue reports whether a run takes far longer than expected.
func (o *Owner) overdue(r *runState) bool {
	limit := time.Duration(overdueFactor*float64(o.expectedRunTime(r.task.step))) + overdueSlack
	return o.now.Sub(r.startedAt) > limit
}

// criticalPaths returns, for each step, the length of the longest remaining chain of run times
// that begins with it. It uses the given buffer if that is long enough.
func (o *Owner) criticalPaths(rep *repetition, buffer []time.Duration) []time.Duration {
	remaining := append(buffer, make([]time.Duration, len(rep.steps))...)
	for i := len(rep.steps) - 1; i >= 0; i-- {
		st := rep.steps[i]
		if st.done < st.spec.Count {
			remaining[i] += o.expectedRunTime(st)
		}
		for _, earlier := range st.spec.After {
			remaining[earlier] = max(remaining[earlier], remaining[i])
		}
	}
	return remaining
}

// objective is how long after its due time a repetition should end at the latest.
func (o *Owner) objective(rep *repetition) time.Duration {
	var longest time.Duration
	var buffer [maxUsualSteps]time.Duration
	ends := append(buffer[:0], make([]time.Duration, len(rep.steps))...)
	for i, st := range rep.steps {
		for _, earlier := range st.spec.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += o.expectedRunTime(st)
		longest = max(longest, ends[i])
	}
	policy := rep.sub.Policy
	return time.Duration(policy.Stretch*float64(longest)) + policy.Target
}
