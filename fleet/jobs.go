package fleet

import (
	"cmp"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// placeJobs places each job on as many instances of its pool as it has replicas,
// keeping existing placements, and stops placements that are no longer wanted.
func (p *pass) placeJobs() {
	if p.in.Revision != p.in.Plan.Revision {
		p.clearFailures()
	}
	for _, n := range p.pools {
		instances := p.poolInstances(n.pool.ID)
		jobs := slices.Clone(n.jobs)
		// Large jobs go first, as small ones would fragment the free capacity.
		slices.SortStableFunc(jobs, func(a, b *tw.Job) int { return cmp.Compare(b.Cores, a.Cores) })
		for _, job := range jobs {
			p.placeJob(job, instances)
		}
	}
	p.stopUnwanted()
}

// clearFailures removes failed placements, so that they are retried under a new
// configuration.
func (p *pass) clearFailures() {
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		a.Jobs = slices.DeleteFunc(a.Jobs, func(placement tw.Placement) bool { return placement.State == tw.PlacementFailed })
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

func (p *pass) placeJob(job *tw.Job, instances []*tw.Assignment) {
	replicas := 0
	for _, a := range instances {
		placement := a.Placement(job.ID)
		if placement != nil && (placement.State == tw.PlacementRunning || placement.State == tw.PlacementStarting) && p.toDrain[a.Instance].Code == "" {
			replicas++
		}
	}
	for ; replicas < job.Replicas; replicas++ {
		a := p.chooseInstance(job, instances)
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
	p.stopExcess(job, instances, replicas)
}

// chooseInstance returns the instance with the most free cores that has room for
// the job and does not have it yet, or nil.
func (p *pass) chooseInstance(job *tw.Job, instances []*tw.Assignment) *tw.Assignment {
	var best *tw.Assignment
	var mostFree tw.Cores
	for _, a := range instances {
		if a.Placement(job.ID) != nil || p.toDrain[a.Instance].Code != "" {
			continue
		}
		cores, memory := p.freeCapacity(a)
		if cores < job.Cores || memory < job.Memory {
			continue
		}
		if best == nil || cores > mostFree {
			best, mostFree = a, cores
		}
	}
	return best
}

// freeCapacity returns an instance's capacity minus the declared sizes of its
// jobs. Failed placements take up none.
func (p *pass) freeCapacity(a *tw.Assignment) (tw.Cores, tw.Megabytes) {
	in := p.listed[a.Instance]
	cores, memory := in.Cores, in.Memory
	for _, placement := range a.Jobs {
		if job := p.jobs[placement.Job]; job != nil && placement.State != tw.PlacementFailed {
			cores -= job.Cores
			memory -= job.Memory
		}
	}
	return cores, memory
}

// stopExcess stops surplus replicas, those not yet running first.
func (p *pass) stopExcess(job *tw.Job, instances []*tw.Assignment, replicas int) {
	for _, state := range []tw.PlacementState{tw.PlacementStarting, tw.PlacementRunning} {
		for _, a := range slices.Backward(instances) {
			placement := a.Placement(job.ID)
			if replicas <= job.Replicas {
				return
			}
			if placement != nil && placement.State == state && p.toDrain[a.Instance].Code == "" {
				p.setPlacementState(placement, tw.PlacementStopping)
				replicas--
			}
		}
	}
}

// stopUnwanted stops placements whose job was removed from the hall, no longer matches
// any pool, or was moved to another pool and has all its replicas running there: the
// new replicas must run before the old ones stop.
func (p *pass) stopUnwanted() {
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if !a.Active() {
			continue
		}
		for j := range a.Jobs {
			placement := &a.Jobs[j]
			if placement.State != tw.PlacementStopping && p.unwanted(a, placement) {
				p.setPlacementState(placement, tw.PlacementStopping)
			}
		}
	}
}

func (p *pass) unwanted(a *tw.Assignment, placement *tw.Placement) bool {
	job := p.jobs[placement.Job]
	if job == nil || !job.In(p.in.Hall) {
		return true
	}
	pool := p.jobPool[placement.Job]
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
