package gateway

import (
	"context"
	"net"
	"sync"
	"time"
)

// trackedConn knows whether a byte was handed to the kernel. Sealing it shuts
// the race between that question and a late write.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	sealed bool
	writes uint64
}

// Write counts before it writes: a write that failed may have sent a part.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// writeCount tells how many writes were begun.
func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids any further write and tells how many were begun.
func (c *trackedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// trackedDial dials connections that know what was written to them.
func trackedDial(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}
