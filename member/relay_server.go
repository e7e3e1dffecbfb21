package member

import (
	"context"
	"time"

	"connectrpc.com/connect"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/run"
)

// outcomeGather is how long outcomes gather before they are told together: workers
// answer within some milliseconds.
const outcomeGather = 4 * time.Millisecond

// GiveStarts gives the starts of a request to its workers, all workers at the same
// time, and sends their outcomes as they come. It returns when all are sent.
func GiveStarts(ctx context.Context, orders tw.WorkerOrders, clock tw.Clock, m *StartsRequest, send func(StartsResponse) error) error {
	ctx, cancel := context.WithTimeout(ctx, m.Within+m.timeout())
	defer cancel()
	latest := clock.Now().Add(m.Within)
	done := make(chan WorkerOutcomes, len(m.Workers))
	for n := range m.Workers {
		go func() { done <- m.give(ctx, orders, clock, latest, n) }()
	}
	for left := len(m.Workers); left > 0; {
		response := StartsResponse{Workers: []WorkerOutcomes{<-done}}
		gathered := clock.After(outcomeGather)
		for waiting := true; waiting && len(response.Workers) < left; {
			select {
			case w := <-done:
				response.Workers = append(response.Workers, w)
			case <-gathered:
				waiting = false
			}
		}
		left -= len(response.Workers)
		if err := send(response); err != nil {
			return err
		}
	}
	return nil
}

// timeout is the longest that a start of the request may take.
func (m *StartsRequest) timeout() time.Duration {
	longest := time.Duration(0)
	for _, w := range m.Workers {
		longest = max(longest, w.Timeout)
	}
	return longest
}

// give gives the starts of one worker.
func (m *StartsRequest) give(ctx context.Context, orders tw.WorkerOrders, clock tw.Clock, latest time.Time, n int) WorkerOutcomes {
	w := m.Workers[n]
	out := WorkerOutcomes{Index: n}
	starts := make([]tw.StartOrder, 0, len(w.Starts))
	for _, s := range w.Starts {
		order, valid := s.order(m, w.Fence)
		if !valid {
			break
		}
		starts = append(starts, order)
	}
	timely := timelyOrders{WorkerOrders: orders, clock: clock, latest: latest}
	for _, result := range run.StartEach(ctx, timely, tw.WorkerRef{ID: w.ID, Address: w.Address}, w.Timeout, starts) {
		out.Outcomes = append(out.Outcomes, outcomeOf(result))
	}
	return out
}

// timelyOrders sends no start after a time, so that a daemon that was paused
// does not send old ones.
type timelyOrders struct {
	tw.WorkerOrders
	clock  tw.Clock
	latest time.Time
}

// Start implements tw.WorkerOrders.
func (t timelyOrders) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerClock, error) {
	if t.clock.Now().After(t.latest) {
		return 0, run.ErrNotSent
	}
	return t.WorkerOrders.Start(ctx, to, order)
}

// Start has another daemon give starts to workers, and calls each with every
// message of its answer.
func (p *Peers) Start(ctx context.Context, address string, m StartsRequest, each func(StartsResponse)) error {
	stream, err := p.at(address).start.CallServerStream(ctx, connect.NewRequest(&m))
	if err != nil {
		return sortError(err)
	}
	defer stream.Close()
	for stream.Receive() {
		each(*stream.Msg())
	}
	if err := stream.Err(); err != nil {
		return sortError(err)
	}
	return nil
}
