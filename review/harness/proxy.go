package main

import (
	"net"
	"sync"
)

// proxy forwards connections to the store, and can silence the open ones for good: nothing passes any
// more and neither side sees a close, while new connections work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through the proxy.
type link struct {
	in, out net.Conn
	silent  bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, links: map[*link]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
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
		go p.forward(l, in, out)
		go p.forward(l, out, in)
	}
}

// forward copies one direction until either side closes.
func (p *proxy) forward(l *link, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.isSilent(l) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				p.drop(l)
				return
			}
		}
		if err != nil {
			p.drop(l)
			return
		}
	}
}

func (p *proxy) isSilent(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.silent
}

// drop closes both sides of a link, unless it is silent.
func (p *proxy) drop(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.silent {
		return
	}
	_ = l.in.Close()
	_ = l.out.Close()
	delete(p.links, l)
}

// silence silences the open connections and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for l := range p.links {
		if !l.silent {
			l.silent = true
			n++
		}
	}
	return n
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for l := range p.links {
		_ = l.in.Close()
		_ = l.out.Close()
	}
}
