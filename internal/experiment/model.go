package experiment

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/fleet"
)

// model is a data hall whose orders and acknowledgements take effect immediately. It counts
// the task starts and passes that planning decisions cause.
type model struct {
	in    fleet.Input
	tasks map[tw.TaskID]tw.Task
	// starts counts the tasks started. Each is a new or moved placement.
	starts int
	passes int
}

// shape is the size of a hall.
type shape struct {
	name     string
	workers  int
	pools    int
	replicas int // of each pool's job
	rackSize int // workers per rack
}

const modelHall tw.HallID = "h1"

func newModel(s shape) *model {
	m := &model{tasks: map[tw.TaskID]tw.Task{}}
	m.in = fleet.Input{
		Hall:       modelHall,
		Config:     s.config(),
		Revision:   1,
		Epoch:      1,
		TasksKnown: true,
	}
	for i := range s.workers {
		m.in.Instances = append(m.in.Instances, s.worker(i))
	}
	return m
}

func (s shape) worker(i int) tw.Instance {
	return tw.Instance{
		ID:     tw.InstanceID(fmt.Sprintf("w%03d", i)),
		Hall:   modelHall,
		Rack:   tw.RackID(fmt.Sprintf("r%02d", i/s.rackSize)),
		Labels: map[string]string{"kind": "general"},
		Phase:  tw.PhaseLive,
		Cores:  16,
		Memory: 32_000,
		Slots:  instanceSlots,
	}
}

func (s shape) config() *tw.FleetConfig {
	c := &tw.FleetConfig{Halls: []tw.HallID{modelHall}}
	for i := range s.pools {
		id := fmt.Sprintf("p%02d", i)
		c.Pools = append(c.Pools, tw.Pool{
			ID:        tw.PoolID(id),
			Instances: mustParseSelector("kind=general"),
			Jobs:      mustParseSelector("pool=" + id),
		})
		c.Jobs = append(c.Jobs, tw.Job{
			ID:       tw.JobID("job-" + id),
			Service:  tw.ServiceID("svc-" + id),
			Labels:   map[string]string{"pool": id},
			Replicas: s.replicas,
			Cores:    8,
		})
		c.Services = append(c.Services, tw.Service{ID: tw.ServiceID("svc-" + id), MaxUnavailable: 1})
	}
	c.SetDefaults()
	return c
}

func mustParseSelector(text string) tw.Selector {
	s, err := tw.ParseSelector(text)
	if err != nil {
		panic(err) // all selectors of this package are valid
	}
	return s
}

// passUntilStable runs planning passes until two in a row change nothing.
func (m *model) passUntilStable() {
	for unchanged := 0; unchanged < 2; {
		unchanged++
		if m.pass() {
			unchanged = 0
		}
	}
}

func (m *model) pass() bool {
	m.passes++
	m.refreshInput()
	m.in.Allowance = fleet.Allowances(fleet.BudgetInput{
		Config: m.in.Config,
		Plans:  map[tw.HallID]tw.Plan{modelHall: m.in.Plan},
	})
	out := fleet.Decide(m.in)
	m.in.Plan = out.Plan
	m.refreshInput()
	m.applyOrders(fleet.ComputeOrders(m.in))
	return out.Changed
}

func (m *model) refreshInput() {
	m.in.Members = []fleet.MemberStatus{{ID: "d1", Acked: m.in.Plan.Generation}}
	m.in.Tasks = slices.SortedFunc(maps.Values(m.tasks), func(a, b tw.Task) int { return cmp.Compare(a.ID, b.ID) })
}

func (m *model) applyOrders(orders fleet.Orders) {
	for _, id := range orders.Stop {
		delete(m.tasks, id)
	}
	for _, t := range orders.Start {
		t.State = tw.TaskRunning
		m.tasks[t.ID] = t
		m.starts++
	}
	for _, r := range orders.Reboot {
		for i := range m.in.Instances {
			if in := &m.in.Instances[i]; in.ID == r.Instance && in.Boots == r.Boots {
				in.Boots++
			}
		}
	}
}

// removeInstances removes the matching instances and their tasks.
func (m *model) removeInstances(match func(tw.Instance) bool) {
	m.in.Instances = slices.DeleteFunc(m.in.Instances, match)
	maps.DeleteFunc(m.tasks, func(_ tw.TaskID, t tw.Task) bool {
		return !slices.ContainsFunc(m.in.Instances, func(in tw.Instance) bool { return in.ID == t.Instance })
	})
}

// placements returns the set of serving placements.
func (m *model) placements() map[fleet.InstanceJob]bool {
	out := map[fleet.InstanceJob]bool{}
	for i := range m.in.Plan.Instances {
		a := &m.in.Plan.Instances[i]
		for _, placement := range a.Jobs {
			if a.Serves(placement.Job) {
				out[fleet.InstanceJob{Instance: a.Instance, Job: placement.Job}] = true
			}
		}
	}
	return out
}
