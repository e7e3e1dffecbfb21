package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/fleet"
)

// maxMovesWorkers is the largest hall, in workers, whose moves are counted. A wave over a
// larger one takes minutes to simulate.
const maxMovesWorkers = 112

// shapes range from a hall of current deployments to one of the planned size.
var shapes = []shape{
	{name: "today, 1 of 3 halls", workers: 20, pools: 5, replicas: 3, rackSize: 4},
	{name: "50 workers in one hall", workers: 54, pools: 5, replicas: 10, rackSize: 4},
	{name: "900 workers, 1 of 8 halls", workers: 112, pools: 51, replicas: 2, rackSize: 4},
	{name: "300 workers in one hall", workers: 300, pools: 51, replicas: 5, rackSize: 4},
	{name: "900 workers in one hall", workers: 900, pools: 51, replicas: 17, rackSize: 4},
}

// event is a change that forces placements to move.
type event struct {
	name  string
	apply func(m *model)
	// minMoves is the least number of placements that must be made anew.
	minMoves func(m *model) int
}

var events = []event{
	{name: "one instance lost", apply: loseInstance, minMoves: lostPlacements},
	{name: "one rack lost", apply: loseRack, minMoves: lostPlacements},
	{name: "a label takes one out", apply: relabelInstance, minMoves: lostPlacements},
	{name: "a wave over all", apply: startWave, minMoves: func(m *model) int { return len(m.placements()) }},
}

// Fleet measures moves, spares and the duration of a planning pass.
func Fleet(_ context.Context, out io.Writer) error {
	for _, s := range shapes {
		s.compareSpares(out)
		s.measurePassTime(out)
		for _, e := range events {
			if s.workers <= maxMovesWorkers {
				s.measureMoves(out, e)
			}
		}
	}
	return nil
}

// compareSpares compares the number of shared spares with that of spares held per pool.
func (s shape) compareSpares(out io.Writer) {
	m := newModel(s)
	m.passUntilStable()
	shared := m.in.Plan.SparesNeeded
	perPool := fleet.SparesPerPool(&m.in.Plan, m.in.Config)
	fmt.Fprintf(out, "%-26s spares needed: shared %d, per pool %d (%.0f%%)\n", s.name, shared, perPool, 100*float64(shared)/float64(perPool))
}

// measurePassTime measures one planning pass when nothing has changed and one after the
// loss of a rack.
func (s shape) measurePassTime(out io.Writer) {
	m := newModel(s)
	m.passUntilStable()
	m.refreshInput()
	idle := medianTime(func() { fleet.Decide(m.in) })
	loseRack(m)
	m.refreshInput()
	afterLoss := medianTime(func() { fleet.Decide(m.in) })
	fmt.Fprintf(out, "%-26s one pass: %v at rest, %v after the loss of a rack\n", s.name, idle, afterLoss)
}

const timedRuns = 21

// medianTime returns the median duration of timedRuns calls.
func medianTime(call func()) time.Duration {
	var all []time.Duration
	for range timedRuns {
		start := time.Now()
		call()
		all = append(all, time.Since(start))
	}
	slices.Sort(all)
	return all[len(all)/2].Round(time.Microsecond)
}

// measureMoves counts the tasks that are started because of an event, compared with the
// least possible number and with a new assignment from scratch.
func (s shape) measureMoves(out io.Writer, e event) {
	m := newModel(s)
	m.passUntilStable()
	before := m.placements()
	m.starts, m.passes = 0, 0
	e.apply(m)
	least := e.minMoves(m)
	fewestServing := len(before)
	for unchanged := 0; unchanged < 2; {
		unchanged++
		if m.pass() {
			unchanged = 0
		}
		fewestServing = min(fewestServing, len(m.placements()))
	}
	fmt.Fprintf(out, "%-26s %-22s moves: %d, least %d, from scratch %d; passes %d; fewest serving %d of %d\n",
		s.name, e.name, m.starts, least, m.movesFromScratch(before), m.passes, fewestServing, len(before))
}

// movesFromScratch counts the placements that would be new if the assignment were computed
// from scratch for the remaining instances.
func (m *model) movesFromScratch(before map[fleet.InstanceJob]bool) int {
	fresh := &model{in: m.in, tasks: map[tw.TaskID]tw.Task{}}
	fresh.in.Plan = tw.Plan{}
	fresh.passUntilStable()
	n := 0
	for placement := range fresh.placements() {
		if !before[placement] {
			n++
		}
	}
	return n
}

// firstServing returns the first instance in the plan that serves.
func firstServing(m *model) tw.InstanceID {
	for i := range m.in.Plan.Instances {
		if a := &m.in.Plan.Instances[i]; a.State == tw.InstanceServing {
			return a.Instance
		}
	}
	return ""
}

func loseInstance(m *model) {
	id := firstServing(m)
	m.removeInstances(func(in tw.Instance) bool { return in.ID == id })
}

func loseRack(m *model) {
	rack := m.in.Plan.Find(firstServing(m)).Rack
	m.removeInstances(func(in tw.Instance) bool { return in.Rack == rack })
}

func relabelInstance(m *model) {
	c := *m.in.Config
	c.Labels = map[tw.InstanceID]map[string]string{firstServing(m): {"kind": "special"}}
	m.in.Config = &c
	m.in.Revision++
}

func startWave(m *model) {
	c := *m.in.Config
	c.Waves = []tw.Wave{{ID: "wave", Instances: mustParseSelector("kind=general"), MaxConcurrent: 4}}
	m.in.Config = &c
	m.in.Revision++
}

// lostPlacements counts the placements on instances that the event removed or relabelled.
func lostPlacements(m *model) int {
	n := 0
	for placement := range m.placements() {
		i := slices.IndexFunc(m.in.Instances, func(in tw.Instance) bool { return in.ID == placement.Instance })
		if i < 0 || m.in.Config.LabelsOf(m.in.Instances[i])["kind"] != "general" {
			n++
		}
	}
	return n
}
