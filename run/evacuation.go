package run

import (
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// updateEvacuations takes up which halls are evacuated. It tells whether that is known.
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
			lastingRuns += w.tally.lastingRuns
		}
	}
	o.placeRequested = true
	o.log.Info("owner: evacuated halls have changed", zap.Any("halls", latest.Halls), zap.Int64("revision", int64(latest.Revision)),
		zap.Int("workers", workers), zap.Int("of", len(o.workers)), zap.Int("runs", runs), zap.Int("lasting_runs", lastingRuns))
	return true
}

// mustVacate tells whether a worker gets no new work and its lasting work is to go.
func (o *Owner) mustVacate(w *worker) bool {
	return o.vacate[w.entry.Instance] || o.evacuated.Has(w.entry.Hall)
}

// checkAllEvacuated refuses a submission that no machine may run, as all halls are evacuated; nil
// if it may be taken. Lasting and scheduled work is of use also when it begins later.
func (o *Owner) checkAllEvacuated(s *tw.Submission) *BusyError {
	if !o.evacuated.Any() || hasLastingStep(s) || s.Repetitions() > 1 {
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
