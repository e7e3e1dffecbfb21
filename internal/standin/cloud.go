package standin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// CloudConfig configures a Cloud.
	CloudConfig struct {
		Clock tw.Clock
		// MoveTime and MaintenanceTime are how long a machine is unavailable for each
		// kind of change.
		MoveTime, MaintenanceTime time.Duration
		// Latency delays each List call.
		Latency time.Duration
		// Changed is called when a machine's worker ends and when its next worker
		// starts.
		Changed func(machine tw.Machine)
	}

	// Cloud simulates the platform's machine API. It implements tw.Machines.
	Cloud struct {
		config CloudConfig

		mu       sync.Mutex
		machines map[tw.InstanceID]*cloudMachine
		down     bool
		orders   []CloudOrder
	}

	// CloudOrder records an executed machine change.
	CloudOrder struct {
		Machine tw.InstanceID
		Pool    tw.PoolID
		Wave    int64 // 0 if the change is a move
		By      tw.MachineHolder
		At      time.Time
	}

	cloudMachine struct {
		tw.Machine
		fence        tw.FencingToken
		returnsAt    time.Time
		targetPool   tw.PoolID
		restarts     int
		wavesOrdered map[int64]bool
	}
)

var _ tw.Machines = (*Cloud)(nil)

// New returns a Cloud without machines.
func (c CloudConfig) New() *Cloud {
	if c.Clock == nil {
		c.Clock = tw.SystemClock{}
	}
	return &Cloud{config: c, machines: map[tw.InstanceID]*cloudMachine{}}
}

// Add adds a machine.
func (c *Cloud) Add(m tw.Machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[m.ID] = &cloudMachine{Machine: m, wavesOrdered: map[int64]bool{}}
}

// SetDown makes every call fail while down is true.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// Orders returns the executed changes in order.
func (c *Cloud) Orders() []CloudOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]CloudOrder(nil), c.orders...)
}

// List implements tw.Machines.
func (c *Cloud) List(ctx context.Context) ([]tw.Machine, error) {
	if c.config.Latency > 0 {
		select {
		case <-c.config.Clock.After(c.config.Latency):
		case <-ctx.Done():
			return nil, errors.Wrap(tw.ErrUnavailable, "standin: call cancelled")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return nil, errors.Wrap(tw.ErrUnavailable, "standin: cloud is down")
	}
	c.finishChanges()
	var out []tw.Machine
	for _, m := range c.machines {
		out = append(out, m.Machine)
	}
	slices.SortFunc(out, func(a, b tw.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return out, nil
}

// Move implements tw.Machines.
func (c *Cloud) Move(_ context.Context, by tw.MachineHolder, machine tw.InstanceID, pool tw.PoolID) error {
	return c.change(by, CloudOrder{Machine: machine, Pool: pool}, tw.MachineMoving, c.config.MoveTime)
}

// Maintain implements tw.Machines.
func (c *Cloud) Maintain(_ context.Context, by tw.MachineHolder, machine tw.InstanceID, wave int64) error {
	return c.change(by, CloudOrder{Machine: machine, Wave: wave}, tw.MachineMaintenance, c.config.MaintenanceTime)
}

func (c *Cloud) change(by tw.MachineHolder, order CloudOrder, state tw.MachineState, unavailableFor time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return errors.Wrap(tw.ErrUnavailable, "standin: cloud is down")
	}
	c.finishChanges()
	m := c.machines[order.Machine]
	switch {
	case m == nil:
		return &tw.MachineRefusedError{Reason: tw.MachineRefusedUnknown}
	case by.Fence < m.fence:
		return &tw.MachineRefusedError{Reason: tw.MachineRefusedFence}
	}
	m.fence = by.Fence
	if order.Wave != 0 && m.wavesOrdered[order.Wave] || order.Wave == 0 && m.Pool == order.Pool {
		return nil
	}
	if m.State != tw.MachineUp {
		return &tw.MachineRefusedError{Reason: tw.MachineRefusedBusy}
	}
	now := c.config.Clock.Now()
	order.By, order.At = by, now
	c.orders = append(c.orders, order)
	m.State, m.returnsAt, m.targetPool = state, now.Add(unavailableFor), m.Pool
	if order.Wave != 0 {
		m.wavesOrdered[order.Wave] = true
	} else {
		m.targetPool = order.Pool
	}
	c.notifyChanged(m)
	m.Worker = ""
	return nil
}

// finishChanges brings machines whose move or maintenance has ended back up, each
// with a new worker. Machines that were added as down stay so.
func (c *Cloud) finishChanges() {
	now := c.config.Clock.Now()
	for _, m := range c.machines {
		if m.State == tw.MachineUp || m.State == tw.MachineDown || now.Before(m.returnsAt) {
			continue
		}
		m.restarts++
		m.State, m.Pool = tw.MachineUp, m.targetPool
		m.Worker = tw.WorkerID(string(m.ID) + "-" + string(rune('a'+m.restarts)))
		c.notifyChanged(m)
	}
}

func (c *Cloud) notifyChanged(m *cloudMachine) {
	if c.config.Changed != nil {
		c.config.Changed(m.Machine)
	}
}
