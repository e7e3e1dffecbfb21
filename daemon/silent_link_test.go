package daemon

import (
	"bytes"
	"net"
	"sync"
	"testing"
)

// silentDirections are the directions in which a connection carries nothing any more.
type silentDirections struct{ requests, answers bool }

// silentLink forwards connections to a server. Those that are open when it goes silent stay open and
// carry nothing any more in some directions; later ones work.
type silentLink struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*linkedConn]bool
	// trigger is a part of the request with which the link goes silent; nil for none.
	trigger []byte
	next    silentDirections
	// struck is the number of connections that went silent.
	struck int
}

// linkedConn is a connection through a silentLink.
type linkedConn struct {
	client, server net.Conn
	silent         silentDirections
}

// newSilentLink starts a link to an address. It ends before the servers that were started earlier.
func newSilentLink(t *testing.T, target string) *silentLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &silentLink{listener: listener, target: target, conns: map[*linkedConn]bool{}}
	var forwarding sync.WaitGroup
	forwarding.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			c := &linkedConn{client: client, server: server}
			l.mu.Lock()
			l.conns[c] = true
			l.mu.Unlock()
			forwarding.Go(func() { l.forward(c, true) })
			forwarding.Go(func() { l.forward(c, false) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		l.mu.Lock()
		for c := range l.conns {
			c.close()
		}
		l.mu.Unlock()
		forwarding.Wait()
	})
	return l
}

func (l *silentLink) address() string { return l.listener.Addr().String() }

// silenceAt makes the open connections go silent when the next request comes that contains path,
// before any of it is forwarded.
func (l *silentLink) silenceAt(path string, directions silentDirections) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trigger, l.next = []byte(path), directions
}

// struckCount returns the number of connections that went silent.
func (l *silentLink) struckCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.struck
}

// forward copies one direction of a connection until either side closes it. The other side of a silent
// one does not learn of that.
func (l *silentLink) forward(c *linkedConn, requests bool) {
	from, to := c.server, c.client
	if requests {
		from, to = c.client, c.server
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		silent := l.isSilent(c, requests, buffer[:n])
		if err == nil && !silent {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			l.drop(c)
			return
		}
	}
}

// isSilent reports whether data is dropped.
func (l *silentLink) isSilent(c *linkedConn, requests bool, data []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if requests && l.trigger != nil && bytes.Contains(data, l.trigger) {
		l.trigger = nil
		for open := range l.conns {
			open.silent = l.next
			l.struck++
		}
	}
	if requests {
		return c.silent.requests
	}
	return c.silent.answers
}

// drop closes a connection of which one side has closed its end, unless it is silent.
func (l *silentLink) drop(c *linkedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.silent == (silentDirections{}) {
		c.close()
		delete(l.conns, c)
	}
}

func (c *linkedConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}
