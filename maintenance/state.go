package maintenance

import (
	"cmp"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// Wave is a maintenance wave with its progress.
	Wave struct {
		tw.MaintenanceWave
		// FirstSeen is when this manager first saw the wave. TimeLimit is counted from then.
		FirstSeen time.Time
		// Done holds the machines whose maintenance order has succeeded.
		Done map[tw.InstanceID]bool
		// Finished means that the wave was reported as completed.
		Finished bool
		// recordedDone is the number of done machines when this manager last stored the
		// progress with the status for operators, hasRecord whether it has stored them.
		recordedDone int
		hasRecord    bool
	}

	// Pool is the state of a pool as last reported by its owner.
	Pool struct {
		ID      tw.PoolID
		Parking bool
		// ReportFresh means that the report is recent enough to act on.
		ReportFresh bool
		Report      run.Report
		// Need is the number of machines that the pool's on-time work needs now. Peak
		// is the most that all its work needed within the forecast window.
		Need, Peak float64
		// FillHistory tracks how many machines the pool's work has filled.
		FillHistory FillHistory
		// Late is the number of machines beyond Need for work that can only end late.
		Late float64
	}

	// State is the input of a decision.
	State struct {
		Now time.Time
		// WatchedSince is when the manager began to observe the pools' needs.
		WatchedSince time.Time
		// ParkAfter is the time after which a machine that no pool has needed is parked.
		ParkAfter time.Duration
		// TotalPeak is the most machines that the work of all pools together has filled within
		// ParkAfter.
		TotalPeak float64
		Machines  map[tw.InstanceID]tw.Machine
		// ListRequestedAt is when the list of machines was requested.
		ListRequestedAt time.Time
		Pools           map[tw.PoolID]*Pool
		Waves           []*Wave
		// Ordered holds the orders whose effect the list does not show yet.
		Ordered map[tw.InstanceID]Order
		// Vacating holds the machines that owners were asked to vacate, with the
		// pending change.
		Vacating map[tw.InstanceID]Order
		// Blocked holds the times until which machines must not be changed.
		Blocked map[tw.InstanceID]time.Time
		// Evacuations holds the evacuated halls. Machines there take no work and are only
		// changed for waves.
		Evacuations *tw.Evacuations
		// Unfit holds the pools that do not accept a machine.
		Unfit map[tw.InstanceID]map[tw.PoolID]bool

		// The fields below are set by buildIndex: loads by worker, the machines of each pool
		// with the least work first, and how many machines each pool has or will have.
		loads          map[tw.WorkerID]run.WorkerLoad
		machinesByPool map[tw.PoolID][]tw.Machine
		machineCounts  map[tw.PoolID]int
		// immovable counts the leading machines of each pool that cannot be moved, so that
		// a decision that moves hundreds of machines does not check them each time.
		immovable map[tw.PoolID]int
		// parksSurplus: surplus machines are parked, so that any in a pool is about to be.
		parksSurplus bool
	}

	// Order is a change of a machine: maintenance if Wave is not zero, otherwise
	// a move to Pool.
	Order struct {
		Machine tw.InstanceID
		Wave    int64
		Pool    tw.PoolID
		// From is the pool of the machine before the change, Worker the worker that ran there.
		From   tw.PoolID
		Worker tw.WorkerID
		// Since is when the change was decided or last ordered.
		Since  time.Time
		Reason string
		// Ambiguous means that the order was not answered.
		Ambiguous bool
	}

	// Decision is the output of Decide.
	Decision struct {
		// Vacate holds the changes whose machines must be vacated first, including
		// those kept from State.Vacating.
		Vacate map[tw.InstanceID]Order
		// Orders lists the changes to make now.
		Orders []Order
	}
)

// buildIndex builds the lookup tables that a decision uses, as it searches the state many times.
func (s *State) buildIndex() {
	s.loads = map[tw.WorkerID]run.WorkerLoad{}
	for _, pool := range s.Pools {
		if !pool.ReportFresh {
			continue
		}
		for _, load := range pool.Report.Workers {
			s.loads[load.Worker] = load
		}
	}
	s.machinesByPool = map[tw.PoolID][]tw.Machine{}
	s.immovable = map[tw.PoolID]int{}
	for _, machine := range s.Machines {
		s.machinesByPool[machine.Pool] = append(s.machinesByPool[machine.Pool], machine)
	}
	for _, members := range s.machinesByPool {
		slices.SortFunc(members, s.compareWork)
	}
	s.countMachines(s.Vacating)
}

// compareWork orders machines by the number of runs, fewest first.
func (s *State) compareWork(a, b tw.Machine) int {
	return cmp.Or(cmp.Compare(s.loads[a.Worker].Runs, s.loads[b.Worker].Runs), cmp.Compare(b.ID, a.ID))
}

// countMachines computes how many machines each pool has or will have: those that are there and
// stay, and those being moved to it. Machines that are down or in an evacuated hall do not count.
func (s *State) countMachines(vacating map[tw.InstanceID]Order) {
	s.machineCounts = map[tw.PoolID]int{}
	for id, machine := range s.Machines {
		if machine.State == tw.MachineDown || s.Evacuations.Has(machine.Hall) {
			continue
		}
		to := machine.Pool
		if order, moving := vacating[id]; moving && order.Wave == 0 {
			to = order.Pool
		}
		if order, moving := s.Ordered[id]; moving && order.Wave == 0 {
			to = order.Pool
		}
		s.machineCounts[to]++
	}
}

// inUse returns how many machines all pools except the parking pool have or will have.
func (s *State) inUse() float64 {
	total := 0
	for pool, count := range s.machineCounts {
		if !s.isParking(pool) {
			total += count
		}
	}
	return float64(total)
}

// move adds the change of a machine's pool to a decision.
func (s *State) move(d *Decision, machine tw.Machine, to tw.PoolID, why string) {
	d.Vacate[machine.ID] = Order{Machine: machine.ID, Pool: to, Since: s.Now, Reason: why}
	s.machineCounts[machine.Pool]--
	s.machineCounts[to]++
}

// load returns the load of a machine as last reported, and whether the load is known.
func (s *State) load(machine tw.Machine) (run.WorkerLoad, bool) {
	load, found := s.loads[machine.Worker]
	return load, found && load.Known
}

// blocked reports whether a machine must not be changed yet.
func (s *State) blocked(id tw.InstanceID) bool { return s.Now.Before(s.Blocked[id]) }

// isEmpty reports whether certainly nothing runs on a machine.
func (s *State) isEmpty(machine tw.Machine) bool {
	if machine.Worker == "" {
		// In any other pool than the parking pool the worker is just starting.
		return machine.State == tw.MachineUp && s.isParking(machine.Pool)
	}
	load, known := s.load(machine)
	return known && load.Empty()
}
