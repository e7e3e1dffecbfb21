package e2e

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// linkFault is what a proxy does to what passes.
type linkFault int

const (
	linkHealthy linkFault = iota
	linkSlow              // each read waits for linkDelay
	linkSilent            // nothing passes in either direction
	linkOneWay            // requests pass, answers do not
	linkReset             // connections are reset
)

const (
	// linkDelay is how long a slow link holds each read.
	linkDelay = 120 * time.Millisecond
	// linkPollInterval is the pace at which a silenced direction looks whether it is
	// healed.
	linkPollInterval = 20 * time.Millisecond
)

type (
	// proxy passes TCP connections on over loopback and misbehaves on demand.
	proxy struct {
		listener net.Listener
		target   string

		mu     sync.Mutex
		fault  linkFault
		links  map[*link]bool // those open
		closed bool
	}

	// link is one connection through a proxy.
	link struct {
		in, out net.Conn
		// silent links pass nothing any more, neither bytes nor their end. Only the
		// end of the proxy closes them.
		silent bool
	}
)

// newProxy starts a proxy to an address; it ends with the test.
func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{listener: l, target: target, links: map[*link]bool{}}
	go p.accept()
	DeferCleanup(p.close)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes what the proxy does; a reset ends the present connections, but for
// those that are silent for good.
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

// silence makes the present connections silent for good, also once the proxy is
// sound again; those that come later pass. It returns how many these are.
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

// reset ends both sides so that their peers see a reset.
func (l *link) reset() {
	for _, c := range []net.Conn{l.in, l.out} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// currentFault is what the proxy does at present.
func (p *proxy) currentFault() (fault linkFault, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.closed
}

// accept serves connections until the listener closes.
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

// forward copies one direction until either end closes; answers tells whether it
// is the direction from the target.
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

// closeLink closes a link one of whose peers has closed it. The other one must not learn
// that of a silent link.
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

// applyFault delays what passes as the fault says; false if the proxy has ended.
func (p *proxy) applyFault(answers bool) bool {
	for {
		fault, ended := p.currentFault()
		switch {
		case ended:
			return false
		case fault == linkSlow:
			time.Sleep(linkDelay)
			return true
		case fault == linkSilent, fault == linkOneWay && answers:
			time.Sleep(linkPollInterval)
		default:
			return true
		}
	}
}

// roundTrip sends a byte and waits for a while for one that comes back.
func roundTrip(c net.Conn) error {
	Expect(c.SetDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

var _ = Describe("a proxy", func() {
	It("silences the connections of one moment for good, and no others", func() {
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
				go func() { _, _ = io.Copy(c, c) }() // until the test ends it
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
