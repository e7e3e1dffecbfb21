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

// largestMoves is the largest hall whose moves are counted; a wave over more
// takes minutes.
const largestMoves = 112

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
	name   string
	happen func(m *model)
	// least is how many placements must be made anew at the least.
	least func(m *model) int
}

var events = []event{
	{name: "one instance lost", happen: loseInstance, least: lostPlacements},
	{name: "one rack lost", happen: loseRack, least: lostPlacements},
	{name: "a label takes one out", happen: relabel, least: lostPlacements},
	{name: "a wave over all", happen: wave, least: func(m *model) int { return len(m.placements()) }},
}

// Fleet measures moves, spares and the time of a pass.
func Fleet(_ context.Context, out io.Writer) error {
	for _, s := range shapes {
		s.spares(out)
		s.passTime(out)
		for _, e := range events {
			if s.workers <= largestMoves {
				s.moves(out, e)
			}
		}
	}
	return nil
}

// spares compares shared spares with spares held by each pool.
func (s shape) spares(out io.Writer) {
	m := newModel(s)
	m.settle()
	shared := m.in.Plan.SparesNeeded
	perPool := fleet.SparesPerPool(&m.in.Plan, m.in.Config)
	fmt.Fprintf(out, "%-26s spares needed: shared %d, per pool %d (%.0f%%)\n", s.name, shared, perPool, 100*float64(shared)/float64(perPool))
}

// passTime is the time of one decision, nothing having happened, and after
// the loss of a rack.
func (s shape) passTime(out io.Writer) {
	m := newModel(s)
	m.settle()
	m.see()
	rest := clocked(func() { fleet.Decide(m.in) })
	loseRack(m)
	m.see()
	lost := clocked(func() { fleet.Decide(m.in) })
	fmt.Fprintf(out, "%-26s one pass: %v at rest, %v after the loss of a rack\n", s.name, rest, lost)
}

const clockedRuns = 21

// clocked is the median time of a call.
func clocked(call func()) time.Duration {
	var all []time.Duration
	for range clockedRuns {
		start := time.Now()
		call()
		all = append(all, time.Since(start))
	}
	slices.Sort(all)
	return all[len(all)/2].Round(time.Microsecond)
}

// moves counts the tasks that an event starts, against the least possible and
// against making the whole assignment anew.
func (s shape) moves(out io.Writer, e event) {
	m := newModel(s)
	m.settle()
	before := m.placements()
	m.starts, m.passes = 0, 0
	e.happen(m)
	least := e.least(m)
	worst := len(before)
	for quiet := 0; quiet < 2; {
		quiet++
		if m.pass() {
			quiet = 0
		}
		worst = min(worst, len(m.placements()))
	}
	fmt.Fprintf(out, "%-26s %-22s moves: %d, least %d, from scratch %d; passes %d; fewest serving %d of %d\n",
		s.name, e.name, m.starts, least, m.scratch(before), m.passes, worst, len(before))
}

// scratch is how many placements would be made if the assignment were made
// anew from the instances that are left.
func (m *model) scratch(before map[fleet.InstanceJob]bool) int {
	fresh := &model{in: m.in, tasks: map[tw.TaskID]tw.Task{}}
	fresh.in.Plan = tw.Plan{}
	fresh.settle()
	n := 0
	for held := range fresh.placements() {
		if !before[held] {
			n++
		}
	}
	return n
}

// busiest is an instance that serves.
func busiest(m *model) tw.InstanceID {
	for i := range m.in.Plan.Instances {
		if a := &m.in.Plan.Instances[i]; a.State == tw.InstanceServing {
			return a.Instance
		}
	}
	return ""
}

func loseInstance(m *model) {
	id := busiest(m)
	m.lose(func(in tw.Instance) bool { return in.ID == id })
}

func loseRack(m *model) {
	rack := m.in.Plan.Find(busiest(m)).Rack
	m.lose(func(in tw.Instance) bool { return in.Rack == rack })
}

func relabel(m *model) {
	c := *m.in.Config
	c.Labels = map[tw.InstanceID]map[string]string{busiest(m): {"kind": "special"}}
	m.in.Config = &c
	m.in.Revision++
}

func wave(m *model) {
	c := *m.in.Config
	c.Waves = []tw.Wave{{ID: "wave", Instances: mustSelect("kind=general"), MaxConcurrent: 4}}
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
