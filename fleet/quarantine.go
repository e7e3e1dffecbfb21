package fleet

import (
	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// minFailures is how many failures condemn an instance that had no
	// success.
	minFailures = 5
	// maxQuarantinedFraction bounds the part of a hall in quarantine.
	maxQuarantinedFraction = 0.1
)

// quarantine takes out instances that fail everything they are given, as an
// idle one that fails fast would draw ever more work. It only blames the
// instance if the same jobs succeed elsewhere, and never takes a pool's last.
func (p *pass) quarantine() {
	room := max(1, int(maxQuarantinedFraction*float64(len(p.plan.Instances))))
	for i := range p.plan.Instances {
		if p.inQuarantine(&p.plan.Instances[i]) {
			room--
		}
	}
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if room <= 0 {
			return
		}
		if a.Active() && p.failsAll(a) && p.jobsRunElsewhere(a) {
			p.startDrain(a, "", tw.Reason{Code: tw.ReasonFailing})
			room--
		}
	}
}

func (p *pass) inQuarantine(a *tw.Assignment) bool {
	return a.State == tw.InstanceQuarantined || a.State == tw.InstanceDraining && a.Reason.Code == tw.ReasonFailing
}

// failsAll tells whether all tasks or all recent requests failed.
func (p *pass) failsAll(a *tw.Assignment) bool {
	h := p.in.Health[a.Instance]
	if h.Failed >= minFailures && h.OK == 0 {
		return true
	}
	for _, at := range a.Jobs {
		if at.State != tw.PlacementFailed {
			return false
		}
	}
	return len(a.Jobs) > 0
}

// jobsRunElsewhere tells whether some other serving instance runs one of the
// same jobs and has not failed all of late.
func (p *pass) jobsRunElsewhere(a *tw.Assignment) bool {
	for i := range p.plan.Instances {
		b := &p.plan.Instances[i]
		if b.Instance == a.Instance || b.State != tw.InstanceServing || p.failsAll(b) {
			continue
		}
		for _, at := range a.Jobs {
			if b.Serves(at.Job) {
				return true
			}
		}
	}
	return false
}
