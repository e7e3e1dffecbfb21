package run

import (
	"maps"
	"math"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/schedule"
)

// usage is what the runs of a pool take, by organisation, whatever their state: what is
// ordered, what is in doubt and what is being stopped counts.
type usage map[tw.OrganisationID]tw.Resources

// add adds a run n times.
func (u usage) add(r *runState, n int) {
	organisation := r.task.step.rep.sub.Organisation
	if organisation == "" || u == nil {
		return
	}
	u[organisation] = u[organisation].Plus(r.capUsage().Times(n))
}

// capUsage is what a run counts for against its organisation's cap: all that its step asks
// for, and for one of which nothing is known the whole worker.
func (r *runState) capUsage() tw.Resources {
	need := r.task.step.spec.Need
	return tw.Resources{
		CPU: max(need.CPU, r.claim.CPU), MemoryMB: max(need.MemoryMB, r.claim.MemoryMB), GPU: max(need.GPU, r.claim.GPU),
	}
}

// capUsage is what the submission's runs count for against its organisation's cap.
func (s *submission) capUsage() tw.Resources {
	var out tw.Resources
	if s.Organisation == "" {
		return out // nobody's work has no cap, and its records need not tell
	}
	for _, rep := range s.reps {
		for _, st := range rep.steps {
			for _, t := range st.tasks {
				for _, r := range t.runs {
					out = out.Plus(r.capUsage())
				}
			}
		}
	}
	return out
}

// unknownUsage is what the former owner may have running, or may still start, where this
// owner has not been heard yet: no more than its submissions ask for or have left, nor than
// the workers hold from which no answer has come.
func (o *Owner) unknownUsage() usage {
	if !o.mayHaveInheritedRuns() {
		return nil
	}
	out := maps.Clone(o.caps.leftover)
	for _, sub := range o.live {
		if !sub.inherited || sub.Organisation == "" {
			continue
		}
		for _, rep := range sub.reps {
			out[sub.Organisation] = out[sub.Organisation].Plus(rep.unknownNeed())
		}
	}
	if !o.machineListRead {
		return out
	}
	var unheard tw.Resources
	for _, w := range o.workers {
		if w.mayHaveInheritedRuns {
			unheard = unheard.Plus(w.entry.Capacity)
		}
	}
	for id, need := range out {
		out[id] = tw.Resources{
			CPU: min(need.CPU, unheard.CPU), MemoryMB: min(need.MemoryMB, unheard.MemoryMB), GPU: min(need.GPU, unheard.GPU),
		}
	}
	return out
}

// unknownNeed is what the subtasks would take that are not done and of which no run is
// known.
func (r *repetition) unknownNeed() tw.Resources {
	var out tw.Resources
	for _, st := range r.steps {
		for _, t := range st.tasks {
			if !t.done && !t.active() {
				out = out.Plus(st.spec.Need)
			}
		}
	}
	return out
}

// capShare is so many units of a cap. A resource that the cap does not limit is unlimited.
func capShare(limit tw.Resources, units ledger.ShareUnits) tw.Resources {
	return tw.Resources{
		CPU:      tw.Millicores(limitShare(int64(limit.CPU), units)),
		MemoryMB: limitShare(limit.MemoryMB, units),
		GPU:      limitShare(limit.GPU, units),
	}
}

func limitShare(limit int64, units ledger.ShareUnits) int64 {
	if limit == 0 {
		return schedule.Unlimited
	}
	return int64(float64(limit) * float64(units) / float64(ledger.CapUnits))
}

// unitsOf is how many units of a cap a need takes, at most all.
func unitsOf(need, limit tw.Resources) ledger.ShareUnits {
	share := max(
		fractionOf(int64(need.CPU), int64(limit.CPU)), fractionOf(need.MemoryMB, limit.MemoryMB), fractionOf(need.GPU, limit.GPU),
	)
	return min(ledger.CapUnits, ledger.ShareUnits(math.Ceil(share*float64(ledger.CapUnits))))
}

func fractionOf(need, limit int64) float64 {
	if limit == 0 {
		return 0
	}
	return float64(need) / float64(limit)
}
