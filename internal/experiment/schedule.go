package experiment

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/tamarindworks/tamarindworks/schedule"
)

type (
	// schedulePolicy is a way to order what waits, and whether halls count.
	schedulePolicy struct {
		name      string
		hallAware bool
		urgency   func(m *demandModel, j *modelJob) schedule.Urgency
	}

	// scheduleResult is what came of all seeds of a policy at a load.
	scheduleResult struct {
		// onTime is the share of jobs that ended within their objective, waited
		// the mean time for which a job's subtasks waited, tail that of the
		// twentieth that waited longest.
		onTime float64
		// served is the share that ended within three objectives.
		served             float64
		meanWait, tailWait time.Duration
	}
)

const (
	scheduleSeeds = 40
	// tailShare of the jobs wait longer than scheduleResult.tail.
	tailShare = 0.05
	plotSize  = 16 * vg.Centimeter
)

var (
	schedulePolicies = []schedulePolicy{
		{name: "by urgency, steps in one hall", hallAware: true, urgency: byUrgency},
		{name: "by urgency, halls ignored", urgency: byUrgency},
		{name: "by urgency, small work sooner", hallAware: true, urgency: byUrgencySmall},
		{name: "what can be in time, freshest first", hallAware: true, urgency: byNewest},
		{name: "first come", hallAware: true, urgency: byArrival},
		{name: "least work left", hallAware: true, urgency: byLeastWork},
		{name: "random", hallAware: true, urgency: atRandom},
	}
	scheduleLoads = []float64{0.5, 1, 1.5, 2}
)

func byUrgency(m *demandModel, j *modelJob) schedule.Urgency {
	var rest, whole time.Duration
	for i, step := range j.steps {
		whole += step.estimate
		if i >= j.currentStep {
			rest += step.estimate
		}
	}
	objective := time.Duration(modelStretch*float64(whole)) + modelTarget
	return schedule.UrgencyOf(modelStart.Add(m.now), modelStart.Add(j.arrivedAt), objective, rest, 0)
}

// byNewest has what can be in time go in the reverse order of arrival: with more
// work than room, the oldest is the first that will be late.
func byNewest(m *demandModel, j *modelJob) schedule.Urgency {
	u := byUrgency(m, j)
	if u.Grade == schedule.GradeOnTime {
		u.Deadline = modelStart.Add(-j.arrivedAt)
	}
	return u
}

// byUrgencySmall is what owners do: by urgency, but small work sooner.
func byUrgencySmall(m *demandModel, j *modelJob) schedule.Urgency {
	const steps = 2 // of a usual job
	chain := steps * modelSubtask
	usual := chain.Seconds() * modelWidth * modelCPU
	objective := time.Duration(modelStretch*float64(chain)) + modelTarget
	return byUrgency(m, j).WithSizePenalty(j.workLeft()/usual, objective)
}

func byArrival(_ *demandModel, j *modelJob) schedule.Urgency {
	return schedule.Urgency{Grade: schedule.GradeOnTime, Deadline: modelStart.Add(j.arrivedAt)}
}

func byLeastWork(_ *demandModel, j *modelJob) schedule.Urgency {
	return schedule.Urgency{Grade: schedule.GradeOnTime, Deadline: modelStart.Add(time.Duration(j.workLeft() * float64(time.Millisecond)))}
}

func atRandom(m *demandModel, _ *modelJob) schedule.Urgency {
	return schedule.Urgency{Grade: schedule.GradeOnTime, Deadline: modelStart.Add(time.Duration(m.rand.Int64N(int64(time.Hour))))}
}

// Schedule compares policies of placement under turning demand, wrong guesses and
// the cut of a hall, in simulated time, and plots waiting against load.
func Schedule(_ context.Context, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "POLICY (%d seeds)\tLOAD\tIN TIME\tSERVED\tWAITED, MEAN\tWAITED, P95\n", scheduleSeeds)
	lines := make([]plotter.XYs, len(schedulePolicies))
	for i, policy := range schedulePolicies {
		for _, load := range scheduleLoads {
			r := simulatePolicy(policy, load)
			fmt.Fprintf(w, "%s\t%.1f\t%.3f\t%.3f\t%.2f s\t%.2f s\n", policy.name, load, r.onTime, r.served, r.meanWait.Seconds(), r.tailWait.Seconds())
			lines[i] = append(lines[i], plotter.XY{X: load, Y: r.meanWait.Seconds()})
		}
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "experiment: schedule")
	}
	path := filepath.Join(os.TempDir(), "tamarind-schedule.png")
	if err := plotWaits(lines, path); err != nil {
		return err
	}
	fmt.Fprintln(out, "plot:", path)
	return nil
}

// simulatePolicy plays a policy at a load on all seeds. Jobs that have not ended when
// a play does count as late if their objective has passed, else not at all.
func simulatePolicy(policy schedulePolicy, load float64) scheduleResult {
	plays := make([][]*modelJob, scheduleSeeds)
	var wg sync.WaitGroup
	for seed := range plays {
		wg.Go(func() { plays[seed] = newDemandModel(uint64(seed), policy, load).simulate() })
	}
	wg.Wait()
	var waits []time.Duration
	inTime, served, all := 0, 0, 0
	for _, jobs := range plays {
		for _, j := range jobs {
			late := j.endedAt == 0 || j.endedAt-j.arrivedAt > j.objective
			if j.endedAt == 0 && simulatedTime-j.arrivedAt <= j.objective {
				continue
			}
			all++
			if !late {
				inTime++
			}
			if j.endedAt != 0 && j.endedAt-j.arrivedAt <= schedule.LateFactor*j.objective {
				served++
			}
			waits = append(waits, j.totalWait/time.Duration(j.subtasks()))
		}
	}
	slices.SortFunc(waits, cmp.Compare[time.Duration])
	var sum time.Duration
	for _, wait := range waits {
		sum += wait
	}
	return scheduleResult{
		onTime: float64(inTime) / float64(all), served: float64(served) / float64(all), meanWait: sum / time.Duration(len(waits)),
		tailWait: waits[int((1-tailShare)*float64(len(waits)))],
	}
}

// subtasks counts those of all steps.
func (j *modelJob) subtasks() int {
	n := 0
	for _, step := range j.steps {
		n += len(step.durations)
	}
	return n
}

func plotWaits(lines []plotter.XYs, path string) error {
	p := plot.New()
	p.Title.Text = "Waiting for a worker"
	p.X.Label.Text = "load (1 is 0.4 of all machines in the mean)"
	p.Y.Label.Text = "mean wait of a subtask, s"
	p.Legend.Top, p.Legend.Left = true, true
	var args []any
	for i, policy := range schedulePolicies {
		args = append(args, policy.name, lines[i])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Wrap(err, "experiment: plot")
	}
	return errors.Wrap(p.Save(plotSize, plotSize, path), "experiment: plot")
}
