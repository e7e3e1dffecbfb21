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
	// orderShown is how long an order may take to show in the list of
	// machines before it counts as not done.
	orderShown = 4 * time.Second
	// orderTries bounds how often an order without an answer is given.
	orderTries = 3
	// unclearShown is the same for an order that was never answered: the
	// platform may carry it out up to 12 s late.
	unclearShown = 13 * time.Second
	// confirmManager: orders are given only for so long after the ownership
	// was last confirmed in the store.
	confirmManager = 2 * time.Second
	// recordAge is how old the record of an order may be when it is given: a
	// write of the slow store takes 240 ms.
	recordAge = 500 * time.Millisecond
	// orderTime bounds how long after its record an order is given, tries
	// included; the next manager waits for it.
	orderTime = recordAge + 1200*time.Millisecond
)

// settleOrders forgets the orders whose effect the list shows.
func (m *Manager) settleOrders(list *run.MachineList) {
	for id, order := range m.ordered {
		machine, found := list.Machines[id]
		if order.Unclear && order.shown(machine) {
			order.Unclear = false
			m.ordered[id] = order
		}
		if !list.Asked.After(order.Since) {
			continue
		}
		patience := orderShown
		back := machine.State == tw.MachineUp
		if order.Unclear {
			patience = unclearShown
			back = false
		}
		if !found || back || m.Clock.Now().Sub(order.Since) > patience {
			delete(m.ordered, id)
		}
	}
}

// shown tells whether a list proves that an order without an answer was carried out.
// Another worker on the machine is no proof: the former one may have crashed, and the
// order may still be carried out.
func (o *Order) shown(machine tw.Machine) bool {
	if o.Wave != 0 {
		return machine.State == tw.MachineMaintenance
	}
	return machine.Pool == o.Pool
}

// confirm makes sure that this daemon still manages the machines.
func (m *Manager) confirm() error {
	now := m.Clock.Now()
	if now.Sub(m.confirmed) < confirmManager/2 {
		return nil
	}
	_, err := m.Book.Write(m.ctx, nil)
	if err == nil {
		m.confirmed = now
		m.lastWrite.Store(&now)
	}
	return err
}

// carryOut gives the orders, all at the same time.
func (m *Manager) carryOut(orders []Order) error {
	now := m.Clock.Now()
	if now.Sub(m.confirmed) > confirmManager {
		return nil
	}
	if err := m.recordOrders(orders); err != nil {
		return err
	}
	if m.Clock.Now().Sub(now) > recordAge {
		m.Log.Info("maintenance: not ordered, its record took too long", zap.Int("orders", len(orders)))
		return nil
	}
	ctx, cancel := context.WithTimeout(m.ctx, orderTime-recordAge)
	defer cancel()
	var wg sync.WaitGroup
	errs := make([]error, len(orders))
	for i, order := range orders {
		m.ordered[order.Machine] = order
		wg.Go(func() { errs[i] = m.give(ctx, order) })
	}
	wg.Wait()
	for i, order := range orders {
		m.answered(order, errs[i])
	}
	m.pace.note(errs)
	return nil
}

// give orders one change. An order without an answer is given again, which
// does nothing if it was carried out.
func (m *Manager) give(ctx context.Context, order Order) error {
	by := tw.MachineHolder{Name: m.Holder, Fence: m.fence}
	var err error
	for try := range orderTries {
		if order.Wave != 0 {
			err = m.Machines.Maintain(ctx, by, order.Machine, order.Wave)
		} else {
			err = m.Machines.Move(ctx, by, order.Machine, order.Pool)
		}
		switch {
		case errors.Is(err, tw.ErrUnclear) && ctx.Err() == nil:
			continue
		case try > 0 && !settles(err):
			// This says nothing of the tries without an answer: they may be carried out
			// late, when another machine of the wave is down.
			return errors.Wrapf(tw.ErrUnclear, "maintenance: an earlier try was not answered, the last one: %v", err)
		}
		return err
	}
	return err
}

// settles tells whether the answer to one try of an order holds for all of them.
func settles(err error) bool {
	var refused *tw.MachineRefused
	if errors.As(err, &refused) {
		return refused.Reason == tw.MachineUnknown || refused.Reason == tw.MachineNotInWave
	}
	return err == nil
}

// answered takes up the answer to an order.
func (m *Manager) answered(order Order, err error) {
	m.Log.Info("maintenance: ordered", zap.String("instance", string(order.Machine)), zap.Int64("wave", order.Wave),
		zap.String("pool", string(order.Pool)), zap.String("why", order.Why), logsink.Err(err))
	// Only a list that is asked for from now on shows the change.
	order.Since = m.Clock.Now()
	order.Unclear = err != nil
	m.ordered[order.Machine] = order
	var refused *tw.MachineRefused
	switch {
	case err == nil:
		m.carriedOut(order)
	case errors.As(err, &refused):
		delete(m.ordered, order.Machine)
		m.noteUnfit(order, refused)
	case tw.SurelyNotDone(err):
		delete(m.ordered, order.Machine)
	}
	// What was not answered stays ordered until the list shows it, and is then
	// asked for again, which does nothing if it was carried out.
}

// carriedOut notes an order that was answered with success.
func (m *Manager) carriedOut(order Order) {
	// Maintenance that was done already is answered with success too, and then
	// nothing has ended: a former manager may have ordered it. A machine that is
	// still listed in its former pool has not been moved before.
	if order.Worker != "" && order.Wave == 0 {
		m.gone[order.Worker] = goneWorker{pool: order.From, at: m.Clock.Now()}
	}
	if w := m.waves[order.Wave]; w != nil {
		w.Done[order.Machine] = true
	}
}

// noteUnfit remembers that a pool takes other machines only.
func (m *Manager) noteUnfit(order Order, refused *tw.MachineRefused) {
	if order.Wave != 0 || refused.Reason != tw.MachineUnknown {
		return
	}
	if m.unfit[order.Machine] == nil {
		m.unfit[order.Machine] = map[tw.PoolID]bool{}
	}
	m.unfit[order.Machine][order.Pool] = true
}
