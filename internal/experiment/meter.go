package experiment

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// meter counts the bytes of connections in both directions.
type meter struct{ bytes atomic.Int64 }

type meteredConn struct {
	net.Conn
	meter *meter
}

type meteredListener struct {
	net.Listener
	meter *meter
}

// Read implements net.Conn and counts the bytes read.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes written.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// Accept implements net.Listener and meters the connection.
func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{conn, l.meter}, nil
}

func (m *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return meteredConn{conn, m}, nil
}

// processCPUTime returns the CPU time used by this process.
func processCPUTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
