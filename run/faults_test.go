package run_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// partitionedOrders cuts one owner off from some workers. partitionedKV cuts it off from the
// store as well.
type partitionedOrders struct {
	tw.WorkerOrders
	workersCutOff sync.Map // by tw.WorkerID
	storeCutOff   atomic.Bool
}

func (c *partitionedOrders) cutOffWorker(id tw.WorkerID) { c.workersCutOff.Store(id, true) }

func (c *partitionedOrders) cutOffStore() { c.storeCutOff.Store(true) }

func (c *partitionedOrders) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	if _, lost := c.workersCutOff.Load(to.ID); lost {
		return tw.HoldReport{}, tw.ErrAmbiguous
	}
	return c.WorkerOrders.Hold(ctx, to, order)
}

// droppedStarts drops a number of starts: they are neither carried out nor answered.
type droppedStarts struct {
	tw.WorkerOrders
	remaining atomic.Int64
}

func (m *droppedStarts) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	if m.remaining.Add(-1) >= 0 {
		<-ctx.Done()
		return 0, tw.ErrAmbiguous
	}
	return m.WorkerOrders.Start(ctx, to, order)
}

// unreadableKV fails each Get while failing is set.
type unreadableKV struct {
	tw.KV
	failing atomic.Bool
}

func (k *unreadableKV) Get(ctx context.Context, key tw.Key) (tw.KVItem, error) {
	if k.failing.Load() {
		return tw.KVItem{}, tw.ErrUnavailable
	}
	return k.KV.Get(ctx, key)
}

// truncatedReports limits the ends in one report, oldest first, as workers do.
type truncatedReports struct {
	tw.WorkerOrders
	maxEnds int
}

func (s *truncatedReports) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	report, err := s.WorkerOrders.Hold(ctx, to, order)
	if len(report.Ended) > s.maxEnds {
		report.Ended = report.Ended[:s.maxEnds]
	}
	return report, err
}

// slowClocks makes the clocks of all workers run slow by a fraction.
type slowClocks struct {
	tw.WorkerOrders
	fraction float64
}

func (s *slowClocks) toSlow(c tw.WorkerTime) tw.WorkerTime {
	return tw.WorkerTime(float64(c) * (1 - s.fraction))
}

func (s *slowClocks) fromSlow(c tw.WorkerTime) tw.WorkerTime {
	return tw.WorkerTime(float64(c) / (1 - s.fraction))
}

func (s *slowClocks) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	order.Deadline = s.fromSlow(order.Deadline)
	report, err := s.WorkerOrders.Hold(ctx, to, order)
	report.Clock = s.toSlow(report.Clock)
	return report, err
}

func (s *slowClocks) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	order.Deadline = s.fromSlow(order.Deadline)
	clock, err := s.WorkerOrders.Start(ctx, to, order)
	return s.toSlow(clock), err
}

// unansweredKV leaves writes unanswered: with dropWrites they are not applied, with dropAnswers
// they are.
type unansweredKV struct {
	tw.KV
	dropWrites, dropAnswers atomic.Bool
}

func (k *unansweredKV) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	if k.dropWrites.Load() {
		return 0, tw.ErrAmbiguous
	}
	revision, err := k.KV.Commit(ctx, txn)
	if k.dropAnswers.Load() {
		return 0, tw.ErrAmbiguous
	}
	return revision, err
}

// lateReadKV answers each Get some time after the item was read.
type lateReadKV struct{ tw.KV }

// Get implements tw.KV.
func (k lateReadKV) Get(ctx context.Context, key tw.Key) (tw.KVItem, error) {
	item, err := k.KV.Get(ctx, key)
	time.Sleep(200 * time.Millisecond)
	return item, err
}
