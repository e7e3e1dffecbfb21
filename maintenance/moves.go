package maintenance

import (
	"cmp"
	"math"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// spareMachines is what a pool keeps beyond its need before it gives any
	// away, in machines.
	spareMachines = 1.0
	// parkMargin times the peak need is what a pool keeps when it parks.
	parkMargin = 1.15
	// minMachines is the least that a pool with work keeps.
	minMachines = 2
)

// decideMoves moves machines to pools that lack some, and parks what no pool
// needs.
func (s *State) decideMoves(d *Decision) {
	pools := s.workPools()
	if len(pools) == 0 {
		return
	}
	parking := s.parking()
	for _, pool := range pools {
		lack := int(math.Ceil(pool.Need - s.machinesOf(pool.ID, d)))
		for range max(0, lack) {
			machine, found := s.donor(pool, pools, d)
			if !found {
				break
			}
			d.Vacate[machine.ID] = Order{Machine: machine.ID, Pool: pool.ID, Since: s.Now, Why: "its new pool lacks machines"}
		}
	}
	if parking == nil {
		return
	}
	for _, pool := range pools {
		surplus := int(s.machinesOf(pool.ID, d) - max(minMachines, math.Ceil(parkMargin*pool.Peak+spareMachines)))
		for range max(0, surplus) {
			machine, found := s.idle(pool, parking.ID, d)
			if !found {
				break
			}
			d.Vacate[machine.ID] = Order{Machine: machine.ID, Pool: parking.ID, Since: s.Now, Why: "no pool needs it"}
		}
	}
}

// workPools are the pools with fresh reports, but for the parking one; those
// that lack the most first.
func (s *State) workPools() []*Pool {
	var out []*Pool
	for _, pool := range s.Pools {
		if !pool.Parking && pool.Known {
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

// machinesOf counts the machines that a pool has or will have: those that are
// there and stay, and those on their way.
func (s *State) machinesOf(pool tw.PoolID, d *Decision) float64 {
	n := 0
	for id, machine := range s.Machines {
		to := machine.Pool
		if order, moving := d.Vacate[id]; moving && order.Wave == 0 {
			to = order.Pool
		}
		if order, moving := s.Ordered[id]; moving && order.Wave == 0 {
			to = order.Pool
		}
		if to == pool && machine.State != tw.MachineDown {
			n++
		}
	}
	return float64(n)
}

// donor finds a machine for a pool: a parked one, else an idle one of a pool
// that has more than it needs.
func (s *State) donor(to *Pool, pools []*Pool, d *Decision) (tw.Machine, bool) {
	if parking := s.parking(); parking != nil {
		if machine, found := s.idle(parking, to.ID, d); found {
			return machine, true
		}
	}
	var best *Pool
	most := spareMachines
	for _, pool := range pools {
		if pool == to {
			continue
		}
		if surplus := s.machinesOf(pool.ID, d) - pool.Need; surplus > most {
			if _, found := s.idle(pool, to.ID, d); found {
				best, most = pool, surplus
			}
		}
	}
	if best == nil {
		return tw.Machine{}, false
	}
	return s.idle(best, to.ID, d)
}

// idle finds a machine of a pool on which nothing runs and that may go to
// another; the one whose worker is filled last, if there are several.
func (s *State) idle(pool *Pool, to tw.PoolID, d *Decision) (tw.Machine, bool) {
	var best tw.Machine
	found := false
	for id, machine := range s.Machines {
		_, vacating := d.Vacate[id]
		_, ordered := s.Ordered[id]
		if machine.Pool != pool.ID || machine.State != tw.MachineUp || vacating || ordered || s.Unfit[id][to] {
			continue
		}
		if !s.empty(machine) {
			continue
		}
		if !found || id > best.ID {
			best, found = machine, true
		}
	}
	return best, found
}

// stillWanted tells whether a move that waits for its machine is still wanted.
func (s *State) stillWanted(order Order) bool {
	to := s.Pools[order.Pool]
	from := s.Pools[s.Machines[order.Machine].Pool]
	if to == nil || from == nil || from.ID == to.ID {
		return false
	}
	return s.empty(s.Machines[order.Machine])
}
