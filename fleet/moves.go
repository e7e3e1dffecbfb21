package fleet

import (
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// markMisplaced marks the instances whose pool was removed or whose labels no
// longer match it. They no longer count as active, so that fillPools adds their
// replacements first; they drain once the budgets allow.
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

// markForDrain marks an instance to move out of its pool once the budgets allow.
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

// startPlannedDrains drains the marked instances as far as the budgets and
// MaxMoves allow now.
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

// awaitingReplacement reports whether a pool has an instance that is still joining
// or a job that is still starting. Planned drains wait until none is left, as
// the budget is only for drains without a replacement.
func (p *pass) awaitingReplacement(pool tw.PoolID) bool {
	for _, a := range p.poolInstances(pool) {
		starting := slices.ContainsFunc(a.Jobs, func(placement tw.Placement) bool { return placement.State == tw.PlacementStarting })
		if a.State == tw.InstanceJoining || starting {
			return true
		}
	}
	return false
}

// deductLosses subtracts from the allowance the replicas that this pass has found lost
// or taken out of service. The allowance was computed from the last plan written, which
// still has them as running.
func (p *pass) deductLosses() {
	delta := map[tw.ServiceID]int{}
	for i := range p.in.Plan.Instances {
		for service, n := range p.runningReplicas(&p.in.Plan.Instances[i]) {
			delta[service] += n
		}
	}
	for i := range p.plan.Instances {
		for service, n := range p.runningReplicas(&p.plan.Instances[i]) {
			delta[service] -= n
		}
	}
	for service, lost := range delta {
		p.allowance[service] -= max(0, lost)
	}
}

// plannedMoves counts the draining instances, except those that were lost or that
// the platform takes back.
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

// takeAllowance subtracts the replicas running on an instance from the allowance.
// If it is too small for any of the services, it subtracts nothing and returns
// false.
func (p *pass) takeAllowance(a *tw.Assignment) bool {
	needed := p.runningReplicas(a)
	for service, n := range needed {
		if p.allowance[service] < n {
			return false
		}
	}
	for service, n := range needed {
		p.allowance[service] -= n
	}
	return true
}

// runningReplicas counts the running replicas of each service on an instance.
func (p *pass) runningReplicas(a *tw.Assignment) map[tw.ServiceID]int {
	n := map[tw.ServiceID]int{}
	for _, placement := range a.Jobs {
		if job := p.jobs[placement.Job]; job != nil && a.Serves(placement.Job) {
			n[job.Service]++
		}
	}
	return n
}

// runningServices returns the services with running replicas on an instance, in the
// plan's order.
func (p *pass) runningServices(a *tw.Assignment) []tw.ServiceID {
	var out []tw.ServiceID
	seen := map[tw.ServiceID]bool{}
	for _, placement := range a.Jobs {
		job := p.jobs[placement.Job]
		if job != nil && a.Serves(placement.Job) && !seen[job.Service] {
			seen[job.Service] = true
			out = append(out, job.Service)
		}
	}
	return out
}
