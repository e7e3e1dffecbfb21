package schedule

import (
	"math"
	"time"
)

// RunTimes learns the run times of steps from the callers' estimates: by linear regression of the
// logarithms, in which old steps count less and less. A mean factor between the two is not enough:
// where estimates vary by more than run times do, a high estimate is more often a wrong one than a
// long step, and must be taken as closer to the usual run time. The zero value has learned
// nothing.
type RunTimes struct {
	// steps counts the steps added.
	steps int
	// weight is the sum of the weights of the steps.
	weight float64
	// meanEstimate and meanRunTime are the means of the logarithms of seconds.
	meanEstimate, meanRunTime float64
	// squares sums the squared deviations of the estimates from their mean, products the
	// deviations of the estimates times those of the run times.
	squares, products float64
}

const (
	// runTimesDecay is how much of its weight a step keeps with each further one. It averages over
	// about the last fifty steps.
	runTimesDecay = 0.98
	// trustedSquares is the weight of the assumption that run times are proportional to the
	// estimates, in the unit of RunTimes.squares: about two steps whose estimates are off by a
	// factor of e from the usual one.
	trustedSquares = 2
)

// Add adds a step whose subtasks ran for the given mean time.
func (r *RunTimes) Add(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(estimate.Seconds()), math.Log(took.Seconds())
	r.steps++
	r.weight = runTimesDecay*r.weight + 1
	before := x - r.meanEstimate
	r.meanEstimate += before / r.weight
	r.meanRunTime += (y - r.meanRunTime) / r.weight
	r.squares = runTimesDecay*r.squares + before*(x-r.meanEstimate)
	r.products = runTimesDecay*r.products + before*(y-r.meanRunTime)
}

// Steps is the number of steps added. What is expected of an estimate changes only with it.
func (r *RunTimes) Steps() int { return r.steps }

// Expected returns the expected run time of subtasks with the given estimate, or the estimate itself
// if nothing has been learned.
func (r *RunTimes) Expected(estimate time.Duration) time.Duration {
	if r.weight == 0 || estimate <= 0 {
		return estimate
	}
	return r.ExpectedOf(math.Log(estimate.Seconds()))
}

// ExpectedOf is like Expected, given the logarithm of the estimate in seconds, once a step has been
// added.
func (r *RunTimes) ExpectedOf(logEstimate float64) time.Duration {
	slope := min(max(0, (r.products+trustedSquares)/(r.squares+trustedSquares)), 1)
	return time.Duration(math.Exp(r.meanRunTime+slope*(logEstimate-r.meanEstimate)) * float64(time.Second))
}
