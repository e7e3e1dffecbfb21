package fleet

import (
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// scheduleWaves marks the next instances of each maintenance wave. Losses that
// leave a pool short pause the waves.
func (p *pass) scheduleWaves() {
	p.pruneWaves()
	if p.anyShort() {
		return
	}
	for i := range p.in.Config.Waves {
		p.scheduleWave(&p.in.Config.Waves[i])
	}
}

// pruneWaves drops waves that are no longer configured.
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

// scheduleWave sends the spares that are due out first, as they carry nothing. One
// that serves follows when a spare can take its place; without any, the budget
// decides, but not while an instance of the wave will be back as a spare.
func (p *pass) scheduleWave(w *tw.Wave) {
	room := w.MaxConcurrent
	for i := range p.plan.Instances {
		if p.plan.Instances[i].Wave == w.ID {
			room--
		}
	}
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if a.State == tw.InstanceSpare && room > 0 && p.dueForWave(a, w) {
			a.Wave, a.Boots = w.ID, p.listed[a.Instance].Boots
			p.setState(a, tw.InstanceOut, tw.ReasonWave, string(w.ID))
			room--
		}
	}
	away := room < w.MaxConcurrent
	taken := map[tw.InstanceID]bool{}
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if a.State != tw.InstanceServing || room <= 0 || !p.dueForWave(a, w) {
			continue
		}
		replacement := p.freeSpare(a.Pool, taken)
		if replacement == nil && away {
			continue
		}
		if replacement != nil {
			taken[replacement.Instance] = true
		}
		p.markForDrain(a, tw.Reason{Code: tw.ReasonWave, Detail: string(w.ID)})
		away = true
		room--
	}
}

// dueForWave tells whether a wave still has to maintain an instance.
func (p *pass) dueForWave(a *tw.Assignment, w *tw.Wave) bool {
	in, listed := p.listed[a.Instance]
	return listed && in.Phase == tw.PhaseLive && a.Wave == "" && !a.Maintained(w.ID) &&
		w.Instances.Matches(p.in.Config.LabelsOf(in))
}

// freeSpare is a spare that fits a pool and is not taken, or nil.
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

// anyShort tells whether a pool has less than it needs.
func (p *pass) anyShort() bool {
	for _, n := range p.pools {
		if n.isShort() {
			return true
		}
	}
	return false
}
