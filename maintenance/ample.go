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
	// Passed: demand has risen far above its lowest and has fallen again.
	Passed bool
	known  bool
}

const (
	// riseFactor times its lowest, and at least riseLeast machines, is a height of demand; it
	// has passed at fallShare of its highest.
	riseFactor = 4
	riseLeast  = 100
	fallShare  = 0.5
	// ampleFactor times the highest that any pool filled is kept in each of them.
	ampleFactor = 2
)

// note takes up how many machines work fills now.
func (h *FillHistory) note(filled float64) {
	h.Now = filled
	if !h.known || filled < h.Lowest {
		h.known, h.Lowest = true, filled
	}
	h.Highest = max(h.Highest, filled)
	if h.Highest >= max(riseLeast, riseFactor*h.Lowest) && filled <= fallShare*h.Highest {
		h.Passed = true
	}
}

// ampleReserve is how many machines are kept in each pool of a fleet that has that many for
// all pools; zero if it hasn't, or if no height of demand has passed yet. It visits the pools.
func (s *State) ampleReserve(pools []*Pool) float64 {
	highest, passed, machines := 0.0, false, 0.0
	for _, pool := range pools {
		highest = max(highest, pool.Filled.Highest)
		passed = passed || pool.Filled.Passed
		machines += s.machinesOf(pool.ID)
	}
	parking := s.parking()
	if !passed || parking == nil {
		return 0
	}
	reserve := math.Ceil(ampleFactor * headroom * highest)
	if machines+s.machinesOf(parking.ID) < reserve*float64(len(pools)) {
		return 0
	}
	return reserve
}

// trustNeeds bounds the needs that are foreseen: a few large submissions at a time look like a
// rise far above all that was seen.
func trustNeeds(pools []*Pool, reserve float64) {
	for _, pool := range pools {
		pool.Need = min(pool.Need, max(pool.Filled.Now, math.Floor(reserve/headroom)))
	}
}

// parkBeyond switches off what pools have beyond a reserve. It costs as much as machines change.
func (s *State) parkBeyond(reserve float64, pools []*Pool, d *Decision) {
	parking := s.parking()
	for _, pool := range pools {
		keep := max(reserve, s.floor(pool), headroom*(pool.Need+pool.Late))
		for s.machinesOf(pool.ID) > keep {
			machine, found := s.idle(pool, parking.ID, d)
			if !found {
				break
			}
			s.move(d, machine, parking.ID, "no pool has needed as many")
		}
	}
}
