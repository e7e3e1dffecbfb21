package maintenance_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/maintenance"
	"github.com/tamarindworks/tamarindworks/platform"
	"github.com/tamarindworks/tamarindworks/run"
)

// reports answers for all pools what a test says.
type reports struct {
	mu    sync.Mutex
	loads map[tw.PoolID][]run.WorkerLoad
	told  map[tw.PoolID]run.Directions
}

func (r *reports) ReportOf(_ context.Context, pool tw.PoolID, d run.Directions) (run.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told[pool] = d
	return run.Report{Pool: pool, Workers: slices.Clone(r.loads[pool])}, nil
}

// office is a manager with all that it needs.
type office struct {
	*WithT
	t     *testing.T
	kv    *standin.KV
	cloud *standin.Cloud
	// machines is the cloud, or what stands before it.
	machines tw.Machines
	census   *run.MachineCache
	reports  *reports
	waves    []tw.MaintenanceWave
}

func newOffice(t *testing.T) *office {
	o := &office{
		WithT: NewWithT(t), t: t, kv: standin.KVConfig{Latency: time.Millisecond}.New(),
		cloud:   standin.CloudConfig{MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second, Latency: 20 * time.Millisecond}.New(),
		reports: &reports{loads: map[tw.PoolID][]run.WorkerLoad{}, told: map[tw.PoolID]run.Directions{}},
	}
	o.machines = o.cloud
	o.census = run.MachineCacheConfig{Machines: o.cloud, Clock: tw.SystemClock{}, Log: zap.NewNop()}.New()
	return o
}

// machine adds a machine whose worker runs something.
func (o *office) machine(id tw.InstanceID, runs int) {
	worker := tw.WorkerID("w-" + id)
	o.cloud.Add(tw.Machine{ID: id, Pool: "p", State: tw.MachineUp, Worker: worker, Capacity: size})
	o.reports.loads["p"] = append(o.reports.loads["p"], run.WorkerLoad{
		Instance: id, Worker: worker, Capacity: size, Free: size, Runs: runs, Known: true, Schedulable: true,
	})
}

func (o *office) manage(daemon tw.DaemonID) *maintenance.Manager {
	book, err := ledger.Config{
		KV: o.kv, Clock: tw.SystemClock{}, Log: zap.NewNop(), Owner: ledger.Owner{Pool: maintenance.ManagerPool, Daemon: daemon},
	}.Open(o.t.Context())
	o.Expect(err).NotTo(HaveOccurred())
	recent, err := ledger.FindOrders(o.t.Context(), o.kv)
	o.Expect(err).NotTo(HaveOccurred())
	return maintenance.Config{
		Evacuations: func() *tw.Evacuations { return nil },
		Book:        book, RecentlyChanged: recent, Holder: string(daemon), KV: o.kv, Machines: o.machines, MachineCache: o.census, Owners: o.reports,
		Clock: tw.SystemClock{}, Log: zap.NewNop(), Metrics: metrics.NewSet(),
		Waves: func() []tw.MaintenanceWave { return o.waves },
		Queue: func() *tw.QueueConfig {
			return &tw.QueueConfig{Pools: []tw.QueuePool{{ID: "p"}, {ID: "parking", Parking: true}}}
		},
		WaveStatus: platform.WaveStatus, HolderTime: 3 * time.Second, ParkAfter: 3 * time.Second, OnOwnershipLost: func() {},
	}.New()
}

func (o *office) waveOf(machines ...tw.InstanceID) {
	o.waves = append(o.waves, tw.MaintenanceWave{Number: 1, Machines: machines, NoticePeriod: 30 * time.Second, MaxConcurrent: 1})
}

func (o *office) status() string {
	item, err := o.kv.Get(o.t.Context(), "status/wave/1")
	if err != nil {
		return ""
	}
	return string(item.Value)
}

var managerCases = map[string]func(o *office){
	"brings a wave's machines through maintenance and says so": func(o *office) {
		o.machine("m1", 0)
		o.machine("m2", 0)
		o.machine("m3", 0)
		o.waveOf("m1", "m2")
		m := o.manage("a")
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
	"does not call a wave completed whose order it could not record": func(o *office) {
		o.machine("m1", 1)
		o.machine("m2", 0)
		o.waveOf("m1")
		m := o.manage("a")
		defer m.Close()
		time.Sleep(1500 * time.Millisecond)
		o.reports.mu.Lock()
		o.reports.loads["p"][0].Runs = 0
		o.reports.mu.Unlock()
		o.kv.SetFaults(standin.KVFaults{Down: true}) // as the order is due
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
	"does not take a worker for gone whose maintenance was done already": func(o *office) {
		o.machine("m1", 0)
		o.machine("m2", 0)
		by := tw.MachineHolder{Name: "former", Fence: 0}
		o.Expect(o.cloud.Maintain(o.t.Context(), by, "m1", 1)).To(Succeed())
		time.Sleep(5 * time.Second) // it is back, but nobody recorded it
		machines, err := o.cloud.List(o.t.Context())
		o.Expect(err).NotTo(HaveOccurred())
		for i := range o.reports.loads["p"] {
			o.reports.loads["p"][i].Worker = machines[i].Worker
		}
		o.waveOf("m1")
		m := o.manage("a")
		defer m.Close()
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			o.reports.mu.Lock()
			o.Expect(o.reports.told["p"].Gone).To(BeEmpty())
			o.reports.mu.Unlock()
		}
		o.Expect(o.status()).To(MatchJSON(`{"state":"completed"}`))
	},
	"does not act on a list of machines from before its time": func(o *office) {
		o.cloud.Add(tw.Machine{ID: "m1", Pool: "parking", State: tw.MachineUp})
		o.census.RequestRefresh(time.Now())
		time.Sleep(time.Second) // the list says that m1 is parked
		o.machine("m1", 3)
		o.waveOf("m1")
		m := o.manage("a")
		defer m.Close()
		time.Sleep(3 * time.Second)
		o.Expect(o.cloud.Orders()).To(BeEmpty())
	},
	"changes at once what another manager changed long ago": func(o *office) {
		o.machine("m1", 0)
		o.machine("m2", 0)
		o.waveOf("m1")
		a := o.manage("a")
		time.Sleep(9 * time.Second)
		a.Close()
		o.Expect(o.cloud.Orders()).NotTo(BeEmpty())
		o.reports.mu.Lock()
		machines, err := o.cloud.List(o.t.Context())
		o.Expect(err).NotTo(HaveOccurred())
		for i := range o.reports.loads["p"] {
			o.reports.loads["p"][i].Worker = machines[i].Worker
		}
		o.reports.mu.Unlock()
		before := len(o.cloud.Orders())
		o.waves = []tw.MaintenanceWave{{Number: 2, Machines: []tw.InstanceID{"m1"}, NoticePeriod: 30 * time.Second, MaxConcurrent: 1}}
		began := time.Now()
		b := o.manage("b")
		defer b.Close()
		time.Sleep(10 * time.Second)
		o.Expect(o.cloud.Orders()[before:]).To(ContainElement(And(
			HaveField("Wave", int64(2)), HaveField("At", BeTemporally("<", began.Add(time.Second))),
		)))
	},
	"tells an owner of a worker that runs and is not in its report": func(o *office) {
		o.machine("m1", 0)
		o.machine("m2", 0)
		late := o.reports.loads["p"][1]
		o.reports.loads["p"] = o.reports.loads["p"][:1]
		m := o.manage("a")
		defer m.Close()
		told := func() []tw.WorkerID {
			o.reports.mu.Lock()
			defer o.reports.mu.Unlock()
			return o.reports.told["p"].Running
		}
		time.Sleep(300 * time.Millisecond)
		o.Expect(told()).To(BeEmpty()) // the list of workers may lag
		time.Sleep(1200 * time.Millisecond)
		o.Expect(told()).To(Equal([]tw.WorkerID{late.Worker}))
		o.reports.mu.Lock()
		o.reports.loads["p"] = append(o.reports.loads["p"], late)
		o.reports.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		o.Expect(told()).To(BeEmpty())
	},
	"leaves a machine alone that another manager has just changed": func(o *office) {
		o.machine("m1", 0)
		o.machine("m2", 0)
		o.waveOf("m1")
		a := o.manage("a")
		for len(o.cloud.Orders()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		a.Close()
		first := o.cloud.Orders()[0].At
		b := o.manage("b")
		defer b.Close()
		time.Sleep(15 * time.Second)
		for _, order := range o.cloud.Orders()[1:] {
			if order.Machine == "m1" {
				o.Expect(order.At.Sub(first)).To(BeNumerically(">=", 3*time.Second))
			}
		}
	},
}

func TestManager(t *testing.T) {
	for name, c := range managerCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOffice(t)
				defer o.census.Close()
				c(o)
			})
		})
	}
}
