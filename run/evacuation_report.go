package run

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// RemainReason is why a run is still on a worker that it should leave.
	RemainReason string

	// EvacuationReport describes what a pool still runs in evacuated halls.
	EvacuationReport struct {
		Pool  tw.PoolID       `json:"pool"`
		Fence tw.FencingToken `json:"fence"`
		// Revision is that of the evacuations which the owner applies, zero if it knows none
		// and therefore starts nothing.
		Revision tw.KVRevision   `json:"revision"`
		Halls    []EvacuatedHall `json:"halls,omitempty"`
	}

	// EvacuatedHall describes a pool's workers in an evacuated hall.
	EvacuatedHall struct {
		Hall    tw.HallID `json:"hall"`
		Workers int       `json:"workers"`
		// Unknown counts the workers that have not answered this owner yet, so that further runs
		// may be there.
		Unknown int `json:"unknown,omitempty"`
		// Remaining counts the runs by the reason why they are still there.
		Remaining map[RemainReason]int `json:"remaining,omitempty"`
	}
)

// Reasons why a run remains.
const (
	// RemainsUntilEnd: the run is of limited duration and ends by itself.
	RemainsUntilEnd RemainReason = "ends-by-itself"
	// RemainsNoCapacity: no other worker has capacity for it.
	RemainsNoCapacity RemainReason = "no-capacity-elsewhere"
	// RemainsDisruption: as many subtasks of its step are unavailable as may be.
	RemainsDisruption RemainReason = "disruption-limit"
	// RemainsUnanswered: its worker does not answer, so that no stop would arrive.
	RemainsUnanswered RemainReason = "worker-silent"
	// RemainsUnconfirmed: its start is not confirmed yet.
	RemainsUnconfirmed RemainReason = "start-unconfirmed"
	// RemainsStopping: it has been told to stop.
	RemainsStopping RemainReason = "stopping"
	// RemainsTakeover: the owner is new, and stops of the previous one may be in flight.
	RemainsTakeover RemainReason = "new-owner"
	// remainsNot: it can be stopped now.
	remainsNot RemainReason = ""
)

// remainReasons lists the reasons for which runs are counted.
var remainReasons = []RemainReason{
	RemainsUntilEnd, RemainsNoCapacity, RemainsDisruption, RemainsUnanswered, RemainsUnconfirmed, RemainsStopping, RemainsTakeover,
}

const (
	// evacuationReportInterval is the interval at which the metrics of evacuated halls are updated.
	evacuationReportInterval = time.Second
	// evacuationLogInterval is the interval at which runs that remain in evacuated halls are logged.
	evacuationLogInterval = 5 * time.Second
)

// Evacuations reports what still runs in evacuated halls, and why.
func (o *Owner) Evacuations(ctx context.Context) (EvacuationReport, error) {
	return query(ctx, o, func() (EvacuationReport, error) { return o.evacuationReport(), nil })
}

func (o *Owner) evacuationReport() EvacuationReport {
	out := EvacuationReport{Pool: o.pool, Fence: o.self.Fence}
	if o.evacuated == nil {
		return out
	}
	out.Revision = o.evacuated.Revision
	byHall := map[tw.HallID]*EvacuatedHall{}
	for _, hall := range o.evacuated.Halls {
		byHall[hall] = &EvacuatedHall{Hall: hall, Remaining: map[RemainReason]int{}}
	}
	for _, w := range o.workers {
		hall := byHall[w.entry.Hall]
		if hall == nil {
			continue
		}
		hall.Workers++
		if !w.stateKnown {
			hall.Unknown++
		}
		for _, r := range w.runs {
			hall.Remaining[cmp.Or(o.remainReason(r), RemainsStopping)]++
		}
	}
	for _, hall := range slices.Sorted(maps.Keys(byHall)) {
		out.Halls = append(out.Halls, *byHall[hall])
	}
	return out
}

// remainReason returns why a run that should leave its worker is not stopped, or remainsNot if it is
// to be stopped.
func (o *Owner) remainReason(r *runState) RemainReason {
	switch {
	case r.w.unanswered > 0:
		return RemainsUnanswered
	case r.phase == placed || r.phase == starting || r.phase == unconfirmed:
		return RemainsUnconfirmed
	case r.phase != running:
		return RemainsStopping
	case !r.task.step.spec.LongRunning:
		return RemainsUntilEnd
	case o.now.Sub(o.takeoverAt) < o.bounds.StopTime+2*shortPollWait:
		// Runs that the previous owner has ordered to stop are listed as running until they
		// have stopped.
		return RemainsTakeover
	case !r.w.entry.Draining && !o.mayInterrupt(r):
		return RemainsDisruption // the platform removes a draining worker in any case
	case !o.capacityElsewhere(r.w, r.task.step):
		return RemainsNoCapacity
	}
	return remainsNot
}

// watchEvacuations updates the metrics of evacuated halls and logs the runs that remain there.
func (o *Owner) watchEvacuations() {
	if !o.evacuated.Any() && o.evacuatedRuns == 0 || o.now.Sub(o.evacuationsReportedAt) < evacuationReportInterval {
		return
	}
	o.evacuationsReportedAt = o.now
	remaining := map[RemainReason]int{}
	report := o.evacuationReport()
	unknown, total := 0, 0
	for _, hall := range report.Halls {
		unknown += hall.Unknown
		for reason, n := range hall.Remaining {
			remaining[reason] += n
			total += n
		}
	}
	o.metrics.setEvacuatedRuns(remaining)
	emptied := total == 0 && o.evacuatedRuns > 0
	o.evacuatedRuns = total
	if !emptied && (total == 0 || o.now.Sub(o.evacuationLoggedAt) < evacuationLogInterval) {
		return
	}
	o.evacuationLoggedAt = o.now
	o.log.Info("owner: runs in evacuated halls", zap.Any("halls", o.evacuated.Halls), zap.Int64("revision", int64(report.Revision)),
		zap.Int("runs", total), zap.Any("remaining", remaining), zap.Int("unknown_workers", unknown))
}
