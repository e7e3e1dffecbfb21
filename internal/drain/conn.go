package drain

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

type (
	// conn is a connection that closes itself between two requests during a shutdown, in the
	// goroutine that reads it, so that no data is lost after it was read.
	conn struct {
		*net.TCPConn
		server *Server

		mu    sync.Mutex
		phase phase
		// idleSince is when the connection was opened or its last request was answered.
		idleSince time.Time
		// deadline is the read deadline set by http.Server.
		deadline time.Time
		stage    stopStage
	}

	// phase tells whether a connection is between requests, in one, or past the last.
	phase int

	// stopStage is how far a shutdown is, which determines what a connection still waits for.
	stopStage int
)

const (
	idle      phase = iota
	partial         // part of a request was read
	active          // the handler runs a request
	lingering       // further requests get no response
)

const (
	serving         stopStage = iota // no shutdown
	closingIdle                      // connections close after idleTimeout between requests
	refusingPartial                  // connections close unless the handler runs a request
)

const (
	// idleTimeout is how long a connection must be idle before a shutdown closes it. One that
	// is used more often is closed after a response with "Connection: close".
	idleTimeout = 500 * time.Millisecond
	// lingerTimeout bounds how long a connection is read after its last response: closing
	// it with unread data resets it, and the caller may lose that response.
	lingerTimeout   = 500 * time.Millisecond
	refusalResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			return n, c.onRead()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		phase, passed := c.deadlinePassed()
		switch {
		case !passed:
			if err := c.applyDeadline(); err != nil {
				return 0, err
			}
		case phase == idle && c.isStopping():
			return c.readOrShutdown(p)
		case phase == partial && c.server.draining.Load():
			_, _ = io.WriteString(c.TCPConn, refusalResponse) // the caller may be gone
			c.server.log.Info("request: refused", zap.Stringer("caller", c.RemoteAddr()),
				zap.Int("status", http.StatusServiceUnavailable), zap.String("why", "it had not arrived whole in time"))
			return 0, err
		default:
			return 0, err
		}
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.TCPConn.SetReadDeadline(c.effectiveDeadline())
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.server.remove(c)
	switch {
	case !c.server.draining.Load():
	case c.server.aborting.Load():
		c.logCutOff()
	default:
		c.linger()
	}
	return c.TCPConn.Close()
}

// logCutOff logs that the connection is closed before its request was answered.
func (c *conn) logCutOff() {
	c.mu.Lock()
	cutOff, inHandler := c.phase == partial || c.phase == active, c.phase == active
	c.phase = lingering // Close may be called again
	c.mu.Unlock()
	if cutOff {
		c.server.log.Warn("request: cut off", zap.Stringer("caller", c.RemoteAddr()), zap.Bool("in_handler", inHandler))
	}
}

// linger reads until the caller closes the connection too. Errors are left to Close.
func (c *conn) linger() {
	c.mu.Lock()
	c.phase = lingering
	c.mu.Unlock()
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	discarded, err := io.Copy(io.Discard, c.TCPConn)
	if discarded > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.server.log.Info("connection: data after the last response discarded",
			zap.Stringer("caller", c.RemoteAddr()), zap.Int64("bytes", discarded))
	}
}

// setStopStage makes the connection close itself if the stage no longer allows it to wait.
func (c *conn) setStopStage(s stopStage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage = s
	_ = c.TCPConn.SetReadDeadline(c.effectiveDeadline()) // fails only once it is closed
}

func (c *conn) changeState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.phase = active
	case http.StateIdle:
		c.phase, c.idleSince = idle, time.Now()
	}
}

// effectiveDeadline returns the read deadline in effect, or zero. c.mu must be held.
func (c *conn) effectiveDeadline() time.Time {
	switch {
	case c.phase != active && c.stage == refusingPartial:
		return pastDeadline
	case c.phase == idle && c.stage == closingIdle:
		return c.idleSince.Add(idleTimeout)
	default:
		return c.deadline
	}
}

func (c *conn) applyDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.TCPConn.SetReadDeadline(c.effectiveDeadline())
}

// deadlinePassed returns the phase, and whether the deadline in effect has passed. A read may
// time out earlier, as setStopStage and changeState may change the deadline during the read.
func (c *conn) deadlinePassed() (phase, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.effectiveDeadline()
	return c.phase, !t.IsZero() && !time.Now().Before(t)
}

func (c *conn) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stage != serving
}

func (c *conn) onRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle {
		return nil
	}
	c.phase = partial
	if c.stage == serving {
		return nil
	}
	return c.TCPConn.SetReadDeadline(c.effectiveDeadline())
}

// readOrShutdown reads data that has arrived, without waiting. If there is none, it shuts
// down the connection's sending side immediately after the read, so that hardly any request
// arrives between the two steps.
func (c *conn) readOrShutdown(p []byte) (int, error) {
	if err := c.TCPConn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		var failed error
		if n, failed = unix.Read(int(fd), p); failed != nil || n == 0 {
			n = 0
			_ = unix.Shutdown(int(fd), unix.SHUT_WR) // errors are left to Close
		}
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, c.onRead()
}
