// Package tcp provides a dialer whose connections detect a peer that has become
// unreachable without closing the connection.
package tcp

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DialTimeout is above the 2 ms or so of a dial within a region, and above the
	// second after which a dropped SYN packet is retransmitted.
	DialTimeout = 1200 * time.Millisecond
	// unackedTimeout closes a connection whose data is not acknowledged, as during
	// a network partition. A round trip takes about 2 ms.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount detect a dead idle connection
	// within 4 s.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeoutOption is TCP_USER_TIMEOUT of linux/tcp.h, in ms.
	userTimeoutOption = 18
)

// NewDialer returns a dialer with short timeouts. Closing one of its connections resets it,
// so that unsent data of an abandoned call never arrives.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setSocketOptions,
	}
}

// setSocketOptions limits how long sent data may stay unacknowledged, and makes closing the
// connection discard it.
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

// Refused reports whether an error shows that no process listens at the address.
func Refused(err error) bool {
	return NotConnected(err) && errors.Is(err, syscall.ECONNREFUSED)
}

// NotConnected reports whether an error proves that no connection was made, so
// that nothing was sent.
func NotConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
