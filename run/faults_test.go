package run_test

import (
	"context"
	"sync"
	"sync/atomic"

	tw "github.com/tamarindworks/tamarindworks"
)

// cutOrders loses workers, and the store, for one owner.
type cutOrders struct {
	tw.WorkerOrders
	workers sync.Map // by tw.WorkerID
	store   atomic.Bool
}

func (c *cutOrders) lose(id tw.WorkerID) { c.workers.Store(id, true) }

func (c *cutOrders) loseStore() { c.store.Store(true) }

func (c *cutOrders) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	if _, lost := c.workers.Load(to.ID); lost {
		return tw.HoldReport{}, tw.ErrAmbiguous
	}
	return c.WorkerOrders.Hold(ctx, to, order)
}

// muteOrders swallows so many starts: they are not done and not answered.
type muteOrders struct {
	tw.WorkerOrders
	mute atomic.Int64
}

func (m *muteOrders) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	if m.mute.Add(-1) >= 0 {
		<-ctx.Done()
		return 0, tw.ErrAmbiguous
	}
	return m.WorkerOrders.Start(ctx, to, order)
}

// blindKV reads nothing while it is blind.
type blindKV struct {
	tw.KV
	blind atomic.Bool
}

func (k *blindKV) Get(ctx context.Context, key tw.Key) (tw.KVItem, error) {
	if k.blind.Load() {
		return tw.KVItem{}, tw.ErrUnavailable
	}
	return k.KV.Get(ctx, key)
}

// shortLists lists at most so many ends at once, the oldest first, as workers do.
type shortLists struct {
	tw.WorkerOrders
	most int
}

func (s *shortLists) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	report, err := s.WorkerOrders.Hold(ctx, to, order)
	if len(report.Ended) > s.most {
		report.Ended = report.Ended[:s.most]
	}
	return report, err
}

// slowClocks makes the clocks of all workers run slow by a share.
type slowClocks struct {
	tw.WorkerOrders
	share float64
}

func (s *slowClocks) shown(c tw.WorkerTime) tw.WorkerTime {
	return tw.WorkerTime(float64(c) * (1 - s.share))
}

func (s *slowClocks) meant(c tw.WorkerTime) tw.WorkerTime {
	return tw.WorkerTime(float64(c) / (1 - s.share))
}

func (s *slowClocks) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	order.Deadline = s.meant(order.Deadline)
	report, err := s.WorkerOrders.Hold(ctx, to, order)
	report.Clock = s.shown(report.Clock)
	return report, err
}

func (s *slowClocks) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	order.Deadline = s.meant(order.Deadline)
	clock, err := s.WorkerOrders.Start(ctx, to, order)
	return s.shown(clock), err
}

// muteKV answers no writes while it is mute or deaf; while it is mute, it does none.
type muteKV struct {
	tw.KV
	mute, deaf atomic.Bool
}

func (k *muteKV) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	if k.mute.Load() {
		return 0, tw.ErrAmbiguous
	}
	revision, err := k.KV.Commit(ctx, txn)
	if k.deaf.Load() {
		return 0, tw.ErrAmbiguous
	}
	return revision, err
}
