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

// maxMovesWorkers is the largest hall whose moves are counted; a wave over more
// takes minutes.
const maxMovesWorkers = 112

// shapes are a hall of today's users and one at the size to come, with sizes
// between.
var shapes = []shape{
	{name: "today, 1 of 3 halls", workers: 20, pools: 5, replicas: 3, rack: 4},
	{name: "50 workers in one hall", workers: 54, pools: 5, replicas: 10, rack: 4},
	{name: "900 workers, 1 of 8 halls", workers: 112, pools: 51, replicas: 2, rack: 4},
	{name: "300 workers in one hall", workers: 300, pools: 51, replicas: 5, rack: 4},
	{name: "900 workers in one hall", workers: 900, pools: 51, replicas: 17, rack: 4},
}

// event is something that makes work move.
type event struct {
	name  string
	apply func(m *model)
	// minMoves is how many placements must be made anew at the least.
	minMoves func(m *model) int
}

var events = []event{
	{name: "one instance lost", apply: loseInstance, minMoves: lostPlacements},
	{name: "one rack lost", apply: loseRack, minMoves: lostPlacements},
	{name: "a label takes one out", apply: relabelInstance, minMoves: lostPlacements},
	{name: "a wave over all", apply: startWave, minMoves: func(m *model) int { return len(m.placements()) }},
}

// Fleet measures moves, spares and the time of a pass.
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

// compareSpares compares shared spares with spares held by each pool.
func (s shape) compareSpares(out io.Writer) {
	m := newModel(s)
	m.passUntilStable()
	shared := m.in.Plan.SparesNeeded
	perPool := fleet.SparesPerPool(&m.in.Plan, m.in.Config)
	fmt.Fprintf(out, "%-26s spares needed: shared %d, per pool %d (%.0f%%)\n", s.name, shared, perPool, 100*float64(shared)/float64(perPool))
}

// measurePassTime is the time of one decision, nothing having happened, and after
// the loss of a rack.
func (s shape) measurePassTime(out io.Writer) {
	m := newModel(s)
	m.passUntilStable()
	m.refreshInput()
	rest := medianTime(func() { fleet.Decide(m.in) })
	loseRack(m)
	m.refreshInput()
	lost := medianTime(func() { fleet.Decide(m.in) })
	fmt.Fprintf(out, "%-26s one pass: %v at rest, %v after the loss of a rack\n", s.name, rest, lost)
}

const timedRuns = 21

// medianTime is the median time of a call.
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

// measureMoves counts the tasks that an event starts, against the least possible and
// against making the whole assignment anew.
func (s shape) measureMoves(out io.Writer, e event) {
	m := newModel(s)
	m.passUntilStable()
	before := m.placements()
	m.starts, m.passes = 0, 0
	e.apply(m)
	least := e.minMoves(m)
	worst := len(before)
	for quiet := 0; quiet < 2; {
		quiet++
		if m.pass() {
			quiet = 0
		}
		worst = min(worst, len(m.placements()))
	}
	fmt.Fprintf(out, "%-26s %-22s moves: %d, least %d, from scratch %d; passes %d; fewest serving %d of %d\n",
		s.name, e.name, m.starts, least, m.movesFromScratch(before), m.passes, worst, len(before))
}

// movesFromScratch is how many placements would be made if the assignment were made
// anew from the instances that are left.
func (m *model) movesFromScratch(before map[fleet.InstanceJob]bool) int {
	fresh := &model{in: m.in, tasks: map[tw.TaskID]tw.Task{}}
	fresh.in.Plan = tw.Plan{}
	fresh.passUntilStable()
	n := 0
	for held := range fresh.placements() {
		if !before[held] {
			n++
		}
	}
	return n
}

// firstServing is an instance that serves.
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

// lostPlacements counts what the event took away.
func lostPlacements(m *model) int {
	n := 0
	for held := range m.placements() {
		i := slices.IndexFunc(m.in.Instances, func(in tw.Instance) bool { return in.ID == held.Instance })
		if i < 0 || m.in.Config.LabelsOf(m.in.Instances[i])["kind"] != "general" {
			n++
		}
	}
	return n
}
