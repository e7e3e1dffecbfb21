package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// ServerConfig configures a Server.
	ServerConfig struct {
		// Orders sends the orders to workers. It must not be of type *Orders, or orders could
		// loop between relays.
		Orders  tw.WorkerOrders
		Clock   tw.Clock
		Log     *zap.Logger
		Metrics *metrics.Set
	}

	// Server sends start orders on behalf of owners at other daemons.
	Server struct {
		config    ServerConfig
		inFlight  atomic.Int64
		forwarded *metrics.Counter

		mu    sync.Mutex
		specs *specCache
	}
)

const (
	// maxServerInFlight limits the orders that a relay has in flight.
	maxServerInFlight = 128
	// answerDelay is how long answers are collected for one message to the owner.
	answerDelay = 10 * time.Millisecond
	// maxOrderTime limits the time of any order.
	maxOrderTime = 2 * time.Second
)

// New returns a Server.
func (c ServerConfig) New() *Server {
	return &Server{config: c, specs: newSpecCache(), forwarded: c.Metrics.GetOrCreateCounter("tamarind_starts_given_for_others_total")}
}

// Start sends the orders of a batch concurrently. It passes on the answers in groups of those that
// arrive within answerDelay, and returns after the last one.
func (s *Server) Start(ctx context.Context, batch []tw.RelayedStart, answer func([]tw.RelayedAnswer)) {
	startedAt := s.config.Clock.Now()
	answers := make(chan tw.RelayedAnswer, len(batch))
	for n, start := range batch {
		if err := s.admit(&start); err != nil {
			answers <- tw.RelayedAnswer{Index: n, Err: err}
			continue
		}
		go func() {
			clock, err := s.forward(ctx, start)
			answers <- tw.RelayedAnswer{Index: n, Clock: clock, Err: err}
		}()
	}
	answered := 0
	for open := len(batch); open > 0; {
		group := s.collect(answers, open)
		open -= len(group)
		for _, a := range group {
			if tw.Answered(a.Err) {
				answered++
			}
		}
		answer(group)
	}
	s.config.Log.Info("relay: orders given", zap.Int("orders", len(batch)), zap.Int("answered", answered),
		zap.Duration("took", s.config.Clock.Now().Sub(startedAt)))
}

// collect waits for an answer and returns it with those that arrive within answerDelay, at most
// limit in all.
func (s *Server) collect(answers <-chan tw.RelayedAnswer, limit int) []tw.RelayedAnswer {
	group := []tw.RelayedAnswer{<-answers}
	if limit == 1 {
		return group
	}
	expired := s.config.Clock.After(answerDelay)
	for len(group) < limit {
		select {
		case a := <-answers:
			group = append(group, a)
		case <-expired:
			return group
		}
	}
	return group
}

// admit fills in the spec of an order and counts it as in flight, or returns why it is rejected.
func (s *Server) admit(start *tw.RelayedStart) error {
	if err := s.fillSpec(start); err != nil {
		return err
	}
	if s.inFlight.Add(1) > maxServerInFlight {
		s.inFlight.Add(-1)
		return errors.Wrap(tw.ErrUnavailable, "relay: too many orders")
	}
	return nil
}

// fillSpec fills in the spec of an order that came without one, and stores the spec of any other
// order.
func (s *Server) fillSpec(start *tw.RelayedStart) error {
	id := start.Order.Subtask.Submission
	s.mu.Lock()
	defer s.mu.Unlock()
	if !start.SpecCached {
		s.specs.add(id, start.Order.Spec)
		return nil
	}
	if !s.specs.has(id) {
		return tw.ErrSpecUnknown
	}
	start.Order.Spec = s.specs.texts[id]
	return nil
}

func (s *Server) forward(ctx context.Context, start tw.RelayedStart) (tw.WorkerTime, error) {
	defer s.inFlight.Add(-1)
	s.forwarded.Inc()
	limited, cancel := context.WithTimeout(ctx, min(start.Limit, maxOrderTime))
	defer cancel()
	return s.config.Orders.Start(limited, start.To, start.Order)
}
