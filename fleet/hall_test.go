package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // the same order in every run
	RunSpecs(t, "fleet decisions", suite, reporter)
}

// fakeHall is a data hall that executes every order at once, with daemons that
// acknowledge every plan at once unless they are paused.
type fakeHall struct {
	in          Input
	tasks       map[tw.TaskID]tw.Task
	paused      map[tw.DaemonID]bool
	failsTasks  map[tw.InstanceID]bool // instances on which every new task fails
	ignoresStop map[tw.InstanceID]bool // instances that ignore orders to stop
	acked       map[tw.DaemonID]tw.Generation
	starts      int // placements started
}

// newFakeHall creates a hall with racks of rackSize instances and two daemons.
func newFakeHall(config *tw.FleetConfig, instances int) *fakeHall {
	h := &fakeHall{
		tasks:       map[tw.TaskID]tw.Task{},
		paused:      map[tw.DaemonID]bool{},
		failsTasks:  map[tw.InstanceID]bool{},
		ignoresStop: map[tw.InstanceID]bool{},
		acked:       map[tw.DaemonID]tw.Generation{"d1": 0, "d2": 0},
	}
	h.in = Input{Hall: "h1", Revision: 1, Epoch: 1, TasksKnown: true}
	h.configure(config)
	for i := range instances {
		h.in.Instances = append(h.in.Instances, worker(i))
	}
	return h
}

const rackSize = 4

func worker(i int) tw.Instance {
	return tw.Instance{
		ID:     instanceID(i),
		Hall:   "h1",
		Rack:   tw.RackID(fmt.Sprintf("r%d", i/rackSize)),
		Labels: map[string]string{"kind": "general"},
		Phase:  tw.PhaseLive,
		Cores:  16,
		Memory: 32_000,
		Slots:  8,
	}
}

func instanceID(i int) tw.InstanceID { return tw.InstanceID(fmt.Sprintf("w%03d", i)) }

// poolConfig returns a configuration of n pools with one job each.
func poolConfig(n, replicas int) *tw.FleetConfig {
	c := &tw.FleetConfig{Halls: []tw.HallID{"h1"}}
	for i := range n {
		id := fmt.Sprintf("p%d", i)
		c.Pools = append(c.Pools, tw.Pool{ID: tw.PoolID(id), Instances: selector("kind=general"), Jobs: selector("pool=" + id)})
		c.Jobs = append(c.Jobs, tw.Job{
			ID:       tw.JobID("j" + id),
			Service:  tw.ServiceID("s" + id),
			Labels:   map[string]string{"pool": id},
			Replicas: replicas,
			Cores:    8,
		})
		c.Services = append(c.Services, tw.Service{ID: tw.ServiceID("s" + id), MaxUnavailable: 1})
	}
	c.SetDefaults()
	return c
}

func selector(text string) tw.Selector {
	s, err := tw.ParseSelector(text)
	if err != nil {
		panic(err)
	}
	return s
}

func (h *fakeHall) configure(config *tw.FleetConfig) {
	if err := config.Validate(); err != nil {
		panic(err)
	}
	h.in.Config = config
	h.in.Revision++
}

// pass decides once, with an allowance computed from the plan, and executes the
// orders.
func (h *fakeHall) pass() Output {
	h.refreshInput()
	h.in.Allowance = Allowances(BudgetInput{Config: h.in.Config, Plans: map[tw.HallID]tw.Plan{"h1": h.in.Plan}})
	out := Decide(h.in)
	h.in.Plan = out.Plan
	h.refreshInput()
	h.executeOrders(ComputeOrders(h.in))
	return out
}

// refreshInput lets the daemons acknowledge the plan and lists the tasks.
func (h *fakeHall) refreshInput() {
	h.in.Members = nil
	for _, id := range slices.Sorted(maps.Keys(h.acked)) {
		if !h.paused[id] {
			h.acked[id] = h.in.Plan.Generation
		}
		h.in.Members = append(h.in.Members, MemberStatus{ID: id, Acked: h.acked[id]})
	}
	h.in.Tasks = slices.SortedFunc(maps.Values(h.tasks), func(a, b tw.Task) int {
		return slices.Compare([]byte(a.ID), []byte(b.ID))
	})
}

func (h *fakeHall) executeOrders(orders Orders) {
	for _, id := range orders.Stop {
		if !h.ignoresStop[h.tasks[id].Instance] {
			delete(h.tasks, id)
		}
	}
	for _, t := range orders.Start {
		t.State = tw.TaskRunning
		if h.failsTasks[t.Instance] {
			t.State = tw.TaskFailed
		}
		h.tasks[t.ID] = t
		h.starts++
	}
	for _, r := range orders.Reboot {
		if in := h.find(r.Instance); in != nil && in.Boots == r.Boots {
			in.Boots++
		}
	}
}

// runUntilStable runs passes until two in a row change nothing, as an order takes
// effect one pass later. It returns the number of passes that changed the plan.
func (h *fakeHall) runUntilStable() int {
	changes, unchanged := 0, 0
	for range 1000 {
		if h.pass().Changed {
			changes++
			unchanged = 0
		} else if unchanged++; unchanged == 2 {
			return changes
		}
	}
	panic("the plan does not become stable")
}

func (h *fakeHall) find(id tw.InstanceID) *tw.Instance {
	for i := range h.in.Instances {
		if h.in.Instances[i].ID == id {
			return &h.in.Instances[i]
		}
	}
	return nil
}

// removeInstances removes the selected instances and their tasks.
func (h *fakeHall) removeInstances(match func(tw.Instance) bool) {
	h.in.Instances = slices.DeleteFunc(h.in.Instances, func(in tw.Instance) bool {
		if !match(in) {
			return false
		}
		maps.DeleteFunc(h.tasks, func(_ tw.TaskID, t tw.Task) bool { return t.Instance == in.ID })
		return true
	})
}

// serving returns the instances that serve requests for a job.
func (h *fakeHall) serving(job tw.JobID) []tw.InstanceID {
	var out []tw.InstanceID
	for i := range h.in.Plan.Instances {
		if a := &h.in.Plan.Instances[i]; a.Serves(job) {
			out = append(out, a.Instance)
		}
	}
	return out
}

func (h *fakeHall) state(id tw.InstanceID) tw.InstanceState {
	if a := h.in.Plan.Find(id); a != nil {
		return a.State
	}
	return ""
}

func (h *fakeHall) unplacedReason(job tw.JobID) tw.ReasonCode {
	for _, s := range h.in.Plan.Unplaced {
		if s.Job == job {
			return s.Reason.Code
		}
	}
	return ""
}
