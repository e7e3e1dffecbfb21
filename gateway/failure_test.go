package gateway

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// upstreamFault is a way in which an upstream fails, with the expected response
// and how often the request may have been run.
type upstreamFault struct {
	handle        func(conn net.Conn, request int) bool // see newScriptedUpstream
	method        string
	path          string
	body          string
	headers       []string
	healthySecond bool // there is a second, healthy upstream

	truncated bool // the caller's connection is closed before a complete response
	status    int
	reason    Reason
	outcome   Outcome
	maxRuns   int // maximum number of runs on both upstreams
}

func closeConn(net.Conn, int) bool { return false }

var upstreamFaults = map[string]upstreamFault{
	"closes on a POST: unknown, run once": {
		handle: closeConn, method: "POST", path: "/", body: "x",
		status: 502, reason: ReasonUpstreamLost, outcome: Unknown, maxRuns: 1,
	},
	"closes on a POST with a key: unknown, run once": {
		handle: closeConn, method: "POST", path: "/", body: "x", headers: []string{HeaderKey, "k"},
		status: 502, reason: ReasonUpstreamLost, outcome: Unknown, maxRuns: 1,
	},
	"closes on a POST without a body: unknown, run once": {
		handle: closeConn, method: "POST", path: "/", headers: []string{HeaderKey, "k"},
		status: 502, reason: ReasonUpstreamLost, outcome: Unknown, maxRuns: 1,
	},
	"closes on a GET that may not be repeated: unknown, run once": {
		handle: closeConn, method: "GET", path: "/once",
		status: 502, reason: ReasonUpstreamLost, outcome: Unknown, maxRuns: 1,
	},
	"closes on a GET, with another instance: answered": {
		handle: closeConn, method: "GET", path: "/", healthySecond: true,
		status: 200, outcome: Answered, maxRuns: 2,
	},
	"reports a POST as not run, with another instance: answered once": {
		handle: func(conn net.Conn, _ int) bool {
			writeRaw(conn, "HTTP/1.1 503 Busy\r\nTamarind-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
			return true
		},
		method: "POST", path: "/", body: "x", healthySecond: true,
		status: 200, outcome: Answered, maxRuns: 2,
	},
	"answers 503 to a POST: response forwarded, run once": {
		handle: func(conn net.Conn, _ int) bool {
			writeRaw(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy")
			return true
		},
		method: "POST", path: "/", body: "x", healthySecond: true,
		status: 503, outcome: Answered, maxRuns: 1,
	},
	"answers 503 to a GET, without another instance: response forwarded": {
		handle: func(conn net.Conn, _ int) bool {
			writeRaw(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy")
			return true
		},
		method: "GET", path: "/",
		status: 503, outcome: Answered, maxRuns: 1,
	},
	"is lost during a small response to a POST: unknown": {
		handle: func(conn net.Conn, _ int) bool {
			writeRaw(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			return false
		},
		method: "POST", path: "/", body: "x",
		status: 502, reason: ReasonUpstreamLost, outcome: Unknown, maxRuns: 1,
	},
	"is lost during a chunked response to a POST: unknown": {
		handle: func(conn net.Conn, _ int) bool {
			writeRaw(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			return false
		},
		method: "POST", path: "/", body: "x",
		status: 502, reason: ReasonUpstreamLost, outcome: Unknown, maxRuns: 1,
	},
	"is lost during a large response: the caller's connection is closed": {
		handle: func(conn net.Conn, _ int) bool {
			writeRaw(conn, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("x", 200_000))
			return false
		},
		method: "POST", path: "/", body: "x", truncated: true, maxRuns: 1,
	},
	"is lost during a large chunked response: the caller's connection is closed": {
		handle: func(conn net.Conn, _ int) bool {
			writeRaw(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n"+strings.Repeat("x", 200_000)+"\r\n")
			return false
		},
		method: "POST", path: "/", body: "x", truncated: true, maxRuns: 1,
	},
	"ends its response by closing the connection: not forwarded": {
		handle: func(conn net.Conn, _ int) bool {
			writeRaw(conn, "HTTP/1.0 200 OK\r\n\r\nmaybe all")
			return false
		},
		method: "POST", path: "/", body: "x",
		status: 502, reason: ReasonUnframed, outcome: Unknown, maxRuns: 1,
	},
	"sends no response before the deadline: unknown": {
		handle: func(net.Conn, int) bool { time.Sleep(time.Second); return false },
		method: "POST", path: "/short", body: "x",
		status: 504, reason: ReasonDeadline, outcome: Unknown, maxRuns: 1,
	},
	"sends a response with outcome not-run: counts as answered": {
		handle: func(conn net.Conn, _ int) bool {
			writeRaw(conn, "HTTP/1.1 200 OK\r\nTamarind-Outcome: not-run\r\nTamarind-Reason: x\r\nContent-Length: 2\r\n\r\nok")
			return true
		},
		method: "POST", path: "/", body: "x",
		status: 200, outcome: Answered, maxRuns: 1,
	},
	"does not speak HTTP: unknown": {
		handle: func(conn net.Conn, _ int) bool { writeRaw(conn, "what?\r\n\r\n"); return false },
		method: "POST", path: "/", body: "x",
		status: 502, reason: ReasonUpstreamLost, outcome: Unknown, maxRuns: 1,
	},
}

var _ = Describe("an upstream that fails", func() {
	for _, name := range slices.Sorted(maps.Keys(upstreamFaults)) {
		for _, reused := range []bool{false, true} {
			It(name+connSuffix(reused), func() {
				upstreamFaults[name].run(reused)
			})
		}
	}
})

func connSuffix(reused bool) string {
	if reused {
		return " (reused connection)"
	}
	return ""
}

func (f upstreamFault) run(reused bool) {
	warmups := 0
	if reused {
		warmups = 1
	}
	bad := newScriptedUpstream(func(conn net.Conn, request int) bool {
		if request <= warmups {
			writeRaw(conn, okResponse("warm"))
			return true
		}
		return f.handle(conn, request)
	})
	g := startGateway(Config{}, newView(8, bad.address))
	if reused {
		Expect(g.do("GET", "/", "").status).To(Equal(200))
	}
	good := newScriptedUpstream(func(conn net.Conn, _ int) bool { writeRaw(conn, okResponse("good")); return true })
	got, tries := f.send(g, bad, good, warmups)
	if f.truncated {
		Expect(got.err).To(HaveOccurred())
	} else {
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(f.status), got.body)
		Expect(got.reason).To(Equal(f.reason))
		Expect(got.outcome).To(Equal(f.outcome))
	}
	Expect(bad.requestCount() - warmups + good.requestCount()).To(BeNumerically("<=", f.maxRuns*tries))
}

// send sends the request until the faulty upstream has received it, as the
// choice between two is random. It returns the last response and the number of
// requests.
func (f upstreamFault) send(g *testGateway, bad, good *scriptedUpstream, warmups int) (testResponse, int) {
	if !f.healthySecond {
		return g.do(f.method, f.path, f.body, f.headers...), 1
	}
	g.Install(newView(8, bad.address, good.address))
	for tries := 1; ; tries++ {
		got := g.do(f.method, f.path, f.body, f.headers...)
		if bad.requestCount() > warmups || tries == 50 {
			return got, tries
		}
	}
}

var _ = Describe("an instance that takes no requests", func() {
	It("has its requests refused as not run, also a POST", func() {
		g := startGateway(Config{}, newView(8, closedAddress()))
		got := g.do("POST", "/", "x")
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(got.reason).To(Equal(ReasonUnreachable))
		Expect(got.outcome).To(Equal(NotRun))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("is avoided if there is another one", func() {
		good := newScriptedUpstream(func(conn net.Conn, _ int) bool { writeRaw(conn, okResponse("good")); return true })
		g := startGateway(Config{}, newView(8, closedAddress(), good.address))
		for range 20 {
			Expect(g.do("POST", "/", "x").status).To(Equal(200))
		}
	})

	It("is retried only within the retry budget", func() {
		busy := newScriptedUpstream(func(conn net.Conn, _ int) bool {
			writeRaw(conn, "HTTP/1.1 503 Busy\r\nTamarind-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		g := startGateway(Config{}, newView(8, busy.address, busy.address, busy.address, busy.address))
		const sent = 100
		for range sent {
			Expect(g.do("POST", "/", "x").reason).To(Equal(ReasonUpstreamRefused))
		}
		Expect(busy.requestCount()).To(BeNumerically("<=", sent+maxRetryTokens+int(sent*retryRatio)))
	})
})

var _ = Describe("complete responses", func() {
	It("reach their own caller even after a late response on the connection", func() {
		u := newScriptedUpstream(func(conn net.Conn, request int) bool {
			if request == 1 {
				time.Sleep(400 * time.Millisecond) // after the deadline
				writeRaw(conn, okResponse("late"))
				return true
			}
			writeRaw(conn, okResponse("own"))
			return true
		})
		g := startGateway(Config{}, newView(1, u.address))
		Expect(g.do("POST", "/short", "x").reason).To(Equal(ReasonDeadline))
		for range 5 {
			Expect(g.do("POST", "/", "x").body).To(Equal("own"))
		}
	})

	It("are not blocked by a caller that has gone", func() {
		g := startGateway(Config{}, newView(1, newScriptedUpstream(func(conn net.Conn, request int) bool {
			if request == 1 {
				time.Sleep(300 * time.Millisecond)
			}
			writeRaw(conn, okResponse("x"))
			return true
		}).address))
		conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		writeRaw(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		conn.Close()
		Eventually(g.Demand).Should(BeZero())
		Expect(g.do("GET", "/", "").body).To(Equal("x"))
	})

	It("can be many on one connection", func() {
		u := newScriptedUpstream(func(conn net.Conn, _ int) bool { writeRaw(conn, okResponse("own")); return true })
		g := startGateway(Config{}, newView(8, u.address))
		for range 200 {
			Expect(g.do("POST", "/", "x", HeaderKey, "k").body).To(Equal("own"))
		}
		Expect(u.requestCount()).To(Equal(200))
	})
})

var _ = Describe("an idempotency key", func() {
	type row struct {
		result  tw.ClaimResult
		reason  Reason
		status  int
		outcome Outcome
		runs    int
	}
	rows := map[string]row{
		"granted":                  {result: tw.ClaimResult{Granted: true}, status: 200, outcome: Answered, runs: 1},
		"held by another":          {result: tw.ClaimResult{Existing: tw.Claim{Holder: "d2", State: tw.ClaimPending}}, status: 409, reason: ReasonKeyInProgress, outcome: Unknown},
		"answered before":          {result: tw.ClaimResult{Existing: tw.Claim{Holder: "d2", State: tw.ClaimAnswered}}, status: 409, reason: ReasonKeyAnswered, outcome: Answered},
		"used for another body":    {result: tw.ClaimResult{Existing: tw.Claim{Holder: "d2", Body: "other"}}, status: 422, reason: ReasonKeyMismatch, outcome: NotRun},
		"too few acknowledgements": {result: tw.ClaimResult{}, status: 503, reason: ReasonKeyUnavailable, outcome: NotRun},
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		It(name, func() {
			r := rows[name]
			u := newScriptedUpstream(func(conn net.Conn, _ int) bool { writeRaw(conn, okResponse("own")); return true })
			claims := &fixedClaims{result: r.result}
			g := startGateway(Config{Claims: claims}, newView(8, u.address))
			if r.result.Existing.Holder != "" && r.result.Existing.Body == "" {
				ex := exchange{in: mustRequest("POST", g.url+"/"), body: payload{buffered: []byte("x")}}
				claims.result.Existing.Body = ex.digest()
			}
			got := g.do("POST", "/", "x", HeaderKey, "k")
			Expect(got.status).To(Equal(r.status), got.body)
			Expect(got.reason).To(Equal(r.reason))
			Expect(got.outcome).To(Equal(r.outcome))
			Expect(u.requestCount()).To(Equal(r.runs))
		})
	}

	It("is forwarded to the upstream unchanged", func() {
		seen := make(chan string, 1)
		server := newUpstream(func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get(HeaderKey) })
		g := startGateway(Config{}, newView(8, server))
		Expect(g.do("POST", "/", "x", HeaderKey, "Ke y-1").status).To(Equal(200))
		Expect(<-seen).To(Equal("Ke y-1"))
	})

	It("is released after a refusal with outcome not-run", func() {
		claims := &fixedClaims{result: tw.ClaimResult{Granted: true}}
		g := startGateway(Config{Claims: claims}, newView(8, closedAddress()))
		Expect(g.do("POST", "/", "x", HeaderKey, "k").outcome).To(Equal(NotRun))
		Expect(claims.states).To(Equal([]tw.ClaimState{tw.ClaimReleased}))
	})

	It("stays claimed when the outcome is unknown", func() {
		claims := &fixedClaims{result: tw.ClaimResult{Granted: true}}
		g := startGateway(Config{Claims: claims}, newView(8, newScriptedUpstream(closeConn).address))
		Expect(g.do("POST", "/", "x", HeaderKey, "k").outcome).To(Equal(Unknown))
		Expect(claims.states).To(Equal([]tw.ClaimState{tw.ClaimPending}))
	})
})
