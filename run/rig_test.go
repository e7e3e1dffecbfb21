package run_test

import (
	"cmp"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/relay"
	"github.com/tamarindworks/tamarindworks/run"
)

const (
	pool tw.PoolID = "checks"

	maxHold  = 6 * time.Second
	stopTime = 400 * time.Millisecond
	latency  = 2 * time.Millisecond
	// evacuateTime is how long after a hall's evacuation starts there are not yet a violation. It
	// is longer than a start waits to be sent, and shorter than the platform's limit of 5 s minus
	// the time that the change takes to arrive.
	evacuateTime = time.Second
)

// rig is a pool of simulated workers with a store. Tests run in a testing/synctest bubble, with
// simulated time.
type rig struct {
	*WithT
	t            *testing.T
	ctx          context.Context
	kv           *standin.KV
	fleet        *standin.Fleet
	cloud        *standin.Cloud
	machineCache *run.MachineCache
	list         map[tw.WorkerID]tw.WorkerEntry
	opened       []*run.Owner
	// relayed are the order clients of owners whose orders go through relays.
	relayed      []*relay.Orders
	ownersOpened int
	// metricSet are the metrics of the owner that was opened last.
	metricSet *metrics.Set
	// log is the log of new owners; nil for that of testLog.
	log *zap.Logger
	// link and cores are the bandwidth and processor share configured for new owners.
	link  tw.BytesPerSecond
	cores tw.Cores
	// advisor is the advice service of new owners, which answers nothing by default.
	advisor tw.Advisor
	// queueConfig is the configuration of new owners; nil for none.
	queueConfig *tw.QueueConfig
	// refreshes counts the owners' requests to refresh the list of workers.
	refreshes int
	// evacuations are the evacuated halls as owners see them; nil while they are unknown.
	evacuations atomic.Pointer[tw.Evacuations]
	// reboots are the machines whose workers have crashed, booted counts those that run a
	// worker again.
	reboots []reboot
	booted  int
	// onReboot is called for each worker that is started again; may be nil.
	onReboot func(entry tw.WorkerEntry)
}

// reboot is a pending restart of a crashed worker.
type reboot struct {
	entry tw.WorkerEntry
	at    time.Time
}

func newRig(t *testing.T, workers int) *rig {
	r := &rig{
		WithT: NewWithT(t), t: t, ctx: t.Context(),
		kv: standin.KVConfig{Latency: latency}.New(),
		fleet: standin.FleetConfig{
			Latency: latency, MaxHold: maxHold, StopTime: stopTime, StartupTime: 500 * time.Millisecond, EvacuationGrace: evacuateTime,
		}.New(),
		cloud: standin.CloudConfig{MoveTime: time.Second, MaintenanceTime: time.Second}.New(),
		list:  map[tw.WorkerID]tw.WorkerEntry{}, advisor: noAdvisor{},
	}
	r.evacuations.Store(&tw.Evacuations{Revision: 1})
	r.machineCache = run.MachineCacheConfig{Machines: r.cloud, Clock: tw.SystemClock{}, Log: testLog(t)}.New()
	for n := range workers {
		r.addWorker(n)
	}
	return r
}

func workerID(n int) tw.WorkerID { return tw.WorkerID(fmt.Sprintf("w%d", n)) }

func (r *rig) addWorker(n int) { r.addWorkerIn(n, "") }

func (r *rig) addWorkerIn(n int, hall tw.HallID) {
	entry := tw.WorkerEntry{
		ID: workerID(n), Pool: pool, Address: fmt.Sprintf("10.0.0.%d:1", n), Instance: tw.InstanceID(fmt.Sprintf("m%d", n)),
		Hall: hall, Capacity: tw.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{"a", fmt.Sprintf("r%d", n/2)},
	}
	r.list[entry.ID] = entry
	r.fleet.Add(entry)
	r.cloud.Add(tw.Machine{
		ID: entry.Instance, Pool: pool, State: tw.MachineUp, Worker: entry.ID, Hall: hall, Capacity: entry.Capacity, Labels: entry.Labels,
	})
}

// newOwner makes a daemon the owner of the pool.
func (r *rig) newOwner(daemon tw.DaemonID) *run.Owner { return r.newOwnerWith(daemon, r.kv, r.fleet) }

// newPartitionableOwner makes a daemon the owner, with orders that can cut it off from the store and
// from workers.
func (r *rig) newPartitionableOwner(daemon tw.DaemonID, orders *partitionedOrders) *run.Owner {
	return r.newOwnerWith(daemon, &partitionedKV{KV: r.kv, orders: orders}, orders)
}

func (r *rig) newOwnerWith(daemon tw.DaemonID, kv tw.KV, orders tw.WorkerOrders) *run.Owner {
	return r.startOwner(r.openBook(daemon, kv), orders)
}

// openBook makes a daemon the owner of the pool in the store. startOwner starts the owner itself.
func (r *rig) openBook(daemon tw.DaemonID, kv tw.KV) run.Config {
	r.ownersOpened++
	self := ledger.Owner{Pool: pool, Daemon: daemon, Address: "10.1.0.1:1", Incarnation: tw.Incarnation(r.ownersOpened)}
	kv = ledger.ResenderConfig{KV: kv, Clock: tw.SystemClock{}, Log: testLog(r.t), Metrics: agecheck.Metrics(r.t)}.New()
	book, err := ledger.Config{KV: kv, Clock: tw.SystemClock{}, Log: testLog(r.t), Owner: self}.Open(r.ctx)
	r.Expect(err).NotTo(HaveOccurred())
	loaded, err := book.Load(r.ctx)
	r.Expect(err).NotTo(HaveOccurred())
	self.Fence = book.Fence()
	return run.Config{Book: book, Loaded: loaded, Self: self, KV: kv}
}

func (r *rig) startOwner(c run.Config, orders tw.WorkerOrders) *run.Owner {
	r.metricSet = agecheck.Metrics(r.t)
	c.Orders, c.Advisor, c.MachineCache, c.RefreshWorkers = r.withRelays(orders), r.advisor, r.machineCache, func() { r.refreshes++ }
	c.Clock, c.Log, c.Metrics = tw.SystemClock{}, cmp.Or(r.log, testLog(r.t)), r.metricSet
	c.LinkBandwidth, c.Cores = r.link, r.cores
	c.Evacuations = r.evacuations.Load
	c.QueueConfig = func() *tw.QueueConfig { return r.queueConfig }
	c.Bounds = run.Bounds{MaxHold: maxHold, StopTime: stopTime, KeepEnded: 2 * time.Minute}
	o := c.New()
	r.opened = append(r.opened, o)
	r.publishWorkers(o)
	return o
}

func (r *rig) publishWorkers(o *run.Owner) {
	list := make(map[tw.WorkerID]tw.WorkerEntry, len(r.list))
	for id, entry := range r.list {
		list[id] = entry
	}
	o.SetWorkers(r.ctx, run.WorkerList{Workers: list, StoreReachableSince: time.Now().Add(-time.Minute)})
}

// drain marks a worker as draining.
func (r *rig) drain(o *run.Owner, n int) { r.drainWorker(o, workerID(n)) }

func (r *rig) drainWorker(o *run.Owner, id tw.WorkerID) {
	entry := r.list[id]
	entry.Draining = true
	r.list[entry.ID] = entry
	r.publishWorkers(o)
}

// end closes everything, as no goroutine may outlive a synctest bubble.
func (r *rig) end() {
	for _, o := range r.opened {
		o.Close()
	}
	for _, o := range r.relayed {
		o.Close()
	}
	r.machineCache.Close()
}

// submission returns a submission with one step per count, each depending on the one before.
func submission(id string, counts ...int) tw.Submission {
	s := tw.Submission{
		ID: tw.SubmissionID(id), Spec: "spec", Accepted: time.Now(),
		Policy: tw.RoutePolicy{Route: "quick", Pool: pool, Attempts: 2, Stretch: 1.6, Target: 600 * time.Millisecond},
	}
	for i, count := range counts {
		step := tw.Step{Count: count, Need: tw.Resources{CPU: 1000, MemoryMB: 500}, Estimate: 800 * time.Millisecond}
		if i > 0 {
			step.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, step)
	}
	return s
}

func longRunning(id string, count int) tw.Submission {
	s := submission(id, count)
	s.Steps[0].LongRunning = true
	s.Steps[0].MaxPerWorker = 1
	s.Steps[0].MaxDisrupted = 1
	return s
}

// submit hands a submission to an owner, which must accept it.
func (r *rig) submit(o *run.Owner, s tw.Submission) {
	r.fleet.RegisterSubmission(&s, nil)
	r.Expect(o.Submit(r.ctx, s)).To(Succeed())
}

// deliverViaInbox stores a submission as another daemon does that can't reach the owner, and
// notifies the owner.
func (r *rig) deliverViaInbox(o *run.Owner, s tw.Submission) {
	r.storeViaInbox(s)
	o.HandleInbox(r.ctx, ledger.InboxRecord{Kind: ledger.InboxSubmitted, ID: s.ID})
	r.Eventually(func() error {
		_, err := o.State(r.ctx, "", s.ID)
		return err
	}, time.Second).Should(Succeed())
}

// startAs starts a subtask on a worker in the name of an earlier owner.
func (r *rig) startAs(fence tw.FencingToken, n int, id tw.SubtaskID) {
	entry := r.list[workerID(n)]
	report, err := r.fleet.Hold(r.ctx, entry.Ref(), tw.HoldOrder{Fence: fence})
	r.Expect(err).NotTo(HaveOccurred())
	_, err = r.fleet.Start(r.ctx, entry.Ref(), tw.StartOrder{
		Subtask: id, Run: 1, Fence: fence, Deadline: report.Clock.Add(maxHold),
	})
	r.Expect(err).NotTo(HaveOccurred())
}

func (r *rig) state(o *run.Owner, id tw.SubmissionID) tw.SubmissionState {
	state, err := o.State(r.ctx, "", id)
	r.Expect(err).NotTo(HaveOccurred())
	return state
}

// eventually waits, in simulated time, until a submission has the wanted state.
func (r *rig) eventually(o *run.Owner, id tw.SubmissionID, want tw.SubmissionState, within time.Duration) {
	r.t.Helper()
	r.Eventually(func() tw.SubmissionState { return r.state(o, id) }, within, 20*time.Millisecond).Should(Equal(want))
}

func (r *rig) expectNoViolations() {
	r.t.Helper()
	r.Expect(r.fleet.Violations()).To(BeEmpty())
}

func subtask(id string, step, index int) tw.SubtaskID {
	return tw.SubtaskID{Submission: tw.SubmissionID(id), Step: step, Index: index}
}

type noAdvisor struct{}

func (noAdvisor) Advise(context.Context, tw.SubtaskID, []tw.WorkerID) (tw.Advice, error) {
	return tw.Advice{}, tw.ErrUnavailable
}

// partitionedKV is the store as seen by an owner with partitionedOrders.
type partitionedKV struct {
	tw.KV
	orders *partitionedOrders
}

func (c *partitionedKV) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	if c.orders.storeCutOff.Load() {
		return 0, tw.ErrUnavailable
	}
	return c.KV.Commit(ctx, txn)
}

// testLog writes to standard output if TAMARIND_TEST_LOG is set, and fails the test if a line has an
// impossible age.
func testLog(t testing.TB) *zap.Logger { return agecheck.Logger(t) }
