package fleet

import (
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// markMisplaced marks the instances whose pool is gone or whose labels no
// longer match it. They no longer count, so that fill brings their
// replacements first; they drain when the budgets allow.
func (p *pass) markMisplaced() {
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if !a.Active() {
			continue
		}
		pool := p.in.Config.Pool(a.Pool)
		switch {
		case pool == nil:
			p.markForDrain(a, tw.Reason{Code: tw.ReasonPoolGone, Detail: string(a.Pool)})
		case !p.eligible(a, pool):
			p.markForDrain(a, tw.Reason{Code: tw.ReasonLabels, Detail: string(a.Pool)})
		}
	}
}

// markForDrain marks an instance that will leave its pool when allowed.
func (p *pass) markForDrain(a *tw.Assignment, reason tw.Reason) {
	if p.toDrain[a.Instance].Code != "" {
		return
	}
	p.toDrain[a.Instance] = reason
	for _, n := range p.pools {
		if n.pool.ID == a.Pool && a.Active() {
			n.active--
		}
	}
}

// startPlannedDrains begins the planned moves that the budgets and the bound on
// moves allow now.
func (p *pass) startPlannedDrains() {
	moving := p.plannedMoves()
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		reason := p.toDrain[a.Instance]
		if reason.Code == "" || !a.Active() || p.awaitingReplacement(a.Pool) {
			continue
		}
		drain := Drain{Instance: a.Instance, Services: p.runningServices(a), Reason: reason}
		if moving >= p.in.Config.Spares.MaxMoves || !p.takeAllowance(a) {
			p.out.Deferred = append(p.out.Deferred, drain)
			continue
		}
		next := tw.PoolID("")
		if reason.Code == tw.ReasonTaken {
			next = tw.PoolID(reason.Detail)
		}
		if reason.Code == tw.ReasonWave {
			a.Wave = tw.WaveID(reason.Detail)
		}
		p.startDrain(a, next, reason)
		p.out.Drains = append(p.out.Drains, drain)
		moving++
	}
}

// awaitingReplacement tells whether a pool has an instance that is still joining or a
// job that is still starting. Planned drains wait for it: the budget is for
// when there is no replacement.
func (p *pass) awaitingReplacement(pool tw.PoolID) bool {
	for _, a := range p.poolInstances(pool) {
		starting := slices.ContainsFunc(a.Jobs, func(at tw.Placement) bool { return at.State == tw.PlacementStarting })
		if a.State == tw.InstanceJoining || starting {
			return true
		}
	}
	return false
}

// deductLosses takes out of the allowance what this pass itself found lost:
// the allowance was worked out from the plan before it.
func (p *pass) deductLosses() {
	was := map[tw.ServiceID]int{}
	for i := range p.in.Plan.Instances {
		for service, n := range p.runningReplicas(&p.in.Plan.Instances[i]) {
			was[service] += n
		}
	}
	for i := range p.plan.Instances {
		for service, n := range p.runningReplicas(&p.plan.Instances[i]) {
			was[service] -= n
		}
	}
	for service, lost := range was {
		p.allowance[service] -= max(0, lost)
	}
}

// plannedMoves counts the instances on a planned way out.
func (p *pass) plannedMoves() int {
	n := 0
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		unplanned := a.Reason.Code == tw.ReasonLost || a.Reason.Code == tw.ReasonLeaving
		if a.State == tw.InstanceDraining && !unplanned {
			n++
		}
	}
	return n
}

// takeAllowance takes the replicas that an instance carries out of the allowance, all
// or none of them.
func (p *pass) takeAllowance(a *tw.Assignment) bool {
	taken := p.runningReplicas(a)
	for service, n := range taken {
		if p.allowance[service] < n {
			return false
		}
	}
	for service, n := range taken {
		p.allowance[service] -= n
	}
	return true
}

// runningReplicas counts the running replicas of each service on an instance.
func (p *pass) runningReplicas(a *tw.Assignment) map[tw.ServiceID]int {
	n := map[tw.ServiceID]int{}
	for _, at := range a.Jobs {
		if job := p.jobs[at.Job]; job != nil && a.Serves(at.Job) {
			n[job.Service]++
		}
	}
	return n
}

// runningServices lists whose replicas run on an instance, in the plan's order.
func (p *pass) runningServices(a *tw.Assignment) []tw.ServiceID {
	var out []tw.ServiceID
	seen := map[tw.ServiceID]bool{}
	for _, at := range a.Jobs {
		job := p.jobs[at.Job]
		if job != nil && a.Serves(at.Job) && !seen[job.Service] {
			seen[job.Service] = true
			out = append(out, job.Service)
		}
	}
	return out
}
