package fleet

import (
	tw "github.com/tamarindworks/tamarindworks"
)

// BudgetInput is the stored state from which a planner computes how much more it
// may disrupt. Ledgers must be read before Plans, and be written by
// compare-and-swap on the version read, so that two planners never spend the
// same part of a budget.
type BudgetInput struct {
	Config  *tw.FleetConfig
	Ledgers map[tw.ServiceID]tw.ServiceDisruptions
	// Plans has the plans that are readable and whose hall has a planner with a
	// valid lease. All other halls count as unavailable.
	Plans map[tw.HallID]tw.Plan
}

// Allowances returns how many replicas of each service planned drains may take
// down: the available ones, minus the wanted ones, plus MaxUnavailable.
func Allowances(in BudgetInput) map[tw.ServiceID]int {
	wanted := map[tw.ServiceID]int{}
	available := map[tw.ServiceID]int{}
	for i := range in.Config.Jobs {
		job := &in.Config.Jobs[i]
		for _, hall := range in.Config.Halls {
			if job.In(hall) {
				wanted[job.Service] += job.Replicas
			}
		}
	}
	for _, hall := range in.Config.Halls {
		plan, trusted := in.Plans[hall]
		if trusted {
			in.addHallReplicas(&plan, wanted, available)
		}
	}
	out := map[tw.ServiceID]int{}
	for i := range in.Config.Services {
		s := &in.Config.Services[i]
		out[s.ID] = max(0, available[s.ID]-wanted[s.ID]+s.MaxUnavailable)
	}
	return out
}

// addHallReplicas adds a hall's running replicas to available. Jobs for which the
// hall has no pool or no instance that is large enough are not wanted there; jobs
// that are unplaced for another reason, such as a loss or failures, still are.
// Replicas on instances with an entry in the ledger do not count as available.
func (in *BudgetInput) addHallReplicas(plan *tw.Plan, wanted, available map[tw.ServiceID]int) {
	for _, s := range plan.Unplaced {
		cannotRun := s.Reason.Code == tw.ReasonNoPool || s.Reason.Code == tw.ReasonTooLarge
		if job := in.Config.Job(s.Job); job != nil && cannotRun {
			wanted[job.Service] -= job.Replicas
		}
	}
	for i := range plan.Instances {
		a := &plan.Instances[i]
		for _, placement := range a.Jobs {
			job := in.Config.Job(placement.Job)
			if job != nil && a.Serves(placement.Job) && !in.Ledgers[job.Service].Has(a.Instance) {
				available[job.Service]++
			}
		}
	}
}
