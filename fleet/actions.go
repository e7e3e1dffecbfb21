package fleet

import (
	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Orders are the calls to make to the platform after a plan was written.
	Orders struct {
		Start  []tw.Task
		Stop   []tw.TaskID
		Reboot []Reboot
	}

	// Reboot orders a reboot of an instance. Boots is the boot count on which
	// the order is based, so that a repeated order reboots it only once.
	Reboot struct {
		Instance tw.InstanceID
		Boots    uint64
	}
)

// ComputeOrders compares a written plan with the platform's tasks. in.Plan must
// already be in the store: an order that is sent before its plan is written would
// not be fenced against other planners.
func ComputeOrders(in Input) Orders {
	var orders Orders
	existing := map[tw.TaskID]bool{}
	for _, t := range in.Tasks {
		existing[t.ID] = true
	}
	keep := map[tw.TaskID]bool{}
	for i := range in.Plan.Instances {
		a := &in.Plan.Instances[i]
		for _, placement := range a.Jobs {
			id := tw.NewTaskID(placement.Job, a.Instance, placement.Placed)
			wanted := a.Active() && (placement.State == tw.PlacementStarting || placement.State == tw.PlacementRunning)
			keep[id] = wanted || !in.mayStop(a, &placement)
			if wanted && !existing[id] {
				orders.Start = append(orders.Start, tw.Task{ID: id, Job: placement.Job, Instance: a.Instance})
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

// mayStop reports whether the task of a placement that is no longer wanted may be
// stopped. If the instance is draining or the placement is stopping, every daemon
// must first have acknowledged this and have no request in flight there.
func (in *Input) mayStop(a *tw.Assignment, placement *tw.Placement) bool {
	switch {
	case a.State == tw.InstanceDraining:
		return in.released(a.Instance, "", a.Generation)
	case placement.State == tw.PlacementStopping:
		return in.released(a.Instance, placement.Job, placement.Generation)
	}
	return true
}
