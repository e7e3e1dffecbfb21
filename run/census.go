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
	// MachineCacheConfig configures a Census.
	MachineCacheConfig struct {
		Machines tw.Machines
		Clock    tw.Clock
		Log      *zap.Logger
	}

	// MachineCache keeps the platform's list of machines for all parts of a daemon,
	// and reads it when one of them wants it newer.
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

	// MachineList is the list of machines as of a moment.
	MachineList struct {
		Machines map[tw.InstanceID]tw.Machine
		// RequestedAt is when the list was asked for: it shows what was so then, or
		// later.
		RequestedAt time.Time
	}
)

// minRefreshInterval is the least time between two reads of the list: the platform
// takes some tens a second of all daemons together, and prices each.
const minRefreshInterval = 200 * time.Millisecond

// New starts the duty that reads the list.
func (c MachineCacheConfig) New() *MachineCache {
	ctx, cancel := context.WithCancel(context.Background())
	census := &MachineCache{
		machines: c.Machines, clock: c.Clock, log: c.Log, cancel: cancel,
		refreshRequests: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go func() {
		defer close(census.done)
		census.refreshLoop(ctx)
	}()
	return census
}

// Close ends the duty.
func (c *MachineCache) Close() {
	c.cancel()
	<-c.done
}

// RequestRefresh asks for a list that is newer than the gap between two reads.
func (c *MachineCache) RequestRefresh(now time.Time) {
	if latest := c.Latest(); latest != nil && now.Sub(latest.RequestedAt) < minRefreshInterval {
		return
	}
	select {
	case c.refreshRequests <- struct{}{}:
	default: // one is wanted already
	}
}

// Latest is the last list, or nil.
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
		asked := c.clock.Now()
		list, err := c.machines.List(ctx)
		switch {
		case err != nil && !failing:
			c.log.Warn("census: list of machines not readable", logsink.Err(err))
		case err == nil && failing:
			c.log.Info("census: list of machines readable again")
		}
		failing = err != nil
		if err == nil {
			c.set(asked, list)
		}
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(minRefreshInterval):
		}
	}
}

func (c *MachineCache) set(asked time.Time, list []tw.Machine) {
	latest := &MachineList{Machines: make(map[tw.InstanceID]tw.Machine, len(list)), RequestedAt: asked}
	for _, m := range list {
		latest.Machines[m.ID] = m
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest = latest
}
