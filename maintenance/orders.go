package maintenance

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/run"
)

const (
	// orderVisibleTimeout is how long an order may take to become visible in the list of
	// machines before it counts as not carried out.
	orderVisibleTimeout = 4 * time.Second
	// maxOrderAttempts limits how often an order is issued while it gets no answer.
	maxOrderAttempts = 3
	// ambiguousOrderTimeout is the equivalent of orderVisibleTimeout for an unanswered order,
	// which the platform may carry out up to 12 s late.
	ambiguousOrderTimeout = 13 * time.Second
	// ownershipValidity is how long after the last confirmation of the ownership in
	// the store orders may be issued.
	ownershipValidity = 2 * time.Second
	// maxRecordAge is the maximum time from the start of recording an order until it
	// is first issued. A write to a slow store takes 240 ms.
	maxRecordAge = 500 * time.Millisecond
	// maxOrderDelay is the maximum time from the start of recording an order until the
	// end of its last attempt. The next manager allows for this time.
	maxOrderDelay = maxRecordAge + 1200*time.Millisecond
)

// reconcileOrders drops the orders whose effect the list shows, and those that have timed out.
func (m *Manager) reconcileOrders(list *run.MachineList) {
	for id, order := range m.ordered {
		machine, found := list.Machines[id]
		if order.Ambiguous && order.confirmedBy(machine) {
			order.Ambiguous = false
			m.ordered[id] = order
		}
		if !list.RequestedAt.After(order.Since) {
			continue
		}
		timeout := orderVisibleTimeout
		back := machine.State == tw.MachineUp
		if order.Ambiguous {
			timeout = ambiguousOrderTimeout
			back = false
		}
		if !found || back || m.Clock.Now().Sub(order.Since) > timeout {
			delete(m.ordered, id)
		}
	}
}

// confirmedBy reports whether the listed machine proves that an unanswered order was carried out.
// A different worker on the machine is no proof: the former worker may have crashed, and the
// order may still be carried out.
func (o *Order) confirmedBy(machine tw.Machine) bool {
	if o.Wave != 0 {
		return machine.State == tw.MachineMaintenance
	}
	return machine.Pool == o.Pool
}

// confirmOwnership writes to the store, if due, to ensure that this daemon still owns the
// management of machines.
func (m *Manager) confirmOwnership() error {
	now := m.Clock.Now()
	if now.Sub(m.confirmedAt) < ownershipValidity/2 {
		return nil
	}
	_, err := m.Book.Write(m.ctx, nil)
	if err == nil {
		m.confirmedAt = now
		m.lastWrite.Store(&now)
	}
	return err
}

// issueOrders records the orders and issues them concurrently.
func (m *Manager) issueOrders(orders []Order) error {
	now := m.Clock.Now()
	if now.Sub(m.confirmedAt) > ownershipValidity {
		return nil
	}
	if err := m.recordOrders(orders); err != nil {
		return err
	}
	if m.Clock.Now().Sub(now) > maxRecordAge {
		m.Log.Info("maintenance: orders not issued, recording them took too long", zap.Int("orders", len(orders)))
		return nil
	}
	ctx, cancel := context.WithTimeout(m.ctx, maxOrderDelay-maxRecordAge)
	defer cancel()
	var wg sync.WaitGroup
	errs := make([]error, len(orders))
	for i, order := range orders {
		m.ordered[order.Machine] = order
		wg.Go(func() { errs[i] = m.issueOrder(ctx, order) })
	}
	wg.Wait()
	for i, order := range orders {
		m.handleAnswer(order, errs[i])
	}
	m.limiter.adjust(errs)
	return nil
}

// issueOrder issues one order. It repeats the order while it gets no answer; a repetition has no
// effect if the order was carried out.
func (m *Manager) issueOrder(ctx context.Context, order Order) error {
	by := tw.MachineHolder{Name: m.Holder, Fence: m.fence}
	var err error
	for attempt := range maxOrderAttempts {
		if order.Wave != 0 {
			err = m.Machines.Maintain(ctx, by, order.Machine, order.Wave)
		} else {
			err = m.Machines.Move(ctx, by, order.Machine, order.Pool)
		}
		switch {
		case errors.Is(err, tw.ErrAmbiguous) && ctx.Err() == nil:
			continue
		case attempt > 0 && !isFinalAnswer(err):
			// This answer does not hold for the unanswered attempts: they may be carried out
			// late, when another machine of the wave is down.
			return errors.Wrapf(tw.ErrAmbiguous, "maintenance: an earlier attempt was not answered; last attempt: %v", err)
		}
		return err
	}
	return err
}

// isFinalAnswer reports whether the answer to one attempt of an order holds for all attempts.
func isFinalAnswer(err error) bool {
	var refused *tw.MachineRefusedError
	if errors.As(err, &refused) {
		return refused.Reason == tw.MachineRefusedUnknown || refused.Reason == tw.MachineRefusedNotInWave
	}
	return err == nil
}

// handleAnswer handles the result of an order.
func (m *Manager) handleAnswer(order Order, err error) {
	m.Log.Info("maintenance: ordered", zap.String("instance", string(order.Machine)), zap.Int64("wave", order.Wave),
		zap.String("pool", string(order.Pool)), zap.String("why", order.Reason), logsink.Err(err))
	// Only a list requested after this time is sure to show the change.
	order.Since = m.Clock.Now()
	order.Ambiguous = err != nil
	m.ordered[order.Machine] = order
	var refused *tw.MachineRefusedError
	switch {
	case err == nil:
		m.handleSuccess(order)
	case errors.As(err, &refused):
		delete(m.ordered, order.Machine)
		m.markUnfit(order, refused)
	case tw.NotApplied(err):
		delete(m.ordered, order.Machine)
	}
	// An unanswered order stays in m.ordered until the list shows its effect or it times
	// out. It may then be issued again, which has no effect if it was carried out.
}

// handleSuccess records an order that has succeeded.
func (m *Manager) handleSuccess(order Order) {
	m.poolMetrics.countOrder(order)
	// An order succeeds too if a former manager had the same maintenance done already; it
	// then ends no worker. So only a move proves that the worker has ended: a machine
	// that is still listed in its old pool was not moved before.
	if order.Worker != "" && order.Wave == 0 {
		m.ended[order.Worker] = endedWorker{pool: order.From, at: m.Clock.Now()}
	}
	if w := m.waves[order.Wave]; w != nil {
		w.Done[order.Machine] = true
	}
}

// markUnfit records that a pool does not accept a machine.
func (m *Manager) markUnfit(order Order, refused *tw.MachineRefusedError) {
	if order.Wave != 0 || refused.Reason != tw.MachineRefusedUnknown {
		return
	}
	if m.unfit[order.Machine] == nil {
		m.unfit[order.Machine] = map[tw.PoolID]bool{}
	}
	m.unfit[order.Machine][order.Pool] = true
}
