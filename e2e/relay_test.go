package e2e

import (
	"io"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// relay forwards TCP connections from a hall to the platform. It can cut them all and refuse
// new ones.
type relay struct {
	address string
	target  string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newRelay(target string) *relay {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	r := &relay{address: listener.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forward(conn)
		}
	}()
	return r
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for conn := range r.conns {
		conn.Close()
	}
}

func (r *relay) forward(in net.Conn) {
	defer in.Close()
	if !r.add(in) {
		return
	}
	defer r.remove(in)
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	var copies sync.WaitGroup
	copies.Go(func() { _, _ = io.Copy(out, in); out.Close() }) // either side may close first
	copies.Go(func() { _, _ = io.Copy(in, out); in.Close() })
	copies.Wait()
}

func (r *relay) add(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.cut {
		r.conns[conn] = true
	}
	return !r.cut
}

func (r *relay) remove(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}
