package drain_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/drain"
)

// observedContext tells when its Done channel is asked for, as Shutdown does when it begins to wait for Serve.
type observedContext struct {
	context.Context
	waiting chan struct{} // has room for one value
}

func (c observedContext) Done() <-chan struct{} {
	select {
	case c.waiting <- struct{}{}:
	default:
	}
	return c.Context.Done()
}

// The log must tell apart why callers got no answer during a shutdown.
func TestShutdownLog(t *testing.T) {
	const within = 10 * settleTime // longer than connections linger
	for name, scenario := range map[string]struct {
		send      string // before the shutdown
		sendLate  string // again and again during the shutdown
		serveLate bool   // Serve begins after the shutdown
		message   string
		field     string
		value     types.GomegaMatcher
	}{
		"connections in the backlog": {
			serveLate: true, message: "daemon: listener stopped", field: "accepted", value: BeEquivalentTo(1),
		},
		"a server that serves late": {
			serveLate: true, message: "daemon: listener stopped", field: "waited_for_serve", value: BeNumerically(">=", settleTime),
		},
		"a request that has arrived in part": {
			send: request[:20], message: "request: refused", field: "status", value: BeEquivalentTo(http.StatusServiceUnavailable),
		},
		"a request in the handler": {
			send: strings.Replace(request, "/", "/held", 1), message: "request: cut off", field: "in_handler", value: BeTrue(),
		},
		"a caller that goes on sending": {
			send: request, sendLate: request, message: "connection: data after the last response discarded",
			field: "bytes", value: BeNumerically(">", 0),
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			core, logs := observer.New(zap.InfoLevel)
			release := make(chan struct{})
			defer close(release)
			handler := func(_ http.ResponseWriter, req *http.Request) {
				if req.URL.Path == "/held" {
					<-release
				}
			}
			server := drain.Config{HTTP: &http.Server{Handler: http.HandlerFunc(handler)}, Log: agecheck.LoggerOf(t, core)}.New()
			l, err := drain.Listen("127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			serve := func() { _ = server.Serve(l) } // returns http.ErrServerClosed
			caller, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer caller.Close()
			_, err = io.WriteString(caller, scenario.send)
			g.Expect(err).NotTo(HaveOccurred())
			if !scenario.serveLate {
				go serve()
				time.Sleep(settleTime)
			}
			ended, waiting := make(chan error, 1), make(chan struct{}, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), within)
				defer cancel()
				ended <- server.Shutdown(observedContext{Context: ctx, waiting: waiting})
			}()
			if scenario.serveLate {
				<-waiting
				time.Sleep(settleTime)
				go serve()
			}
			g.Eventually(func() <-chan error {
				_, _ = io.WriteString(caller, scenario.sendLate) // fails once the connection is closed
				return ended
			}, stopTime, settleTime/4).Should(Receive())
			lines := logs.FilterMessage(scenario.message).All()
			g.Expect(lines).To(HaveLen(1))
			g.Expect(lines[0].ContextMap()).To(HaveKeyWithValue(scenario.field, scenario.value))
		})
	}
}
