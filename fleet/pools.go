package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// targetUtilization is how full a pool's slots may be by measured use; the rest is
// its headroom for the loss of an instance.
const targetUtilization = 0.7

// poolNeed is what a pool has and lacks in this pass.
type poolNeed struct {
	pool   *tw.Pool
	jobs   []*tw.Job
	need   int // instances wanted
	active int // instances that count: joining or serving, and not doomed
}

func (n *poolNeed) isShort() bool { return n.active < n.need }

// fillRatio orders pools by how badly off they are.
func (n *poolNeed) fillRatio() float64 { return float64(n.active) / float64(max(n.need, 1)) }

// computePoolNeeds works out for each pool its jobs and its size, and sets aside the
// jobs that can run nowhere. They hold nothing up.
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

// maxFailedInstances is on how many instances a job may fail before it is set aside.
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

// placementCounts counts on how many instances a job has failed and runs.
func (p *pass) placementCounts(job tw.JobID) (failed, runs int) {
	for i := range p.plan.Instances {
		at := p.plan.Instances[i].Placement(job)
		switch {
		case at == nil:
		case at.State == tw.PlacementFailed:
			failed++
		case at.State == tw.PlacementRunning:
			runs++
		}
	}
	return failed, runs
}

// requiredSize is how many instances a pool needs: enough for its largest number of
// replicas, for the declared sizes together, and for the measured use.
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
	typical := p.smallestInstance(n.pool)
	if typical.Cores > 0 {
		need = max(need, int(math.Ceil(float64(cores/typical.Cores))))
	}
	if typical.Memory > 0 {
		need = max(need, int((memory+typical.Memory-1)/typical.Memory))
	}
	if typical.Slots > 0 {
		need = max(need, int(math.Ceil(busy/(float64(typical.Slots)*targetUtilization))))
	}
	return need
}

// smallestInstance is the smallest instance that matches a pool, so that sizes worked
// out from it are enough.
func (p *pass) smallestInstance(pool *tw.Pool) tw.Instance {
	var least tw.Instance
	for _, in := range p.in.Instances {
		if !p.matchingPools[in.ID][pool.ID] {
			continue
		}
		if least.ID == "" || in.Cores < least.Cores {
			least = in
		}
	}
	return least
}

// fillPools brings short pools up to size from spares, the worst off first. Nobody
// sends to a spare, so this waits for nobody.
func (p *pass) fillPools() {
	for {
		short := p.mostShort()
		if short == nil {
			return
		}
		a := p.chooseSpare(short.pool)
		if a == nil {
			p.takeFromSurplus(short)
			short.need = short.active // nothing more can be done in this pass
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

// chooseSpare prefers healthy instances, then racks in which the pool has
// little, then racks in which all pools have little (so that no rack's loss
// costs much, and the spares that are left are spread), then instances that
// few other pools could use.
func (p *pass) chooseSpare(pool *tw.Pool) *tw.Assignment {
	racks := map[tw.RackID]int{}
	all := map[tw.RackID]int{}
	var candidates []*tw.Assignment
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if a.Active() {
			all[a.Rack]++
		}
		if a.Pool == pool.ID && a.Active() {
			racks[a.Rack]++
		}
		// One that the list had lost may come back with tasks of its former pool.
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
			cmp.Compare(racks[a.Rack], racks[b.Rack]),
			cmp.Compare(all[a.Rack], all[b.Rack]),
			cmp.Compare(len(p.matchingPools[a.Instance]), len(p.matchingPools[b.Instance])),
			cmp.Compare(a.Instance, b.Instance),
		)
	})
}

func (p *pass) eligible(a *tw.Assignment, pool *tw.Pool) bool {
	in, ok := p.listed[a.Instance]
	return ok && in.Phase == tw.PhaseLive && p.matchingPools[in.ID][pool.ID]
}

// takeFromSurplus asks pools that have more than they need for an instance
// that fits a short one.
func (p *pass) takeFromSurplus(short *poolNeed) {
	lacks := short.need - short.active - p.incoming(short.pool.ID)
	for _, n := range p.pools {
		for i := range p.plan.Instances {
			a := &p.plan.Instances[i]
			if lacks <= 0 || n.active <= n.need {
				break
			}
			if a.Pool != n.pool.ID || a.State != tw.InstanceServing || !p.eligible(a, short.pool) || p.toDrain[a.Instance].Code != "" {
				continue
			}
			p.toDrain[a.Instance] = tw.Reason{Code: tw.ReasonTaken, Detail: string(short.pool.ID)}
			n.active--
			lacks--
		}
	}
}

// incoming counts the instances that are draining towards a pool.
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
