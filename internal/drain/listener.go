package drain

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// listener accepts the connections in its backlog before it is closed.
type listener struct {
	*net.TCPListener
	server   *Server
	stopping atomic.Bool
}

const (
	// handshakeTimeout allows a connection that is being opened to complete, which takes a
	// round trip.
	handshakeTimeout = 20 * time.Millisecond
	// flagsOffset is the offset of the flags in a TCP header, in bytes.
	flagsOffset = 13
	flagSYN     = 0x02
)

// Listen opens a listener that can drop SYN packets. Go's default, a listener for
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
			c := &conn{TCPConn: tcp, server: l.server, idleSince: time.Now()}
			l.server.add(c)
			return c, nil
		case !l.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case !l.hasPending():
			return nil, http.ErrServerClosed
		}
		if err := l.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
			return nil, err
		}
	}
}

// stop makes Accept return http.ErrServerClosed once the backlog is empty.
func (l *listener) stop() error {
	err := l.dropNew()
	l.stopping.Store(true)
	return errors.CombineErrors(err, l.SetDeadline(time.Now().Add(handshakeTimeout)))
}

// hasPending reports whether the backlog holds a connection.
func (l *listener) hasPending() bool {
	ready := 0
	err := l.control(func(fd int) error {
		var err error
		ready, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		return err
	})
	return err == nil && ready > 0
}

// dropNew drops the SYN packets of further connections. The callers retransmit them and are
// refused then, as the listener is closed by that time.
func (l *listener) dropNew() error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: flagsOffset, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: flagSYN, SkipFalse: 1},
		bpf.RetConstant{Val: 0},
		bpf.RetConstant{Val: 1 << 16},
	})
	if err != nil {
		return errors.Wrap(err, "drain.listener.dropNew")
	}
	filter := make([]unix.SockFilter, len(program))
	for n, i := range program {
		filter[n] = unix.SockFilter{Code: i.Op, Jt: i.Jt, Jf: i.Jf, K: i.K}
	}
	return l.control(func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
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
