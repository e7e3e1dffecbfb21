// Package fakeclock has a clock that tests move by hand.
package fakeclock

import (
	"sync"
	"time"
)

// Clock is moved by hand.
type Clock struct {
	mu     sync.Mutex
	now    time.Time
	timers map[*timer]bool
}

type timer struct {
	at time.Time
	c  chan time.Time
}

// New starts at a fixed time.
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
	a := &timer{at: c.now.Add(d), c: make(chan time.Time, 1)}
	if d <= 0 {
		a.c <- c.now
		return a.c
	}
	c.timers[a] = true
	return a.c
}

// Advance moves the clock and rings what is due.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	for a := range c.timers {
		if !a.at.After(c.now) {
			a.c <- c.now
			delete(c.timers, a)
		}
	}
}
