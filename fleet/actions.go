package fleet

import (
	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Orders is what to tell the platform after a plan was written.
	Orders struct {
		Start  []tw.Task
		Stop   []tw.TaskID
		Reboot []Reboot
	}

	// Reboot asks for the maintenance of an instance.
	Reboot struct {
		Instance tw.InstanceID
		Boots    uint64
	}
)

// ComputeOrders compares a written plan with the platform's tasks. in.Plan must be
// in the store already: an order must never run ahead of its fence.
func ComputeOrders(in Input) Orders {
	var orders Orders
	running := map[tw.TaskID]bool{}
	for _, t := range in.Tasks {
		running[t.ID] = true
	}
	keep := map[tw.TaskID]bool{}
	for i := range in.Plan.Instances {
		a := &in.Plan.Instances[i]
		for _, at := range a.Jobs {
			id := tw.NewTaskID(at.Job, a.Instance, at.Placed)
			wanted := a.Active() && (at.State == tw.PlacementStarting || at.State == tw.PlacementRunning)
			keep[id] = wanted || !in.mayStop(a, &at)
			if wanted && !running[id] {
				orders.Start = append(orders.Start, tw.Task{ID: id, Job: at.Job, Instance: a.Instance})
			}
		}
		if a.State == tw.InstanceOut && a.Wave != "" || a.State == tw.InstanceQuarantined {
			orders.Reboot = append(orders.Reboot, Reboot{Instance: a.Instance, Boots: a.Boots})
		}
	}
	for _, t := range in.Tasks {
		if !keep[t.ID] {
			orders.Stop = append(orders.Stop, t.ID)
		}
	}
	return orders
}

// mayStop tells whether nobody can have work in a task any more.
func (in *Input) mayStop(a *tw.Assignment, at *tw.Placement) bool {
	switch {
	case a.State == tw.InstanceDraining:
		return in.released(a.Instance, "", a.Generation)
	case at.State == tw.PlacementStopping:
		return in.released(a.Instance, at.Job, at.Generation)
	}
	return true
}
