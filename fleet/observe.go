package fleet

import (
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// observeInstances applies the platform's instance list: new instances become
// spares, leaving and lost ones drain at once. Such drains need no allowance, but
// reduce it for planned ones, as the instances no longer count as available.
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

// observeLost drains an instance that is not listed. It stays in the plan until
// every daemon has acknowledged the drain: the list may be out of date, and if the
// instance comes back no daemon may still send it requests for its former pool.
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

// observeTasks updates placements from the platform's task states.
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
		ready := slices.ContainsFunc(a.Jobs, func(placement tw.Placement) bool { return placement.State == tw.PlacementRunning })
		if a.State == tw.InstanceJoining && ready {
			p.setState(a, tw.InstanceServing, tw.ReasonTasksRunning, a.Reason.Detail)
		}
	}
}

func (p *pass) observePlacement(a *tw.Assignment, placement *tw.Placement) {
	task, ok := p.tasks[tw.NewTaskID(placement.Job, a.Instance, placement.Placed)]
	switch {
	case placement.State == tw.PlacementStarting && ok && task.State == tw.TaskRunning:
		p.setPlacementState(placement, tw.PlacementRunning)
	case placement.State == tw.PlacementStarting && ok && task.State == tw.TaskFailed:
		p.setPlacementState(placement, tw.PlacementFailed)
	case placement.State == tw.PlacementRunning && ok && task.State == tw.TaskFailed:
		p.setPlacementState(placement, tw.PlacementFailed)
	case placement.State == tw.PlacementRunning && !ok:
		// The platform lost the task. Setting Placed gives its successor a new task ID.
		p.setPlacementState(placement, tw.PlacementStarting)
		placement.Placed = p.gen
	}
}
