package run

import (
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// updateEvacuations applies the latest list of evacuated halls. It reports whether one is known.
func (o *Owner) updateEvacuations() bool {
	latest := o.evacuations()
	if !latest.NewerThan(o.evacuated) {
		return o.evacuated != nil
	}
	changed := latest.Any() || o.evacuated.Any()
	o.evacuated = latest
	if !changed {
		return true
	}
	workers, runs, lastingRuns := 0, 0, 0
	for _, w := range o.workers {
		w.vacating = o.mustVacate(w)
		if latest.Has(w.entry.Hall) {
			workers++
			runs += len(w.runs)
			lastingRuns += w.tally.longRunningRuns
		}
	}
	o.placeRequested = true
	o.log.Info("owner: evacuated halls have changed", zap.Any("halls", latest.Halls), zap.Int64("revision", int64(latest.Revision)),
		zap.Int("workers", workers), zap.Int("of", len(o.workers)), zap.Int("runs", runs), zap.Int("lasting_runs", lastingRuns))
	return true
}

// mustVacate reports whether a worker gets no new work and its long-running subtasks have to
// move.
func (o *Owner) mustVacate(w *worker) bool {
	return o.vacate[w.entry.Instance] || o.evacuated.Has(w.entry.Hall)
}

// checkAllEvacuated refuses a submission that no machine may run because all halls are evacuated;
// it returns nil if the submission can be accepted. Long-running and scheduled work is still
// useful if it begins later.
func (o *Owner) checkAllEvacuated(s *tw.Submission) *BusyError {
	if !o.evacuated.Any() || hasLongRunningStep(s) || s.Repetitions() > 1 {
		return nil
	}
	for _, w := range o.workers {
		if !o.evacuated.Has(w.entry.Hall) {
			return nil
		}
	}
	// Machines of other pools may be moved here.
	list := o.machineCache.Latest()
	if list == nil {
		o.machineCache.RequestRefresh(o.now)
		return nil
	}
	for _, machine := range list.Machines {
		if machine.State != tw.MachineDown && !o.evacuated.Has(machine.Hall) {
			return nil
		}
	}
	return newBusyError(s, maxRetryAfter)
}
