package experiment

import "time"

type (
	// demandScenario is a load pattern of the pools.
	demandScenario struct {
		name string
		// machines is the number of machines, rotation how long the peak demand stays with one
		// pool.
		machines int
		rotation time.Duration
		// work is the typical work of the pools, in turn.
		work []modelWork
		// estimateSpread is the standard deviation of the logarithm of the estimates' error
		// factor.
		estimateSpread float64
		// bursts multiply the demand of a pool for a time.
		bursts []modelBurst
		// meanLoad is the mean share of all machines' CPU that load 1 demands.
		meanLoad float64
		// partition is when a hall is partitioned.
		partition timeSpan
	}

	// modelWork is the typical subtask of a pool.
	modelWork struct {
		runTime time.Duration
		cpu     float64 // millicores
	}

	modelBurst struct {
		timeSpan
		pool   int
		factor float64
	}

	timeSpan struct{ from, to time.Duration }
)

var (
	// hallPartition is when a hall is partitioned: its machines continue to run, but send no
	// reports.
	hallPartition = timeSpan{from: 33 * time.Second, to: 39 * time.Second}
	quickWork     = modelWork{runTime: 640 * time.Millisecond, cpu: 1500}
	heavyWork     = modelWork{runTime: 2100 * time.Millisecond, cpu: 3300}

	// demandScenarios are usual work with turns of 10 s, and quick and heavy work with turns of 4 s
	// and bursts in which a pool needs more machines than there are.
	demandScenarios = []demandScenario{
		{
			name: "turns of 10 s", machines: 48, rotation: 10 * time.Second, meanLoad: 0.4, estimateSpread: 0.6, partition: hallPartition,
			work: []modelWork{{runTime: 1700 * time.Millisecond, cpu: 1900}},
		},
		{
			name: "turns of 4 s, bursts", machines: 88, rotation: 4 * time.Second, meanLoad: 0.35, estimateSpread: 0.9, partition: hallPartition,
			work: []modelWork{quickWork, heavyWork},
			bursts: []modelBurst{
				{pool: 3, factor: 2.3, timeSpan: timeSpan{from: 2 * time.Second, to: 9 * time.Second}},
				{pool: 0, factor: 1.9, timeSpan: timeSpan{from: 13 * time.Second, to: 17 * time.Second}},
				{pool: 2, factor: 2, timeSpan: timeSpan{from: 24 * time.Second, to: 28 * time.Second}},
			},
		},
	}
)

// perSubmission is the work of a typical submission, in millicore-seconds.
func (w modelWork) perSubmission() float64 {
	return typicalSteps * modelWidth * w.runTime.Seconds() * w.cpu
}

// contains reports whether a time is in the span.
func (s timeSpan) contains(at time.Duration) bool { return at >= s.from && at < s.to }
