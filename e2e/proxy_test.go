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
	linkSound  linkFault = iota
	linkSlow             // each read waits for linkDelay
	linkSilent           // nothing passes in either direction
	linkOneWay           // requests pass, answers do not
	linkReset            // connections are reset
)

const (
	// linkDelay is how long a slow link holds each read.
	linkDelay = 120 * time.Millisecond
	// linkPoll is the pace at which a silenced direction looks whether it is
	// healed.
	linkPoll = 20 * time.Millisecond
)

// proxy passes TCP connections on over loopback and misbehaves on demand.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]bool // those open on either side
	ended bool
}

// newProxy starts a proxy to an address; it ends with the test.
func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	DeferCleanup(p.close)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes what the proxy does; a reset ends the present connections.
func (p *proxy) set(fault linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault == linkReset {
		p.endAll()
	}
}

// endAll resets all connections. The caller holds the lock.
func (p *proxy) endAll() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // so that the peer sees a reset
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.endAll()
	_ = p.listener.Close()
}

// now is what the proxy does at present.
func (p *proxy) now() (fault linkFault, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.ended
}

// accept serves connections until the listener closes.
func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if fault, _ := p.now(); fault == linkReset {
			_ = in.(*net.TCPConn).SetLinger(0)
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.pass(in, out, false)
		go p.pass(out, in, true)
	}
}

// pass copies one direction until either end closes; answers tells whether it
// is the direction from the target.
func (p *proxy) pass(from, to net.Conn, answers bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err == nil && !p.hold(answers) {
			err = io.EOF
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// hold delays what passes as the fault says; false if the proxy has ended.
func (p *proxy) hold(answers bool) bool {
	for {
		fault, ended := p.now()
		switch {
		case ended:
			return false
		case fault == linkSlow:
			time.Sleep(linkDelay)
			return true
		case fault == linkSilent, fault == linkOneWay && answers:
			time.Sleep(linkPoll)
		default:
			return true
		}
	}
}
