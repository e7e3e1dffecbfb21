package gateway

import "sync"

// requestTracker counts the exchanges under way. A sync.WaitGroup would not do: it
// forbids a first Add while somebody waits.
type requestTracker struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when n falls to 0; nil if nobody waits
}

func (a *requestTracker) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
}

func (a *requestTracker) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.count == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// whenIdle is closed once nothing is under way.
func (a *requestTracker) whenIdle() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	out := a.idle
	if a.count == 0 {
		close(a.idle)
		a.idle = nil
	}
	return out
}
