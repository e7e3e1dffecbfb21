package tamarindworks

import "time"

// Clock tells the time. Tests inject one that they move by hand. Now must
// carry a monotonic reading, as permits are compared with it.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now is time.Now, with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// After is time.After.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
