package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // the same order in every run
	RunSpecs(t, "gateway", suite, reporter)
}

// testConfig returns a configuration with a route of each kind.
func testConfig() *tw.FleetConfig {
	no, yes := false, true
	c := &tw.FleetConfig{
		Halls: []tw.HallID{"h1"},
		Jobs:  []tw.Job{{ID: "job", Service: "svc"}},
		Teams: []tw.Team{{ID: "a"}, {ID: "b", Weight: 3}, {ID: "small", MaxInFlight: 1}},
		Services: []tw.Service{{ID: "svc", Routes: []tw.Route{
			{Path: "/", Job: "job"},
			{Path: "/quick", Job: "job", Class: tw.ClassQuick},
			{Path: "/long", Job: "job", Class: tw.ClassLong},
			{Path: "/once", Job: "job", Repeatable: &no},
			{Path: "/again", Job: "job", Repeatable: &yes},
			{Path: "/short", Job: "job", Timeout: tw.Duration(200 * time.Millisecond)},
			{Path: "/nowhere", Job: "unplaced"},
		}}},
	}
	c.SetDefaults()
	return c
}

// newView returns a view with one daemon and the given upstream addresses.
func newView(slots tw.Slots, addresses ...string) tw.View {
	plan := &tw.Plan{Hall: "h1", Generation: 1}
	for i, address := range addresses {
		plan.Instances = append(plan.Instances, tw.Assignment{
			Instance: tw.InstanceID(fmt.Sprintf("w%d", i)),
			Address:  address,
			Slots:    slots,
			Pool:     "p",
			State:    tw.InstanceServing,
			Jobs:     []tw.Placement{{Job: "job", State: tw.PlacementRunning}},
		})
	}
	return tw.View{
		Hall:       "h1",
		Self:       "d1",
		Registered: true,
		Revision:   1,
		Config:     testConfig(),
		Plan:       plan,
		Members:    []tw.Member{{ID: "d1", Hall: "h1"}},
	}
}

// relayView returns the view of a daemon without slots, with a member in
// another hall that has not reported its jobs.
func relayView(gateway string) tw.View {
	view := newView(8)
	view.Config.Halls = []tw.HallID{"h1", "h2"}
	view.Remote = []tw.Member{{ID: "d2", Hall: "h2", Gateway: gateway}}
	return view
}

// testGateway is a gateway with a listening server.
type testGateway struct {
	*Gateway
	url string
}

func startGateway(config Config, view tw.View) *testGateway {
	config.Log = agecheck.Logger(GinkgoT())
	if config.Metrics == nil {
		config.Metrics = agecheck.Metrics(GinkgoT())
	}
	g := config.New()
	g.Install(view)
	server := httptest.NewServer(g)
	DeferCleanup(server.Close)
	return &testGateway{Gateway: g, url: server.URL}
}

// testResponse is the response to a caller; err is set if the connection was
// refused or closed early.
type testResponse struct {
	status  int
	body    string
	outcome Outcome
	reason  Reason
	header  http.Header
	err     error
}

// do sends one request, without retries, and reads the complete response.
func (g *testGateway) do(method, path, body string, headers ...string) testResponse {
	var reader *singleUseBody
	if body != "" {
		reader = &singleUseBody{strings.NewReader(body)}
	}
	req, err := http.NewRequest(method, g.url+path, nil)
	Expect(err).NotTo(HaveOccurred())
	if reader != nil {
		req.Body, req.ContentLength = reader, int64(len(body))
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return testResponse{err: err}
	}
	defer resp.Body.Close()
	var text strings.Builder
	_, err = bufio.NewReader(resp.Body).WriteTo(&text)
	return testResponse{
		status:  resp.StatusCode,
		body:    text.String(),
		outcome: Outcome(resp.Header.Get(HeaderOutcome)),
		reason:  Reason(resp.Header.Get(HeaderReason)),
		header:  resp.Header,
		err:     err,
	}
}

// scriptedUpstream is an upstream whose responses a test writes to the
// connection.
type scriptedUpstream struct {
	address  string
	mu       sync.Mutex
	requests int
}

// newScriptedUpstream starts an upstream. handle is called for each request,
// with its connection and number, and returns whether to read another one from
// the connection.
func newScriptedUpstream(handle func(conn net.Conn, request int) bool) *scriptedUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	s := &scriptedUpstream{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, handle)
		}
	}()
	return s
}

func (s *scriptedUpstream) serve(conn net.Conn, handle func(net.Conn, int) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var text strings.Builder
		_, _ = bufio.NewReader(req.Body).WriteTo(&text) // the test may send a truncated body
		s.mu.Lock()
		s.requests++
		n := s.requests
		s.mu.Unlock()
		if !handle(conn, n) {
			return
		}
	}
}

func (s *scriptedUpstream) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// writeRaw writes raw bytes to conn.
func writeRaw(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) } // the other side may have closed it

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// closedAddress returns an address on which nothing listens.
func closedAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

// fixedClaims gives every claim the same result.
type fixedClaims struct {
	result tw.ClaimResult
	mu     sync.Mutex
	states []tw.ClaimState
}

func (f *fixedClaims) Claim(_ context.Context, scope, body string) (tw.Claim, tw.ClaimResult) {
	return tw.Claim{Scope: scope, Body: body, Holder: "d1", State: tw.ClaimPending}, f.result
}

func (f *fixedClaims) Settle(_ tw.Claim, state tw.ClaimState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states = append(f.states, state)
}
