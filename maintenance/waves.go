package maintenance

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// recordOrders notes the machines that are about to be taken down.
func (m *Manager) recordOrders(orders []Order) error {
	for _, order := range orders {
		if w := m.waves[order.Wave]; w != nil {
			w.Done[order.Machine] = true
		}
	}
	return nil
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
		progress := ledger.WaveProgress{Done: slices.Sorted(maps.Keys(w.Done)), Finished: finished}
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
		_, ordered := m.ordered[id]
		if !w.Done[id] || ordered || machine.State == tw.MachineMaintenance {
			return false
		}
	}
	return true
}
