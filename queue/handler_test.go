package queue_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
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

// noOwners implements queue.Pools for a daemon that owns no pool.
type noOwners struct{}

func (noOwners) Local(tw.PoolID) *run.Owner { return nil }

// fixture is a handler with a store, in which no pool has an owner.
type fixture struct {
	*WithT
	t       *testing.T
	kv      *standin.KV
	handler *queue.Handler
	config  *tw.QueueConfig
}

func newFixture(t *testing.T) *fixture {
	g := &fixture{WithT: NewWithT(t), t: t, kv: standin.KVConfig{}.New()}
	g.config = &tw.QueueConfig{
		Version: 1, Limits: tw.QueueLimits{Body: 200, Header: 500},
		Routes: []tw.QueueRoute{{
			Host: "a.example", Prefix: "/x/", Timeout: 600 * time.Millisecond, Policy: tw.RoutePolicy{Route: "r", Pool: "p", Attempts: 1},
		}},
	}
	router := queue.RouterConfig{
		Pools: noOwners{}, Members: &member.Members{}, Peers: member.NewPeers(nil), KV: g.kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(t),
	}.New()
	g.handler = queue.HandlerConfig{
		Router: router, Codec: platform.Codec{}, Config: func() *tw.QueueConfig { return g.config },
		Clock: tw.SystemClock{}, Log: agecheck.Logger(t), Metrics: agecheck.Metrics(t),
	}.New()
	return g
}

func (g *fixture) call(method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "a.example:80"
	w := httptest.NewRecorder()
	g.handler.ServeHTTP(w, r)
	return w
}

func (g *fixture) stored() bool {
	record, err := ledger.FindSubmission(g.t.Context(), g.kv, goodID)
	return err == nil && !record.Unsubmitted
}

// handlerCases are requests and the expected responses.
var handlerCases = map[string]struct {
	method, path, body string
	faults             standin.KVFaults
	prepare            func(g *fixture)
	status             int
	stored             bool
	retry              bool
	contains           string
}{
	"stores a submission without an owner": {
		method: "POST", path: "/x/" + goodID, body: goodBody, status: 200, stored: true,
	},
	"unknown route": {method: "POST", path: "/y/" + goodID, body: goodBody, status: 404},
	"no configuration yet": {
		method: "POST", path: "/x/" + goodID, body: goodBody, prepare: func(g *fixture) { g.config = nil }, status: 503, retry: true,
	},
	"refuses an invalid id":   {method: "POST", path: "/x/123", body: goodBody, status: 400},
	"refuses an invalid body": {method: "POST", path: "/x/" + goodID, body: `{"steps":[]}`, status: 400, contains: "steps"},
	"refuses a large body":    {method: "POST", path: "/x/" + goodID, body: strings.Repeat(" ", 300), status: 413},
	"refuses other methods":   {method: "PUT", path: "/x/" + goodID, status: 405},
	"refuses a large header":  {method: "GET", path: "/x/" + goodID + "?" + strings.Repeat("q", 600), status: 431},
	"refuses while the store is unavailable": {
		method: "POST", path: "/x/" + goodID, body: goodBody, faults: standin.KVFaults{Down: true}, status: 503, retry: true,
	},
	"reports an ambiguous result": {
		method: "POST", path: "/x/" + goodID, body: goodBody, faults: standin.KVFaults{LateWrites: 1000}, status: 504,
	},
	"detects that an unanswered write was executed": {
		method: "POST", path: "/x/" + goodID, body: goodBody, faults: standin.KVFaults{LoseAnswers: 1}, status: 200, stored: true,
	},
	"unknown submission": {method: "GET", path: "/x/" + goodID, status: 410},
	"returns the state of a waiting submission": {
		method: "GET", path: "/x/" + goodID, prepare: func(g *fixture) { g.call("POST", "/x/"+goodID, goodBody) },
		status: 200, stored: true, contains: `"pending"`,
	},
	"state while the store is unavailable": {method: "GET", path: "/x/" + goodID, faults: standin.KVFaults{Down: true}, status: 503, retry: true},
	"cancels without an owner": {
		method: "DELETE", path: "/x/" + goodID, prepare: func(g *fixture) { g.call("POST", "/x/"+goodID, goodBody) }, status: 200, stored: true,
	},
	"cancel of an unknown submission": {method: "DELETE", path: "/x/" + goodID, status: 410},
}

// TestRefusesSubmissionOverTheStoresLimit guards against an owner that can't write any more: it accepted a
// submission whose record is larger than the store takes, and repeated that write for ever.
func TestRefusesSubmissionOverTheStoresLimit(t *testing.T) {
	for label, status := range map[int]int{300_000: http.StatusRequestEntityTooLarge, 100_000: http.StatusOK} {
		g := newFixture(t)
		g.config.Limits.Body = 0
		body := `{"steps":[{"count":1,"constraints":"` + strings.Repeat("<", label) + `"}]}` // each is encoded as six bytes
		w := g.call("POST", "/x/"+goodID, body)
		g.Expect(w.Code).To(Equal(status), "label of %d bytes", label)
		g.Expect(g.stored()).To(Equal(status == http.StatusOK))
	}
}

func TestHandler(t *testing.T) {
	for name, c := range handlerCases {
		t.Run(name, func(t *testing.T) {
			g := newFixture(t)
			if c.prepare != nil {
				c.prepare(g)
			}
			g.kv.SetFaults(c.faults)
			w := g.call(c.method, c.path, c.body)
			g.kv.SetFaults(standin.KVFaults{})
			g.Expect(w.Code).To(Equal(c.status), w.Body.String())
			g.Expect(w.Header().Get("Retry-After") != "").To(Equal(c.retry))
			g.Expect(w.Body.String()).To(ContainSubstring(c.contains))
			g.Expect(g.stored()).To(Equal(c.stored))
			if c.status >= http.StatusBadRequest {
				g.Expect(w.Header().Get("Content-Type")).To(Equal("application/problem+json"))
			}
		})
	}
}

// outcomes are the errors of owners, and the outcomes that are sent for them.
var outcomes = map[string]struct {
	err  error
	want member.Outcome
}{
	"done":         {want: member.OutcomeDone},
	"not owner":    {err: run.ErrNotOwner, want: member.OutcomeNotOwner},
	"unavailable":  {err: tw.ErrUnavailable, want: member.OutcomeNotApplied},
	"rate limited": {err: tw.ErrRateLimited, want: member.OutcomeNotApplied},
	"busy":         {err: &run.BusyError{RetryAfter: time.Second}, want: member.OutcomeBusy},
	"unknown":      {err: run.ErrUnknownSubmission, want: member.OutcomeUnknownSubmission},
	"ambiguous":    {err: tw.ErrAmbiguous, want: member.OutcomeAmbiguous},
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
