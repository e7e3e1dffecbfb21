package fleet

import (
	"cmp"
	"reflect"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// pass is one run of Decide.
type pass struct {
	in        Input
	plan      tw.Plan
	gen       tw.Generation // generation of the plan if anything changes
	listed    map[tw.InstanceID]tw.Instance
	tasks     map[tw.TaskID]tw.Task
	taskCount map[tw.InstanceID]int // number of tasks by instance
	allowance map[tw.ServiceID]int
	pools     []*poolNeed
	toDrain   map[tw.InstanceID]tw.Reason // instances to move out of their pool once the budgets allow
	jobs      map[tw.JobID]*tw.Job
	jobPool   map[tw.JobID]*tw.Pool
	// matchingPools has, by instance, the pools whose selector matches it.
	matchingPools map[tw.InstanceID]map[tw.PoolID]bool
	out           Output
}

// Decide computes the next plan. It is deterministic.
func Decide(in Input) Output {
	p := newPass(in)
	p.observeInstances()
	p.observeTasks()
	p.advanceHandovers()
	p.quarantine()
	p.deductLosses()
	p.computePoolNeeds()
	p.markMisplaced()
	p.scheduleWaves()
	p.fillPools()
	p.startPlannedDrains()
	p.placeJobs()
	p.plan.SparesNeeded = sparesNeeded(&p.plan, in.Config)
	return p.finish()
}

func newPass(in Input) *pass {
	p := &pass{
		in:            in,
		plan:          in.Plan.Clone(),
		gen:           in.Plan.Generation + 1,
		listed:        map[tw.InstanceID]tw.Instance{},
		tasks:         map[tw.TaskID]tw.Task{},
		taskCount:     map[tw.InstanceID]int{},
		allowance:     map[tw.ServiceID]int{},
		toDrain:       map[tw.InstanceID]tw.Reason{},
		jobs:          map[tw.JobID]*tw.Job{},
		jobPool:       map[tw.JobID]*tw.Pool{},
		matchingPools: map[tw.InstanceID]map[tw.PoolID]bool{},
	}
	p.plan.Hall = in.Hall
	p.plan.Unplaced = nil
	for _, i := range in.Instances {
		p.listed[i.ID] = i
	}
	for _, t := range in.Tasks {
		p.tasks[t.ID] = t
		p.taskCount[t.Instance]++
	}
	for s, n := range in.Allowance {
		p.allowance[s] = n
	}
	p.indexConfig()
	return p
}

// indexConfig matches every selector once per pass, as matching selectors
// dominates the time of a pass.
func (p *pass) indexConfig() {
	config := p.in.Config
	for i := range config.Jobs {
		job := &config.Jobs[i]
		p.jobs[job.ID] = job
		p.jobPool[job.ID] = config.PoolOf(job)
	}
	for _, in := range p.in.Instances {
		labels := config.LabelsOf(in)
		pools := map[tw.PoolID]bool{}
		for i := range config.Pools {
			if config.Pools[i].Instances.Matches(labels) {
				pools[config.Pools[i].ID] = true
			}
		}
		p.matchingPools[in.ID] = pools
	}
}

// finish gives the plan a new generation if anything in it has changed.
func (p *pass) finish() Output {
	slices.SortFunc(p.plan.Instances, func(a, b tw.Assignment) int { return cmp.Compare(a.Instance, b.Instance) })
	p.plan.Revision = p.in.Revision
	before := p.in.Plan.Clone()
	if !reflect.DeepEqual(before, p.plan) {
		p.out.Changed = true
		p.plan.Generation = p.gen
	}
	p.plan.Epoch = p.in.Epoch
	p.out.Plan = p.plan
	return p.out
}

// setState changes the state of an instance and records the reason and the
// generation of the change.
func (p *pass) setState(a *tw.Assignment, state tw.InstanceState, code tw.ReasonCode, detail string) {
	a.State = state
	a.Generation = p.gen
	a.Reason = tw.Reason{Code: code, Detail: detail}
}

// startDrain starts the handover of an instance; next is the pool it moves to, or
// "" for none.
func (p *pass) startDrain(a *tw.Assignment, next tw.PoolID, reason tw.Reason) {
	a.NextPool = next
	p.setState(a, tw.InstanceDraining, reason.Code, reason.Detail)
}

// setPlacementState changes the state of a placement and records the generation of
// the change.
func (p *pass) setPlacementState(placement *tw.Placement, state tw.PlacementState) {
	placement.State = state
	placement.Generation = p.gen
}
