package maintenance

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

const (
	// recentOrders is how long orders are kept in the record: the time between
	// two holders and a reserve for clocks that differ.
	recentOrders = 15 * time.Second
	// clockReserve is by how much a former manager's time of day may be behind:
	// the platform's pages keep it close to the true time, and days on which it
	// jumps do so by 2 s.
	clockReserve = 2500 * time.Millisecond
)

// recordOrders notes in the store which machines are about to be changed, so
// that another manager leaves them alone for a while.
func (m *Manager) recordOrders(orders []Order) error {
	if len(orders) == 0 {
		return nil
	}
	now := m.Clock.Now()
	for id, at := range m.recent {
		if now.Sub(at) > recentOrders {
			delete(m.recent, id)
		}
	}
	for _, order := range orders {
		m.recent[order.Machine] = now
	}
	changes := []ledger.Change{ledger.RecordOrders(m.recent)}
	for _, w := range m.waves {
		if slices.ContainsFunc(orders, func(o Order) bool { return o.Wave == w.Number }) {
			changes = append(changes, ledger.AdvanceWave(w.Number, m.progress(w, orders)))
		}
	}
	_, err := m.Book.Write(m.ctx, changes)
	return err
}

// progress is what is recorded of a wave before some orders are given.
func (m *Manager) progress(w *Wave, orders []Order) ledger.WaveProgress {
	given := map[tw.InstanceID]bool{}
	for _, order := range slices.AppendSeq(slices.Clone(orders), maps.Values(m.ordered)) {
		if order.Wave == w.Number && !w.Done[order.Machine] {
			given[order.Machine] = true
		}
	}
	return ledger.WaveProgress{Done: slices.Sorted(maps.Keys(w.Done)), Given: slices.Sorted(maps.Keys(given))}
}

// inherit takes the orders that a former manager may have given for ordered: they may
// be carried out late, when another machine of the wave is down.
func (m *Manager) inherit(w *Wave, given []tw.InstanceID) {
	for _, id := range given {
		if !w.Done[id] {
			m.ordered[id] = Order{
				Machine: id, Wave: w.Number, Since: m.Clock.Now().Add(orderTime), Unclear: true,
				Why: "a former manager may have ordered it",
			}
		}
	}
}

// blockRecent keeps the machines that a former manager changed lately from
// being changed by this one before the time between two holders has passed.
func (m *Manager) blockRecent(recent map[tw.InstanceID]time.Time) {
	now := m.Clock.Now()
	for id, at := range recent {
		// The former manager's time of day may be ahead, but what it recorded
		// happened before this one began. The order itself may come later than that.
		latest := now.Add(m.HolderTime + orderTime)
		until := at.Add(m.HolderTime + orderTime + clockReserve)
		if latest.Before(until) {
			until = latest
		}
		if now.Before(until) {
			m.blocked[id] = until
		}
	}
}

// finishWaves reports the progress of waves.
func (m *Manager) finishWaves(list *run.MachineList) error {
	for _, w := range m.waves {
		if w.Finished {
			continue
		}
		finished := m.allBack(w, list)
		if len(w.Done) == w.reported && !finished && w.announced {
			continue
		}
		progress := m.progress(w, nil)
		progress.Finished = finished
		change := ledger.AdvanceWave(w.Number, progress)
		change.Puts = append(change.Puts, m.WaveStatus(w.Number, finished))
		if _, err := m.Book.Write(m.ctx, []ledger.Change{change}); err != nil {
			return err
		}
		w.reported, w.announced, w.Finished = len(w.Done), true, finished
		m.Log.Info("wave: progress recorded", zap.Int64("wave", w.Number), zap.Int("done", len(w.Done)),
			zap.Int("of", len(w.Machines)), zap.Bool("finished", finished))
	}
	return nil
}

// allBack tells whether every machine of a wave that is still there has been
// down for it and is up again.
func (m *Manager) allBack(w *Wave, list *run.MachineList) bool {
	for _, id := range w.Machines {
		machine, found := list.Machines[id]
		if !found {
			continue
		}
		order, ordered := m.ordered[id]
		// A machine that was moved on since has been back.
		awaited := ordered && order.Wave == w.Number
		if !w.Done[id] || awaited || machine.State == tw.MachineMaintenance {
			return false
		}
	}
	return true
}
