package run_test

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
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
	// evacuateTime is longer than a start waits to be sent, and shorter than the platform's
	// bound of 5 s less the time that the news takes.
	evacuateTime = time.Second
)

// rig is a pool of simulated workers with a store. Tests run in a bubble of
// testing/synctest, so its time is not that of the machine.
type rig struct {
	*WithT
	t      *testing.T
	ctx    context.Context
	kv     *standin.KV
	fleet  *standin.Fleet
	cloud  *standin.Cloud
	census *run.MachineCache
	list   map[tw.WorkerID]tw.WorkerEntry
	opened []*run.Owner
	// relayed are the orders of owners that go over other daemons.
	relayed []*relay.Orders
	books   int
	// figures are those of the owner that was opened last.
	figures *metrics.Set
	// link and cores are what owners know of their daemon.
	link  tw.BytesPerSecond
	cores tw.Cores
	// read counts how often an owner wanted the list of workers read anew.
	read int
	// evacuations are the evacuated halls that owners are told of; nil while none is known.
	evacuations atomic.Pointer[tw.Evacuations]
	// reboots are the machines whose workers have crashed, booted counts those that
	// run a worker again.
	reboots []reboot
	booted  int
	// rebooted is told of each; nil for nobody.
	rebooted func(entry tw.WorkerEntry)
}

// reboot is when a machine runs a worker again.
type reboot struct {
	entry tw.WorkerEntry
	at    time.Time
}

func newRig(t *testing.T, workers int) *rig {
	r := &rig{
		WithT: NewWithT(t), t: t, ctx: t.Context(),
		kv: standin.KVConfig{Latency: latency}.New(),
		fleet: standin.FleetConfig{
			Latency: latency, MaxHold: maxHold, StopTime: stopTime, StartTime: 500 * time.Millisecond, EvacuateTime: evacuateTime,
		}.New(),
		cloud: standin.CloudConfig{MoveTime: time.Second, MaintenanceTime: time.Second}.New(),
		list:  map[tw.WorkerID]tw.WorkerEntry{},
	}
	r.evacuations.Store(&tw.Evacuations{Revision: 1})
	r.census = run.MachineCacheConfig{Machines: r.cloud, Clock: tw.SystemClock{}, Log: zap.NewNop()}.New()
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

// take makes a daemon the owner of the pool.
func (r *rig) take(daemon tw.DaemonID) *run.Owner { return r.open(daemon, r.kv, r.fleet) }

// takeCut does so for a daemon that can be cut off.
func (r *rig) takeCut(daemon tw.DaemonID, orders *cutOrders) *run.Owner {
	return r.open(daemon, &cutKV{KV: r.kv, orders: orders}, orders)
}

func (r *rig) open(daemon tw.DaemonID, kv tw.KV, orders tw.WorkerOrders) *run.Owner {
	return r.begin(r.openBook(daemon, kv), orders)
}

// openBook makes a daemon the owner of the pool in the store; begin starts its duties.
func (r *rig) openBook(daemon tw.DaemonID, kv tw.KV) run.Config {
	r.books++
	self := ledger.Owner{Pool: pool, Daemon: daemon, Address: "10.1.0.1:1", Incarnation: tw.Incarnation(r.books)}
	book, err := ledger.Config{KV: kv, Clock: tw.SystemClock{}, Log: testLog(), Owner: self}.Open(r.ctx)
	r.Expect(err).NotTo(HaveOccurred())
	loaded, err := book.Load(r.ctx)
	r.Expect(err).NotTo(HaveOccurred())
	self.Fence = book.Fence()
	return run.Config{Book: book, Loaded: loaded, Self: self, KV: kv}
}

func (r *rig) begin(c run.Config, orders tw.WorkerOrders) *run.Owner {
	r.figures = metrics.NewSet()
	c.Orders, c.Advisor, c.MachineCache, c.RefreshWorkers = r.overRelays(orders), noAdvisor{}, r.census, func() { r.read++ }
	c.Clock, c.Log, c.Metrics = tw.SystemClock{}, testLog(), r.figures
	c.Link, c.Cores = r.link, r.cores
	c.Evacuations = r.evacuations.Load
	c.Bounds = run.Bounds{MaxHold: maxHold, StopTime: stopTime, KeepEnded: 2 * time.Minute}
	o := c.New()
	r.opened = append(r.opened, o)
	r.feed(o)
	return o
}

func (r *rig) feed(o *run.Owner) {
	list := make(map[tw.WorkerID]tw.WorkerEntry, len(r.list))
	for id, entry := range r.list {
		list[id] = entry
	}
	o.SetWorkers(r.ctx, run.WorkerList{Workers: list, StableSince: time.Now().Add(-time.Minute)})
}

// drain says that a worker is leaving.
func (r *rig) drain(o *run.Owner, n int) { r.drainWorker(o, workerID(n)) }

func (r *rig) drainWorker(o *run.Owner, id tw.WorkerID) {
	entry := r.list[id]
	entry.Draining = true
	r.list[entry.ID] = entry
	r.feed(o)
}

// end closes everything, as a bubble must be left without goroutines.
func (r *rig) end() {
	for _, o := range r.opened {
		o.Close()
	}
	for _, o := range r.relayed {
		o.Close()
	}
	r.census.Close()
}

// submission is one of some steps, each after the one before.
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

func lasting(id string, count int) tw.Submission {
	s := submission(id, count)
	s.Steps[0].LongRunning = true
	s.Steps[0].MaxPerWorker = 1
	s.Steps[0].MaxDisrupted = 1
	return s
}

// submit hands a submission to an owner, which must keep it.
func (r *rig) submit(o *run.Owner, s tw.Submission) {
	r.fleet.Expect(&s, nil)
	r.Expect(o.Submit(r.ctx, s)).To(Succeed())
}

// keepUnowned keeps a submission as another daemon does without the owner.
func (r *rig) keepUnowned(o *run.Owner, s tw.Submission) {
	r.leave(s)
	o.HandleInbox(r.ctx, ledger.InboxRecord{Kind: ledger.InboxSubmitted, ID: s.ID})
	r.Eventually(func() error {
		_, err := o.State(r.ctx, "", s.ID)
		return err
	}, time.Second).Should(Succeed())
}

// startAs starts a subtask on a worker as an owner that has gone meanwhile.
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

// eventually waits, in the bubble's time, for a submission to have a state.
func (r *rig) eventually(o *run.Owner, id tw.SubmissionID, want tw.SubmissionState, within time.Duration) {
	r.t.Helper()
	r.Eventually(func() tw.SubmissionState { return r.state(o, id) }, within, 20*time.Millisecond).Should(Equal(want))
}

func (r *rig) kept() {
	r.t.Helper()
	r.Expect(r.fleet.Broken()).To(BeEmpty())
}

func subtask(id string, step, index int) tw.SubtaskID {
	return tw.SubtaskID{Submission: tw.SubmissionID(id), Step: step, Index: index}
}

type noAdvisor struct{}

func (noAdvisor) Advise(context.Context, tw.SubtaskID, []tw.WorkerID) (tw.Advice, error) {
	return tw.Advice{}, tw.ErrUnavailable
}

// cutKV loses the store together with cutOrders.
type cutKV struct {
	tw.KV
	orders *cutOrders
}

func (c *cutKV) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	if c.orders.store.Load() {
		return 0, tw.ErrUnavailable
	}
	return c.KV.Commit(ctx, txn)
}

// testLog writes to standard output if TAMARIND_TEST_LOG is set.
func testLog() *zap.Logger {
	if os.Getenv("TAMARIND_TEST_LOG") == "" {
		return zap.NewNop()
	}
	return zap.Must(zap.NewDevelopment())
}
