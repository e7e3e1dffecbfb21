package gateway

import "sync"

// requestTracker counts the requests in flight. A sync.WaitGroup does not work
// here: it forbids an Add from zero concurrent with Wait.
type requestTracker struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when no request is in flight; nil without waiters
}

func (t *requestTracker) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
}

func (t *requestTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// whenIdle returns a channel that is closed once no request is in flight.
func (t *requestTracker) whenIdle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	if t.count == 0 {
		close(t.idle)
		t.idle = nil
	}
	return idle
}
