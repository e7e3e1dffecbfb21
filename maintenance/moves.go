package maintenance

import (
	"cmp"
	"math"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// headroom times its need is what a pool is given.
	headroom = 1.15
	// defaultMinMachines is what a pool keeps at least while others lack machines,
	// so that it can begin at once when its own demand rises.
	defaultMinMachines = 4
	// donorPressureRatio: a pool that lacks machines gives some to one whose pressure
	// is so many times its own. With this and late work apart, 0.704 instead of 0.548
	// of the work ends in time at 1.5 times the load that fills the machines in turns
	// (16 seeds of simulated pools, subtasks of 0.64 s).
	donorPressureRatio = 1.5
	// A pool with less than rebalanceBelow of an even share of what all have beyond their
	// need, and with evenGap machines less than that share, is given up to evenEnough
	// of it: needs go up and down all the time, and each move costs.
	rebalanceBelow  = 0.5
	rebalanceTarget = 0.8
	rebalanceMinGap = 3
)

// decideMoves moves machines to pools that lack some, spreads spare ones over
// the pools, and parks what was not needed for a while.
func (s *State) decideMoves(d *Decision) {
	pools := s.workPools()
	if len(pools) == 0 {
		return
	}
	reserve := s.reservePerPool(pools)
	if reserve > 0 {
		capNeeds(pools, reserve)
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
	if reserve > 0 {
		s.parkSurplus(reserve, pools, d)
		return
	}
	s.rebalance(pools, d)
	s.park(pools, d)
}

// moveForNeed gives one machine to the pool under the most pressure; false if it
// needs none or there is none for it.
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
	machine, found := s.findDonor(to, pools, d)
	if found {
		s.move(d, machine, to.ID, "its new pool lacks machines")
	}
	return found
}

// moveForLateWork gives one machine that no work in time needs to the pool with the most
// late work for its machines; false if there is none. Late work counts little: while
// it held machines like other work, the pool whose demand rose next had 51 of them for
// a need of 595 two seconds later, beside 325 in the pool before it.
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
			s.move(d, machine, to.ID, "its new pool has late work")
			return true
		}
	}
	if from == nil {
		return false
	}
	machine, found := s.findMovable(from, to.ID, d)
	if found {
		s.move(d, machine, to.ID, "its new pool has late work")
	}
	return found
}

// pressure is a pool's need over what it has and will have.
func (s *State) pressure(pool *Pool) float64 {
	return headroom * pool.Need / max(1, s.machineCount(pool.ID))
}

// rebalance evens out what pools have beyond their need, as any of them may be the next
// whose demand rises: a pool that has far less than an even share of it is given some
// by those that have more than theirs.
func (s *State) rebalance(pools []*Pool, d *Decision) {
	total := 0.0
	for _, pool := range pools {
		total += max(0, s.surplus(pool))
	}
	even := total / float64(len(pools))
	ample := headroom * highestPeak(pools)
	for _, pool := range pools {
		if s.surplus(pool) >= rebalanceBelow*even || even-s.surplus(pool) <= rebalanceMinGap || s.machineCount(pool.ID) >= ample {
			continue
		}
		for s.surplus(pool) < rebalanceTarget*even {
			if !s.moveSurplus(pool, pools, even, d) {
				return
			}
		}
	}
}

// highestPeak is the most that any pool has needed of late. One that has as much needs no
// machines ahead of its own demand.
func highestPeak(pools []*Pool) float64 {
	highest := 0.0
	for _, pool := range pools {
		highest = max(highest, pool.Peak)
	}
	return highest
}

// moveSurplus moves one machine to a pool from the one with the most beyond its need;
// false if none has more than an even share, or none of its machines can be moved.
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

// spare is what a pool has beyond the need of its work in time.
func (s *State) spare(pool *Pool) float64 {
	return s.machineCount(pool.ID) - headroom*pool.Need
}

// surplus is what a pool has that none of its work needs, late work included.
func (s *State) surplus(pool *Pool) float64 { return s.spare(pool) - headroom*pool.Late }

// park switches off what no pool has needed for ParkAfter.
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

// workPools are the pools with fresh reports, but for the parking one; those
// that lack the most first.
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

// parkingID names the parking pool; it is empty if there is none.
func (s *State) parkingID() tw.PoolID {
	if parking := s.parking(); parking != nil {
		return parking.ID
	}
	return ""
}

// machineCount counts the machines that a pool has or will have.
func (s *State) machineCount(pool tw.PoolID) float64 { return float64(s.machineCounts[pool]) }

// findDonor finds a machine for a pool: a parked one, else an idle one of a pool
// that has more than it needs.
func (s *State) findDonor(to *Pool, pools []*Pool, d *Decision) (tw.Machine, bool) {
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
		// A pool that itself lacks machines gives some if it is far better off.
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

// minMachines is how many machines a pool keeps whatever others lack.
func (s *State) minMachines(pool *Pool) float64 {
	return max(defaultMinMachines, float64(pool.Report.MinWorkers+spreadMargin))
}

// findMovable finds the machine of a pool that another may have at the least cost:
// one on which nothing runs, else, if the pool has spares, the one with the
// least work that ends by itself.
func (s *State) findMovable(pool *Pool, to tw.PoolID, d *Decision) (tw.Machine, bool) {
	members := s.machinesByPool[pool.ID]
	for i := s.immovable[pool.ID]; i < len(members); i++ {
		machine := members[i]
		runs, may := s.canMove(machine, d)
		if !may {
			if i == s.immovable[pool.ID] {
				s.immovable[pool.ID]++ // and it stays so during this pass
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

// canMove tells whether a machine can be moved at all, and how many runs must end
// before that.
func (s *State) canMove(machine tw.Machine, d *Decision) (runs int, may bool) {
	_, vacating := d.Vacate[machine.ID]
	_, ordered := s.Ordered[machine.ID]
	if machine.State != tw.MachineUp || vacating || ordered || s.blocked(machine.ID) || s.Evacuations.Has(machine.Hall) {
		return 0, false
	}
	return s.remainingRuns(machine)
}

// remainingRuns counts what must end before a machine is empty; false if
// something there does not end by itself, or nothing is known of it.
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

// stillWanted tells whether a move that waits for its machine is still wanted.
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
	// While its work ends, the pool may have come to need it more.
	return s.spare(from) >= 0 || s.pressure(to) >= s.pressure(from)
}
