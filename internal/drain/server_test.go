package drain_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/tamarindworks/tamarindworks/internal/drain"
)

type (
	// testServer is a server whose handler counts its requests and responds with the size of the body.
	testServer struct {
		*WithT
		server  *drain.Server
		address string
		ran     atomic.Int64
		logs    *observer.ObservedLogs
		// afterAccept is called for each accepted connection; no other one is accepted until
		// it returns.
		afterAccept atomic.Pointer[func()]
		// release blocks requests for /held in the handler until it is closed; held receives a
		// value for each of them.
		release chan struct{}
		held    chan struct{}
	}

	// caller is a connection with a reader of its responses.
	caller struct {
		*testServer
		net.Conn
		responses *bufio.Reader
	}
)

// serverCount is the number of addresses returned by freeHost.
var serverCount atomic.Int64

const (
	// stopTime bounds each shutdown.
	stopTime = 3 * time.Second
	// settleTime is enough for a shutdown to close the listener and the idle connections.
	settleTime = 100 * time.Millisecond
	request    = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
)

// newTestServer returns a server whose system refuses some socket options.
func newTestServer(t *testing.T, protocols *http.Protocols, refused ...string) *testServer {
	t.Helper()
	r, l := newIdleServer(t, protocols, refused...)
	r.serve(t, l)
	return r
}

// freeHost returns a loopback address that no other server of this process or of others beside it
// has. A caller whose SYN packet was dropped sends it again after 1 s, and would reach another
// server that has got the same port meanwhile.
func freeHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8%64, pid%256, 1+serverCount.Add(1)%250)
}

// newIdleServer returns a server that listens but does not serve yet.
func newIdleServer(t *testing.T, protocols *http.Protocols, refused ...string) (*testServer, *net.TCPListener) {
	t.Helper()
	r := &testServer{WithT: NewWithT(t), release: make(chan struct{}), held: make(chan struct{}, 100)}
	core, logs := observer.New(zap.InfoLevel)
	r.logs = logs
	l, err := drain.Listen(freeHost() + ":0")
	r.Expect(err).NotTo(HaveOccurred())
	r.address = l.Addr().String()
	handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.ran.Add(1)
		n, err := io.Copy(io.Discard, req.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if req.URL.Path == "/held" {
			r.held <- struct{}{}
			<-r.release
		}
		fmt.Fprint(w, n)
	})
	r.server = drain.Config{Log: zap.New(core), SetOption: refuseOptions(refused), HTTP: &http.Server{
		Handler: handler, Protocols: protocols, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			if wait := r.afterAccept.Load(); wait != nil {
				(*wait)()
			}
			return ctx
		},
	}}.New()
	return r, l
}

// serve serves until the test ends.
func (r *testServer) serve(t *testing.T, l *net.TCPListener) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- r.server.Serve(l) }()
	t.Cleanup(func() {
		r.Expect(r.server.Close()).To(Succeed())
		r.Eventually(ended).Should(Receive(MatchError(http.ErrServerClosed)))
	})
}

// shutdown starts a shutdown; the channel receives its result.
func (r *testServer) shutdown(within time.Duration) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		ended <- r.server.Shutdown(ctx)
	}()
	return ended
}

func (r *testServer) dial() *caller {
	conn, err := net.Dial("tcp", r.address)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(conn.SetDeadline(time.Now().Add(2 * stopTime))).To(Succeed())
	return &caller{testServer: r, Conn: conn, responses: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	_, err := io.WriteString(c.Conn, text)
	c.Expect(err).NotTo(HaveOccurred())
}

// readResponse reads one response.
func (c *caller) readResponse() (*http.Response, string) {
	resp, err := http.ReadResponse(c.responses, nil)
	c.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	c.Expect(err).NotTo(HaveOccurred())
	return resp, string(body)
}

// expectResponse reads a response of the handler and returns whether it closes the connection.
func (c *caller) expectResponse(body string) (last bool) {
	resp, got := c.readResponse()
	c.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	c.Expect(got).To(Equal(body))
	return resp.Close
}

// expectLast reads a response that closes the connection, and the end of the connection.
func (c *caller) expectLast(body string) {
	c.Expect(c.expectResponse(body)).To(BeTrue())
	_, err := c.responses.ReadByte()
	c.Expect(err).To(MatchError(io.EOF))
}

// A shutdown that begins before Serve must answer the requests in the listener's backlog.
func TestShutdownBeforeServe(t *testing.T) {
	r, l := newIdleServer(t, nil)
	c := r.dial()
	c.send(request)
	ended := r.shutdown(stopTime)
	r.Consistently(ended, settleTime).ShouldNot(Receive())
	r.serve(t, l)
	c.expectLast("3")
	r.Eventually(ended, stopTime).Should(Receive(BeNil()))
}

// A shutdown that begins before Serve must answer what its callers are still sending.
func TestShutdownBeforeServeAnswers(t *testing.T) {
	const half, bodySize = len(request) / 2, 1 << 20
	body := strings.Repeat("x", bodySize)
	header := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", bodySize)
	for name, scenario := range map[string]struct {
		before, after string // what is sent before and after Serve begins
		response      string
	}{
		"a request half sent on a new connection":      {before: request[:half], after: request[half:], response: "3"},
		"a request on a connection opened just before": {after: request, response: "3"},
		"a large body that is being sent": {
			before: header + body[:bodySize/2], after: body[bodySize/2:], response: fmt.Sprint(bodySize),
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, l := newIdleServer(t, nil)
			c := r.dial()
			c.send(scenario.before)
			ended := r.shutdown(stopTime)
			time.Sleep(settleTime)
			r.serve(t, l)
			time.Sleep(settleTime)
			c.send(scenario.after)
			c.expectLast(scenario.response)
			r.Eventually(ended, stopTime).Should(Receive(BeNil()))
		})
	}
}

// A shutdown whose time has passed must still accept the connections in the listener's backlog: closing
// it alone resets them.
func TestShutdownAfterDeadline(t *testing.T) {
	const rounds = 10 // a shutdown that may choose whether to accept does so at random
	for range rounds {
		r := newTestServer(t, nil)
		var accepted atomic.Int64
		blocked, release := make(chan struct{}, 2), make(chan struct{})
		wait := func() { accepted.Add(1); blocked <- struct{}{}; <-release }
		r.afterAccept.Store(&wait)
		r.dial()
		<-blocked
		r.dial().send(request)
		ended := r.shutdown(0)
		time.Sleep(settleTime)
		close(release)
		r.Eventually(ended, stopTime).Should(Receive())
		r.Expect(accepted.Load()).To(BeEquivalentTo(2))
	}
}

// A shutdown whose time passes before Serve begins must still accept the backlog if Serve begins soon, as
// it does in a process that was held up for as long as the shutdown: closing the listener resets it.
func TestShutdownAfterDeadlineBeforeServe(t *testing.T) {
	r, l := newIdleServer(t, nil)
	var accepted atomic.Int64
	count := func() { accepted.Add(1) }
	r.afterAccept.Store(&count)
	r.dial().send(request)
	ctx, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	ended, waiting := make(chan error, 1), make(chan struct{}, 1)
	go func() { ended <- r.server.Shutdown(observedContext{Context: ctx, waiting: waiting}) }()
	<-waiting
	time.Sleep(settleTime / 10)
	r.serve(t, l)
	r.Eventually(ended, stopTime).Should(Receive())
	r.Expect(accepted.Load()).To(BeEquivalentTo(1))
}

// A shutdown of a server that never serves ends with its context.
func TestShutdownWithoutServe(t *testing.T) {
	r, l := newIdleServer(t, nil)
	defer l.Close()
	r.Eventually(r.shutdown(settleTime), stopTime).Should(Receive(MatchError(context.DeadlineExceeded)))
}

// A shutdown is bounded: half-sent requests are refused, those in the handler are cut off.
func TestShutdownIsBounded(t *testing.T) {
	const within, slack = 300 * time.Millisecond, 300 * time.Millisecond
	for name, scenario := range map[string]struct {
		send   string
		status int // 0 for a connection that is cut off
	}{
		"half a request":           {send: request[:20], status: http.StatusServiceUnavailable},
		"a request in the handler": {send: strings.Replace(request, "/", "/held", 1), status: 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestServer(t, nil)
			defer close(r.release)
			c := r.dial()
			c.send(scenario.send)
			if scenario.status == 0 {
				<-r.held
			}
			began := time.Now()
			r.Eventually(r.shutdown(within), stopTime).Should(Receive(MatchError(context.DeadlineExceeded)))
			r.Expect(time.Since(began)).To(BeNumerically("<", within+slack))
			if scenario.status == 0 {
				_, err := http.ReadResponse(c.responses, nil)
				r.Expect(err).To(HaveOccurred())
				return
			}
			resp, _ := c.readResponse()
			r.Expect(resp.StatusCode).To(Equal(scenario.status))
			r.Expect(r.ran.Load()).To(BeZero())
		})
	}
}

// Idle connections must not delay a shutdown.
func TestShutdownClosesIdleConnections(t *testing.T) {
	r := newTestServer(t, nil)
	for range 10 {
		c := r.dial()
		c.send(request)
		c.readResponse()
		defer c.Close()
	}
	r.dial()
	began := time.Now()
	r.Eventually(r.shutdown(10*time.Second), 5*time.Second).Should(Receive(BeNil()))
	// The callers don't close their connections, so that each lingers for lingerTimeout.
	r.Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
}

// Callers send requests until they are refused, on keep-alive and on new connections; no
// request may be cut off.
func TestShutdownUnderLoad(t *testing.T) {
	const rounds, callers = 10, 16
	for name, useHTTP2 := range map[string]bool{"HTTP/1": false, "HTTP/2": true} {
		for round := range rounds {
			t.Run(fmt.Sprint(name, ", round ", round), func(t *testing.T) {
				t.Parallel()
				protocols := protocolsOf(useHTTP2)
				r := newTestServer(t, protocols)
				var wg sync.WaitGroup
				var answered atomic.Int64
				for n := range callers {
					wg.Go(func() {
						client := &http.Client{
							Transport: &http.Transport{DisableKeepAlives: n%4 == 0, Protocols: protocols}, Timeout: 2 * stopTime,
						}
						defer client.CloseIdleConnections()
						answered.Add(r.callUntilRefused(t, client, make([]byte, n<<10), time.Duration(n)*time.Millisecond))
					})
				}
				time.Sleep(200*time.Millisecond + time.Duration(round)*7*time.Millisecond)
				r.Expect(<-r.shutdown(stopTime)).To(Succeed())
				wg.Wait()
				r.Expect(r.ran.Load()).To(Equal(answered.Load()))
			})
		}
	}
}

func protocolsOf(useHTTP2 bool) *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(!useHTTP2)
	p.SetUnencryptedHTTP2(useHTTP2)
	return p
}

// callUntilRefused sends requests until a connection is refused, and returns the number of
// responses.
func (r *testServer) callUntilRefused(t *testing.T, client *http.Client, body []byte, pause time.Duration) (answered int64) {
	for {
		resp, err := client.Post("http://"+r.address, "text/plain", bytes.NewReader(body))
		if err != nil {
			if !errors.Is(err, syscall.ECONNREFUSED) {
				t.Error("request cut off: ", err)
			}
			return answered
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Error("request cut off: ", err)
		}
		resp.Body.Close()
		answered++
		time.Sleep(pause)
	}
}
