package run

import (
	"maps"
	"math"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/schedule"
)

// usage is what the runs of a pool take of the caps, by organisation. Runs count in every phase:
// also while a start is ordered or unconfirmed and while a run is being stopped.
type usage map[tw.OrganisationID]tw.Resources

// add counts a run n times.
func (u usage) add(r *runState, n int) {
	organisation := r.task.step.rep.sub.Organisation
	if organisation == "" || u == nil {
		return
	}
	u[organisation] = u[organisation].Plus(r.capUsage().Times(n))
}

// capUsage is what a run counts for against its organisation's cap: all that its step requests,
// or the whole worker for a run of an unknown subtask.
func (r *runState) capUsage() tw.Resources {
	need := r.task.step.spec.Need
	return tw.Resources{
		CPU: max(need.CPU, r.reservation.CPU), MemoryMB: max(need.MemoryMB, r.reservation.MemoryMB), GPU: max(need.GPU, r.reservation.GPU),
	}
}

// capUsage is what the submission's runs count for against its organisation's cap.
func (s *submission) capUsage() tw.Resources {
	var out tw.Resources
	if s.Organisation == "" {
		return out // work without an organisation has no cap, and its records need no usage
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

// unknownUsage is the most that runs of the previous owner can take on workers that this owner has
// not reached yet, including starts that may still be carried out. It is bounded by what the
// inherited submissions request or have left running, and by the capacity of the workers that have
// not answered.
func (o *Owner) unknownUsage() usage {
	if !o.mayHaveInheritedRuns() {
		o.caps.endedEarly = nil
		return nil
	}
	out := maps.Clone(o.caps.leftover)
	for _, sub := range o.live {
		if sub.inherited && sub.Organisation != "" {
			out[sub.Organisation] = out[sub.Organisation].Plus(sub.unknownNeed())
		}
	}
	for _, sub := range o.caps.endedEarly {
		out[sub.Organisation] = out[sub.Organisation].Plus(sub.unknownNeed())
	}
	if !o.machineListRead {
		return out
	}
	var unreached tw.Resources
	for _, w := range o.workers {
		if w.mayHaveInheritedRuns {
			unreached = unreached.Plus(w.entry.Capacity)
		}
	}
	for _, underWay := range o.underWay {
		if !underWay.inheritedUntil.IsZero() {
			unreached = unreached.Plus(underWay.capacity)
		}
	}
	for id, need := range out {
		out[id] = tw.Resources{
			CPU: min(need.CPU, unreached.CPU), MemoryMB: min(need.MemoryMB, unreached.MemoryMB), GPU: min(need.GPU, unreached.GPU),
		}
	}
	return out
}

// unknownNeed is what runs of the submission that this owner does not know can take.
func (s *submission) unknownNeed() tw.Resources {
	var out tw.Resources
	for _, rep := range s.reps {
		out = out.Plus(rep.unknownNeed())
	}
	return out
}

// stoppingUsage is the most that the runs of a submission that ends can still take, with those of the
// previous owner on workers that this owner has not reached yet.
func (o *Owner) stoppingUsage(sub *submission) tw.Resources {
	out := sub.capUsage()
	if o.mayHaveUnknownRuns(sub) {
		out = out.Plus(sub.unknownNeed())
	}
	return out
}

// mayHaveUnknownRuns reports whether runs of a submission that count against a cap may be on workers that
// this owner has not reached yet.
func (o *Owner) mayHaveUnknownRuns(sub *submission) bool {
	return sub.inherited && sub.Organisation != "" && o.mayHaveInheritedRuns()
}

// unknownNeed is what the subtasks that are not done and have no known run would take.
func (r *repetition) unknownNeed() tw.Resources {
	var out tw.Resources
	for _, st := range r.steps {
		out = out.Plus(st.spec.Need.Times(st.waiting))
	}
	return out
}

// capShare returns the resources in a number of units of a cap. Those that the cap does not limit
// are unlimited.
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

// unitsOf is how many units of a cap a need takes, at most all of them.
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
