package fleet

import (
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// advanceHandovers moves draining instances and stopping placements to their next
// state once no daemon can still send requests to them, and brings back instances
// that are out or quarantined.
func (p *pass) advanceHandovers() {
	remaining := p.plan.Instances[:0]
	for _, a := range p.plan.Instances {
		if p.advance(&a) {
			remaining = append(remaining, a)
		}
	}
	p.plan.Instances = remaining
}

// advance returns false if the instance is to be removed from the plan.
func (p *pass) advance(a *tw.Assignment) bool {
	switch a.State {
	case tw.InstanceDraining:
		return p.advanceDraining(a)
	case tw.InstanceOut, tw.InstanceQuarantined:
		p.advanceOut(a)
	case tw.InstanceJoining, tw.InstanceServing:
		p.advanceStopping(a)
	}
	return true
}

func (p *pass) advanceDraining(a *tw.Assignment) bool {
	if !p.in.released(a.Instance, "", a.Generation) {
		return true
	}
	_, listed := p.listed[a.Instance]
	if !listed {
		return false
	}
	if !p.in.TasksKnown || p.taskCount[a.Instance] > 0 {
		return true
	}
	a.Jobs = nil
	p.completeDrain(a)
	return true
}

// completeDrain ends a drain and assigns the instance to its next pool, both in
// one write of the plan.
func (p *pass) completeDrain(a *tw.Assignment) {
	in := p.listed[a.Instance]
	detail := string(a.Reason.Code)
	code := a.Reason.Code
	next := a.NextPool
	a.Pool, a.NextPool = tw.SparePool, ""
	switch {
	case in.Phase == tw.PhaseLeaving:
		p.setState(a, tw.InstanceOut, tw.ReasonLeaving, "")
	case a.Wave != "":
		a.Boots = in.Boots
		p.setState(a, tw.InstanceOut, tw.ReasonWave, string(a.Wave))
	case code == tw.ReasonFailing:
		a.Boots = in.Boots
		a.QuarantineCount++
		p.setState(a, tw.InstanceQuarantined, tw.ReasonFailing, "")
	case next != "" && p.in.Config.Pool(next) != nil:
		a.Pool = next
		p.setState(a, tw.InstanceJoining, tw.ReasonDrained, detail)
	default:
		p.setState(a, tw.InstanceSpare, tw.ReasonDrained, detail)
	}
}

// maxQuarantines is the number of quarantines at which an instance stays out for
// good.
const maxQuarantines = 2

// advanceOut makes an instance a spare again after its reboot, or after the
// platform has cancelled taking it back.
func (p *pass) advanceOut(a *tw.Assignment) {
	in := p.listed[a.Instance]
	if in.Phase != tw.PhaseLive {
		return
	}
	if a.Reason.Code == tw.ReasonLeaving {
		p.setState(a, tw.InstanceSpare, tw.ReasonNew, "not leaving after all")
		return
	}
	if in.Boots <= a.Boots || a.QuarantineCount >= maxQuarantines {
		return
	}
	if a.Wave != "" {
		a.Waves = append(a.Waves, a.Wave)
	}
	a.Wave = ""
	p.setState(a, tw.InstanceSpare, tw.ReasonMaintained, "")
}

// advanceStopping removes stopping placements that have no task and that no
// daemon uses any more.
func (p *pass) advanceStopping(a *tw.Assignment) {
	if !p.in.TasksKnown {
		return
	}
	a.Jobs = slices.DeleteFunc(a.Jobs, func(placement tw.Placement) bool {
		if placement.State != tw.PlacementStopping {
			return false
		}
		_, exists := p.tasks[tw.NewTaskID(placement.Job, a.Instance, placement.Placed)]
		return !exists && p.in.released(a.Instance, placement.Job, placement.Generation)
	})
}

// released reports whether every registered daemon has acknowledged a generation
// and has no requests in flight for the job on the instance; an empty job means
// all jobs.
func (in *Input) released(id tw.InstanceID, job tw.JobID, gen tw.Generation) bool {
	// No daemon has read a plan that is not written yet. While nothing is pending,
	// Members is empty, so without this check an instance that is missing from the
	// list would be released at once, with requests still in flight.
	if gen > in.Plan.Generation {
		return false
	}
	for _, m := range in.Members {
		if m.Acked < gen {
			return false
		}
		for key, n := range m.InFlight {
			if n > 0 && key.Instance == id && (job == "" || key.Job == job) {
				return false
			}
		}
	}
	return true
}
