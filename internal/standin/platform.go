package standin

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// PlatformConfig configures a Platform.
	PlatformConfig struct {
		Clock tw.Clock
		// AutoRun makes tasks run as soon as they are started, without an upstream
		// that reports and picks them up.
		AutoRun bool
		// SilenceTimeout is how long after its last report an upstream stays listed.
		// 0 means forever.
		SilenceTimeout time.Duration
	}

	// Platform is an in-memory platform with injectable faults. It implements
	// tw.Store, tw.InstanceList and tw.Workers.
	Platform struct {
		config PlatformConfig

		mu             sync.Mutex
		faults         Faults
		values         map[tw.Key]tw.Item
		changed        chan struct{} // closed and replaced at each change
		leases         map[tw.Key]lease
		version        uint64 // of the instance list
		instances      map[tw.InstanceID]tw.Instance
		lastReport     map[tw.InstanceID]time.Time
		staleSnapshots map[tw.HallID]tw.InstanceSnapshot // listed while Faults.StaleList is set
		tasks          map[tw.TaskID]tw.Task
		endedTasks     map[tw.TaskID]bool
		calls          Calls
	}

	// Faults are the faults that a platform injects.
	Faults struct {
		Down        bool        `json:"down"`          // every call to the store fails
		Delay       tw.Duration `json:"delay"`         // of each call to the store
		LoseAnswers int         `json:"lose_answers"`  // the next n writes take effect, but get no answer
		StaleList   bool        `json:"stale_list"`    // the instance list does not change
		FailTasksOn []string    `json:"fail_tasks_on"` // instances whose tasks fail at their start
	}

	// Calls counts the calls to the store.
	Calls struct {
		Writes int `json:"writes"`
		Reads  int `json:"reads"`
	}

	lease struct {
		tw.Lease
		expiresAt time.Time
	}
)

var (
	_ tw.Store        = (*Platform)(nil)
	_ tw.InstanceList = (*Platform)(nil)
	_ tw.Workers      = (*Platform)(nil)
)

// New returns an empty platform.
func (c PlatformConfig) New() *Platform {
	if c.Clock == nil {
		c.Clock = tw.SystemClock{}
	}
	return &Platform{
		config:         c,
		values:         map[tw.Key]tw.Item{},
		changed:        make(chan struct{}),
		leases:         map[tw.Key]lease{},
		instances:      map[tw.InstanceID]tw.Instance{},
		lastReport:     map[tw.InstanceID]time.Time{},
		staleSnapshots: map[tw.HallID]tw.InstanceSnapshot{},
		tasks:          map[tw.TaskID]tw.Task{},
		endedTasks:     map[tw.TaskID]bool{},
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.StaleList && !p.faults.StaleList {
		for _, hall := range p.halls() {
			p.staleSnapshots[hall] = p.snapshot(hall)
		}
	}
	p.faults = f
	p.notifyChanged()
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Calls returns the number of calls to the store.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Restore overwrites a key with an earlier item, as after a store is restored from a
// backup.
func (p *Platform) Restore(key tw.Key, item tw.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = item
	p.notifyChanged()
}

// Get implements tw.Store.
func (p *Platform) Get(ctx context.Context, key tw.Key) (tw.Item, error) {
	if err := p.beginCall(ctx, false); err != nil {
		return tw.Item{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	item, ok := p.values[key]
	if !ok {
		return tw.Item{}, tw.ErrNotFound
	}
	return item, nil
}

// Put implements tw.Store.
func (p *Platform) Put(ctx context.Context, key tw.Key, value []byte, base tw.Version) (tw.Version, error) {
	if err := p.beginCall(ctx, true); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values[key].Version != base {
		return 0, tw.ErrConflict
	}
	next := tw.Item{Value: slices.Clone(value), Version: base + 1}
	p.values[key] = next
	p.notifyChanged()
	return next.Version, p.loseAnswer()
}

// Watch implements tw.Store.
func (p *Platform) Watch(ctx context.Context, key tw.Key, seen tw.Version, wait time.Duration) (tw.Item, error) {
	if err := p.beginCall(ctx, false); err != nil {
		return tw.Item{}, err
	}
	timeout := p.config.Clock.After(wait)
	for {
		p.mu.Lock()
		item, changed, down := p.values[key], p.changed, p.faults.Down
		p.mu.Unlock()
		if down {
			return tw.Item{}, tw.ErrUnavailable
		}
		if item.Version != seen {
			return item, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return tw.Item{}, tw.ErrNoChange
		case <-ctx.Done():
			return tw.Item{}, tw.ErrUnavailable
		}
	}
}

// Acquire implements tw.Store.
func (p *Platform) Acquire(ctx context.Context, req tw.LeaseRequest) (tw.Lease, error) {
	if err := p.beginCall(ctx, true); err != nil {
		return tw.Lease{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	l := p.leases[req.Name]
	if l.Holder != req.Holder && now.Before(l.expiresAt) {
		return l.Lease, tw.ErrLeaseHeld
	}
	if l.Holder != req.Holder || !now.Before(l.expiresAt) {
		l.Epoch++
	}
	l.Holder, l.expiresAt = req.Holder, now.Add(req.TTL)
	p.leases[req.Name] = l
	return l.Lease, p.loseAnswer()
}

// Release implements tw.Store.
func (p *Platform) Release(ctx context.Context, req tw.LeaseRequest) error {
	if err := p.beginCall(ctx, true); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.leases[req.Name]; l.Holder == req.Holder {
		l.expiresAt = time.Time{}
		p.leases[req.Name] = l
	}
	return p.loseAnswer()
}

// Holder implements tw.Store.
func (p *Platform) Holder(ctx context.Context, name tw.Key) (tw.Lease, error) {
	if err := p.beginCall(ctx, false); err != nil {
		return tw.Lease{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[name]
	if !ok || !p.config.Clock.Now().Before(l.expiresAt) {
		return tw.Lease{}, tw.ErrNotFound
	}
	return l.Lease, nil
}

// beginCall counts a call to the store, delays it, and fails it if the store is down.
func (p *Platform) beginCall(ctx context.Context, writes bool) error {
	p.mu.Lock()
	if writes {
		p.calls.Writes++
	} else {
		p.calls.Reads++
	}
	down, delay := p.faults.Down, p.faults.Delay
	p.mu.Unlock()
	if delay > 0 {
		select {
		case <-p.config.Clock.After(delay.Std()):
		case <-ctx.Done():
			return tw.ErrUnavailable
		}
	}
	if down {
		return tw.ErrUnavailable
	}
	return nil
}

// loseAnswer returns tw.ErrAmbiguous if the answer of a write that has taken effect is to
// be lost.
func (p *Platform) loseAnswer() error {
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return tw.ErrAmbiguous
	}
	return nil
}

func (p *Platform) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) halls() []tw.HallID {
	var out []tw.HallID
	for _, in := range p.instances {
		if !slices.Contains(out, in.Hall) {
			out = append(out, in.Hall)
		}
	}
	return out
}

func (p *Platform) snapshot(hall tw.HallID) tw.InstanceSnapshot {
	p.dropSilent()
	out := tw.InstanceSnapshot{Version: p.version}
	for _, in := range p.instances {
		if in.Hall == hall {
			out.Instances = append(out.Instances, in)
		}
	}
	slices.SortFunc(out.Instances, func(a, b tw.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
