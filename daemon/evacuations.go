package daemon

import (
	"context"
	"iter"
	"slices"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/platform"
)

// Evacuations are the evacuated halls, or nil while they are not known.
func (d *directory) Evacuations() *tw.Evacuations {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations
}

// readEvacuations reads from the store which halls are evacuated.
func (d *directory) readEvacuations(ctx context.Context) error {
	items, at, err := d.kv.Range(ctx, platform.EvacuationPrefix)
	if err != nil {
		return err
	}
	keys := func(yield func(tw.Key) bool) {
		for _, item := range items {
			if !yield(item.Key) {
				return
			}
		}
	}
	d.offerEvacuations(evacuationsIn(keys, at), "store")
	return nil
}

// evacuationsIn are the evacuated halls by the keys that the store had at a revision.
func evacuationsIn(keys iter.Seq[tw.Key], at tw.KVRevision) *tw.Evacuations {
	e := &tw.Evacuations{Revision: at}
	for key := range keys {
		if hall, found := platform.EvacuatedHall(key); found {
			e.Halls = append(e.Halls, hall)
		}
	}
	slices.Sort(e.Halls)
	return e
}

// heardEvacuations takes up what a peer knows, as the store may turn this daemon away.
func (d *directory) heardEvacuations(from string, heard *tw.Evacuations) {
	if heard != nil {
		d.offerEvacuations(heard, from)
	}
}

// offerEvacuations puts evacuations in force if they are newer than those that are known.
func (d *directory) offerEvacuations(e *tw.Evacuations, from string) {
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

// evacuatedHalls is a gauge.
func (d *directory) evacuatedHalls() float64 {
	if e := d.Evacuations(); e != nil {
		return float64(len(e.Halls))
	}
	return 0
}
