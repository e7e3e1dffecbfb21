package maintenance

import (
	"cmp"
	"math"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// vacateTimeout is how long a machine may take to become empty before another
	// one is tried. The platform's subtasks run for up to about 5 s.
	vacateTimeout = 9 * time.Second
	// waveTimeReserve is the share of a wave's time kept as a reserve for delays.
	waveTimeReserve = 0.3
	// minFreeShare is the share of a pool's capacity that must stay free after
	// a machine leaves it for a wave, unless the wave is behind schedule.
	minFreeShare = 0.1
	// maxUnavailableShare is the share of a pool's machines, but at least one machine,
	// that may be away or being vacated at the same time.
	maxUnavailableShare = 0.34
)

// Decide returns the changes to make now. It depends on nothing but the state.
func Decide(s *State) Decision {
	d := Decision{Vacate: map[tw.InstanceID]Order{}}
	s.buildIndex()
	s.keepVacating(&d)
	for _, w := range s.Waves {
		if !w.Finished {
			s.decideWave(w, &d)
		}
	}
	s.countMachines(d.Vacate)
	s.decideMoves(&d)
	s.orderVacated(&d)
	return d
}

// keepVacating keeps the machines that are being vacated, unless the machine is no longer
// up, vacating it takes too long, or the change is no longer wanted.
func (s *State) keepVacating(d *Decision) {
	for id, order := range s.Vacating {
		machine, found := s.Machines[id]
		if !found || machine.State != tw.MachineUp || s.Now.Sub(order.Since) > vacateTimeout {
			continue
		}
		if order.Wave == 0 && (s.Evacuations.Has(machine.Hall) || !s.stillWanted(order)) {
			continue
		}
		d.Vacate[id] = order
	}
}

// decideWave selects the next machines to vacate for a wave.
func (s *State) decideWave(w *Wave, d *Decision) {
	down := s.machinesDown(w)
	var waiting []tw.Machine
	inProgress := down
	for _, id := range w.Machines {
		machine, found := s.Machines[id]
		if !found || w.Done[id] {
			continue
		}
		if order, vacating := d.Vacate[id]; vacating && order.Wave == w.Number {
			inProgress++
			continue
		}
		if _, ordered := s.Ordered[id]; machine.State == tw.MachineUp && !ordered && !s.blocked(id) {
			waiting = append(waiting, machine)
		}
	}
	slices.SortFunc(waiting, s.compareForWave)
	behind := s.behindSchedule(w, len(waiting))
	for _, machine := range waiting {
		// A machine that is being vacated is not down yet, so more machines than
		// may be down are vacated ahead.
		if inProgress >= 2*w.MaxConcurrent {
			return
		}
		if !behind && s.hasLongRunning(machine) {
			continue // its owner moves these off first, while the machine takes other work
		}
		if !s.canRelease(machine, d, behind) {
			continue
		}
		d.Vacate[machine.ID] = Order{Machine: machine.ID, Wave: w.Number, Since: s.Now, Reason: "maintenance wave"}
		inProgress++
	}
}

// hasLongRunning reports whether long-running subtasks are known to run on a machine.
func (s *State) hasLongRunning(machine tw.Machine) bool {
	load, known := s.load(machine)
	return known && load.LongRunning > 0
}

// compareForWave orders machines by their work, least work first.
func (s *State) compareForWave(a, b tw.Machine) int {
	la, _ := s.load(a)
	lb, _ := s.load(b)
	return cmp.Or(
		cmp.Compare(la.LongRunning, lb.LongRunning),
		cmp.Compare(la.Runs, lb.Runs),
		cmp.Compare(a.ID, b.ID),
	)
}

// machinesDown counts the machines that are or may be down for a wave.
func (s *State) machinesDown(w *Wave) int {
	n := 0
	for _, id := range w.Machines {
		machine, found := s.Machines[id]
		order, ordered := s.Ordered[id]
		if found && machine.State == tw.MachineMaintenance || ordered && order.Wave == w.Number {
			n++
		}
	}
	return n
}

// behindSchedule reports whether the remaining time of a wave is too short for its remaining
// machines at the usual pace.
func (s *State) behindSchedule(w *Wave, waiting int) bool {
	left := w.FirstSeen.Add(time.Duration((1 - waveTimeReserve) * float64(w.TimeLimit))).Sub(s.Now)
	rounds := math.Ceil(float64(waiting) / float64(w.MaxConcurrent))
	return left < time.Duration(rounds)*waveRoundTime
}

// waveRoundTime is the approximate time to vacate machines, maintain them and have them back.
const waveRoundTime = 6 * time.Second

// canRelease reports whether a pool can do without one more machine.
func (s *State) canRelease(machine tw.Machine, d *Decision, behind bool) bool {
	if s.isEmpty(machine) && (machine.Worker == "" || s.Evacuations.Has(machine.Hall)) {
		return true
	}
	pool := s.Pools[machine.Pool]
	if pool == nil || !pool.ReportFresh {
		return false
	}
	away := 0
	for id := range d.Vacate {
		if s.Machines[id].Pool == machine.Pool && id != machine.ID {
			away++
		}
	}
	for id := range s.Ordered {
		if s.Machines[id].Pool == machine.Pool {
			away++
		}
	}
	size := len(pool.Report.Workers)
	if away >= max(1, int(maxUnavailableShare*float64(size))) {
		return false
	}
	if behind {
		return true
	}
	capacity, used := pool.totals()
	capacity -= float64(away + 1)
	return used <= (1-minFreeShare)*capacity
}

// totals returns the number of machines of the pool that may be given new work, and the number
// of machines that its running and waiting work fills, late work included.
func (p *Pool) totals() (machines, used float64) {
	var size tw.Resources
	for _, load := range p.Report.Workers {
		if load.Schedulable {
			machines++
			size = load.Capacity
		}
	}
	return machines, machinesFor(p.Report.Running.Plus(p.Report.Waiting).Plus(p.Report.Late), size)
}

// machinesFor returns how many machines of the given size the resources fill, by the scarcest
// resource.
func machinesFor(r, size tw.Resources) float64 {
	out := 0.0
	if size.CPU > 0 {
		out = max(out, float64(r.CPU)/float64(size.CPU))
	}
	if size.MemoryMB > 0 {
		out = max(out, float64(r.MemoryMB)/float64(size.MemoryMB))
	}
	return out
}

// orderVacated turns the changes of machines that are empty into orders.
func (s *State) orderVacated(d *Decision) {
	down := map[int64]int{}
	for _, w := range s.Waves {
		down[w.Number] = s.machinesDown(w)
	}
	ids := make([]tw.InstanceID, 0, len(d.Vacate))
	for id := range d.Vacate {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		order := d.Vacate[id]
		_, asked := s.Vacating[id]
		machine := s.Machines[id]
		// An owner that was not asked to vacate the machine could still place work there.
		if !s.isEmpty(machine) || !asked && machine.Worker != "" || s.blocked(id) {
			continue
		}
		if order.Wave != 0 {
			if down[order.Wave] >= s.wave(order.Wave).MaxConcurrent {
				continue
			}
			down[order.Wave]++
		}
		order.Since = s.Now
		order.From, order.Worker = machine.Pool, machine.Worker
		d.Orders = append(d.Orders, order)
		delete(d.Vacate, id)
	}
}

func (s *State) wave(number int64) *Wave {
	for _, w := range s.Waves {
		if w.Number == number {
			return w
		}
	}
	return &Wave{}
}
