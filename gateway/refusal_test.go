package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// badInput is a request that must not reach an upstream.
type badInput struct {
	method  string
	path    string
	body    string
	headers []string
	status  int
	reason  Reason
}

var badInputs = map[string]badInput{
	"an invalid timeout":          {path: "/", headers: []string{HeaderTimeout, "soon"}, status: 400, reason: ReasonBadTimeout},
	"a negative timeout":          {path: "/", headers: []string{HeaderTimeout, "-1s"}, status: 400, reason: ReasonBadTimeout},
	"an unknown class":            {path: "/", headers: []string{HeaderClass, "urgent"}, status: 400, reason: ReasonBadClass},
	"an unknown team":             {path: "/", headers: []string{HeaderTeam, "nobody"}, status: 400, reason: ReasonBadTeam},
	"an empty key":                {path: "/", headers: []string{HeaderKey, ""}, status: 400, reason: ReasonBadKey},
	"a key that is too long":      {path: "/", headers: []string{HeaderKey, strings.Repeat("k", 256)}, status: 400, reason: ReasonBadKey},
	"a header over the limit":     {path: "/", headers: []string{"X-Large", strings.Repeat("x", 5000)}, status: 431, reason: ReasonHeaderTooLarge},
	"a method that is not served": {method: "TRACE", path: "/", status: 405, reason: ReasonBadMethod},
	"an upgrade":                  {path: "/", headers: []string{"Upgrade", "websocket", "Connection", "upgrade"}, status: 405, reason: ReasonBadMethod},
	"a body over the limit":       {method: "POST", path: "/", body: strings.Repeat("x", 2000), status: 413, reason: ReasonBodyTooLarge},
	"a job without an instance":   {path: "/nowhere", status: 503, reason: ReasonNoInstance},
}

var _ = Describe("bad input", func() {
	for _, name := range slices.Sorted(maps.Keys(badInputs)) {
		It(name+" is refused and reaches no upstream", func() {
			in := badInputs[name]
			u := newScriptedUpstream(func(conn net.Conn, _ int) bool { writeRaw(conn, okResponse("own")); return true })
			g := startGateway(Config{MaxBody: 1000, MaxBufferedBody: 100, MaxHeader: 4000}, newView(8, u.address))
			got := g.do(in.method, in.path, in.body, in.headers...)
			Expect(got.status).To(Equal(in.status), got.body)
			Expect(got.reason).To(Equal(in.reason))
			Expect(got.outcome).To(Equal(NotRun))
			Expect(got.header.Get("Content-Type")).To(Equal("application/problem+json"))
			var body problem
			Expect(json.Unmarshal([]byte(got.body), &body)).To(Succeed())
			Expect(body.Status).To(Equal(in.status))
			Expect(body.Reason).To(Equal(in.reason))
			Expect(u.requestCount()).To(BeZero())
		})
	}

	It("that matches no route is refused", func() {
		view := newView(8)
		view.Config.Services[0].Routes = view.Config.Services[0].Routes[1:]
		g := startGateway(Config{}, view)
		Expect(g.do("GET", "/other", "").reason).To(Equal(ReasonUnknownRoute))
	})

	raw := map[string]string{
		"two content lengths":    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
		"length and chunks":      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n",
		"an unknown encoding":    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"a space in the header":  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\nabc",
		"a CR in a header value": "GET / HTTP/1.1\r\nHost: x\r\nX-A: b\rc\r\n\r\n",
		"no host":                "GET / HTTP/1.1\r\n\r\n",
		"an old protocol":        "GET / HTTP/1.0\r\nHost: x\r\n\r\n",
		"a body that ends early": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc",
	}
	for _, name := range slices.Sorted(maps.Keys(raw)) {
		It(name+" does not get past the gateway as another request", func() {
			var paths []string
			u := newUpstream(func(_ http.ResponseWriter, r *http.Request) { paths = append(paths, r.URL.Path) })
			g := startGateway(Config{}, newView(8, u))
			conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
			Expect(err).NotTo(HaveOccurred())
			writeRaw(conn, raw[name])
			Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			var answer bytes.Buffer
			_, _ = answer.ReadFrom(conn)
			Expect(paths).NotTo(ContainElement("/smuggled"))
			if name == "length and chunks" {
				// RFC 9112 lets Transfer-Encoding take precedence if the
				// connection is closed afterwards.
				Expect(strings.Count(answer.String(), "HTTP/1.1")).To(Equal(1), answer.String())
				return
			}
			Expect(answer.String()).NotTo(HavePrefix("HTTP/1.1 200"), answer.String())
		})
	}
})

var _ = Describe("a refusal reason", func() {
	It("has a status, a counter, and a line in the operators' manual", func() {
		set := metrics.NewSet()
		Config{Metrics: set}.New()
		var page bytes.Buffer
		set.WritePrometheus(&page)
		manual, err := os.ReadFile("../docs/OPERATING.md")
		Expect(err).NotTo(HaveOccurred())
		for _, r := range Reasons() {
			Expect(statusByReason[r]).To(BeNumerically(">=", 400), string(r))
			Expect(page.String()).To(ContainSubstring(fmt.Sprintf("tamarind_refusals_total{reason=%q} 0", r)))
			Expect(string(manual)).To(ContainSubstring("| `"+string(r)+"` |"), "docs/OPERATING.md")
		}
		for _, r := range RetryReasons {
			Expect(page.String()).To(ContainSubstring(fmt.Sprintf("tamarind_retries_total{reason=%q} 0", r)))
			Expect(string(manual)).To(ContainSubstring("| `"+string(r)+"` |"), "docs/OPERATING.md")
		}
	})

	It("is counted when it is used", func() {
		set := metrics.NewSet()
		g := startGateway(Config{Metrics: set}, newView(8, closedAddress()))
		g.do("POST", "/", "x")
		g.do("GET", "/", "", HeaderClass, "urgent")
		var page bytes.Buffer
		set.WritePrometheus(&page)
		Expect(page.String()).To(ContainSubstring(`tamarind_refusals_total{reason="upstream-unreachable"} 1`))
		Expect(page.String()).To(ContainSubstring(`tamarind_refusals_total{reason="bad-class"} 1`))
	})

	It("is given when the daemon is stopping", func() {
		g := startGateway(Config{}, newView(8))
		Expect(g.Stop(GinkgoT().Context())).To(Succeed())
		got := g.do("POST", "/", "x")
		Expect(got.reason).To(Equal(ReasonStopping))
		Expect(got.outcome).To(Equal(NotRun))
	})

	It("is given when the daemon has no configuration", func() {
		g := startGateway(Config{}, tw.View{})
		Expect(g.do("POST", "/", "x").reason).To(Equal(ReasonNoConfiguration))
	})
})

var _ = Describe("a request that another hall must serve", func() {
	It("is relayed over one hop, also to a daemon that has not reported its jobs", func() {
		u := newScriptedUpstream(func(conn net.Conn, _ int) bool { writeRaw(conn, okResponse("far")); return true })
		far := startGateway(Config{}, newView(8, u.address))
		near := startGateway(Config{}, relayView(strings.TrimPrefix(far.url, "http://")))
		Expect(near.do("POST", "/", "x").body).To(Equal("far"))
		Expect(u.requestCount()).To(Equal(1))
	})

	It("is never relayed twice, and is refused as not run", func() {
		far := startGateway(Config{}, newView(8))
		far.Install(relayView(strings.TrimPrefix(far.url, "http://"))) // would loop
		near := startGateway(Config{}, relayView(strings.TrimPrefix(far.url, "http://")))
		got := near.do("POST", "/", "x")
		Expect(got.outcome).To(Equal(NotRun))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	})
})

// newUpstream starts an HTTP server and returns its address.
func newUpstream(handle http.HandlerFunc) string {
	server := httptest.NewServer(handle)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func mustRequest(method, url string) *http.Request {
	req, err := http.NewRequest(method, url, nil)
	Expect(err).NotTo(HaveOccurred())
	return req
}
