package tamarindworks

import "time"

// Clock provides the current time and timers; tests inject a fake. Now must
// include a monotonic clock reading, because the times until which a daemon may
// act, such as the end of a lease, are compared with it.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the operating system's clock.
type SystemClock struct{}

// Now returns time.Now().
func (SystemClock) Now() time.Time { return time.Now() }

// After returns time.After(d).
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
