package gateway

import "sync"

// activity counts the exchanges under way. A sync.WaitGroup would not do: it
// forbids a first Add while somebody waits.
type activity struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n falls to 0; nil if nobody waits
}

func (a *activity) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n++
}

func (a *activity) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n--
	if a.n == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// quiet is closed once nothing is under way.
func (a *activity) quiet() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	out := a.idle
	if a.n == 0 {
		close(a.idle)
		a.idle = nil
	}
	return out
}
