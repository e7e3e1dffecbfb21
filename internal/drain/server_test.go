package drain_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/tamarindworks/tamarindworks/internal/drain"
)

type (
	// rig is a server whose handler counts what it runs and answers with the size of the body.
	rig struct {
		*WithT
		server  *drain.Server
		address string
		ran     atomic.Int64
		// accepting is called before each connection is accepted.
		accepting atomic.Pointer[func()]
		// hold keeps requests for /held in the handler.
		hold chan struct{}
		held chan struct{}
	}

	// caller is a connection with what was read from it.
	caller struct {
		*rig
		net.Conn
		answers *bufio.Reader
	}
)

const (
	// stopTime bounds each stop.
	stopTime = 3 * time.Second
	// begun is enough for a stop to close the listener and the idle connections.
	begun   = 100 * time.Millisecond
	request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
)

func newRig(t *testing.T, protocols *http.Protocols) *rig {
	t.Helper()
	r := &rig{WithT: NewWithT(t), hold: make(chan struct{}), held: make(chan struct{}, 100)}
	l, err := drain.Listen("127.0.0.1:0")
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
			<-r.hold
		}
		fmt.Fprint(w, n)
	})
	r.server = drain.Config{HTTP: &http.Server{
		Handler: handler, Protocols: protocols, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			if wait := r.accepting.Load(); wait != nil {
				(*wait)()
			}
			return ctx
		},
	}}.New()
	ended := make(chan error, 1)
	go func() { ended <- r.server.Serve(l) }()
	t.Cleanup(func() {
		r.Expect(r.server.Close()).To(Succeed())
		r.Eventually(ended).Should(Receive(MatchError(http.ErrServerClosed)))
	})
	return r
}

// shutdown starts a stop; the channel tells its result.
func (r *rig) shutdown(within time.Duration) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		ended <- r.server.Shutdown(ctx)
	}()
	return ended
}

func (r *rig) dial() *caller {
	conn, err := net.Dial("tcp", r.address)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(conn.SetDeadline(time.Now().Add(2 * stopTime))).To(Succeed())
	return &caller{rig: r, Conn: conn, answers: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	_, err := io.WriteString(c.Conn, text)
	c.Expect(err).NotTo(HaveOccurred())
}

// answer reads one answer.
func (c *caller) answer() (*http.Response, string) {
	resp, err := http.ReadResponse(c.answers, nil)
	c.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	c.Expect(err).NotTo(HaveOccurred())
	return resp, string(body)
}

// expectAnswer reads an answer of the handler and tells whether it is the last.
func (c *caller) expectAnswer(body string) (last bool) {
	resp, got := c.answer()
	c.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	c.Expect(got).To(Equal(body))
	return resp.Close
}

// expectLast reads an answer that says that it is the last, and the end of the connection.
func (c *caller) expectLast(body string) {
	c.Expect(c.expectAnswer(body)).To(BeTrue())
	_, err := c.answers.ReadByte()
	c.Expect(err).To(MatchError(io.EOF))
}

// A stop must answer each request of which a part has arrived. http.Server.Shutdown cuts all
// of these but those that the handler has begun.
func TestShutdownAnswers(t *testing.T) {
	half := len(request) / 2
	for name, play := range map[string]func(r *rig, stop func()){
		"a request half sent on a new connection": func(r *rig, stop func()) {
			c := r.dial()
			c.send(request[:half])
			stop()
			c.send(request[half:])
			c.expectLast("3")
		},
		"a request half sent on a kept connection": func(r *rig, stop func()) {
			c := r.dial()
			c.send(request)
			c.answer()
			c.send(request[:half])
			stop()
			c.send(request[half:])
			c.expectLast("3")
		},
		"a request on a connection that was opened just before": func(r *rig, stop func()) {
			c := r.dial()
			stop()
			c.send(request)
			c.expectLast("3")
		},
		"a request on a connection that was used just before": func(r *rig, stop func()) {
			c := r.dial()
			c.send(request)
			c.answer()
			stop()
			c.send(request)
			c.expectLast("3")
		},
		"a connection that is not accepted yet": func(r *rig, stop func()) {
			blocked, release := make(chan struct{}), make(chan struct{})
			wait := func() { blocked <- struct{}{}; <-release }
			r.accepting.Store(&wait)
			r.dial()
			<-blocked
			r.accepting.Store(nil)
			c := r.dial()
			c.send(request)
			stop()
			close(release)
			c.expectLast("3")
		},
		"a large body that is being sent": func(r *rig, stop func()) {
			body := strings.Repeat("x", 1<<20)
			c := r.dial()
			c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body)))
			c.send(body[:len(body)/2])
			stop()
			c.send(body[len(body)/2:])
			c.expectAnswer(fmt.Sprint(len(body)))
			_, err := c.answers.ReadByte()
			r.Expect(err).To(MatchError(io.EOF))
		},
		"pipelined requests up to the one that is said to be the last": func(r *rig, stop func()) {
			c := r.dial()
			held := strings.Replace(request, "/", "/held", 1)
			c.send(held + request + request + strings.Repeat("x", 1<<16))
			<-r.held
			stop()
			close(r.hold)
			c.expectAnswer("3")
			c.expectLast("3")
			r.Expect(r.ran.Load()).To(BeEquivalentTo(2))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, nil)
			var ended <-chan error
			play(r, func() {
				ended = r.shutdown(stopTime)
				time.Sleep(begun)
			})
			r.Eventually(ended, stopTime).Should(Receive(BeNil()))
			_, err := net.Dial("tcp", r.address)
			r.Expect(err).To(MatchError(syscall.ECONNREFUSED))
		})
	}
}

// A stop is bounded: what is half sent is refused, what is still run is cut.
func TestShutdownIsBounded(t *testing.T) {
	const within, slack = 300 * time.Millisecond, 300 * time.Millisecond
	for name, play := range map[string]struct {
		send    string
		answers int // the status, 0 for a cut
	}{
		"half a request":    {send: request[:20], answers: http.StatusServiceUnavailable},
		"a request that is": {send: strings.Replace(request, "/", "/held", 1), answers: 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil)
			defer close(r.hold)
			c := r.dial()
			c.send(play.send)
			if play.answers == 0 {
				<-r.held
			}
			began := time.Now()
			r.Eventually(r.shutdown(within), stopTime).Should(Receive(MatchError(context.DeadlineExceeded)))
			r.Expect(time.Since(began)).To(BeNumerically("<", within+slack))
			if play.answers == 0 {
				_, err := http.ReadResponse(c.answers, nil)
				r.Expect(err).To(HaveOccurred())
				return
			}
			resp, _ := c.answer()
			r.Expect(resp.StatusCode).To(Equal(play.answers))
			r.Expect(r.ran.Load()).To(BeZero())
		})
	}
}

// Connections that nobody uses don't hold a stop up.
func TestShutdownClosesIdleConnections(t *testing.T) {
	r := newRig(t, nil)
	for range 10 {
		c := r.dial()
		c.send(request)
		c.answer()
		defer c.Close()
	}
	r.dial()
	began := time.Now()
	r.Eventually(r.shutdown(10*time.Second), 5*time.Second).Should(Receive(BeNil()))
	// Nobody closes the connections here, so that each is read for a while after its end.
	r.Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
}

// Callers go on until they are refused, on kept connections and on new ones; none is cut.
func TestShutdownUnderLoad(t *testing.T) {
	const rounds, callers = 10, 16
	for name, version2 := range map[string]bool{"HTTP/1": false, "HTTP/2": true} {
		for round := range rounds {
			t.Run(fmt.Sprint(name, ", round ", round), func(t *testing.T) {
				t.Parallel()
				protocols := &http.Protocols{}
				protocols.SetHTTP1(!version2)
				protocols.SetUnencryptedHTTP2(version2)
				r := newRig(t, protocols)
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

// callUntilRefused counts the answers.
func (r *rig) callUntilRefused(t *testing.T, client *http.Client, body []byte, pause time.Duration) (answered int64) {
	for {
		resp, err := client.Post("http://"+r.address, "text/plain", bytes.NewReader(body))
		if err != nil {
			if !errors.Is(err, syscall.ECONNREFUSED) {
				t.Error("cut: ", err)
			}
			return answered
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Error("cut: ", err)
		}
		resp.Body.Close()
		answered++
		time.Sleep(pause)
	}
}
