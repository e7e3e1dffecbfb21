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

// A connection that is closed while its bytes are held up went on sending them: an order to
// a machine that its manager had given up reached the platform after the next manager's
// orders, when a cut had ended, and so one machine had two holders in turn. What is given up
// must not arrive any more, so such a connection is reset.
func TestCloseDropsWhatIsHeldUp(t *testing.T) {
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
	// The server does not read, as if a cut held the bytes up, until no more fit.
	g.Expect(conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
	_, err = conn.Write(make([]byte, 64<<20))
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	g.Expect(conn.Close()).To(Succeed())
	time.Sleep(100 * time.Millisecond)
	g.Expect(server.SetReadDeadline(time.Now().Add(2 * time.Second))).To(Succeed())
	_, err = io.Copy(io.Discard, server)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}
