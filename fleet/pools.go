package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// targetUtilization is the fraction of a pool's slots that may be busy; the rest
// is headroom for the loss of an instance.
const targetUtilization = 0.7

// poolNeed is the required and the actual size of a pool in this pass.
type poolNeed struct {
	pool   *tw.Pool
	jobs   []*tw.Job
	need   int // instances required
	active int // instances joining or serving and not marked for a drain
}

func (n *poolNeed) isShort() bool { return n.active < n.need }

// fillRatio is the part of the required instances that the pool has. The pool with
// the lowest ratio is filled first.
func (n *poolNeed) fillRatio() float64 { return float64(n.active) / float64(max(n.need, 1)) }

// computePoolNeeds determines the jobs and the required size of each pool. Jobs
// that cannot run anywhere are recorded as unplaced and don't delay the others.
func (p *pass) computePoolNeeds() {
	byPool := map[tw.PoolID]*poolNeed{}
	for i := range p.in.Config.Pools {
		n := &poolNeed{pool: &p.in.Config.Pools[i]}
		byPool[n.pool.ID] = n
		p.pools = append(p.pools, n)
	}
	for i := range p.in.Config.Jobs {
		job := &p.in.Config.Jobs[i]
		if !job.In(p.in.Hall) {
			continue
		}
		pool := p.jobPool[job.ID]
		if pool == nil {
			p.markUnplaced(job, tw.ReasonNoPool, "no pool's job selector matches its labels")
			continue
		}
		if reason, ok := p.unplaceableReason(job, pool); ok {
			p.markUnplaced(job, reason.Code, reason.Detail)
			continue
		}
		byPool[pool.ID].jobs = append(byPool[pool.ID].jobs, job)
	}
	for _, n := range p.pools {
		n.need = p.requiredSize(n)
	}
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if n := byPool[a.Pool]; n != nil && a.Active() {
			n.active++
		}
	}
}

func (p *pass) markUnplaced(job *tw.Job, code tw.ReasonCode, detail string) {
	p.plan.Unplaced = append(p.plan.Unplaced, tw.UnplacedJob{Job: job.ID, Reason: tw.Reason{Code: code, Detail: detail}})
}

// maxFailedInstances is the number of instances on which a job fails, while it
// runs on none, before it is recorded as unplaced.
const maxFailedInstances = 3

func (p *pass) unplaceableReason(job *tw.Job, pool *tw.Pool) (tw.Reason, bool) {
	eligible, fits := 0, 0
	for _, in := range p.in.Instances {
		if !p.matchingPools[in.ID][pool.ID] {
			continue
		}
		eligible++
		if job.Cores <= in.Cores && job.Memory <= in.Memory {
			fits++
		}
	}
	switch {
	case eligible == 0:
		return tw.Reason{Code: tw.ReasonNoInstance, Detail: fmt.Sprintf("no instance of the hall matches pool %s", pool.ID)}, true
	case fits == 0:
		return tw.Reason{Code: tw.ReasonTooLarge, Detail: fmt.Sprintf("%v cores, %d MB", job.Cores, job.Memory)}, true
	}
	failed, runs := p.placementCounts(job.ID)
	if failed >= maxFailedInstances && runs == 0 {
		return tw.Reason{Code: tw.ReasonFailing, Detail: fmt.Sprintf("failed on %d instances, runs on none", failed)}, true
	}
	return tw.Reason{}, false
}

// placementCounts returns the number of instances on which a job has failed, and
// the number on which it runs.
func (p *pass) placementCounts(job tw.JobID) (failed, runs int) {
	for i := range p.plan.Instances {
		placement := p.plan.Instances[i].Placement(job)
		switch {
		case placement == nil:
		case placement.State == tw.PlacementFailed:
			failed++
		case placement.State == tw.PlacementRunning:
			runs++
		}
	}
	return failed, runs
}

// requiredSize returns the number of instances a pool needs: at least MinSize, and
// enough for the job with the most replicas, for the sum of the declared job sizes,
// and for the measured load.
func (p *pass) requiredSize(n *poolNeed) int {
	var cores tw.Cores
	var memory tw.Megabytes
	var busy float64
	need := n.pool.MinSize
	for _, j := range n.jobs {
		need = max(need, j.Replicas)
		cores += j.Cores * tw.Cores(j.Replicas)
		memory += j.Memory * tw.Megabytes(j.Replicas)
		busy += p.in.BusySlots[j.ID]
	}
	smallest := p.smallestInstance(n.pool)
	if smallest.Cores > 0 {
		need = max(need, int(math.Ceil(float64(cores/smallest.Cores))))
	}
	if smallest.Memory > 0 {
		need = max(need, int((memory+smallest.Memory-1)/smallest.Memory))
	}
	if smallest.Slots > 0 {
		need = max(need, int(math.Ceil(busy/(float64(smallest.Slots)*targetUtilization))))
	}
	return need
}

// smallestInstance returns the instance with the fewest cores that matches a pool.
// Pool sizes are computed as if all instances were like it, so that they are not too
// low.
func (p *pass) smallestInstance(pool *tw.Pool) tw.Instance {
	var smallest tw.Instance
	for _, in := range p.in.Instances {
		if !p.matchingPools[in.ID][pool.ID] {
			continue
		}
		if smallest.ID == "" || in.Cores < smallest.Cores {
			smallest = in
		}
	}
	return smallest
}

// fillPools adds spares to pools below their required size, those with the lowest
// fill ratio first. It needs no acknowledgements, as no daemon sends requests to a
// spare.
func (p *pass) fillPools() {
	for {
		short := p.mostShort()
		if short == nil {
			return
		}
		a := p.chooseSpare(short.pool)
		if a == nil {
			p.takeFromSurplus(short)
			short.need = short.active // no more instances for this pool in this pass
			continue
		}
		a.Pool = short.pool.ID
		p.setState(a, tw.InstanceJoining, tw.ReasonNeeded, fmt.Sprintf("%s had %d of %d", short.pool.ID, short.active, short.need))
		short.active++
	}
}

func (p *pass) mostShort() *poolNeed {
	var worst *poolNeed
	for _, n := range p.pools {
		if n.isShort() && (worst == nil || n.fillRatio() < worst.fillRatio()) {
			worst = n
		}
	}
	return worst
}

// chooseSpare returns the best spare for a pool, or nil. It prefers instances with
// the fewest quarantines, then racks with the fewest instances of the pool, then
// racks with the fewest active instances (so that the loss of one rack costs little,
// and the remaining spares are spread over racks), then instances that match the
// fewest pools.
func (p *pass) chooseSpare(pool *tw.Pool) *tw.Assignment {
	poolInRack := map[tw.RackID]int{}
	activeInRack := map[tw.RackID]int{}
	var candidates []*tw.Assignment
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if a.Active() {
			activeInRack[a.Rack]++
		}
		if a.Pool == pool.ID && a.Active() {
			poolInRack[a.Rack]++
		}
		// An instance that was missing from the list may come back with tasks of
		// its former pool still running.
		idle := a.State == tw.InstanceSpare && p.taskCount[a.Instance] == 0
		if idle && p.eligible(a, pool) && p.toDrain[a.Instance].Code == "" {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *tw.Assignment) int {
		return cmp.Or(
			cmp.Compare(a.QuarantineCount, b.QuarantineCount),
			cmp.Compare(poolInRack[a.Rack], poolInRack[b.Rack]),
			cmp.Compare(activeInRack[a.Rack], activeInRack[b.Rack]),
			cmp.Compare(len(p.matchingPools[a.Instance]), len(p.matchingPools[b.Instance])),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
}

func (p *pass) eligible(a *tw.Assignment, pool *tw.Pool) bool {
	in, ok := p.listed[a.Instance]
	return ok && in.Phase == tw.PhaseLive && p.matchingPools[in.ID][pool.ID]
}

// takeFromSurplus marks instances of pools that exceed their required size, so that
// they move to a pool that is short.
func (p *pass) takeFromSurplus(short *poolNeed) {
	missing := short.need - short.active - p.incoming(short.pool.ID)
	for _, n := range p.pools {
		for i := range p.plan.Instances {
			a := &p.plan.Instances[i]
			if missing <= 0 || n.active <= n.need {
				break
			}
			if a.Pool != n.pool.ID || a.State != tw.InstanceServing || !p.eligible(a, short.pool) || p.toDrain[a.Instance].Code != "" {
				continue
			}
			p.toDrain[a.Instance] = tw.Reason{Code: tw.ReasonTaken, Detail: string(short.pool.ID)}
			n.active--
			missing--
		}
	}
}

// incoming counts the instances that are draining and will then join a pool.
func (p *pass) incoming(pool tw.PoolID) int {
	n := 0
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if a.State == tw.InstanceDraining && a.NextPool == pool {
			n++
		}
	}
	return n
}
