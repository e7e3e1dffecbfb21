package fleet

import (
	"cmp"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// placeJobs puts each job on as many instances of its pool as it wants,
// keeping what stands, and stops what is no longer wanted.
func (p *pass) placeJobs() {
	if p.in.Revision != p.in.Plan.Revision {
		p.clearFailures()
	}
	for _, n := range p.pools {
		members := p.poolInstances(n.pool.ID)
		jobs := slices.Clone(n.jobs)
		// Large jobs first, so that small ones don't crowd them out.
		slices.SortStableFunc(jobs, func(a, b *tw.Job) int { return cmp.Compare(b.Cores, a.Cores) })
		for _, job := range jobs {
			p.placeJob(job, members)
		}
	}
	p.stopUnwanted()
}

// clearFailures gives failed placements another try under a new
// configuration.
func (p *pass) clearFailures() {
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		a.Jobs = slices.DeleteFunc(a.Jobs, func(at tw.Placement) bool { return at.State == tw.PlacementFailed })
	}
}

func (p *pass) poolInstances(pool tw.PoolID) []*tw.Assignment {
	var out []*tw.Assignment
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if a.Pool == pool && a.Active() {
			out = append(out, a)
		}
	}
	return out
}

func (p *pass) placeJob(job *tw.Job, members []*tw.Assignment) {
	have := 0
	for _, a := range members {
		at := a.Placement(job.ID)
		if at != nil && (at.State == tw.PlacementRunning || at.State == tw.PlacementStarting) && p.toDrain[a.Instance].Code == "" {
			have++
		}
	}
	for ; have < job.Replicas; have++ {
		a := p.chooseInstance(job, members)
		if a == nil {
			return
		}
		a.Jobs = append(a.Jobs, tw.Placement{
			Job:        job.ID,
			State:      tw.PlacementStarting,
			Placed:     p.gen,
			Generation: p.gen,
		})
	}
	p.stopExcess(job, members, have)
}

// chooseInstance is the member with the most cores left that lacks the job.
func (p *pass) chooseInstance(job *tw.Job, members []*tw.Assignment) *tw.Assignment {
	var best *tw.Assignment
	var most tw.Cores
	for _, a := range members {
		if a.Placement(job.ID) != nil || p.toDrain[a.Instance].Code != "" {
			continue
		}
		cores, memory := p.freeCapacity(a)
		if cores < job.Cores || memory < job.Memory {
			continue
		}
		if best == nil || cores > most {
			best, most = a, cores
		}
	}
	return best
}

// freeCapacity is what the declared sizes leave free on an instance.
func (p *pass) freeCapacity(a *tw.Assignment) (tw.Cores, tw.Megabytes) {
	in := p.listed[a.Instance]
	cores, memory := in.Cores, in.Memory
	for _, at := range a.Jobs {
		if job := p.jobs[at.Job]; job != nil && at.State != tw.PlacementFailed {
			cores -= job.Cores
			memory -= job.Memory
		}
	}
	return cores, memory
}

// stopExcess stops the replicas that are too many, those not yet running first.
func (p *pass) stopExcess(job *tw.Job, members []*tw.Assignment, have int) {
	for _, state := range []tw.PlacementState{tw.PlacementStarting, tw.PlacementRunning} {
		for _, a := range slices.Backward(members) {
			at := a.Placement(job.ID)
			if have <= job.Replicas {
				return
			}
			if at != nil && at.State == state && p.toDrain[a.Instance].Code == "" {
				p.setPlacementState(at, tw.PlacementStopping)
				have--
			}
		}
	}
}

// stopUnwanted stops placements whose job is gone, or has moved to another
// pool and runs there in full: the new replicas come before the old go.
func (p *pass) stopUnwanted() {
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if !a.Active() {
			continue
		}
		for j := range a.Jobs {
			at := &a.Jobs[j]
			if at.State != tw.PlacementStopping && p.unwanted(a, at) {
				p.setPlacementState(at, tw.PlacementStopping)
			}
		}
	}
}

func (p *pass) unwanted(a *tw.Assignment, at *tw.Placement) bool {
	job := p.jobs[at.Job]
	if job == nil || !job.In(p.in.Hall) {
		return true
	}
	pool := p.jobPool[at.Job]
	if pool == nil || pool.ID == a.Pool {
		return pool == nil
	}
	running := 0
	for _, m := range p.poolInstances(pool.ID) {
		if m.Serves(job.ID) {
			running++
		}
	}
	return running >= job.Replicas
}
