package daemon

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/platform"
)

// Evacuations returns the evacuated halls, or nil while they are unknown.
func (d *directory) Evacuations() *tw.Evacuations {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations
}

// readEvacuations reads the evacuated halls from the store.
func (d *directory) readEvacuations(ctx context.Context) error {
	e, err := platform.ReadEvacuations(ctx, d.kv)
	if err != nil {
		return err
	}
	d.applyEvacuations(e, "store")
	return nil
}

// applyEvacuations applies evacuations that are newer than the known ones. They also come from
// peers, as the store may reject this daemon's calls; e is nil if a peer does not know them.
func (d *directory) applyEvacuations(e *tw.Evacuations, from string) {
	d.mu.Lock()
	before := d.evacuations
	if !e.NewerThan(before) {
		d.mu.Unlock()
		return
	}
	d.evacuations = e
	d.updateEvacuatedSince(e)
	d.mu.Unlock()
	if before != nil && slices.Equal(before.Halls, e.Halls) {
		return
	}
	d.log.Info("evacuations: in force", zap.Int64("revision", int64(e.Revision)), zap.String("from", from),
		zap.Any("halls", e.Halls))
	d.workersChanged()
}

// updateEvacuatedSince records when the evacuation of each hall was learned of. The caller holds
// d.mu.
func (d *directory) updateEvacuatedSince(e *tw.Evacuations) {
	maps.DeleteFunc(d.evacuatedSince, func(hall tw.HallID, _ time.Time) bool { return !e.Has(hall) })
	for _, hall := range e.Halls {
		if _, known := d.evacuatedSince[hall]; known {
			continue
		}
		d.evacuatedSince[hall] = d.clock.Now()
		d.metrics.GetOrCreateGauge(fmt.Sprintf("tamarind_hall_evacuated_seconds{hall=%q}", string(hall)),
			func() float64 { return d.evacuatedFor(hall).Seconds() })
	}
}

// evacuatedSinceByHall returns when the evacuation of each evacuated hall was learned of.
func (d *directory) evacuatedSinceByHall() map[tw.HallID]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.evacuatedSince)
}

// evacuatedFor returns for how long a hall is known to be evacuated, zero if it is not.
func (d *directory) evacuatedFor(hall tw.HallID) time.Duration {
	since, evacuated := d.evacuatedSinceByHall()[hall]
	if !evacuated {
		return 0
	}
	return d.clock.Now().Sub(since)
}

// evacuationsRevision returns the revision of the known evacuations, for a gauge.
func (d *directory) evacuationsRevision() float64 {
	if e := d.Evacuations(); e != nil {
		return float64(e.Revision)
	}
	return 0
}

// evacuatedHalls returns the number of evacuated halls, for a gauge.
func (d *directory) evacuatedHalls() float64 {
	if e := d.Evacuations(); e != nil {
		return float64(len(e.Halls))
	}
	return 0
}
