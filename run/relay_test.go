package run_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/member"
)

// relayFault is what goes wrong with a call to a relay.
type relayFault int

const (
	noFault relayFault = iota
	// relayGone: nobody listens.
	relayGone
	// requestLost: nothing is done and nobody answers.
	requestLost
	// answerLost: all is done and nobody answers.
	answerLost
	// relayPaused: all is done seconds later, as if the request had stood in the
	// relay's buffers, and nobody answers.
	relayPaused
	relayFaults
)

// pauseTime is how long a relay is paused: within the time for which grants last.
const pauseTime = 3 * time.Second

// faultyRelay is a daemon that gives orders for others, when it is well.
type faultyRelay struct {
	orders tw.WorkerOrders

	mu    sync.Mutex
	fault relayFault
	looks *member.Looks
}

func newFaultyRelay(orders tw.WorkerOrders) *faultyRelay {
	f := &faultyRelay{orders: orders}
	f.restart()
	return f
}

// any sets a random fault, as often as not none.
func (f *faultyRelay) any(r *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = noFault
	if r.IntN(2) == 0 {
		f.fault = relayFault(r.IntN(int(relayFaults)))
	}
}

func (f *faultyRelay) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = noFault
}

// restart forgets the looks that the relay was asked for.
func (f *faultyRelay) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.looks = member.LooksConfig{Orders: f.orders, Clock: tw.SystemClock{}}.New()
}

func (f *faultyRelay) state() (relayFault, *member.Looks) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault, f.looks
}

// Start implements member.RelayCaller.
func (f *faultyRelay) Start(ctx context.Context, _ string, m member.StartsRequest, each func(member.StartsResponse)) error {
	fault, _ := f.state()
	give := func(send func(member.StartsResponse) error) error {
		return member.GiveStarts(context.WithoutCancel(ctx), f.orders, tw.SystemClock{}, &m, send)
	}
	unheard := func(member.StartsResponse) error { return nil }
	switch fault {
	case relayGone:
		return tw.ErrGone
	case requestLost:
	case answerLost:
		if err := give(unheard); err != nil {
			return err
		}
	case relayPaused:
		go func() {
			time.Sleep(pauseTime)
			_ = give(unheard) // nobody waits for it
		}()
	default:
		return give(func(r member.StartsResponse) error {
			each(r)
			return nil
		})
	}
	<-ctx.Done()
	return tw.ErrUnclear
}

// Look implements member.RelayCaller.
func (f *faultyRelay) Look(ctx context.Context, _ string, m member.LooksRequest) (*member.LooksResponse, error) {
	fault, looks := f.state()
	switch fault {
	case relayGone:
		return nil, tw.ErrGone
	case requestLost:
	case answerLost:
		if _, err := looks.Look(ctx, &m); err != nil {
			return nil, err
		}
	case relayPaused:
		go func() {
			time.Sleep(pauseTime)
			_, _ = looks.Look(context.WithoutCancel(ctx), &m) // nobody waits for it
		}()
	default:
		return looks.Look(ctx, &m)
	}
	<-ctx.Done()
	return nil, tw.ErrUnclear
}

// relayed has orders given through a relay, always.
func relayed(relay *faultyRelay) *member.Relay {
	return member.RelayConfig{
		Self: "owner", Peers: relay, Direct: relay.orders, Clock: tw.SystemClock{}, Busy: -1,
		Relays: func(tw.HallID) []member.Live { return []member.Live{{Daemon: "relay", Address: "10.1.0.9:1"}} },
	}.New()
}
