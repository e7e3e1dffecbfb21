package maintenance

import "math"

// A fleet may be far larger than its work. The highest that any pool's work has filled, once a
// height of demand has passed, then tells what each pool may need before a machine that is
// switched off could be back; what is beyond a multiple of it costs without being of use.

// FillHistory is what is known of the machines that a pool's work fills.
type FillHistory struct {
	// Now is how many machines work fills, Lowest and Highest the extremes since it has been
	// watched, the highest since the lowest.
	Now, Lowest, Highest float64
	// PeakPassed: demand has risen far above its lowest and has fallen again.
	PeakPassed bool
	known      bool
}

const (
	// peakFactor times its lowest, and at least riseLeast machines, is a height of demand; it
	// has passed at fallShare of its highest.
	peakFactor      = 4
	minPeakMachines = 100
	peakPassedShare = 0.5
	// reserveFactor times the highest that any pool filled is kept in each of them.
	reserveFactor = 2
)

// observe takes up how many machines work fills now.
func (h *FillHistory) observe(filled float64) {
	h.Now = filled
	if !h.known || filled < h.Lowest {
		h.known, h.Lowest = true, filled
	}
	h.Highest = max(h.Highest, filled)
	if h.Highest >= max(minPeakMachines, peakFactor*h.Lowest) && filled <= peakPassedShare*h.Highest {
		h.PeakPassed = true
	}
}

// reservePerPool is how many machines are kept in each pool of a fleet that has that many for
// all pools; zero if it hasn't, or if no height of demand has passed yet. It visits the pools.
func (s *State) reservePerPool(pools []*Pool) float64 {
	highest, passed, machines := 0.0, false, 0.0
	for _, pool := range pools {
		highest = max(highest, pool.FillHistory.Highest)
		passed = passed || pool.FillHistory.PeakPassed
		machines += s.machineCount(pool.ID)
	}
	parking := s.parking()
	if !passed || parking == nil {
		return 0
	}
	reserve := math.Ceil(reserveFactor * headroom * highest)
	if machines+s.machineCount(parking.ID) < reserve*float64(len(pools)) {
		return 0
	}
	return reserve
}

// capNeeds bounds the needs that are foreseen: a few large submissions at a time look like a
// rise far above all that was seen.
func capNeeds(pools []*Pool, reserve float64) {
	for _, pool := range pools {
		pool.Need = min(pool.Need, max(pool.FillHistory.Now, math.Floor(reserve/headroom)))
	}
}

// parkSurplus switches off what pools have beyond a reserve. It costs as much as machines change.
func (s *State) parkSurplus(reserve float64, pools []*Pool, d *Decision) {
	parking := s.parking()
	for _, pool := range pools {
		keep := max(reserve, s.minMachines(pool), headroom*(pool.Need+pool.Late))
		for s.machineCount(pool.ID) > keep {
			machine, found := s.findMovable(pool, parking.ID, d)
			if !found {
				break
			}
			s.move(d, machine, parking.ID, "no pool has needed as many")
		}
	}
}
