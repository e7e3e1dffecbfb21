package gateway

import (
	"context"
	"net"
	"sync"
	"time"
)

// trackedConn counts the writes to a connection. Sealing it prevents a write
// from starting after the count was read.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	sealed bool
	writes uint64
}

// Write counts the write before it starts, as a failed write may have sent a
// part.
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

// writeCount returns how many writes were started.
func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal prevents further writes and returns how many were started.
func (c *trackedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// trackedDial returns a dial function whose connections count their writes.
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
