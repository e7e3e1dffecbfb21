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

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

type (
	// schedulePolicy is a way to order waiting subtasks. hallAware policies let the
	// scheduler see the workers' halls and racks.
	schedulePolicy struct {
		name      string
		hallAware bool
		urgency   func(m *demandModel, s *modelSubmission) schedule.Urgency
		// selects sets inTime of a pool's submissions before each placement pass; may be nil.
		selects func(m *demandModel, pool tw.PoolID)
		// corrects: callers' estimates are corrected by what they are worth.
		corrects bool
	}

	// scheduleResult aggregates the simulations of a policy at a load over all seeds.
	scheduleResult struct {
		// onTime is the share of submissions that ended within their objective. meanWait
		// and tailWait are the mean and the 95th percentile, over the submissions, of the
		// mean wait of a submission's subtasks.
		onTime float64
		// served is the share of submissions that ended within schedule.LateFactor times
		// their objective.
		served float64
		// earned is the share of the value that is earned.
		earned             float64
		meanWait, tailWait time.Duration
	}
)

const (
	scheduleSeeds = 12
	// lateValue is the share of its value that late work still earns.
	lateValue = 0.07
	// slackMargin is the slack with which byMargin gives work up.
	slackMargin = 300 * time.Millisecond
	// tailShare is the share of the submissions that wait longer than
	// scheduleResult.tailWait.
	tailShare = 0.05
	plotSize  = 16 * vg.Centimeter
)

var (
	schedulePolicies = []schedulePolicy{
		{name: "by urgency, steps in one hall", hallAware: true, urgency: byUrgency},
		{name: "by urgency, halls ignored", urgency: byUrgency},
		{name: "by urgency, small work sooner", hallAware: true, urgency: byUrgencySmall},
		{name: "small work sooner, estimates corrected", hallAware: true, urgency: byUrgencySmall, corrects: true},
		{name: "the same, begun work first", hallAware: true, urgency: byUrgencyBegun, corrects: true},
		{name: "the same, late before its time", hallAware: true, urgency: byMargin, corrects: true},
		{name: "the same, selected work first", hallAware: true, urgency: bySelection, selects: (*demandModel).selectInTime, corrects: true},
		{name: "what can be in time, freshest first", hallAware: true, urgency: byNewest},
		{name: "first come", hallAware: true, urgency: byArrival},
		{name: "least work left", hallAware: true, urgency: byLeastWork},
		{name: "random", hallAware: true, urgency: atRandom},
	}
	scheduleLoads = []float64{0.5, 1, 1.5, 2}
)

func byUrgency(m *demandModel, s *modelSubmission) schedule.Urgency {
	var remaining, total time.Duration
	for i := range s.steps {
		total += m.estimate(s, i)
		if i >= s.currentStep {
			remaining += m.estimate(s, i)
		}
	}
	objective := time.Duration(modelStretch*float64(total)) + modelTarget
	return schedule.UrgencyOf(modelStart.Add(m.now), modelStart.Add(s.arrivedAt), objective, remaining, 0)
}

// byNewest serves submissions that can still meet their objective in reverse order of
// arrival: under overload, the oldest is the first to be late.
func byNewest(m *demandModel, s *modelSubmission) schedule.Urgency {
	u := byUrgency(m, s)
	if u.Grade == schedule.GradeOnTime {
		u.Deadline = modelStart.Add(-s.arrivedAt)
	}
	return u
}

// byUrgencySmall is the policy of pool owners: by urgency, with preference for small
// submissions.
func byUrgencySmall(m *demandModel, s *modelSubmission) schedule.Urgency {
	objective := time.Duration(modelStretch*typicalSteps*float64(s.work.runTime)) + modelTarget
	return byUrgency(m, s).WithSizePenalty(m.workLeft(s)/s.work.perSubmission(), objective)
}

// byUrgencyBegun finishes begun submissions before others begin.
func byUrgencyBegun(m *demandModel, s *modelSubmission) schedule.Urgency {
	u := byUrgencySmall(m, s)
	if u.Grade == schedule.GradeOnTime && !s.begun {
		u.Priority++
	}
	return u
}

// byMargin regards work that has not begun as late as soon as its slack is small.
func byMargin(m *demandModel, s *modelSubmission) schedule.Urgency {
	u := byUrgencySmall(m, s)
	latest := modelStart.Add(m.now + m.remaining(s) + slackMargin)
	if u.Grade == schedule.GradeOnTime && !s.begun && latest.After(byUrgency(m, s).Deadline) {
		u.Grade = schedule.GradeLate
	}
	return u
}

// bySelection places the work that selectInTime has selected before what else could be in time.
func bySelection(m *demandModel, s *modelSubmission) schedule.Urgency {
	u := byUrgencySmall(m, s)
	if u.Grade == schedule.GradeOnTime && !s.inTime {
		u.Grade = schedule.GradeLate
	}
	return u
}

// remaining is the estimated time until a submission ends if it need not wait.
func (m *demandModel) remaining(s *modelSubmission) time.Duration {
	sum := time.Duration(0)
	for i := s.currentStep; i < len(s.steps); i++ {
		sum += m.estimate(s, i)
	}
	return sum
}

func byArrival(_ *demandModel, s *modelSubmission) schedule.Urgency {
	return schedule.Urgency{Grade: schedule.GradeOnTime, Deadline: modelStart.Add(s.arrivedAt)}
}

func byLeastWork(m *demandModel, s *modelSubmission) schedule.Urgency {
	return schedule.Urgency{Grade: schedule.GradeOnTime, Deadline: modelStart.Add(time.Duration(m.workLeft(s) * float64(time.Millisecond)))}
}

func atRandom(m *demandModel, _ *modelSubmission) schedule.Urgency {
	return schedule.Urgency{Grade: schedule.GradeOnTime, Deadline: modelStart.Add(time.Duration(m.rand.Int64N(int64(time.Hour))))}
}

// Schedule compares placement policies in simulated time, with demand that rotates among
// the pools, inaccurate estimates and the partition of a hall. It plots the mean wait
// against the load.
func Schedule(_ context.Context, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "POLICY (%d seeds)\tLOAD\tIN TIME\tEARNED\tSERVED\tWAITED, MEAN\tWAITED, P95\n", scheduleSeeds)
	lines := make([]plotter.XYs, len(schedulePolicies))
	for n, scenario := range demandScenarios {
		fmt.Fprintf(w, "%s\n", scenario.name)
		for i, policy := range schedulePolicies {
			for _, load := range scheduleLoads {
				r := simulatePolicy(policy, scenario, load)
				fmt.Fprintf(w, "%s\t%.1f\t%.3f\t%.3f\t%.3f\t%.2f s\t%.2f s\n", policy.name, load, r.onTime, r.earned, r.served, r.meanWait.Seconds(), r.tailWait.Seconds())
				if n == 0 {
					lines[i] = append(lines[i], plotter.XY{X: load, Y: r.meanWait.Seconds()})
				}
			}
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

// simulatePolicy simulates a policy at a load with all seeds. Submissions that have not
// ended by the end of a simulation count as late if their objective has passed, and are left
// out otherwise.
func simulatePolicy(policy schedulePolicy, scenario demandScenario, load float64) scheduleResult {
	results := make([][]*modelSubmission, scheduleSeeds)
	var wg sync.WaitGroup
	for seed := range results {
		wg.Go(func() { results[seed] = newDemandModel(uint64(seed), policy, scenario, load).simulate() })
	}
	wg.Wait()
	var waits []time.Duration
	onTime, served, total := 0, 0, 0
	earned, owed := 0.0, 0.0
	for _, submissions := range results {
		for _, s := range submissions {
			late := s.endedAt == 0 || s.endedAt-s.arrivedAt > s.objective
			if s.endedAt == 0 && simulatedTime-s.arrivedAt <= s.objective {
				continue
			}
			total++
			value := s.value()
			owed += value
			if !late {
				onTime++
				earned += value
			}
			if s.endedAt != 0 && s.endedAt-s.arrivedAt <= schedule.LateFactor*s.objective {
				served++
				if late {
					earned += lateValue * value
				}
			}
			waits = append(waits, s.totalWait/time.Duration(s.subtasks()))
		}
	}
	slices.SortFunc(waits, cmp.Compare[time.Duration])
	var sum time.Duration
	for _, wait := range waits {
		sum += wait
	}
	return scheduleResult{
		earned: earned / owed,
		onTime: float64(onTime) / float64(total), served: float64(served) / float64(total), meanWait: sum / time.Duration(len(waits)),
		tailWait: waits[int((1-tailShare)*float64(len(waits)))],
	}
}

// value is what a submission is worth, relative to a typical one.
func (s *modelSubmission) value() float64 {
	work := 0.0
	for _, step := range s.steps {
		for _, d := range step.durations {
			work += d.Seconds() * float64(s.need.CPU)
		}
	}
	return min(4, 0.3+0.7*work/s.work.perSubmission())
}

// subtasks returns the number of subtasks of all steps.
func (s *modelSubmission) subtasks() int {
	n := 0
	for _, step := range s.steps {
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
