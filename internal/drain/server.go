// Package drain stops HTTP servers without cutting off requests.
//
// http.Server.Shutdown drops a request that it has read but not passed to the handler, closes
// a keep-alive connection while a request is on its way, and resets the connections that are
// still in the listener's backlog. The caller can't know whether such a request was executed.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

type (
	// Config configures a Server.
	Config struct {
		// HTTP is the server to stop. New replaces its handler and its ConnState hook.
		HTTP *http.Server
		// Log receives how a shutdown went and which requests it did not answer; nil for no log.
		Log *zap.Logger
		// SetOption calls set, which sets an option of the listener's socket, or returns an error in its
		// place; nil to call it. With it tests refuse options, as systems may do.
		SetOption func(option string, set func() error) error
	}

	// Server is an HTTP/1 server, or an HTTP/2 server without TLS, that can be stopped
	// without cutting off requests.
	Server struct {
		http      *http.Server
		log       *zap.Logger
		setOption func(option string, set func() error) error
		draining  atomic.Bool
		aborting  atomic.Bool
		accepted  atomic.Int64 // number of connections accepted so far
		mu        sync.Mutex
		conns     map[*conn]struct{}
		listener  *listener
		// changed is closed and replaced when a connection is closed.
		changed chan struct{}
		// started is closed once Serve has set listener, done when Serve returns.
		started chan struct{}
		done    chan struct{}
	}
)

const (
	// abortTimeout is how long Serve has to begin, and then connections to refuse requests that
	// have arrived in part, after the time for the shutdown has passed.
	abortTimeout = 100 * time.Millisecond
)

// New returns a server that does not listen yet.
func (c Config) New() *Server {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.SetOption == nil {
		c.SetOption = func(_ string, set func() error) error { return set() }
	}
	s := &Server{
		http: c.HTTP, log: c.Log, setOption: c.SetOption, conns: map[*conn]struct{}{}, changed: make(chan struct{}),
		started: make(chan struct{}), done: make(chan struct{}),
	}
	handler := c.HTTP.Handler
	c.HTTP.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	c.HTTP.ConnState = func(rw net.Conn, state http.ConnState) {
		if c, ok := rw.(*conn); ok {
			c.changeState(state)
		}
	}
	return s
}

// Serve serves until Shutdown or Close and then returns http.ErrServerClosed. It must be called
// once, also if Shutdown may be called first.
func (s *Server) Serve(l *net.TCPListener) error {
	defer close(s.done)
	accepting := &listener{TCPListener: l, server: s}
	s.mu.Lock()
	s.listener = accepting
	s.mu.Unlock()
	close(s.started)
	return s.http.Serve(accepting)
}

// StartDrain adds "Connection: close" to each response from now on, so that callers send
// their next requests on other connections.
func (s *Server) StartDrain() { s.draining.Store(true) }

// Shutdown stops listening, closes connections as they become idle, and returns once all are
// closed. If ctx ends first, it refuses requests that have arrived in part, and cuts off
// the others. It waits for Serve to begin, as requests may already be in the listener's backlog, for
// up to abortTimeout after ctx has ended.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StartDrain()
	err := s.stopListening(ctx)
	if s.http.Protocols != nil && s.http.Protocols.UnencryptedHTTP2() {
		// http.Server.Shutdown sends GOAWAY, which cuts off no HTTP/2 request.
		return errors.CombineErrors(err, s.http.Shutdown(ctx))
	}
	s.stopConns(closingIdle)
	if !s.waitClosed(ctx) {
		s.stopConns(refusingPartial)
		refusing, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
		defer cancel()
		s.waitClosed(refusing)
		err = errors.CombineErrors(err, ctx.Err())
	}
	return errors.CombineErrors(err, s.Close())
}

// Close closes all connections immediately.
func (s *Server) Close() error {
	s.aborting.Store(true)
	return s.http.Close()
}

// stopListening returns when the last connection has been accepted, also if ctx has ended, or when
// Serve does not begin in time.
func (s *Server) stopListening(ctx context.Context) error {
	began, acceptedBefore := time.Now(), s.accepted.Load()
	if !s.awaitServe(ctx) {
		return errors.Wrap(ctx.Err(), "drain.Server.Shutdown: not serving yet")
	}
	waited := time.Since(began)
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	err := l.stop(ctx)
	<-s.done
	fields := []zap.Field{
		zap.Stringer("address", l.Addr()), zap.Duration("waited_for_serve", waited),
		zap.Int64("accepted", s.accepted.Load()-acceptedBefore), zap.Duration("took", time.Since(began)),
		zap.String("new_connections", string(l.newConns)),
	}
	if !l.lastAccepted.IsZero() {
		fields = append(fields, zap.Duration("last_accepted_ago", time.Since(l.lastAccepted)))
	}
	s.log.Info("daemon: listener stopped", fields...)
	return err
}

// awaitServe reports whether Serve began before ctx ended or within abortTimeout after that: when a
// process goes on that was held up, ctx may end before the goroutine of Serve runs.
func (s *Server) awaitServe(ctx context.Context) bool {
	select {
	case <-s.started:
		return true
	case <-ctx.Done():
	}
	timeout := time.NewTimer(abortTimeout)
	defer timeout.Stop()
	select {
	case <-s.started:
		return true
	case <-timeout.C:
		return false
	}
}

func (s *Server) add(c *conn) {
	s.accepted.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.conns[c]; !open {
		return
	}
	delete(s.conns, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) stopConns(stage stopStage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.setStopStage(stage)
	}
}

// waitClosed reports whether all connections were closed before ctx ended.
func (s *Server) waitClosed(ctx context.Context) bool {
	for {
		s.mu.Lock()
		open, changed := len(s.conns), s.changed
		s.mu.Unlock()
		if open == 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
