package maintenance

import "math"

// A fleet may be far larger than its work needs. Once a peak of demand has passed, the highest
// number of machines that the work of any pool has filled indicates how many each pool may need
// before a parked machine can be brought back. Machines beyond a multiple of that are parked, as
// they have a cost without being of use.

// FillHistory tracks how many machines a pool's work fills.
type FillHistory struct {
	// Current is the number of machines that the work fills now, Lowest and Highest are the
	// extremes observed.
	Current, Lowest, Highest float64
	// PeakPassed means that demand has risen far above its lowest and has fallen again.
	PeakPassed bool
	known      bool
}

const (
	// Demand has a peak when it reaches peakFactor times its lowest and at least minPeakMachines
	// machines. The peak has passed once demand falls to peakPassedShare of its highest.
	peakFactor      = 4
	minPeakMachines = 100
	peakPassedShare = 0.5
	// reserveFactor times the highest number of machines that any pool has filled, with headroom,
	// is kept in each pool.
	reserveFactor = 2
)

// observe records how many machines the work fills now.
func (h *FillHistory) observe(filled float64) {
	h.Current = filled
	if !h.known || filled < h.Lowest {
		h.known, h.Lowest = true, filled
	}
	h.Highest = max(h.Highest, filled)
	if h.Highest >= max(minPeakMachines, peakFactor*h.Lowest) && filled <= peakPassedShare*h.Highest {
		h.PeakPassed = true
	}
}

// reservePerPool returns how many machines to keep in each pool. It is zero if the fleet is too
// small to keep as many in all pools, or if no peak of demand has passed yet.
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

// capNeeds limits the forecast needs, because a few large submissions at a time look like a
// rise far above any demand observed so far.
func capNeeds(pools []*Pool, reserve float64) {
	for _, pool := range pools {
		pool.Need = min(pool.Need, max(pool.FillHistory.Current, math.Floor(reserve/headroom)))
	}
}

// parkSurplus parks the machines that pools have beyond the reserve. Its running time grows with
// the number of machines that it parks, apart from one last search in each pool.
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
