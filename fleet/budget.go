package fleet

import (
	tw "github.com/tamarindworks/tamarindworks"
)

// BudgetInput is what the store says when a planner asks how much more may be
// disrupted. Ledgers must have been read before Plans, and be written by
// compare-and-swap on the version read, so that two planners never both count
// on the same slack.
type BudgetInput struct {
	Config  *tw.FleetConfig
	Ledgers map[tw.ServiceID]tw.ServiceDisruptions
	// Plans are those of the halls that can be vouched for: readable, and
	// with a planner that holds its lease. Other halls count as unavailable.
	Plans map[tw.HallID]tw.Plan
}

// Allowances says how many replicas of each service planned work may take:
// those available, less those wanted, plus the budget.
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
		plan, vouched := in.Plans[hall]
		if vouched {
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

// addHallReplicas adds a hall's running replicas. Jobs that can never run there are not
// missed; those set aside for a loss or for failing are.
func (in *BudgetInput) addHallReplicas(plan *tw.Plan, wanted, available map[tw.ServiceID]int) {
	for _, s := range plan.Unplaced {
		never := s.Reason.Code == tw.ReasonNoPool || s.Reason.Code == tw.ReasonTooLarge
		if job := in.Config.Job(s.Job); job != nil && never {
			wanted[job.Service] -= job.Replicas
		}
	}
	for i := range plan.Instances {
		a := &plan.Instances[i]
		for _, at := range a.Jobs {
			job := in.Config.Job(at.Job)
			if job != nil && a.Serves(at.Job) && !in.Ledgers[job.Service].Has(a.Instance) {
				available[job.Service]++
			}
		}
	}
}
