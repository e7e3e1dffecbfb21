package run

import (
	"context"
	"sync"
)

// gate bounds the orders to a worker that are sent at the same time.
type gate struct {
	mu     sync.Mutex
	inside int
	// changed is closed when an order leaves; nil if none waits for that.
	changed chan struct{}
}

// enter waits until fewer than limit orders are inside, and adds one. It returns early if the
// context ends. Only one goroutine may call it.
func (g *gate) enter(ctx context.Context, limit int) {
	for {
		g.mu.Lock()
		if g.inside < limit || ctx.Err() != nil {
			g.inside++
			g.mu.Unlock()
			return
		}
		changed := make(chan struct{})
		g.changed = changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}
