package e2e

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// linkFault is the fault that a proxy applies to its connections.
type linkFault int

const (
	linkHealthy linkFault = iota
	linkSlow              // each read is delayed by linkDelay
	linkBlocked           // no data is forwarded in either direction
	linkOneWay            // requests are forwarded, answers are not
	linkReset             // connections are reset
)

const (
	// linkDelay is the delay of each read on a slow link.
	linkDelay = 120 * time.Millisecond
	// linkPollInterval is how often a blocked direction checks whether the fault has ended.
	linkPollInterval = 20 * time.Millisecond
)

type (
	// proxy forwards TCP connections over loopback and injects faults.
	proxy struct {
		listener net.Listener
		target   string

		mu     sync.Mutex
		fault  linkFault
		links  map[*link]bool // open links
		closed bool
	}

	// link is one connection through a proxy.
	link struct {
		in, out net.Conn
		// silent is set once the link forwards neither data nor the close of either side.
		// Only closing the proxy closes such a link.
		silent bool
	}
)

// newProxy starts a proxy to an address. It is closed at the end of the test.
func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{listener: l, target: target, links: map[*link]bool{}}
	go p.accept()
	DeferCleanup(p.close)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the fault of the proxy. linkReset resets the open connections, except those
// silenced permanently.
func (p *proxy) set(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault != linkReset {
		return
	}
	for l := range p.links {
		if !l.silent {
			l.reset()
		}
	}
}

// silence permanently silences the open connections, whatever fault is set later. New
// connections are not affected. It returns the number of connections newly silenced.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for l := range p.links {
		if !l.silent {
			l.silent = true
			count++
		}
	}
	return count
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for l := range p.links {
		l.reset()
	}
	_ = p.listener.Close()
}

// reset closes both sides so that their peers see a TCP reset.
func (l *link) reset() {
	for _, c := range []net.Conn{l.in, l.out} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// currentFault returns the fault in effect and whether the proxy is closed.
func (p *proxy) currentFault() (fault linkFault, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.closed
}

// accept accepts and forwards connections until the listener is closed.
func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if fault, _ := p.currentFault(); fault == linkReset {
			_ = in.(*net.TCPConn).SetLinger(0)
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		l := &link{in: in, out: out}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		go p.forward(l, in, out, false)
		go p.forward(l, out, in, true)
	}
}

// forward copies one direction until either side closes. answers is true for the direction
// from the target.
func (p *proxy) forward(l *link, from, to net.Conn, answers bool) {
	defer p.closeLink(l)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err == nil && !p.applyFault(answers) {
			err = io.EOF
		}
		if err != nil {
			return
		}
		if p.isSilent(l) {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// closeLink closes both sides of a link after one peer has closed it. A silent link stays
// open, so that the other peer does not see the close.
func (p *proxy) closeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.silent && !p.closed {
		return
	}
	_ = l.in.Close()
	_ = l.out.Close()
	delete(p.links, l)
}

func (p *proxy) isSilent(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.silent
}

// applyFault delays or blocks one direction according to the current fault. It returns false
// once the proxy is closed.
func (p *proxy) applyFault(answers bool) bool {
	for {
		fault, closed := p.currentFault()
		switch {
		case closed:
			return false
		case fault == linkSlow:
			time.Sleep(linkDelay)
			return true
		case fault == linkBlocked, fault == linkOneWay && answers:
			time.Sleep(linkPollInterval)
		default:
			return true
		}
	}
}

// roundTrip sends a byte and waits up to 100 ms for a byte in return.
func roundTrip(c net.Conn) error {
	Expect(c.SetDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

var _ = Describe("a proxy", func() {
	It("permanently silences the open connections and no later ones", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		served := make(chan net.Conn, 2)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				served <- c
				go func() { _, _ = io.Copy(c, c) }() // ends when the test closes the connection
			}
		}()
		p := newProxy(l.Addr().String())
		dial := func() net.Conn {
			c, err := net.Dial("tcp", p.address())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			return c
		}
		old := dial()
		Expect(roundTrip(old)).To(Succeed())
		Expect(p.silence()).To(Equal(1))
		fresh := dial()
		Expect(roundTrip(fresh)).To(Succeed())
		p.set(linkReset)
		p.set(linkHealthy)
		Expect(roundTrip(fresh)).NotTo(Succeed())
		Expect(roundTrip(old)).To(MatchError(ContainSubstring("i/o timeout")))
		Expect((<-served).Close()).To(Succeed())
		Expect(roundTrip(old)).To(MatchError(ContainSubstring("i/o timeout")))
		Expect(p.silence()).To(BeZero())
	})
})
