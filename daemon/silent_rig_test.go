package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/membertest"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/platform"
	"github.com/tamarindworks/tamarindworks/queue"
	"github.com/tamarindworks/tamarindworks/run"
)

// silenceMargin is what a call may take beyond its timeout on a busy machine.
const silenceMargin = 800 * time.Millisecond

type (
	// silentRig is a daemon's clients of a store, a worker and another daemon, which owns pool p. All
	// are reached over one link.
	silentRig struct {
		*WithT
		link   *silentLink
		stand  *standin.KV
		kv     *platform.KVClient
		store  *ledger.Resender
		orders *platform.OrderClient
		peers  *member.Peers
		router *queue.Router
		lease  tw.KVLeaseID
		// gathered is the number of requests that are held until as many have come.
		gathered *gathering
	}

	// gathering holds requests until a number of them are in progress.
	gathering struct {
		missing sync.WaitGroup
		mu      sync.Mutex
		left    int
	}

	// answeringDaemon is a daemon that owns pool p and accepts everything.
	answeringDaemon struct{ member.Handler }

	// noOwners is a daemon that owns no pool.
	noOwners struct{}
)

// Local implements queue.Pools.
func (noOwners) Local(tw.PoolID) *run.Owner { return nil }

// Ping implements member.Handler.
func (answeringDaemon) Ping(context.Context, *member.PingRequest) (*member.PingResponse, error) {
	return &member.PingResponse{Daemon: "b", StoreReachable: true}, nil
}

// Submit implements member.Handler.
func (answeringDaemon) Submit(context.Context, *member.SubmitRequest) (*member.SubmitResponse, error) {
	return &member.SubmitResponse{Outcome: member.OutcomeDone}, nil
}

// Cancel implements member.Handler.
func (answeringDaemon) Cancel(context.Context, *member.SubmissionRequest) (*member.SubmissionResponse, error) {
	return &member.SubmissionResponse{Outcome: member.OutcomeDone}, nil
}

// State implements member.Handler.
func (answeringDaemon) State(context.Context, *member.SubmissionRequest) (*member.SubmissionResponse, error) {
	return &member.SubmissionResponse{Outcome: member.OutcomeDone, State: tw.SubmissionStarted}, nil
}

// Waiting implements member.Handler.
func (answeringDaemon) Waiting(context.Context, *member.WaitingRequest) (*member.WaitingResponse, error) {
	return &member.WaitingResponse{Outcome: member.OutcomeDone, Count: 1}, nil
}

// Evacuations implements member.Handler.
func (answeringDaemon) Evacuations(context.Context, *member.EvacuationsRequest) (*member.EvacuationsResponse, error) {
	return &member.EvacuationsResponse{}, nil
}

// pass waits until all requests that are gathered have come.
func (g *gathering) pass() {
	g.mu.Lock()
	if g.left > 0 {
		g.left--
		g.missing.Done()
	}
	g.mu.Unlock()
	g.missing.Wait()
}

// gather has the next n requests wait for each other.
func (g *gathering) gather(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.left = n
	g.missing.Add(n)
}

func newSilentRig(t *testing.T) *silentRig {
	r := &silentRig{WithT: NewWithT(t), stand: standin.KVConfig{Latency: time.Millisecond}.New(), gathered: &gathering{}}
	mux := http.NewServeMux()
	mux.Handle("/", r.stand.Handler())
	mux.Handle("/tamarind.member.v1.MemberService/", member.NewHandler(answeringDaemon{}))
	for _, path := range []string{"/api/run-start", "/api/run-stop", "/api/pace", "/api/hold"} {
		mux.HandleFunc("POST "+path, answerOrder)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.gathered.pass()
		mux.ServeHTTP(w, req)
	}))
	t.Cleanup(server.Close)
	r.link = newSilentLink(t, server.Listener.Addr().String())
	r.kv = platform.KVConfig{Address: r.link.address()}.New()
	r.store = ledger.ResenderConfig{KV: r.kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(t), Metrics: agecheck.Metrics(t)}.New()
	r.orders = platform.OrderConfig{}.New()
	r.peers = member.NewPeers(nil)
	members, end := membertest.Start(t, r.stand, member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1"})
	members.RecordOwner(ledger.Owner{Pool: "p", Daemon: "b", Address: r.link.address(), Incarnation: 1, Fence: 1})
	r.router = queue.RouterConfig{
		Pools: noOwners{}, Members: members, Peers: r.peers, KV: r.store, Clock: tw.SystemClock{}, Log: agecheck.Logger(t),
	}.New()
	var err error
	r.lease, _, err = r.stand.Grant(t.Context(), time.Minute)
	r.Expect(err).NotTo(HaveOccurred())
	_, err = r.stand.Commit(t.Context(), ledger.AcceptViaInbox(silentSubmission("known")))
	r.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		r.kv.Close()
		r.orders.Close()
		r.peers.Close()
		end()
	})
	return r
}

// answerOrder answers an order as a worker does; a poll waits as long as it asks for.
func answerOrder(w http.ResponseWriter, req *http.Request) {
	var order struct {
		WaitMs int64 `json:"waitMs"`
	}
	if err := json.NewDecoder(req.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case <-time.After(time.Duration(order.WaitMs) * time.Millisecond):
	case <-req.Context().Done():
	}
	_, _ = w.Write([]byte(`{"clockMs":1,"running":[],"ended":[]}`)) // the caller may be gone
}

func silentSubmission(id tw.SubmissionID) *tw.Submission {
	return &tw.Submission{ID: id, Steps: []tw.Step{{Count: 1}}, Policy: tw.RoutePolicy{Route: "r", Pool: "p", Attempts: 1}}
}

// keepConnections makes a client keep n open connections.
func (r *silentRig) keepConnections(n int, call func() error) {
	var calls sync.WaitGroup
	r.gathered.gather(n)
	for range n {
		calls.Go(func() { _ = call() }) // only its connection matters
	}
	calls.Wait()
}

// ownerWrite makes a write as an owner does, and resolves a conflict with an earlier copy of it.
func (r *silentRig) ownerWrite(ctx context.Context) error {
	key := tw.Key("owned")
	_, err := r.store.Commit(ctx, tw.KVTxn{Conditions: []tw.KVCondition{{Key: key}}, Puts: []tw.KVPut{{Key: key, Value: []byte("v")}}})
	if conflict := (*tw.KVConflictError)(nil); errors.As(err, &conflict) && string(conflict.Find(key).Value) == "v" {
		return nil
	}
	return err
}

// silentWays are the directions in which connections go silent.
var silentWays = map[string]silentDirections{
	"requests": {requests: true}, "answers": {answers: true}, "both": {requests: true, answers: true},
}
