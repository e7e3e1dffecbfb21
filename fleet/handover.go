package fleet

import (
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// advanceHandovers takes each instance and placement one step further on its
// way out, if everybody that could still send to it has let go.
func (p *pass) advanceHandovers() {
	kept := p.plan.Instances[:0]
	for _, a := range p.plan.Instances {
		if p.advance(&a) {
			kept = append(kept, a)
		}
	}
	p.plan.Instances = kept
}

// advance returns false if the instance leaves the plan.
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

// completeDrain is the one write that gives a drained instance its next pool.
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

// maxQuarantines is how often an instance comes back from quarantine.
const maxQuarantines = 2

// advanceOut takes back an instance that was rebooted, or that the platform
// wanted back and has left to us after all.
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

// advanceStopping takes away placements that nobody uses any more.
func (p *pass) advanceStopping(a *tw.Assignment) {
	if !p.in.TasksKnown {
		return
	}
	a.Jobs = slices.DeleteFunc(a.Jobs, func(at tw.Placement) bool {
		if at.State != tw.PlacementStopping {
			return false
		}
		_, runs := p.tasks[tw.NewTaskID(at.Job, a.Instance, at.Placed)]
		return !runs && p.in.released(a.Instance, at.Job, at.Generation)
	})
}

// released tells whether every registered daemon has acknowledged a
// generation and has nothing left in flight on the instance; an empty job
// stands for all jobs.
func (in *Input) released(id tw.InstanceID, job tw.JobID, gen tw.Generation) bool {
	// Nobody has read a plan that is not written yet, and at rest Members are not
	// even asked: an instance that the list lost was freed at once, under its work.
	if gen > in.Plan.Generation {
		return false
	}
	for _, m := range in.Members {
		if m.Acked < gen {
			return false
		}
		for held, n := range m.InFlight {
			if n > 0 && held.Instance == id && (job == "" || held.Job == job) {
				return false
			}
		}
	}
	return true
}
