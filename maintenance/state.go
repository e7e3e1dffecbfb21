package maintenance

import (
	"cmp"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// Wave is a maintenance wave with what has come of it.
	Wave struct {
		tw.MaintenanceWave
		// FirstSeen is when the wave was first known here; it is due Within later.
		FirstSeen time.Time
		// Done are the machines whose maintenance was ordered.
		Done map[tw.InstanceID]bool
		// Finished: it was reported as completed.
		Finished bool
		// recordedDone counts the machines in the record, announced is whether
		// there is one.
		recordedDone int
		hasRecord    bool
	}

	// Pool is a pool as its owner last reported it.
	Pool struct {
		ID      tw.PoolID
		Parking bool
		// ReportFresh: there is a report that is recent enough to act on.
		ReportFresh bool
		Report      run.Report
		// Need is how many machines the pool's work fills now, Peak the most
		// that it needed of late.
		Need, Peak float64
		// FillHistory is what is known of the machines that the pool's work has filled.
		FillHistory FillHistory
		// Late is how many machines beyond Need the work fills that can only end late.
		Late float64
	}

	// State is all that decisions rest on.
	State struct {
		Now time.Time
		// WatchedSince is since when the pools' needs have been watched.
		WatchedSince time.Time
		// ParkAfter is for how long no pool may have needed a machine before it
		// is switched off.
		ParkAfter time.Duration
		Machines  map[tw.InstanceID]tw.Machine
		// ListRequestedAt is when the list of machines was asked for.
		ListRequestedAt time.Time
		Pools           map[tw.PoolID]*Pool
		Waves           []*Wave
		// Ordered are the changes whose effect the list does not show yet.
		Ordered map[tw.InstanceID]Order
		// Vacating are the machines that owners were asked to empty, with the
		// change that waits for it.
		Vacating map[tw.InstanceID]Order
		// Blocked are the machines that must not be changed before a time.
		Blocked map[tw.InstanceID]time.Time
		// Evacuations are the evacuated halls: machines there take no work, and are only
		// changed for waves.
		Evacuations *tw.Evacuations
		// Unfit are the pools that refused a machine.
		Unfit map[tw.InstanceID]map[tw.PoolID]bool

		// What index prepares: loads by worker, machines by pool with the
		// least work first, and how many machines each pool has or will have.
		loads          map[tw.WorkerID]run.WorkerLoad
		machinesByPool map[tw.PoolID][]tw.Machine
		machineCounts  map[tw.PoolID]int
		// immovable counts the first members of each pool that can't be moved: a pass
		// that moves hundreds of machines would look at them each time.
		immovable map[tw.PoolID]int
	}

	// Order is a change of a machine: maintenance if Wave is not zero, else a
	// move to Pool.
	Order struct {
		Machine tw.InstanceID
		Wave    int64
		Pool    tw.PoolID
		// From is the pool that the machine was in, Worker what ran there.
		From   tw.PoolID
		Worker tw.WorkerID
		// Since is when the change was decided, or ordered.
		Since  time.Time
		Reason string
		// Unclear: the order was not answered.
		Unclear bool
	}

	// Decision is what is to be done now.
	Decision struct {
		// Vacate are changes for which machines must be emptied first; those
		// of State.Vacating that stay are among them.
		Vacate map[tw.InstanceID]Order
		// Orders are changes to be made at once.
		Orders []Order
	}
)

// buildIndex prepares the state for decisions: they search it many times.
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

// compareWork puts the machine with the least work first.
func (s *State) compareWork(a, b tw.Machine) int {
	return cmp.Or(cmp.Compare(s.loads[a.Worker].Runs, s.loads[b.Worker].Runs), cmp.Compare(b.ID, a.ID))
}

// countMachines works out how many machines each pool has or will have: those that
// are there and stay, and those on their way.
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

// move adds the change of a machine's pool to a decision.
func (s *State) move(d *Decision, machine tw.Machine, to tw.PoolID, why string) {
	d.Vacate[machine.ID] = Order{Machine: machine.ID, Pool: to, Since: s.Now, Reason: why}
	s.machineCounts[machine.Pool]--
	s.machineCounts[to]++
}

// load finds what runs on a machine; false if its pool does not say.
func (s *State) load(machine tw.Machine) (run.WorkerLoad, bool) {
	load, found := s.loads[machine.Worker]
	return load, found && load.Known
}

// blocked tells whether a machine must not be changed yet.
func (s *State) blocked(id tw.InstanceID) bool { return s.Now.Before(s.Blocked[id]) }

// isEmpty tells whether nothing runs on a machine, for sure.
func (s *State) isEmpty(machine tw.Machine) bool {
	if machine.Worker == "" {
		// Elsewhere than in the parking pool its worker is just starting.
		return machine.State == tw.MachineUp && s.isParking(machine.Pool)
	}
	load, known := s.load(machine)
	return known && load.Empty()
}
