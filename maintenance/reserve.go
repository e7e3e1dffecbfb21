package maintenance

import (
	"math"
	"time"
)

// A parked machine costs nothing and reaches a pool as soon as an idle one of another pool. Once
// peaks of demand have passed, the reports show how many machines all pools together may need: more
// than their work has filled, and some for a rise, are parked. Where peaks come by turns, the pools
// whose last peak is longest ago keep machines for a rise.

type (
	// FillHistory tracks how many machines a pool's work fills, without long-running work.
	FillHistory struct {
		// Current is the number of machines that running and waiting work fills now.
		Current float64
		// Highest is the most that running work has filled, and Rise the most by which that has
		// risen within moveLeadTime, while enough submissions came to tell both from chance.
		// Work that waits may have been held up, so it says less about a later peak.
		Highest, Rise float64
		// Rising means that the work fills far more than within moveLeadTime before.
		Rising bool
		// PeakAt is when demand was last at a peak; zero if it never was.
		PeakAt time.Time
		// PeakHeight is the most that the work has filled during the present peak; zero if there
		// is none.
		PeakHeight float64
		// PeakPassed means that demand was at a peak and has fallen far below it.
		PeakPassed bool
	}

	// fillTracker maintains a FillHistory.
	fillTracker struct {
		FillHistory
		// lows holds the samples within moveLeadTime that no later sample is below. The first
		// is the lowest.
		lows []fillSample
	}

	fillSample struct {
		at     time.Time
		filled float64
	}
)

const (
	// A peak has passed once demand falls to peakPassedShare of its highest.
	peakPassedShare = 0.5
	// minPeaks is the number of pools that must have had a peak before heights are known.
	minPeaks = 2
	// heightShare is the share of a peak's height below which demand is falling.
	heightShare = 0.7
	// minPeakSubmissions is how many submissions must have come within twice the slopeWindow for
	// a peak. With fewer, a few large ones may look like one.
	minPeakSubmissions = 16
	// maxWaitingShare is the share of running work that may wait for a rise to be measured. With
	// more, running work rises as machines come, not as demand does.
	maxWaitingShare = 0.25
	// riseShare is the share of the steepest rise observed that a pool keeps machines for if its
	// last peak is the one longest ago or it has had none.
	riseShare = 0.5
	// risingFactor is how far above the lowest fill within moveLeadTime the demand of a pool is
	// that rises.
	risingFactor = 1.3
	// The forecast need of a pool is limited to maxRisingGrowth times the highest fill of any pool
	// while its demand rises, and else to maxSteadyGrowth times that.
	maxRisingGrowth = 2
	maxSteadyGrowth = 1.1
)

// observe records how many machines running work fills now, how many waiting work does, and how many
// submissions have come of late.
func (h *fillTracker) observe(at time.Time, filled, waiting float64, submissions int64) {
	h.Current = filled + waiting
	for len(h.lows) > 0 && at.Sub(h.lows[0].at) > moveLeadTime {
		h.lows = h.lows[1:]
	}
	for len(h.lows) > 0 && h.lows[len(h.lows)-1].filled >= filled {
		h.lows = h.lows[:len(h.lows)-1]
	}
	h.lows = append(h.lows, fillSample{at: at, filled: filled})
	h.Rising = h.Current > risingFactor*h.lows[0].filled
	if submissions >= minPeakSubmissions {
		h.Highest = max(h.Highest, filled)
		if waiting <= maxWaitingShare*filled {
			h.Rise = max(h.Rise, filled-h.lows[0].filled)
		}
	}
	switch {
	case h.Highest == 0:
	case filled > peakPassedShare*h.Highest:
		h.PeakAt, h.PeakHeight = at, max(h.PeakHeight, filled)
	default:
		h.PeakPassed, h.PeakHeight = true, 0
	}
}

// atHeight reports whether demand is at a peak and has not begun to fall.
func (h *FillHistory) atHeight() bool {
	return h.Current > heightShare*h.PeakHeight && h.PeakHeight > 0
}

// reserve is what the demand of pools may come to, as observed so far.
type reserve struct {
	// rise is the steepest rise of any pool.
	rise float64
	// highest is the most machines that the work of any pool has filled, without long-running
	// work.
	highest float64
	// atHeight means that a pool is at the height of a peak.
	atHeight bool
	// lastPeak is the time of the peak that is longest ago, zero if a pool has had none.
	lastPeak time.Time
}

// demandReserve returns the reserve for all pools. It returns false if no machines can be spared or
// parked, while no peak of demand has passed, or while only one of several pools has had a peak: the
// next one may be far higher.
func (s *State) demandReserve(pools []*Pool) (reserve, bool) {
	r := reserve{lastPeak: s.Now}
	passed := false
	for _, pool := range pools {
		h := &pool.FillHistory
		r.rise = max(r.rise, h.Rise)
		r.highest = max(r.highest, h.Highest)
		if h.PeakAt.Before(r.lastPeak) {
			r.lastPeak = h.PeakAt
		}
		r.atHeight = r.atHeight || h.atHeight()
		passed = passed || h.PeakPassed
	}
	peaks := 0
	for _, pool := range pools {
		if pool.FillHistory.Highest > peakPassedShare*r.highest {
			peaks++
		}
	}
	known := passed && peaks >= min(minPeaks, len(pools))
	return r, known && s.parking() != nil && s.inUse()+s.machineCount(s.parkingID()) > s.keepInUse(r)
}

// adjustNeeds limits the forecast needs, because a few large submissions at a time look like a
// rise far above any demand observed so far, and adds the machines for a rise. While a pool is at
// its height these are not brought into other pools, so that it can have them.
func (r reserve) adjustNeeds(pools []*Pool) {
	for _, pool := range pools {
		pool.Need = min(pool.Need, r.limit(pool))
		if !r.atHeight {
			pool.Need = max(pool.Need, r.forRise(pool))
		}
	}
}

// limit returns the highest number of machines that a pool can be expected to need.
func (r reserve) limit(pool *Pool) float64 {
	h := &pool.FillHistory
	growth := maxSteadyGrowth
	if h.Rising {
		growth = maxRisingGrowth
	}
	return max(pool.filled(), pool.longRunningMachines()+growth*max(r.highest, h.Current))
}

// forRise returns the number of machines that a pool keeps for a rise, long-running work included.
func (r reserve) forRise(pool *Pool) float64 {
	if pool.FillHistory.PeakAt.After(r.lastPeak) {
		return 0
	}
	return pool.longRunningMachines() + riseShare*r.rise
}

// longRunningMachines returns how many machines the pool's long-running work fills.
func (p *Pool) longRunningMachines() float64 {
	return machinesFor(p.Report.LongRunning, machineSize(&p.Report)) / usableShare
}

// filled returns how many machines all work of the pool fills, or its widest step must be spread
// over.
func (p *Pool) filled() float64 {
	r := &p.Report
	filled := machinesFor(r.Running.Plus(r.Waiting).Plus(r.Late), machineSize(r)) / usableShare
	if r.MinWorkers > 0 {
		filled = max(filled, float64(r.MinWorkers+spreadMargin)/headroom)
	}
	return filled
}

// keepInUse returns how many machines all pools together keep: those that their work has filled at
// most within ParkAfter, and some for a rise. Fewer would do while no pool is at a peak, but a machine
// that is parked and brought back soon costs more than it saves.
func (s *State) keepInUse(r reserve) float64 {
	return math.Ceil(headroom*s.TotalPeak + riseShare*r.rise)
}

// parkSurplus parks the machines beyond those that are kept in use.
func (s *State) parkSurplus(r reserve, pools []*Pool, d *Decision) {
	parking := s.parking()
	inUse := s.inUse()
	for keep := s.keepInUse(r); inUse > keep; inUse-- {
		most := s.mostSurplus(pools, nil)
		if most == nil {
			return
		}
		machine, found := s.findMovable(most, parking.ID, d)
		if !found {
			return
		}
		s.move(d, machine, parking.ID, "no pool has needed as many")
	}
}
