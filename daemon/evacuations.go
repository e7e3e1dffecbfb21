package daemon

import (
	"context"
	"slices"

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
	d.mu.Unlock()
	if before != nil && slices.Equal(before.Halls, e.Halls) {
		return
	}
	d.log.Info("evacuations: in force", zap.Int64("revision", int64(e.Revision)), zap.String("from", from),
		zap.Any("halls", e.Halls))
	d.workersChanged()
}

// evacuatedHalls returns the number of evacuated halls, for a gauge.
func (d *directory) evacuatedHalls() float64 {
	if e := d.Evacuations(); e != nil {
		return float64(len(e.Halls))
	}
	return 0
}
