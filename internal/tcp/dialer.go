// Package tcp makes dialers whose connections notice a peer that is gone
// without a word.
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DialTimeout is above a dial within a region of about 2 ms, and above the
	// second after which a dropped opening
	// packet is sent again.
	DialTimeout = 1200 * time.Millisecond
	// unackedTimeout closes a connection whose bytes nobody acknowledges, as
	// behind a silent cut. A round trip takes about 2 ms.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find a dead idle connection
	// within 4 s.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeoutOption is TCP_USER_TIMEOUT of linux/tcp.h, in ms.
	userTimeoutOption = 18
)

// NewDialer makes a dialer with short time limits. Its connections are reset when they are
// closed, so that what is given up while it is held up never arrives.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setSocketOptions,
	}
}

// setSocketOptions bounds how long sent bytes may stay unacknowledged, and has them dropped when the
// connection is closed.
func setSocketOptions(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = errors.CombineErrors(
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeoutOption, int(unackedTimeout.Milliseconds())),
			syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1, Linger: 0}),
		)
	})
	return errors.CombineErrors(err, failed)
}

// Refused tells whether an error says that nobody listens at the address.
func Refused(err error) bool {
	return NotConnected(err) && errors.Is(err, syscall.ECONNREFUSED)
}

// NotConnected tells whether an error proves that no connection was made, so
// that nothing was sent.
func NotConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
