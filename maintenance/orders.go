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
	// orderVisibleTimeout is how long an order may take to show in the list of
	// machines before it counts as not done.
	orderVisibleTimeout = 4 * time.Second
	// maxOrderAttempts bounds how often an order without an answer is given.
	maxOrderAttempts = 3
	// unclearOrderTimeout is the same for an order that was never answered: the
	// platform may carry it out up to 12 s late.
	unclearOrderTimeout = 13 * time.Second
	// ownershipValidity: orders are given only for so long after the ownership
	// was last confirmed in the store.
	ownershipValidity = 2 * time.Second
	// maxRecordAge is how old the record of an order may be when it is given: a
	// write of the slow store takes 240 ms.
	maxRecordAge = 500 * time.Millisecond
	// maxOrderDelay bounds how long after its record an order is given, tries
	// included; the next manager waits for it.
	maxOrderDelay = maxRecordAge + 1200*time.Millisecond
)

// reconcileOrders forgets the orders whose effect the list shows.
func (m *Manager) reconcileOrders(list *run.MachineList) {
	for id, order := range m.ordered {
		machine, found := list.Machines[id]
		if order.Unclear && order.confirmedBy(machine) {
			order.Unclear = false
			m.ordered[id] = order
		}
		if !list.RequestedAt.After(order.Since) {
			continue
		}
		patience := orderVisibleTimeout
		back := machine.State == tw.MachineUp
		if order.Unclear {
			patience = unclearOrderTimeout
			back = false
		}
		if !found || back || m.Clock.Now().Sub(order.Since) > patience {
			delete(m.ordered, id)
		}
	}
}

// confirmedBy tells whether a list proves that an order without an answer was carried out.
// Another worker on the machine is no proof: the former one may have crashed, and the
// order may still be carried out.
func (o *Order) confirmedBy(machine tw.Machine) bool {
	if o.Wave != 0 {
		return machine.State == tw.MachineMaintenance
	}
	return machine.Pool == o.Pool
}

// confirmOwnership makes sure that this daemon still manages the machines.
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

// issueOrders gives the orders, all at the same time.
func (m *Manager) issueOrders(orders []Order) error {
	now := m.Clock.Now()
	if now.Sub(m.confirmedAt) > ownershipValidity {
		return nil
	}
	if err := m.recordOrders(orders); err != nil {
		return err
	}
	if m.Clock.Now().Sub(now) > maxRecordAge {
		m.Log.Info("maintenance: not ordered, its record took too long", zap.Int("orders", len(orders)))
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

// issueOrder orders one change. An order without an answer is given again, which
// does nothing if it was carried out.
func (m *Manager) issueOrder(ctx context.Context, order Order) error {
	by := tw.MachineHolder{Name: m.Holder, Fence: m.fence}
	var err error
	for try := range maxOrderAttempts {
		if order.Wave != 0 {
			err = m.Machines.Maintain(ctx, by, order.Machine, order.Wave)
		} else {
			err = m.Machines.Move(ctx, by, order.Machine, order.Pool)
		}
		switch {
		case errors.Is(err, tw.ErrAmbiguous) && ctx.Err() == nil:
			continue
		case try > 0 && !isFinalAnswer(err):
			// This says nothing of the tries without an answer: they may be carried out
			// late, when another machine of the wave is down.
			return errors.Wrapf(tw.ErrAmbiguous, "maintenance: an earlier try was not answered, the last one: %v", err)
		}
		return err
	}
	return err
}

// isFinalAnswer tells whether the answer to one try of an order holds for all of them.
func isFinalAnswer(err error) bool {
	var refused *tw.MachineRefusedError
	if errors.As(err, &refused) {
		return refused.Reason == tw.MachineRefusedUnknown || refused.Reason == tw.MachineRefusedNotInWave
	}
	return err == nil
}

// handleAnswer takes up the answer to an order.
func (m *Manager) handleAnswer(order Order, err error) {
	m.Log.Info("maintenance: ordered", zap.String("instance", string(order.Machine)), zap.Int64("wave", order.Wave),
		zap.String("pool", string(order.Pool)), zap.String("why", order.Reason), logsink.Err(err))
	// Only a list that is asked for from now on shows the change.
	order.Since = m.Clock.Now()
	order.Unclear = err != nil
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
	// What was not answered stays ordered until the list shows it, and is then
	// asked for again, which does nothing if it was carried out.
}

// handleSuccess notes an order that was answered with success.
func (m *Manager) handleSuccess(order Order) {
	// Maintenance that was done already is answered with success too, and then
	// nothing has ended: a former manager may have ordered it. A machine that is
	// still listed in its former pool has not been moved before.
	if order.Worker != "" && order.Wave == 0 {
		m.ended[order.Worker] = endedWorker{pool: order.From, at: m.Clock.Now()}
	}
	if w := m.waves[order.Wave]; w != nil {
		w.Done[order.Machine] = true
	}
}

// markUnfit remembers that a pool takes other machines only.
func (m *Manager) markUnfit(order Order, refused *tw.MachineRefusedError) {
	if order.Wave != 0 || refused.Reason != tw.MachineRefusedUnknown {
		return
	}
	if m.unfit[order.Machine] == nil {
		m.unfit[order.Machine] = map[tw.PoolID]bool{}
	}
	m.unfit[order.Machine][order.Pool] = true
}
