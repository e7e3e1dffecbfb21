package fleet

import (
	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// minFailures is the number of failed requests, without any success, from
	// which an instance counts as failing.
	minFailures = 5
	// maxQuarantinedFraction limits the part of a hall's instances in quarantine.
	maxQuarantinedFraction = 0.1
)

// quarantine drains instances on which all tasks or requests fail, as an instance
// that fails fast looks idle and would attract ever more requests. It does so only
// if another instance that is not failing runs one of the same jobs, and so never
// drains the last instance of a pool.
func (p *pass) quarantine() {
	allowed := max(1, int(maxQuarantinedFraction*float64(len(p.plan.Instances))))
	for i := range p.plan.Instances {
		if p.inQuarantine(&p.plan.Instances[i]) {
			allowed--
		}
	}
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if allowed <= 0 {
			return
		}
		if a.Active() && p.failsAll(a) && p.jobsRunElsewhere(a) {
			p.startDrain(a, "", tw.Reason{Code: tw.ReasonFailing})
			allowed--
		}
	}
}

func (p *pass) inQuarantine(a *tw.Assignment) bool {
	return a.State == tw.InstanceQuarantined || a.State == tw.InstanceDraining && a.Reason.Code == tw.ReasonFailing
}

// failsAll reports whether all tasks or all recent requests on an instance failed.
func (p *pass) failsAll(a *tw.Assignment) bool {
	h := p.in.Health[a.Instance]
	if h.Failed >= minFailures && h.OK == 0 {
		return true
	}
	for _, placement := range a.Jobs {
		if placement.State != tw.PlacementFailed {
			return false
		}
	}
	return len(a.Jobs) > 0
}

// jobsRunElsewhere reports whether another serving instance runs one of the same
// jobs and is not failing itself.
func (p *pass) jobsRunElsewhere(a *tw.Assignment) bool {
	for i := range p.plan.Instances {
		b := &p.plan.Instances[i]
		if b.Instance == a.Instance || b.State != tw.InstanceServing || p.failsAll(b) {
			continue
		}
		for _, placement := range a.Jobs {
			if b.Serves(placement.Job) {
				return true
			}
		}
	}
	return false
}
