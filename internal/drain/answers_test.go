package drain_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// answeredRequests are requests of which a part has arrived when stop is called.
var answeredRequests = map[string]func(r *testServer, stop func()){
	"a request half sent on a new connection": func(r *testServer, stop func()) {
		c := r.dial()
		c.send(request[:len(request)/2])
		stop()
		c.send(request[len(request)/2:])
		c.expectLast("3")
	},
	"a request half sent on a keep-alive connection": func(r *testServer, stop func()) {
		c := r.dial()
		c.send(request)
		c.readResponse()
		c.send(request[:len(request)/2])
		stop()
		c.send(request[len(request)/2:])
		c.expectLast("3")
	},
	"a request on a connection opened just before": func(r *testServer, stop func()) {
		c := r.dial()
		stop()
		c.send(request)
		c.expectLast("3")
	},
	"a request on a connection used just before": func(r *testServer, stop func()) {
		c := r.dial()
		c.send(request)
		c.readResponse()
		stop()
		c.send(request)
		c.expectLast("3")
	},
	"a request on a connection that is not accepted yet": func(r *testServer, stop func()) {
		blocked, release := make(chan struct{}), make(chan struct{})
		wait := func() { blocked <- struct{}{}; <-release }
		r.afterAccept.Store(&wait)
		r.dial()
		<-blocked
		r.afterAccept.Store(nil)
		c := r.dial()
		c.send(request)
		stop()
		close(release)
		c.expectLast("3")
	},
	"a large body that is being sent": func(r *testServer, stop func()) {
		body := strings.Repeat("x", 1<<20)
		c := r.dial()
		c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body)))
		c.send(body[:len(body)/2])
		stop()
		c.send(body[len(body)/2:])
		c.expectResponse(fmt.Sprint(len(body)))
		_, err := c.responses.ReadByte()
		r.Expect(err).To(MatchError(io.EOF))
	},
	"pipelined requests up to the last response": func(r *testServer, stop func()) {
		c := r.dial()
		held := strings.Replace(request, "/", "/held", 1)
		c.send(held + request + request + strings.Repeat("x", 1<<16))
		<-r.held
		stop()
		close(r.release)
		c.expectResponse("3")
		c.expectLast("3")
		r.Expect(r.ran.Load()).To(BeEquivalentTo(2))
	},
}

// A shutdown must answer each request of which a part has arrived. http.Server.Shutdown cuts
// off all of them except those that the handler has started.
func TestShutdownAnswers(t *testing.T) {
	for name, scenario := range answeredRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectAnswered(t, scenario)
		})
	}
}

// expectAnswered runs a scenario on a server whose system refuses some socket options.
func expectAnswered(t *testing.T, scenario func(r *testServer, stop func()), refused ...string) {
	t.Helper()
	r := newTestServer(t, nil, refused...)
	var ended <-chan error
	scenario(r, func() {
		ended = r.shutdown(stopTime)
		time.Sleep(settleTime)
	})
	r.Eventually(ended, stopTime).Should(Receive(BeNil()))
	_, err := net.Dial("tcp", r.address)
	r.Expect(err).To(MatchError(syscall.ECONNREFUSED))
}
