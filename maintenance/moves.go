package maintenance

import (
	"cmp"
	"math"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// A pool is given headroom times as many machines as it needs.
	headroom = 1.15
	// defaultMinMachines is the minimum number of machines that a pool keeps while
	// others lack machines, so that it can start work when its demand rises.
	defaultMinMachines = 4
	// A pool that lacks machines itself gives some to a pool with at least donorPressureRatio
	// times its pressure. With less difference, machines would go back and forth.
	donorPressureRatio = 1.5
	// Surplus machines are rebalanced towards an even share of the total surplus. A pool with less
	// than rebalanceBelow of that share, and more than rebalanceMinGap machines below it, is filled
	// up to rebalanceTarget of it. The thresholds limit the moves, as needs vary all the time and
	// each move costs.
	rebalanceBelow  = 0.5
	rebalanceTarget = 0.8
	rebalanceMinGap = 3
)

// decideMoves moves machines to pools that lack some, rebalances surplus machines, and parks
// machines that were not needed for a while.
func (s *State) decideMoves(d *Decision) {
	pools := s.workPools()
	if len(pools) == 0 {
		return
	}
	reserve, parksSurplus := s.demandReserve(pools)
	s.parksSurplus = parksSurplus
	if parksSurplus {
		reserve.adjustNeeds(pools)
	}
	for range len(s.Machines) {
		if !s.moveForNeed(pools, d) {
			break
		}
	}
	for range len(s.Machines) {
		if !s.moveForLateWork(pools, d) {
			break
		}
	}
	if parksSurplus {
		s.parkSurplus(reserve, pools, d)
		return
	}
	s.rebalance(pools, d)
	s.park(pools, d)
}

// moveForNeed moves one machine to the pool under the most pressure. It returns false if no pool
// lacks machines or no machine is available.
func (s *State) moveForNeed(pools []*Pool, d *Decision) bool {
	var to *Pool
	for _, pool := range pools {
		if s.spare(pool) < 0 && (to == nil || s.pressure(pool) > s.pressure(to)) {
			to = pool
		}
	}
	if to == nil {
		return false
	}
	machine, found := s.findMachineFor(to, pools, d)
	if found {
		s.move(d, machine, to.ID, "target pool lacks machines")
	}
	return found
}

// moveForLateWork moves one machine that no on-time work needs to the pool that lacks the most
// machines for late work. It returns false if there is no such pool or machine. Late work has
// little value and comes second: else it would hold machines that the pool whose demand rises next
// needs for work that can end in time.
func (s *State) moveForLateWork(pools []*Pool, d *Decision) bool {
	var to, from *Pool
	for _, pool := range pools {
		if s.surplus(pool) < 0 && (to == nil || s.surplus(pool) < s.surplus(to)) {
			to = pool
		}
		if s.surplus(pool) >= 1 && s.machineCount(pool.ID) > s.minMachines(pool) && (from == nil || s.surplus(pool) > s.surplus(from)) {
			from = pool
		}
	}
	if to == nil {
		return false
	}
	if parking := s.parking(); parking != nil {
		if machine, found := s.findMovable(parking, to.ID, d); found {
			s.move(d, machine, to.ID, "target pool has late work")
			return true
		}
	}
	if from == nil {
		return false
	}
	machine, found := s.findMovable(from, to.ID, d)
	if found {
		s.move(d, machine, to.ID, "target pool has late work")
	}
	return found
}

// pressure returns a pool's need, with headroom, relative to its machines.
func (s *State) pressure(pool *Pool) float64 {
	return headroom * pool.Need / max(1, s.machineCount(pool.ID))
}

// rebalance evens out surplus machines, as the demand of any pool may rise next: a pool with far
// less than an even share of the surplus is given machines of pools that have more than theirs.
func (s *State) rebalance(pools []*Pool, d *Decision) {
	total := 0.0
	for _, pool := range pools {
		total += max(0, s.surplus(pool))
	}
	even := total / float64(len(pools))
	enough := headroom * highestPeak(pools)
	for _, pool := range pools {
		if s.surplus(pool) >= rebalanceBelow*even || even-s.surplus(pool) <= rebalanceMinGap || s.machineCount(pool.ID) >= enough {
			continue
		}
		for s.surplus(pool) < rebalanceTarget*even {
			if !s.moveSurplus(pool, pools, even, d) {
				return
			}
		}
	}
}

// highestPeak returns the most machines that any pool needed within the window. A pool that has
// as many is given no machines ahead of its demand.
func highestPeak(pools []*Pool) float64 {
	highest := 0.0
	for _, pool := range pools {
		highest = max(highest, pool.Peak)
	}
	return highest
}

// moveSurplus moves one machine to a pool from the pool with the largest surplus. It returns false
// if no pool has more than an even share, or if no machine of that pool can be moved.
func (s *State) moveSurplus(to *Pool, pools []*Pool, even float64, d *Decision) bool {
	most := to
	for _, pool := range pools {
		if s.surplus(pool) > s.surplus(most) {
			most = pool
		}
	}
	if s.surplus(most) < even+1 {
		return false
	}
	machine, found := s.findMovable(most, to.ID, d)
	if found {
		s.move(d, machine, to.ID, "spare machines are spread evenly")
	}
	return found
}

// spare returns how many machines a pool has beyond the need of its on-time work.
func (s *State) spare(pool *Pool) float64 {
	return s.machineCount(pool.ID) - headroom*pool.Need
}

// surplus returns how many machines a pool has beyond the need of all its work, late work
// included.
func (s *State) surplus(pool *Pool) float64 { return s.spare(pool) - headroom*pool.Late }

// park moves the machines that no pool has needed for ParkAfter to the parking pool, where they
// are switched off.
func (s *State) park(pools []*Pool, d *Decision) {
	parking := s.parking()
	if parking == nil || s.Now.Sub(s.WatchedSince) < s.ParkAfter {
		return
	}
	var total, peak float64
	for _, pool := range pools {
		total += s.machineCount(pool.ID)
		peak += max(s.minMachines(pool), headroom*pool.Peak)
	}
	for total > math.Ceil(peak) {
		var most *Pool
		for _, pool := range pools {
			if most == nil || s.surplus(pool) > s.surplus(most) {
				most = pool
			}
		}
		machine, found := s.findMovable(most, parking.ID, d)
		if !found {
			return
		}
		s.move(d, machine, parking.ID, "no pool needs it")
		total--
	}
}

// workPools returns the pools with a fresh report, except the parking pool. Pools that lack
// the most machines come first.
func (s *State) workPools() []*Pool {
	var out []*Pool
	for _, pool := range s.Pools {
		if !pool.Parking && pool.ReportFresh {
			out = append(out, pool)
		}
	}
	slices.SortFunc(out, func(a, b *Pool) int {
		return cmp.Or(
			cmp.Compare(b.Need-float64(len(b.Report.Workers)), a.Need-float64(len(a.Report.Workers))),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}

func (s *State) parking() *Pool {
	for _, pool := range s.Pools {
		if pool.Parking {
			return pool
		}
	}
	return nil
}

// parkingID returns the ID of the parking pool, or the empty ID if there is none.
func (s *State) parkingID() tw.PoolID {
	if parking := s.parking(); parking != nil {
		return parking.ID
	}
	return ""
}

// machineCount returns the number of machines that a pool has or will have.
func (s *State) machineCount(pool tw.PoolID) float64 { return float64(s.machineCounts[pool]) }

// findMachineFor finds a machine to move to a pool: a parked one, or else one of the pool under the
// least pressure that can give one.
func (s *State) findMachineFor(to *Pool, pools []*Pool, d *Decision) (tw.Machine, bool) {
	if s.parksSurplus {
		if machine, found := s.findSurplus(to, pools, d); found {
			return machine, true
		}
	}
	if parking := s.parking(); parking != nil {
		if machine, found := s.findMovable(parking, to.ID, d); found {
			return machine, true
		}
	}
	var best *Pool
	for _, pool := range pools {
		if pool == to || s.machineCount(pool.ID) <= s.minMachines(pool) {
			continue
		}
		// A pool that lacks machines itself gives some if its pressure is far lower.
		if s.spare(pool) < 1 && s.pressure(to) < donorPressureRatio*s.pressure(pool) {
			continue
		}
		if best != nil && s.pressure(pool) >= s.pressure(best) {
			continue
		}
		if _, found := s.findMovable(pool, to.ID, d); found {
			best = pool
		}
	}
	if best == nil {
		return tw.Machine{}, false
	}
	return s.findMovable(best, to.ID, d)
}

// findSurplus finds a machine on which nothing runs in the pool with the most machines beyond its
// need.
func (s *State) findSurplus(to *Pool, pools []*Pool, d *Decision) (tw.Machine, bool) {
	most := s.mostSurplus(pools, to)
	if most == nil {
		return tw.Machine{}, false
	}
	machine, found := s.findMovable(most, to.ID, d)
	return machine, found && s.isEmpty(machine)
}

// mostSurplus returns the pool with the most machines beyond the need of all its work, apart from
// the given one; nil if none has any.
func (s *State) mostSurplus(pools []*Pool, except *Pool) *Pool {
	var most *Pool
	for _, pool := range pools {
		if pool == except || s.surplus(pool) < 1 || s.machineCount(pool.ID) <= s.minMachines(pool) {
			continue
		}
		if most == nil || s.surplus(pool) > s.surplus(most) {
			most = pool
		}
	}
	return most
}

// minMachines returns how many machines a pool keeps regardless of the need of others.
func (s *State) minMachines(pool *Pool) float64 {
	return max(defaultMinMachines, float64(pool.Report.MinWorkers+spreadMargin))
}

// findMovable returns the machine of a pool that can be moved to another pool at the least cost:
// one on which nothing runs, or else the one with the fewest runs, none of them long-running.
// Moves from or to the parking pool only use machines on which nothing runs.
func (s *State) findMovable(pool *Pool, to tw.PoolID, d *Decision) (tw.Machine, bool) {
	members := s.machinesByPool[pool.ID]
	for i := s.immovable[pool.ID]; i < len(members); i++ {
		machine := members[i]
		runs, may := s.canMove(machine, d)
		if !may {
			if i == s.immovable[pool.ID] {
				s.immovable[pool.ID]++ // it cannot become movable during this decision
			}
			continue
		}
		if s.Unfit[machine.ID][to] || runs > 0 && (pool.Parking || s.isParking(to)) {
			continue
		}
		return machine, true
	}
	return tw.Machine{}, false
}

// canMove reports whether a machine can be moved, and how many runs must end before that.
func (s *State) canMove(machine tw.Machine, d *Decision) (runs int, may bool) {
	_, vacating := d.Vacate[machine.ID]
	_, ordered := s.Ordered[machine.ID]
	if machine.State != tw.MachineUp || vacating || ordered || s.blocked(machine.ID) || s.Evacuations.Has(machine.Hall) {
		return 0, false
	}
	return s.remainingRuns(machine)
}

// remainingRuns counts the runs that must end before a machine is empty. It returns false if a
// long-running run is among them, or if the load of the machine is not known.
func (s *State) remainingRuns(machine tw.Machine) (int, bool) {
	if machine.Worker == "" {
		return 0, s.isEmpty(machine)
	}
	load, known := s.load(machine)
	return load.Runs, known && load.LongRunning == 0
}

func (s *State) isParking(pool tw.PoolID) bool {
	p := s.Pools[pool]
	return p != nil && p.Parking
}

// stillWanted reports whether a move whose machine is being vacated is still wanted.
func (s *State) stillWanted(order Order) bool {
	machine := s.Machines[order.Machine]
	to, from := s.Pools[order.Pool], s.Pools[machine.Pool]
	if to == nil || from == nil || from.ID == to.ID {
		return false
	}
	runs, may := s.remainingRuns(machine)
	if runs == 0 || !may {
		return may
	}
	// The need of the machine's own pool may have risen in the meantime.
	return s.spare(from) >= 0 || s.pressure(to) >= s.pressure(from)
}
