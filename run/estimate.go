package run

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// estimateKey is what run times are learned for.
	estimateKey struct {
		route tw.RouteName
		image string
	}

	// typicalWork is what submissions of the pool ask for of late: smoothed means of
	// their work, in millicore seconds, and of their objective.
	typicalWork struct {
		cpu       float64
		objective time.Duration
	}

	// correction is how much longer than guessed subtasks run: the mean of the
	// logarithms, and what it stands for.
	correction struct{ meanLog, factor float64 }
)

const (
	// estimateWeight smooths over about the last ten subtasks of a route.
	estimateWeight = 0.1
	// overdueFactor: a run that takes so many times what its step's other
	// subtasks took is overdue. These differ by about 15%.
	overdueFactor = 1.8
	// overdueSlack is added, for short work and the way of its end here.
	overdueSlack = 400 * time.Millisecond
	// typicalWeight smooths over about the last fifty submissions.
	typicalWeight = 0.02
	// defaultEstimate stands in for a guess that the caller left out.
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

// expectedRunTime is how long a subtask of the step runs: what its siblings took,
// else the caller's guess corrected by what was learned of the route.
func (o *Owner) expectedRunTime(st *step) time.Duration {
	if st.runTimeSamples > 0 {
		return st.totalRunTime / time.Duration(st.runTimeSamples)
	}
	if c, known := o.learned[estimateKeyOf(st)]; known {
		return time.Duration(c.factor * float64(callerEstimate(st.spec)))
	}
	return callerEstimate(st.spec)
}

// noteRunTime notes how long a subtask took. Guesses are off by a factor, so the
// logarithm is what is averaged.
func (o *Owner) noteRunTime(t *task, took time.Duration) {
	st := t.step
	if t.saved == "" { // else it did not run its whole time
		st.totalRunTime += took
		st.runTimeSamples++
	}
	if took <= 0 {
		return
	}
	ratio := math.Log(float64(took) / float64(callerEstimate(st.spec)))
	key := estimateKeyOf(st)
	if have, known := o.learned[key]; known {
		ratio = have.meanLog + estimateWeight*(ratio-have.meanLog)
	}
	o.learned[key] = correction{meanLog: ratio, factor: math.Exp(ratio)}
}

// add takes up a new submission.
func (u *typicalWork) add(cpu float64, objective time.Duration) {
	if u.cpu == 0 {
		u.cpu, u.objective = cpu, objective
		return
	}
	u.cpu += typicalWeight * (cpu - u.cpu)
	u.objective += time.Duration(typicalWeight * float64(objective-u.objective))
}

// relativeSize is how many times the usual work an amount of work is.
func (u *typicalWork) relativeSize(cpu float64) float64 {
	if u.cpu <= 0 {
		return 0
	}
	return cpu / u.cpu
}

// remainingWork is the work of a repetition that is still to be done; lasting steps have
// no end, so that they are left out.
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

// overdue tells whether a run takes far longer than its siblings took.
func (o *Owner) overdue(r *runState) bool {
	limit := time.Duration(overdueFactor*float64(o.expectedRunTime(r.task.step))) + overdueSlack
	return o.now.Sub(r.startedAt) > limit
}

// criticalPaths is the longest criticalPaths of run times from a step on, over the steps that
// are not done, by step.
func (o *Owner) criticalPaths(rep *repetition) []time.Duration {
	rest := make([]time.Duration, len(rep.steps))
	for i := len(rep.steps) - 1; i >= 0; i-- {
		st := rep.steps[i]
		if st.done < st.spec.Count {
			rest[i] += o.expectedRunTime(st)
		}
		for _, earlier := range st.spec.After {
			rest[earlier] = max(rest[earlier], rest[i])
		}
	}
	return rest
}

// objective is the time from a repetition's due time within which it should
// end.
func (o *Owner) objective(rep *repetition) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(rep.steps))
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
