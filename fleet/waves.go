package fleet

import (
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// scheduleWaves selects the next instances of each maintenance wave. Waves pause
// while any pool is below its required size.
func (p *pass) scheduleWaves() {
	p.pruneWaves()
	if p.anyShort() {
		return
	}
	for i := range p.in.Config.Waves {
		p.scheduleWave(&p.in.Config.Waves[i])
	}
}

// pruneWaves removes from the plan the waves that are no longer configured.
func (p *pass) pruneWaves() {
	known := map[tw.WaveID]bool{}
	for _, w := range p.in.Config.Waves {
		known[w.ID] = true
	}
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		a.Waves = slices.DeleteFunc(a.Waves, func(id tw.WaveID) bool { return !known[id] })
		if len(a.Waves) == 0 {
			a.Waves = nil
		}
	}
}

// scheduleWave takes spares out first, as they run no jobs. It then marks serving
// instances for which there is a spare as replacement. Without a spare, a serving
// instance is marked only while no other instance of the wave is marked, draining or
// out, as that one will return as a spare. The budgets decide when a marked instance
// drains.
func (p *pass) scheduleWave(w *tw.Wave) {
	allowed := w.MaxConcurrent
	for i := range p.plan.Instances {
		if p.plan.Instances[i].Wave == w.ID {
			allowed--
		}
	}
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if a.State == tw.InstanceSpare && allowed > 0 && p.dueForWave(a, w) {
			a.Wave, a.Boots = w.ID, p.listed[a.Instance].Boots
			p.setState(a, tw.InstanceOut, tw.ReasonWave, string(w.ID))
			allowed--
		}
	}
	anyOut := allowed < w.MaxConcurrent
	taken := map[tw.InstanceID]bool{}
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if a.State != tw.InstanceServing || allowed <= 0 || !p.dueForWave(a, w) {
			continue
		}
		replacement := p.freeSpare(a.Pool, taken)
		if replacement == nil && anyOut {
			continue
		}
		if replacement != nil {
			taken[replacement.Instance] = true
		}
		p.markForDrain(a, tw.Reason{Code: tw.ReasonWave, Detail: string(w.ID)})
		anyOut = true
		allowed--
	}
}

// dueForWave reports whether a wave still has to maintain an instance.
func (p *pass) dueForWave(a *tw.Assignment, w *tw.Wave) bool {
	in, listed := p.listed[a.Instance]
	return listed && in.Phase == tw.PhaseLive && a.Wave == "" && !a.Maintained(w.ID) &&
		w.Instances.Matches(p.in.Config.LabelsOf(in))
}

// freeSpare returns a spare that matches a pool and is not in taken, or nil.
func (p *pass) freeSpare(id tw.PoolID, taken map[tw.InstanceID]bool) *tw.Assignment {
	pool := p.in.Config.Pool(id)
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if pool != nil && a.State == tw.InstanceSpare && !taken[a.Instance] && p.eligible(a, pool) {
			return a
		}
	}
	return nil
}

// anyShort reports whether any pool is below its required size.
func (p *pass) anyShort() bool {
	for _, n := range p.pools {
		if n.isShort() {
			return true
		}
	}
	return false
}
