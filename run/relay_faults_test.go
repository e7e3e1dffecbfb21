package run_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/relay"
)

// faultyRelays are relays that fail at random.
type faultyRelays struct {
	names  []string
	server *relay.Server

	mu   sync.Mutex
	rand *rand.Rand
}

const (
	relaySeeds = 25
	// relayShortInterval is less than the time for which starts are relayed after NoteShort.
	relayShortInterval = 300 * time.Millisecond
	// maxRelayDelay is longer than an owner waits for an answer.
	maxRelayDelay = 3 * time.Second
)

// TestRelaySoak is TestSoak with owners that are always short, so that starts are relayed, through relays
// that end in the middle of a batch, send orders late, and lose answers.
func TestRelaySoak(t *testing.T) {
	t.Parallel()
	for seed := range uint64(relaySeeds) {
		runSoak(t, seed, func(s *soak) { s.relaying, s.actions = true, 90 })
	}
}

// shortOrders returns orders through faulty relays.
func (s *soak) shortOrders() tw.WorkerOrders {
	relays := &faultyRelays{
		names:  []string{"r0", "r1", "r2"},
		server: relay.ServerConfig{Orders: s.fleet, Clock: tw.SystemClock{}, Log: testLog(s.t), Metrics: agecheck.Metrics(s.t)}.New(),
		rand:   rand.New(rand.NewPCG(s.rand.Uint64(), 2)),
	}
	orders := relay.Config{Direct: s.fleet, Relays: relays, Clock: tw.SystemClock{}, Log: testLog(s.t), Metrics: agecheck.Metrics(s.t)}.New()
	s.rig.relayed = append(s.rig.relayed, orders)
	go func() {
		for {
			orders.NoteShort()
			select {
			case <-orders.Done():
				return
			case <-time.After(relayShortInterval):
			}
		}
	}()
	return orders
}

// Candidates implements tw.Relays.
func (f *faultyRelays) Candidates(tw.HallID) []string { return f.names }

// Start implements tw.Relays.
func (f *faultyRelays) Start(ctx context.Context, _ string, batch []tw.RelayedStart, answer func(tw.RelayedAnswer)) error {
	f.mu.Lock()
	fault, sent := f.rand.IntN(10), f.rand.IntN(len(batch)+1)
	delay := time.Duration(f.rand.Int64N(int64(maxRelayDelay)))
	f.mu.Unlock()
	send := func(ctx context.Context, count int, answer func(tw.RelayedAnswer)) {
		f.server.Start(ctx, batch[:count], func(answers []tw.RelayedAnswer) {
			for _, a := range answers {
				answer(a)
			}
		})
	}
	ignore := func(tw.RelayedAnswer) {}
	switch fault {
	case 0: // ends after it has sent some orders
		send(ctx, sent, answer)
		return tw.ErrAmbiguous
	case 1: // ends before it has passed on any answer
		send(ctx, sent, ignore)
		return tw.ErrAmbiguous
	case 2: // was paused: sends the orders late
		time.Sleep(delay)
		send(context.WithoutCancel(ctx), len(batch), answer)
		return ctx.Err()
	case 3:
		return tw.ErrNotListening
	default:
		send(ctx, len(batch), answer)
		return nil
	}
}
