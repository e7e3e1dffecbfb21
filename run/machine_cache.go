package run

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

type (
	// MachineCacheConfig configures a MachineCache.
	MachineCacheConfig struct {
		Machines tw.Machines
		Clock    tw.Clock
		Log      *zap.Logger
	}

	// MachineCache caches the platform's list of machines for all parts of a daemon, and
	// reads it again on request.
	MachineCache struct {
		machines        tw.Machines
		clock           tw.Clock
		log             *zap.Logger
		refreshRequests chan struct{}
		cancel          context.CancelFunc
		done            chan struct{}

		mu     sync.Mutex
		latest *MachineList
	}

	// MachineList is a copy of the list of machines.
	MachineList struct {
		Machines map[tw.InstanceID]tw.Machine
		// RequestedAt is when the list was requested. It shows the state at that time or later.
		RequestedAt time.Time
		// running are the pools of the workers that run according to the list.
		running map[tw.WorkerID]tw.PoolID
	}
)

// minRefreshInterval is the minimum time between two reads of the list. The platform accepts some
// tens of reads a second from all daemons together, and charges for each.
const minRefreshInterval = 200 * time.Millisecond

// New starts the goroutine that reads the list.
func (c MachineCacheConfig) New() *MachineCache {
	ctx, cancel := context.WithCancel(context.Background())
	cache := &MachineCache{
		machines: c.Machines, clock: c.Clock, log: c.Log, cancel: cancel,
		refreshRequests: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go func() {
		defer close(cache.done)
		cache.refreshLoop(ctx)
	}()
	return cache
}

// Close stops the goroutine.
func (c *MachineCache) Close() {
	c.cancel()
	<-c.done
}

// RequestRefresh requests a new list, unless the last one is newer than minRefreshInterval.
func (c *MachineCache) RequestRefresh(now time.Time) {
	if latest := c.Latest(); latest != nil && now.Sub(latest.RequestedAt) < minRefreshInterval {
		return
	}
	select {
	case c.refreshRequests <- struct{}{}:
	default: // a request is pending
	}
}

// Latest returns the last list, or nil.
func (c *MachineCache) Latest() *MachineList {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}

func (c *MachineCache) refreshLoop(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.refreshRequests:
		}
		requestedAt := c.clock.Now()
		list, err := c.machines.List(ctx)
		switch {
		case err != nil && !failing:
			c.log.Warn("machines: list not readable", logsink.Err(err))
		case err == nil && failing:
			c.log.Info("machines: list readable again")
		}
		failing = err != nil
		if err == nil {
			c.set(requestedAt, list)
		}
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(minRefreshInterval):
		}
	}
}

func (c *MachineCache) set(requestedAt time.Time, list []tw.Machine) {
	latest := &MachineList{
		Machines: make(map[tw.InstanceID]tw.Machine, len(list)), RequestedAt: requestedAt, running: make(map[tw.WorkerID]tw.PoolID, len(list)),
	}
	for _, m := range list {
		latest.Machines[m.ID] = m
		if m.State == tw.MachineUp && m.Worker != "" {
			latest.running[m.Worker] = m.Pool
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest = latest
}
