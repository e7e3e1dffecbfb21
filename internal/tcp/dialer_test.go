package tcp_test

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tamarindworks/tamarindworks/internal/tcp"
)

// Closing a connection must discard its unsent data. Without a reset the kernel continues to
// send it: after a network partition, an order that a machine manager had given up reached
// the platform after the orders of the next manager, and the machine had two holders in turn.
func TestCloseDiscardsUnsentData(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	conn, err := tcp.NewDialer().DialContext(ctx, "tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	server := <-accepted
	defer server.Close()
	// The server does not read, so that the buffers fill up as in a partition.
	g.Expect(conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
	_, err = conn.Write(make([]byte, 64<<20))
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	g.Expect(conn.Close()).To(Succeed())
	time.Sleep(100 * time.Millisecond)
	g.Expect(server.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	_, err = io.Copy(io.Discard, server)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}
