package drain

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// listener accepts the connections in its backlog before it is closed.
type listener struct {
	*net.TCPListener
	server *Server
	// stopping is set after newConns and busyUntil.
	stopping atomic.Bool
	newConns newConns
	// busyUntil is until when a listener that can't block further connections waits for a pause
	// between them.
	busyUntil time.Time
	// lastAccepted is when the last connection was accepted, or zero.
	lastAccepted time.Time
}

const (
	// handshakeTimeout allows a connection that is being opened to complete, which takes a
	// round trip.
	handshakeTimeout = 20 * time.Millisecond
	// busyTimeout bounds how long a listener that can't block further connections waits for a
	// pause between them.
	busyTimeout = 250 * time.Millisecond
)

// Listen opens a listener that can block further connections. Go's default, a listener for
// multipath TCP, can't.
func Listen(address string) (*net.TCPListener, error) {
	config := net.ListenConfig{}
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "drain.Listen")
	}
	return l.(*net.TCPListener), nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		switch {
		case err == nil:
			l.lastAccepted = time.Now()
			c := &conn{TCPConn: tcp, server: l.server, idleSince: l.lastAccepted}
			l.server.add(c)
			return c, nil
		case !l.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case l.mayClose() && l.closeIfEmpty():
			return nil, http.ErrServerClosed
		}
		if err := l.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
			return nil, err
		}
	}
}

// stop makes Accept return http.ErrServerClosed once the backlog is empty.
func (l *listener) stop(ctx context.Context) error {
	l.newConns = l.blockNew()
	l.busyUntil = time.Now().Add(busyTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(l.busyUntil) {
		l.busyUntil = deadline
	}
	l.stopping.Store(true)
	return errors.Wrap(l.SetDeadline(time.Now().Add(handshakeTimeout)), "drain.listener.stop")
}

// mayClose reports whether hardly any connection is being opened: closing the listener resets it.
func (l *listener) mayClose() bool {
	now := time.Now()
	return l.newConns != newAccepted || now.Sub(l.lastAccepted) >= handshakeTimeout || now.After(l.busyUntil)
}

// closeIfEmpty ends the listening if the backlog is empty, immediately after looking, so that
// hardly any connection arrives between the two steps.
func (l *listener) closeIfEmpty() (closed bool) {
	err := l.control(func(fd int) error {
		ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		if err != nil || ready > 0 {
			return err
		}
		closed = true
		return unix.Shutdown(fd, unix.SHUT_RDWR)
	})
	return closed || err != nil && !errors.Is(err, unix.EINTR)
}

func (l *listener) control(do func(fd int) error) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "drain.listener.control")
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = do(int(fd)) })
	return errors.Wrap(errors.CombineErrors(err, failed), "drain.listener.control")
}
