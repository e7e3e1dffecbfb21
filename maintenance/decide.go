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
	// is tried: subtasks of the platform's pages run up to about 5 s.
	vacateTimeout = 9 * time.Second
	// waveTimeReserve of a wave's time is kept for what takes longer than planned.
	waveTimeReserve = 0.3
	// minFreeShare is the share of a pool's capacity that stays free after a
	// machine leaves it, unless the wave is short of time.
	minFreeShare = 0.1
	// maxUnavailableShare: of a pool, at least one machine and up to this share may
	// be away or emptied at the same time.
	maxUnavailableShare = 0.34
)

// Decide works out what to do now. It is pure.
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

// keepVacating goes on with what was begun, unless it has become pointless.
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

// decideWave picks the machines to empty next for a wave.
func (s *State) decideWave(w *Wave, d *Decision) {
	down := s.countDown(w)
	var waiting []tw.Machine
	inHand := down
	for _, id := range w.Machines {
		machine, found := s.Machines[id]
		if !found || w.Done[id] {
			continue
		}
		if order, vacating := d.Vacate[id]; vacating && order.Wave == w.Number {
			inHand++
			continue
		}
		if _, ordered := s.Ordered[id]; machine.State == tw.MachineUp && !ordered && !s.blocked(id) {
			waiting = append(waiting, machine)
		}
	}
	slices.SortFunc(waiting, s.compareForWave)
	hurry := s.behindSchedule(w, len(waiting))
	for _, machine := range waiting {
		// A machine that is being emptied takes no place among those that are
		// down, so some are emptied ahead.
		if inHand >= 2*w.MaxConcurrent {
			return
		}
		if !s.canRelease(machine, d, hurry) {
			continue
		}
		d.Vacate[machine.ID] = Order{Machine: machine.ID, Wave: w.Number, Since: s.Now, Reason: "maintenance wave"}
		inHand++
	}
}

// compareForWave takes the machines with the least work first.
func (s *State) compareForWave(a, b tw.Machine) int {
	la, _ := s.load(a)
	lb, _ := s.load(b)
	return cmp.Or(
		cmp.Compare(la.LongRunning, lb.LongRunning),
		cmp.Compare(la.Runs, lb.Runs),
		cmp.Compare(a.ID, b.ID),
	)
}

// countDown counts the machines that are down for a wave, or may be.
func (s *State) countDown(w *Wave) int {
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

// behindSchedule tells whether a wave needs more than its even pace to be in time.
func (s *State) behindSchedule(w *Wave, waiting int) bool {
	left := w.FirstSeen.Add(time.Duration((1 - waveTimeReserve) * float64(w.NoticePeriod))).Sub(s.Now)
	rounds := math.Ceil(float64(waiting) / float64(w.MaxConcurrent))
	return left < time.Duration(rounds)*waveRoundTime
}

// waveRoundTime is about how long it takes to empty machines and have them back.
const waveRoundTime = 6 * time.Second

// canRelease tells whether a pool can do without one more machine.
func (s *State) canRelease(machine tw.Machine, d *Decision, hurry bool) bool {
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
	if hurry {
		return true
	}
	capacity, used := pool.totals()
	capacity -= float64(away + 1)
	return used <= (1-minFreeShare)*capacity
}

// totals are the pool's sound machines and what of them is used or wanted,
// both counted in machines.
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

// machinesFor is how many machines of a size some resources fill, by the scarcest.
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

// orderVacated turns the changes whose machines are empty into orders.
func (s *State) orderVacated(d *Decision) {
	down := map[int64]int{}
	for _, w := range s.Waves {
		down[w.Number] = s.countDown(w)
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
		// An owner that was not asked yet could still put work there.
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
