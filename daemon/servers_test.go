package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/drain"
)

// listenAddress is on a host where no other test listens, as one could get a port that is free again.
const listenAddress = "127.0.0.2:0"

// A daemon that can't open all of its listeners must not reset the connections in the backlogs of
// those that are open: their callers could not know whether their requests have run.
func TestCloseListenersRefusesBacklog(t *testing.T) {
	g := NewWithT(t)
	l, err := drain.Listen(listenAddress)
	g.Expect(err).NotTo(HaveOccurred())
	conn, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	g.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc")
	g.Expect(err).NotTo(HaveOccurred())
	idle, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer idle.Close()
	closed := make(chan error, 1)
	go func() { closed <- closeListeners([]*net.TCPListener{l}, agecheck.Logger(t)) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get("Retry-After")).To(Equal("1"))
	g.Eventually(closed, 2*refuseTimeout).Should(Receive(BeNil()))
	_, err = net.Dial("tcp", l.Addr().String())
	g.Expect(err).To(HaveOccurred())
}

// The listeners that are open are closed if another one can't be opened.
func TestListenAllClosesOthers(t *testing.T) {
	g := NewWithT(t)
	taken, err := drain.Listen(listenAddress)
	g.Expect(err).NotTo(HaveOccurred())
	defer taken.Close()
	free, err := drain.Listen(listenAddress)
	g.Expect(err).NotTo(HaveOccurred())
	freed := free.Addr().String()
	g.Expect(free.Close()).To(Succeed())
	_, err = listenAll(agecheck.Logger(t), freed, taken.Addr().String())
	g.Expect(err).To(MatchError(ContainSubstring("address already in use")))
	_, err = net.Dial("tcp", freed)
	g.Expect(err).To(HaveOccurred())
}
