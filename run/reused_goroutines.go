package run

import (
	"context"
	"sync"
	"sync/atomic"
)

// reusedGoroutines runs functions concurrently. It keeps a few goroutines for later functions, as
// each new one has to grow its stack.
type reusedGoroutines struct {
	next    chan func() // unbuffered: to a goroutine that is idle
	idle    atomic.Int64
	running sync.WaitGroup
}

// maxIdleGoroutines bounds the goroutines that are kept.
const maxIdleGoroutines = 2

func newReusedGoroutines() *reusedGoroutines { return &reusedGoroutines{next: make(chan func())} }

// run runs a function on another goroutine. Idle ones end with the context.
func (r *reusedGoroutines) run(ctx context.Context, f func()) {
	select {
	case r.next <- f:
		return
	default:
	}
	r.start(ctx, f)
}

// start is apart from run, as f is allocated for a new goroutine.
func (r *reusedGoroutines) start(ctx context.Context, f func()) {
	r.running.Go(func() {
		for ; f != nil; f = r.await(ctx) {
			f()
		}
	})
}

// await returns the next function, nil if the goroutine is to end.
func (r *reusedGoroutines) await(ctx context.Context) func() {
	defer r.idle.Add(-1)
	if r.idle.Add(1) > maxIdleGoroutines {
		return nil
	}
	select {
	case f := <-r.next:
		return f
	case <-ctx.Done():
		return nil
	}
}

// wait waits until all goroutines have ended.
func (r *reusedGoroutines) wait() { r.running.Wait() }
