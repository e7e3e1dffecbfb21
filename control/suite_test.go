package control

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/platform"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // the same order in every run
	RunSpecs(t, "control", suite, reporter)
}

const testConfig = `halls = ["h1"]
[[pools]]
id = "p"
instances = "kind=general"
jobs = "app=j"
[[jobs]]
id = "j"
service = "s"
labels = { app = "j" }
replicas = 2
[[services]]
id = "s"
`

// network connects nodes in memory and can isolate them.
type network struct {
	mu       sync.Mutex
	nodes    map[string]tw.PeerHandler
	isolated map[string]bool
}

func newNetwork() *network {
	return &network{nodes: map[string]tw.PeerHandler{}, isolated: map[string]bool{}}
}

// lookup returns the handler at an address, unless either side is isolated. The
// address of a node is its ID.
func (n *network) lookup(from tw.DaemonID, address string) (tw.PeerHandler, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	handler := n.nodes[address]
	switch {
	case n.isolated[address] || n.isolated[string(from)]:
		return nil, tw.ErrUnavailable
	case handler == nil:
		return nil, tw.ErrNotListening
	}
	return handler, nil
}

func (n *network) setHandler(address string, handler tw.PeerHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = handler
}

func (n *network) setIsolated(address string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = isolated
}

// Sync implements tw.Peers.
func (n *network) Sync(_ context.Context, address string, req tw.SyncRequest) (tw.SyncResponse, error) {
	handler, err := n.lookup(req.Self.ID, address)
	if err != nil {
		return tw.SyncResponse{}, err
	}
	return handler.HandleSync(req), nil
}

// Claim implements tw.Peers.
func (n *network) Claim(_ context.Context, address string, claim tw.Claim) (tw.Claim, error) {
	handler, err := n.lookup(claim.Holder, address)
	if err != nil {
		return tw.Claim{}, err
	}
	return handler.HandleClaim(claim), nil
}

// recordingDispatcher is a dispatcher that records the last view installed.
type recordingDispatcher struct {
	mu    sync.Mutex
	view  tw.View
	loads []tw.Load
}

func (r *recordingDispatcher) Install(view tw.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = view
}

func (r *recordingDispatcher) Loads() []tw.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loads
}

func (r *recordingDispatcher) setLoads(loads ...tw.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads = loads
}

func (*recordingDispatcher) Demand() int { return 0 }

func (*recordingDispatcher) Jobs() []tw.JobID { return nil }

func (r *recordingDispatcher) installedView() tw.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// testBed has one or more nodes on an in-memory network and stand-in platform.
type testBed struct {
	platform  *standin.Platform
	list      tw.InstanceList // the platform's instance list, or a wrapper that the nodes use
	workers   tw.Workers      // the platform's workers, or a wrapper that the nodes use
	network   *network
	operator  *Operator
	log       *zap.Logger // logger of the nodes; nil for none
	intervals Intervals
}

func newTestBed(t agecheck.TB) *testBed {
	b := &testBed{platform: standin.PlatformConfig{AutoRun: true}.New(), network: newNetwork(), intervals: fastIntervals, log: agecheck.Logger(t)}
	b.list, b.workers = b.platform, b.platform
	b.operator = OperatorConfig{Documents: b.documents(b.platform), Peers: b.network, Clock: tw.SystemClock{}}.New()
	for i := range 4 {
		b.platform.SetInstance(tw.Instance{
			ID:     tw.InstanceID(fmt.Sprintf("w%d", i)),
			Role:   tw.RoleWorker,
			Hall:   "h1",
			Rack:   tw.RackID(fmt.Sprintf("r%d", i/2)),
			Labels: map[string]string{"kind": "general"},
			Cores:  16,
			Memory: 32_000,
			Slots:  8,
		})
	}
	return b
}

func (*testBed) documents(store tw.Store) *platform.Documents {
	return platform.DocumentsConfig{Store: store, Clock: tw.SystemClock{}, CallsPerSecond: 10_000, Burst: 1000}.New()
}

// fastIntervals are short intervals for tests in real time.
var fastIntervals = Intervals{
	Sync:        20 * time.Millisecond,
	List:        20 * time.Millisecond,
	Plan:        20 * time.Millisecond,
	Handover:    10 * time.Millisecond,
	StatusPoll:  50 * time.Millisecond,
	Watch:       time.Second,
	Roster:      50 * time.Millisecond,
	Lease:       50 * time.Millisecond,
	LeaseTTL:    300 * time.Millisecond,
	PeerTimeout: time.Second,
}

// node starts a node that uses a store, and closes it at the end of the spec.
func (b *testBed) node(id tw.DaemonID, store tw.Store) (*Node, *recordingDispatcher) {
	n, r := b.start(id, 1, store)
	DeferCleanup(n.Close)
	return n, r
}

// start starts a node with the given incarnation and store.
func (b *testBed) start(id tw.DaemonID, incarnation tw.Incarnation, store tw.Store) (*Node, *recordingDispatcher) {
	r := &recordingDispatcher{}
	n := Config{
		Self: tw.Member{
			ID:          id,
			Hall:        "h1",
			Instance:    tw.InstanceID(id),
			Address:     string(id),
			Gateway:     "gateway of " + string(id),
			Incarnation: incarnation,
		},
		Documents:     b.documents(store),
		Instances:     b.list,
		Workers:       b.workers,
		Peers:         b.network,
		Dispatcher:    r,
		SeedAddresses: []string{"d1", "d2"},
		Intervals:     b.intervals,
		Log:           b.log,
	}.New()
	b.network.setHandler(string(id), n)
	return n, r
}

func (b *testBed) applyConfig(base tw.Revision) {
	GinkgoHelper()
	_, err := b.operator.Apply(GinkgoT().Context(), testConfig, "test", base)
	Expect(err).NotTo(HaveOccurred())
}

func (b *testBed) plan() tw.Plan {
	plan, err := b.operator.Plan(context.Background(), "h1")
	Expect(err).NotTo(HaveOccurred())
	return plan
}

func (b *testBed) revision() tw.Revision {
	current, err := b.operator.Get(context.Background())
	Expect(err).NotTo(HaveOccurred())
	return current.Revision
}

func (b *testBed) roster() []tw.RosterMember {
	roster, err := b.operator.Roster(context.Background(), "h1")
	Expect(err).NotTo(HaveOccurred())
	return roster.Members
}

func (b *testBed) state(id tw.InstanceID) tw.InstanceState {
	plan := b.plan()
	if a := plan.Find(id); a != nil {
		return a.State
	}
	return ""
}

// pendingState returns the state of a placement that is not running, or "".
func (b *testBed) pendingState() tw.PlacementState {
	plan := b.plan()
	for i := range plan.Instances {
		for _, placement := range plan.Instances[i].Jobs {
			if placement.State != tw.PlacementRunning {
				return placement.State
			}
		}
	}
	return ""
}

func servingCount(plan tw.Plan) int {
	n := 0
	for i := range plan.Instances {
		if plan.Instances[i].Serves("j") {
			n++
		}
	}
	return n
}

func acceptedConfigJSON(revision tw.Revision) json.RawMessage {
	body, err := json.Marshal(tw.AcceptedConfig{Revision: revision, Source: testConfig})
	Expect(err).NotTo(HaveOccurred())
	return body
}
