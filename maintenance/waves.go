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
	// recentOrderTTL is how long orders are kept in the record. It covers the minimum
	// time between two holders and a reserve for differing clocks.
	recentOrderTTL = 15 * time.Second
	// maxClockSkew is by how much the clock of a former manager may be behind. The
	// platform keeps clocks close to true time, but they can jump by 2 s.
	maxClockSkew = 2500 * time.Millisecond
)

// recordOrders stores which machines are about to be changed, so that another
// manager does not change them for a while.
func (m *Manager) recordOrders(orders []Order) error {
	if len(orders) == 0 {
		return nil
	}
	now := m.Clock.Now()
	for id, at := range m.recentlyChanged {
		if now.Sub(at) > recentOrderTTL {
			delete(m.recentlyChanged, id)
		}
	}
	for _, order := range orders {
		m.recentlyChanged[order.Machine] = now
	}
	changes := []ledger.Change{ledger.RecordOrders(m.recentlyChanged)}
	for _, w := range m.waves {
		if slices.ContainsFunc(orders, func(o Order) bool { return o.Wave == w.Number }) {
			changes = append(changes, ledger.SaveWaveProgress(w.Number, m.waveProgress(w, orders)))
		}
	}
	_, err := m.Book.Write(m.ctx, changes)
	return err
}

// waveProgress returns the progress of a wave to store before the given orders are
// issued.
func (m *Manager) waveProgress(w *Wave, orders []Order) ledger.WaveProgress {
	pending := map[tw.InstanceID]bool{}
	for _, order := range slices.AppendSeq(slices.Clone(orders), maps.Values(m.ordered)) {
		if order.Wave == w.Number && !w.Done[order.Machine] {
			pending[order.Machine] = true
		}
	}
	return ledger.WaveProgress{Done: slices.Sorted(maps.Keys(w.Done)), Pending: slices.Sorted(maps.Keys(pending)), FirstSeen: w.FirstSeen}
}

// adoptPending adds to m.ordered the orders that a former manager may have issued, as they may be
// carried out late, when another machine of the wave is down.
func (m *Manager) adoptPending(w *Wave, pending []tw.InstanceID) {
	for _, id := range pending {
		if !w.Done[id] {
			m.ordered[id] = Order{
				Machine: id, Wave: w.Number, Since: m.Clock.Now().Add(maxOrderDelay), Ambiguous: true,
				Reason: "a former manager may have ordered it",
			}
		}
	}
}

// adoptRecent blocks the machines that former managers changed recently until the minimum time
// between two holders has passed. It keeps these changes in m.recentlyChanged, as the next record
// of orders replaces the one that holds them.
func (m *Manager) adoptRecent(recent map[tw.InstanceID]time.Time) {
	now := m.Clock.Now()
	for id, at := range recent {
		// The clock of the former manager may be ahead, but the record was made before
		// this manager started.
		m.recentlyChanged[id] = earlier(at, now)
		// The order itself may have been issued up to maxOrderDelay after the record.
		until := earlier(at.Add(maxClockSkew), now).Add(m.HolderTime + maxOrderDelay)
		if now.Before(until) {
			m.blocked[id] = until
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// reportWaves stores the progress of waves and their status for operators.
func (m *Manager) reportWaves(list *run.MachineList) error {
	for _, w := range m.waves {
		if w.Finished {
			continue
		}
		finished := m.waveComplete(w, list)
		if len(w.Done) == w.recordedDone && !finished && w.hasRecord {
			continue
		}
		progress := m.waveProgress(w, nil)
		progress.Finished = finished
		change := ledger.SaveWaveProgress(w.Number, progress)
		change.Puts = append(change.Puts, m.WaveStatus(w.Number, finished))
		if _, err := m.Book.Write(m.ctx, []ledger.Change{change}); err != nil {
			return err
		}
		w.recordedDone, w.hasRecord, w.Finished = len(w.Done), true, finished
		m.Log.Info("wave: progress recorded", zap.Int64("wave", w.Number), zap.Int("done", len(w.Done)),
			zap.Int("of", len(w.Machines)), zap.Bool("finished", finished))
	}
	return nil
}

// waveComplete reports whether every machine of a wave that still exists has been maintained and
// is back.
func (m *Manager) waveComplete(w *Wave, list *run.MachineList) bool {
	for _, id := range w.Machines {
		machine, found := list.Machines[id]
		if !found {
			continue
		}
		order, ordered := m.ordered[id]
		// A later move of the machine implies that it has been back.
		awaited := ordered && order.Wave == w.Number
		if !w.Done[id] || awaited || machine.State == tw.MachineMaintenance {
			return false
		}
	}
	return true
}
