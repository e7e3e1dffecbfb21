// Package fakeclock provides a clock that tests advance manually.
package fakeclock

import (
	"sync"
	"time"
)

// Clock is a tw.Clock that is advanced manually.
type Clock struct {
	mu     sync.Mutex
	now    time.Time
	timers map[*timer]bool
}

type timer struct {
	at time.Time
	c  chan time.Time
}

// New returns a clock that is set to a fixed time.
func New() *Clock {
	return &Clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), timers: map[*timer]bool{}}
}

// Now implements tw.Clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After implements tw.Clock.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &timer{at: c.now.Add(d), c: make(chan time.Time, 1)}
	if d <= 0 {
		t.c <- c.now
		return t.c
	}
	c.timers[t] = true
	return t.c
}

// Advance advances the clock and fires the timers that are due.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	for t := range c.timers {
		if !t.at.After(c.now) {
			t.c <- c.now
			delete(c.timers, t)
		}
	}
}
