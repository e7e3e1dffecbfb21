package maintenance_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/maintenance"
	"github.com/tamarindworks/tamarindworks/platform"
	"github.com/tamarindworks/tamarindworks/run"
)

// fakeOwners is a fake of the owners of all pools, with loads set by the test.
type fakeOwners struct {
	mu         sync.Mutex
	loads      map[tw.PoolID][]run.WorkerLoad
	directions map[tw.PoolID]run.Directions
	// running are the resources of a pool's runs, offered counts its submissions.
	running map[tw.PoolID]tw.Resources
	offered map[tw.PoolID]int64
}

func (r *fakeOwners) ReportOf(_ context.Context, pool tw.PoolID, d run.Directions) (run.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directions[pool] = d
	return run.Report{Pool: pool, Workers: slices.Clone(r.loads[pool]), Running: r.running[pool], OfferedCount: r.offered[pool]}, nil
}

// setRunning sets the work of a pool as a number of filled machines, and adds submissions.
func (r *fakeOwners) setRunning(pool tw.PoolID, machines, submissions int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[pool] = tw.Resources{CPU: tw.Millicores(machines) * size.CPU, MemoryMB: 1}
	r.offered[pool] += submissions
}

// fixture provides managers with fakes of all their dependencies.
type fixture struct {
	*WithT
	t     *testing.T
	kv    *standin.KV
	cloud *standin.Cloud
	// machines is the cloud or a wrapper of it.
	machines     tw.Machines
	machineCache *run.MachineCache
	owners       *fakeOwners
	waves        []tw.MaintenanceWave
	metrics      *metrics.Set
}

func newFixture(t *testing.T) *fixture {
	o := &fixture{
		WithT: NewWithT(t), t: t, kv: standin.KVConfig{Latency: time.Millisecond}.New(),
		cloud: standin.CloudConfig{MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second, Latency: 20 * time.Millisecond}.New(),
		owners: &fakeOwners{
			loads: map[tw.PoolID][]run.WorkerLoad{}, directions: map[tw.PoolID]run.Directions{},
			running: map[tw.PoolID]tw.Resources{}, offered: map[tw.PoolID]int64{},
		},
	}
	o.machines, o.metrics = o.cloud, agecheck.Metrics(t)
	o.machineCache = run.MachineCacheConfig{Machines: o.cloud, Clock: tw.SystemClock{}, Log: agecheck.Logger(t)}.New()
	return o
}

// addMachine adds a machine whose worker has the given number of runs.
func (o *fixture) addMachine(id tw.InstanceID, runs int) {
	worker := tw.WorkerID("w-" + id)
	o.cloud.Add(tw.Machine{ID: id, Pool: "p", State: tw.MachineUp, Worker: worker, Capacity: size})
	o.owners.loads["p"] = append(o.owners.loads["p"], run.WorkerLoad{
		Instance: id, Worker: worker, Capacity: size, Free: size, Runs: runs, Known: true, Schedulable: true,
	})
}

func (o *fixture) startManager(daemon tw.DaemonID) *maintenance.Manager {
	book, err := ledger.Config{
		KV: o.kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(o.t), Owner: ledger.Owner{Pool: maintenance.ManagerPool, Daemon: daemon},
	}.Open(o.t.Context())
	o.Expect(err).NotTo(HaveOccurred())
	recent, err := ledger.FindOrders(o.t.Context(), o.kv)
	unreadable := errors.Is(err, ledger.ErrUnreadable)
	o.Expect(err == nil || unreadable).To(BeTrue())
	return maintenance.Config{
		Evacuations: func() *tw.Evacuations { return nil },
		Book:        book, RecentlyChanged: recent, RecentChangesUnknown: unreadable, Holder: string(daemon), KV: o.kv, Machines: o.machines, MachineCache: o.machineCache, Owners: o.owners,
		Clock: tw.SystemClock{}, Log: agecheck.Logger(o.t), Metrics: o.metrics,
		Waves: func() []tw.MaintenanceWave { return o.waves },
		Queue: func() *tw.QueueConfig {
			return &tw.QueueConfig{Pools: []tw.QueuePool{{ID: "p"}, {ID: "parking", Parking: true}}}
		},
		WaveStatus: platform.WaveStatus, HolderTime: 3 * time.Second, ParkAfter: 3 * time.Second, OnOwnershipLost: func() {},
	}.New()
}

func (o *fixture) addWave(machines ...tw.InstanceID) {
	o.waves = append(o.waves, tw.MaintenanceWave{Number: 1, Machines: machines, TimeLimit: 30 * time.Second, MaxConcurrent: 1})
}

func (o *fixture) status() string {
	item, err := o.kv.Get(o.t.Context(), "status/wave/1")
	if err != nil {
		return ""
	}
	return string(item.Value)
}

var managerCases = map[string]func(o *fixture){
	"completes a wave and reports its status": func(o *fixture) {
		o.addMachine("m1", 0)
		o.addMachine("m2", 0)
		o.addMachine("m3", 0)
		o.addWave("m1", "m2")
		m := o.startManager("a")
		defer m.Close()
		time.Sleep(time.Second)
		o.Expect(o.status()).To(MatchJSON(`{"state":"running"}`))
		time.Sleep(20 * time.Second)
		o.Expect(o.status()).To(MatchJSON(`{"state":"completed"}`))
		maintained := 0
		for _, order := range o.cloud.Orders() {
			if order.Wave == 1 {
				maintained++
			}
		}
		o.Expect(maintained).To(Equal(2))
	},
	"completes a wave only after issuing an order that could not be recorded at first": func(o *fixture) {
		o.addMachine("m1", 1)
		o.addMachine("m2", 0)
		o.addWave("m1")
		m := o.startManager("a")
		defer m.Close()
		time.Sleep(1500 * time.Millisecond)
		o.owners.mu.Lock()
		o.owners.loads["p"][0].Runs = 0
		o.owners.mu.Unlock()
		o.kv.SetFaults(standin.KVFaults{Down: true}) // when the order is due
		time.Sleep(600 * time.Millisecond)
		o.kv.SetFaults(standin.KVFaults{})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if o.status() != "" && strings.Contains(o.status(), "completed") {
				break
			}
		}
		o.Expect(o.cloud.Orders()).To(ContainElement(HaveField("Wave", int64(1))))
	},
	"does not report a worker as ended after maintenance that was done before": func(o *fixture) {
		o.addMachine("m1", 0)
		o.addMachine("m2", 0)
		by := tw.MachineHolder{Name: "former", Fence: 0}
		o.Expect(o.cloud.Maintain(o.t.Context(), by, "m1", 1)).To(Succeed())
		time.Sleep(5 * time.Second) // the machine is back, but this is not recorded
		machines, err := o.cloud.List(o.t.Context())
		o.Expect(err).NotTo(HaveOccurred())
		for i := range o.owners.loads["p"] {
			o.owners.loads["p"][i].Worker = machines[i].Worker
		}
		o.addWave("m1")
		m := o.startManager("a")
		defer m.Close()
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			o.owners.mu.Lock()
			o.Expect(o.owners.directions["p"].Gone).To(BeEmpty())
			o.owners.mu.Unlock()
		}
		o.Expect(o.status()).To(MatchJSON(`{"state":"completed"}`))
	},
	"does not act on a list of machines from before its start": func(o *fixture) {
		o.cloud.Add(tw.Machine{ID: "m1", Pool: "parking", State: tw.MachineUp})
		o.machineCache.RequestRefresh(time.Now())
		time.Sleep(time.Second) // the list shows m1 as parked
		o.addMachine("m1", 3)
		o.addWave("m1")
		m := o.startManager("a")
		defer m.Close()
		time.Sleep(3 * time.Second)
		o.Expect(o.cloud.Orders()).To(BeEmpty())
	},
	"changes without delay a machine that another manager changed long ago": func(o *fixture) {
		o.addMachine("m1", 0)
		o.addMachine("m2", 0)
		o.addWave("m1")
		a := o.startManager("a")
		time.Sleep(9 * time.Second)
		a.Close()
		o.Expect(o.cloud.Orders()).NotTo(BeEmpty())
		o.owners.mu.Lock()
		machines, err := o.cloud.List(o.t.Context())
		o.Expect(err).NotTo(HaveOccurred())
		for i := range o.owners.loads["p"] {
			o.owners.loads["p"][i].Worker = machines[i].Worker
		}
		o.owners.mu.Unlock()
		before := len(o.cloud.Orders())
		o.waves = []tw.MaintenanceWave{{Number: 2, Machines: []tw.InstanceID{"m1"}, TimeLimit: 30 * time.Second, MaxConcurrent: 1}}
		startedAt := time.Now()
		b := o.startManager("b")
		defer b.Close()
		time.Sleep(10 * time.Second)
		o.Expect(o.cloud.Orders()[before:]).To(ContainElement(And(
			HaveField("Wave", int64(2)), HaveField("At", BeTemporally("<", startedAt.Add(time.Second))),
		)))
	},
	"notifies an owner of a running worker that is missing from its report": func(o *fixture) {
		o.addMachine("m1", 0)
		o.addMachine("m2", 0)
		missing := o.owners.loads["p"][1]
		o.owners.loads["p"] = o.owners.loads["p"][:1]
		m := o.startManager("a")
		defer m.Close()
		running := func() []tw.WorkerID {
			o.owners.mu.Lock()
			defer o.owners.mu.Unlock()
			return o.owners.directions["p"].Running
		}
		time.Sleep(300 * time.Millisecond)
		o.Expect(running()).To(BeEmpty()) // the list of workers may lag
		time.Sleep(1200 * time.Millisecond)
		o.Expect(running()).To(Equal([]tw.WorkerID{missing.Worker}))
		o.owners.mu.Lock()
		o.owners.loads["p"] = append(o.owners.loads["p"], missing)
		o.owners.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		o.Expect(running()).To(BeEmpty())
	},
	"shows the machines of the pools while it manages them": func(o *fixture) {
		o.addMachine("m1", 0)
		o.addMachine("m2", 0)
		o.addMachine("m3", 0)
		o.cloud.Add(tw.Machine{ID: "m4", Pool: "parking", State: tw.MachineUp})
		o.addWave("m1")
		shown := func() string {
			var out strings.Builder
			o.metrics.WritePrometheus(&out)
			return out.String()
		}
		m := o.startManager("a")
		time.Sleep(5 * time.Second)
		o.Expect(shown()).To(And(
			ContainSubstring("tamarind_machines{pool=\"p\"} 3\n"), ContainSubstring("tamarind_machines{pool=\"parking\"} 1\n"),
			ContainSubstring("tamarind_machines_needed{pool=\"p\"} 0\n"),
			ContainSubstring("tamarind_machine_orders_total{reason=\"maintenance wave\"} 1\n"),
		))
		m.Close()
		o.Expect(shown()).To(ContainSubstring("tamarind_machines{pool=\"p\"} 0\n"))
	},
	"tells owners which machines a wave will take down later": func(o *fixture) {
		for _, id := range []tw.InstanceID{"m1", "m2", "m3", "m4", "m5"} {
			o.addMachine(id, 1)
		}
		o.addWave("m1", "m2", "m3", "m4")
		m := o.startManager("a")
		defer m.Close()
		upcoming := func() []tw.InstanceID {
			o.owners.mu.Lock()
			defer o.owners.mu.Unlock()
			return o.owners.directions["p"].Upcoming
		}
		o.Eventually(upcoming, time.Second).Should(ConsistOf(tw.InstanceID("m1"), tw.InstanceID("m2"), tw.InstanceID("m3"), tw.InstanceID("m4")))
		o.owners.mu.Lock()
		for i := range o.owners.loads["p"] {
			o.owners.loads["p"][i].Runs = 0
		}
		o.owners.mu.Unlock()
		o.Eventually(o.status, 40*time.Second, 100*time.Millisecond).Should(MatchJSON(`{"state":"completed"}`))
		o.Eventually(upcoming, time.Second).Should(BeEmpty())
	},
	"a machine that is done is not upcoming while others of its wave are": func(o *fixture) {
		o.addMachine("m1", 0)
		o.addMachine("m2", 1)
		o.addMachine("m3", 0)
		o.addWave("m1", "m2")
		m := o.startManager("a")
		defer m.Close()
		upcoming := func() []tw.InstanceID {
			o.owners.mu.Lock()
			defer o.owners.mu.Unlock()
			return o.owners.directions["p"].Upcoming
		}
		o.Eventually(upcoming, time.Second).Should(ConsistOf(tw.InstanceID("m1"), tw.InstanceID("m2")))
		time.Sleep(8 * time.Second) // m1 is back
		machines, err := o.cloud.List(o.t.Context())
		o.Expect(err).NotTo(HaveOccurred())
		o.Expect(machines).To(ContainElement(And(HaveField("ID", tw.InstanceID("m1")), HaveField("State", tw.MachineUp))))
		o.Expect(o.status()).To(MatchJSON(`{"state":"running"}`))
		o.Expect(upcoming()).To(Equal([]tw.InstanceID{"m2"}))
	},
	"keeps the machines that a peak has filled in use for ParkAfter": func(o *fixture) {
		for n := range 40 {
			o.addMachine(tw.InstanceID(fmt.Sprintf("m%02d", n)), 0)
		}
		o.cloud.Add(tw.Machine{ID: "parked", Pool: "parking", State: tw.MachineUp})
		m := o.startManager("a")
		defer m.Close()
		for range 20 {
			o.owners.setRunning("p", 20, 4)
			time.Sleep(100 * time.Millisecond)
		}
		o.owners.setRunning("p", 2, 0)
		parked := func() int {
			machines, err := o.cloud.List(o.t.Context())
			o.Expect(err).NotTo(HaveOccurred())
			return len(slices.DeleteFunc(machines, func(m tw.Machine) bool { return m.Pool != "parking" }))
		}
		// With headroom and a share of the rise, the peak fills more than 27 machines.
		o.Consistently(parked, 2500*time.Millisecond, 100*time.Millisecond).Should(BeNumerically("<=", 40+1-27))
		o.Eventually(parked, 10*time.Second, 100*time.Millisecond).Should(BeNumerically(">", 40+1-27))
	},
	"does not change a machine that another manager has just changed": func(o *fixture) {
		o.addMachine("m1", 0)
		o.addMachine("m2", 0)
		o.addWave("m1")
		a := o.startManager("a")
		for len(o.cloud.Orders()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		a.Close()
		first := o.cloud.Orders()[0].At
		b := o.startManager("b")
		defer b.Close()
		time.Sleep(15 * time.Second)
		for _, order := range o.cloud.Orders()[1:] {
			if order.Machine == "m1" {
				o.Expect(order.At.Sub(first)).To(BeNumerically(">=", 3*time.Second))
			}
		}
	},
	// The record of recent orders is replaced with each order. A manager that left out those of
	// former managers let its own successor change their machines too soon.
	"does not change a machine that the manager before the last has just changed": func(o *fixture) {
		o.addMachine("m1", 0)
		o.addMachine("m2", 0)
		first := o.orderMaintenance("a", 1, "m1")
		o.orderMaintenance("b", 2, "m2")
		time.Sleep(time.Until(first.Add(2100 * time.Millisecond))) // m1 is back
		o.reportListedWorkers()
		second := o.orderMaintenance("c", 3, "m1")
		o.Expect(second.Sub(first)).To(BeNumerically(">=", 3*time.Second))
	},
}

// orderMaintenance lets a daemon manage the machines until it has ordered the maintenance of a
// machine for a wave, and returns when that was.
func (o *fixture) orderMaintenance(daemon tw.DaemonID, wave int64, machine tw.InstanceID) time.Time {
	o.waves = []tw.MaintenanceWave{{Number: wave, Machines: []tw.InstanceID{machine}, TimeLimit: 30 * time.Second, MaxConcurrent: 1}}
	m := o.startManager(daemon)
	defer m.Close()
	ordered := HaveField("Wave", wave)
	o.Eventually(o.cloud.Orders, 20*time.Second, 10*time.Millisecond).Should(ContainElement(ordered))
	orders := o.cloud.Orders()
	return orders[len(orders)-1].At
}

// reportListedWorkers has the owners report the workers that run on the listed machines.
func (o *fixture) reportListedWorkers() {
	machines, err := o.cloud.List(o.t.Context())
	o.Expect(err).NotTo(HaveOccurred())
	o.owners.mu.Lock()
	defer o.owners.mu.Unlock()
	for i := range o.owners.loads["p"] {
		o.owners.loads["p"][i].Worker = machines[i].Worker
	}
}

func TestManager(t *testing.T) {
	for name, c := range managerCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newFixture(t)
				defer o.machineCache.Close()
				c(o)
			})
		})
	}
}
