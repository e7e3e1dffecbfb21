package fleet

import (
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// observeInstances takes in the platform's list: new instances become spares,
// leaving and lost ones drain at once. Nobody asks a budget for these, but
// they use it up, as they no longer count as available.
func (p *pass) observeInstances() {
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		in, ok := p.listed[a.Instance]
		if !ok {
			p.observeLost(a)
			continue
		}
		a.Rack, a.Address, a.Slots, a.Conns = in.Rack, in.Address, in.Slots, in.Connections
		if in.Phase == tw.PhaseLeaving {
			p.observeLeaving(a)
		}
	}
	planned := map[tw.InstanceID]bool{}
	for i := range p.plan.Instances {
		planned[p.plan.Instances[i].Instance] = true
	}
	for _, in := range p.in.Instances {
		if !planned[in.ID] && in.Phase == tw.PhaseLive {
			p.admit(in)
		}
	}
}

func (p *pass) admit(in tw.Instance) {
	a := tw.Assignment{
		Instance: in.ID,
		Rack:     in.Rack,
		Address:  in.Address,
		Slots:    in.Slots,
		Conns:    in.Connections,
		Pool:     tw.SparePool,
	}
	p.setState(&a, tw.InstanceSpare, tw.ReasonNew, "")
	p.plan.Instances = append(p.plan.Instances, a)
}

// observeLost lets go of an instance that is not listed. It stays in the plan
// as draining until every daemon has acknowledged: the list lags, and if the
// instance comes back nobody may still send it work of its old pool.
func (p *pass) observeLost(a *tw.Assignment) {
	if a.State == tw.InstanceDraining && a.Reason.Code == tw.ReasonLost {
		return
	}
	p.startDrain(a, "", tw.Reason{Code: tw.ReasonLost})
}

func (p *pass) observeLeaving(a *tw.Assignment) {
	switch a.State {
	case tw.InstanceJoining, tw.InstanceServing:
		p.startDrain(a, "", tw.Reason{Code: tw.ReasonLeaving})
	case tw.InstanceSpare:
		p.setState(a, tw.InstanceOut, tw.ReasonLeaving, "")
	}
}

// observeTasks takes in what the platform says of the tasks.
func (p *pass) observeTasks() {
	if !p.in.TasksKnown {
		return
	}
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if !a.Active() {
			continue
		}
		for j := range a.Jobs {
			p.observePlacement(a, &a.Jobs[j])
		}
		ready := slices.ContainsFunc(a.Jobs, func(at tw.Placement) bool { return at.State == tw.PlacementRunning })
		if a.State == tw.InstanceJoining && ready {
			p.setState(a, tw.InstanceServing, tw.ReasonTasksRunning, a.Reason.Detail)
		}
	}
}

func (p *pass) observePlacement(a *tw.Assignment, at *tw.Placement) {
	task, ok := p.tasks[tw.NewTaskID(at.Job, a.Instance, at.Placed)]
	switch {
	case at.State == tw.PlacementStarting && ok && task.State == tw.TaskRunning:
		p.setPlacementState(at, tw.PlacementRunning)
	case at.State == tw.PlacementStarting && ok && task.State == tw.TaskFailed:
		p.setPlacementState(at, tw.PlacementFailed)
	case at.State == tw.PlacementRunning && ok && task.State == tw.TaskFailed:
		p.setPlacementState(at, tw.PlacementFailed)
	case at.State == tw.PlacementRunning && !ok:
		// The platform lost the task; a new generation makes a new task id.
		p.setPlacementState(at, tw.PlacementStarting)
		at.Placed = p.gen
	}
}
