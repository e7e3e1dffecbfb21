package queue_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/platform"
	"github.com/tamarindworks/tamarindworks/queue"
	"github.com/tamarindworks/tamarindworks/run"
)

const (
	goodID   = "5c0e7a21d94b36f8"
	goodBody = `{"spec":"x","steps":[{"count":1}]}`
)

// nobody owns any pool here.
type nobody struct{}

func (nobody) Local(tw.PoolID) *run.Owner { return nil }

// gate is a handler over a store, without an owner of any pool.
type gate struct {
	*WithT
	t       *testing.T
	kv      *standin.KV
	handler *queue.Handler
	config  *tw.QueueConfig
}

func newGate(t *testing.T) *gate {
	g := &gate{WithT: NewWithT(t), t: t, kv: standin.KVConfig{}.New()}
	g.config = &tw.QueueConfig{
		Version: 1, Limits: tw.QueueLimits{Body: 200, Header: 500},
		Routes: []tw.QueueRoute{{
			Host: "a.example", Prefix: "/x/", Timeout: 600 * time.Millisecond, Policy: tw.RoutePolicy{Route: "r", Pool: "p", Attempts: 1},
		}},
	}
	router := queue.RouterConfig{
		Pools: nobody{}, Members: &member.Members{}, Peers: member.NewPeers(nil), KV: g.kv, Clock: tw.SystemClock{}, Log: zap.NewNop(),
	}.New()
	g.handler = queue.HandlerConfig{
		Router: router, Codec: platform.Codec{}, Config: func() *tw.QueueConfig { return g.config },
		Clock: tw.SystemClock{}, Log: zap.NewNop(), Metrics: metrics.NewSet(),
	}.New()
	return g
}

func (g *gate) call(method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "a.example:80"
	w := httptest.NewRecorder()
	g.handler.ServeHTTP(w, r)
	return w
}

func (g *gate) kept() bool {
	_, err := ledger.FindSubmission(g.t.Context(), g.kv, goodID)
	return err == nil
}

// gateCases are calls and their answers.
var gateCases = map[string]struct {
	method, path, body string
	faults             standin.KVFaults
	prepare            func(g *gate)
	status             int
	kept               bool
	retry              bool
	says               string
}{
	"keeps a submission without an owner": {
		method: "POST", path: "/x/" + goodID, body: goodBody, status: 200, kept: true,
	},
	"knows no such route": {method: "POST", path: "/y/" + goodID, body: goodBody, status: 404},
	"has no configuration yet": {
		method: "POST", path: "/x/" + goodID, body: goodBody, prepare: func(g *gate) { g.config = nil }, status: 503, retry: true,
	},
	"refuses an odd id":      {method: "POST", path: "/x/123", body: goodBody, status: 400},
	"refuses a bad body":     {method: "POST", path: "/x/" + goodID, body: `{"steps":[]}`, status: 400, says: "steps"},
	"refuses a large body":   {method: "POST", path: "/x/" + goodID, body: strings.Repeat(" ", 300), status: 413},
	"refuses other methods":  {method: "PUT", path: "/x/" + goodID, status: 405},
	"refuses a large header": {method: "GET", path: "/x/" + goodID + "?" + strings.Repeat("q", 600), status: 431},
	"refuses for now what the store refuses": {
		method: "POST", path: "/x/" + goodID, body: goodBody, faults: standin.KVFaults{Down: true}, status: 503, retry: true,
	},
	"does not say what it does not know": {
		method: "POST", path: "/x/" + goodID, body: goodBody, faults: standin.KVFaults{LateWrites: 1000}, status: 504,
	},
	"finds out that a write without an answer was done": {
		method: "POST", path: "/x/" + goodID, body: goodBody, faults: standin.KVFaults{LoseAnswers: 1}, status: 200, kept: true,
	},
	"knows no such submission": {method: "GET", path: "/x/" + goodID, status: 410},
	"tells the state of one that waits": {
		method: "GET", path: "/x/" + goodID, prepare: func(g *gate) { g.call("POST", "/x/"+goodID, goodBody) },
		status: 200, kept: true, says: `"pending"`,
	},
	"does not guess a state": {method: "GET", path: "/x/" + goodID, faults: standin.KVFaults{Down: true}, status: 503, retry: true},
	"cancels without an owner": {
		method: "DELETE", path: "/x/" + goodID, prepare: func(g *gate) { g.call("POST", "/x/"+goodID, goodBody) }, status: 200, kept: true,
	},
	"has nothing to cancel": {method: "DELETE", path: "/x/" + goodID, status: 410},
}

func TestHandler(t *testing.T) {
	for name, c := range gateCases {
		t.Run(name, func(t *testing.T) {
			g := newGate(t)
			if c.prepare != nil {
				c.prepare(g)
			}
			g.kv.SetFaults(c.faults)
			w := g.call(c.method, c.path, c.body)
			g.kv.SetFaults(standin.KVFaults{})
			g.Expect(w.Code).To(Equal(c.status), w.Body.String())
			g.Expect(w.Header().Get("Retry-After") != "").To(Equal(c.retry))
			g.Expect(w.Body.String()).To(ContainSubstring(c.says))
			g.Expect(g.kept()).To(Equal(c.kept))
			if c.status >= http.StatusBadRequest {
				g.Expect(w.Header().Get("Content-Type")).To(Equal("application/problem+json"))
			}
		})
	}
}

// outcomes are what owners fail with, and what that becomes on its way.
var outcomes = map[string]struct {
	err  error
	want member.Outcome
}{
	"done":        {want: member.OutcomeDone},
	"not owner":   {err: run.ErrNotOwner, want: member.OutcomeNotOwner},
	"unavailable": {err: tw.ErrUnavailable, want: member.OutcomeNotApplied},
	"over rate":   {err: tw.ErrRateLimited, want: member.OutcomeNotApplied},
	"busy":        {err: &run.BusyError{RetryAfter: time.Second}, want: member.OutcomeBusy},
	"unknown":     {err: run.ErrUnknownSubmission, want: member.OutcomeUnknown},
	"unclear":     {err: tw.ErrAmbiguous, want: member.OutcomeAmbiguous},
}

func TestOutcomes(t *testing.T) {
	for name, c := range outcomes {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(queue.OutcomeOf(c.err)).To(Equal(c.want))
			back := queue.ErrorOf(c.want)
			g.Expect(back == nil).To(Equal(c.err == nil))
			g.Expect(tw.NotApplied(back)).To(Equal(tw.NotApplied(c.err)))
		})
	}
}
