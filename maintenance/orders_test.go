package maintenance_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// lateMachines leaves the first maintenance order without an answer and carries it
// out when told to. The tries after it get the answers that a test says.
type lateMachines struct {
	tw.Machines
	answers []error

	mu    sync.Mutex
	tries int
	late  func() error
}

func (l *lateMachines) Maintain(ctx context.Context, by tw.MachineHolder, machine tw.InstanceID, wave int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries++
	if l.tries == 1 {
		l.late = func() error { return l.Machines.Maintain(context.Background(), by, machine, wave) }
		return tw.ErrAmbiguous
	}
	if l.tries-2 < len(l.answers) {
		return l.answers[l.tries-2]
	}
	return l.Machines.Maintain(ctx, by, machine, wave)
}

// given tells whether the order that is late was given.
func (l *lateMachines) given() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late != nil
}

// lateOrderCases are what happens between an order of maintenance that is not
// answered and the moment, seconds later, when the platform carries it out. The
// manager took the order for settled: when a later try was refused for its rate or
// because the machine was down, as if that proved that the first try was not done
// either; and when the machine showed another worker, as if only maintenance could
// have ended the first one, and not a crash. It then gave the next machine of the
// wave its maintenance, and two were down for a wave that allows one: the orders of
// m2 and m1 came 1.3 s apart, and each takes 2 s.
var lateOrderCases = map[string]struct {
	answers []error
	// then happens to m1 after the order.
	then func(o *office)
}{
	"a later try refused for its rate": {
		answers: []error{tw.ErrRateLimited},
		then:    func(o *office) { o.load("m1", "w-m1", 1) },
	},
	"a later try refused as the machine is not up": {
		answers: []error{&tw.MachineRefusedError{Reason: tw.MachineRefusedBusy}},
		then:    func(o *office) { o.load("m1", "w-m1", 1) },
	},
	"a crash that brings another worker": {
		answers: []error{tw.ErrAmbiguous, tw.ErrAmbiguous},
		then: func(o *office) {
			o.cloud.Add(tw.Machine{ID: "m1", Pool: "p", State: tw.MachineUp, Worker: "another", Capacity: size})
			o.load("m1", "another", 1)
		},
	},
}

// load changes what the owner reports of a machine.
func (o *office) load(id tw.InstanceID, worker tw.WorkerID, runs int) {
	o.reports.mu.Lock()
	defer o.reports.mu.Unlock()
	for i := range o.reports.loads["p"] {
		if load := &o.reports.loads["p"][i]; load.Instance == id {
			load.Worker, load.Runs = worker, runs
		}
	}
}

func TestLateOrders(t *testing.T) {
	for name, c := range lateOrderCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newOffice(t)
				defer o.census.Close()
				late := &lateMachines{Machines: o.cloud, answers: c.answers}
				o.machines = late
				for _, id := range []tw.InstanceID{"m1", "m2", "m3"} {
					o.machine(id, 0)
				}
				o.waveOf("m1", "m2")
				m := o.manage("a")
				defer m.Close()
				o.Eventually(late.given, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
				c.then(o)
				time.Sleep(1500 * time.Millisecond)
				o.Expect(late.late()).To(Succeed())
				time.Sleep(3 * time.Second)
				o.keptLimit()
			})
		})
	}
}

// A manager orders maintenance, gets no answer and ends. Its successor does not know
// of that order: it gave the next machine of the wave its maintenance, and 1.3 s
// later the platform carried the former manager's order out, so that two machines
// were down for a wave that allows one.
func TestSuccessorOfAManagerWhoseOrderIsLate(t *testing.T) {
	playLateOrder(t, func(*office) {})
}

// The same, while the successor's first read of the wave's record fails. It took that
// for a wave of which nothing was recorded.
func TestSuccessorThatCannotReadAWaveAtOnce(t *testing.T) {
	playLateOrder(t, func(o *office) {
		o.kv.SetFaults(standin.KVFaults{Down: true})
		time.Sleep(50 * time.Millisecond)
		o.kv.SetFaults(standin.KVFaults{})
	})
}

// playLateOrder has a manager's order carried out when its successor has begun, of
// which something happens to the beginning.
func playLateOrder(t *testing.T, atFirst func(o *office)) {
	synctest.Test(t, func(t *testing.T) {
		o := newOffice(t)
		defer o.census.Close()
		late := &lateMachines{Machines: o.cloud, answers: []error{tw.ErrAmbiguous, tw.ErrAmbiguous}}
		o.machines = late
		for _, id := range []tw.InstanceID{"m1", "m2", "m3"} {
			o.machine(id, 0)
		}
		o.waveOf("m1", "m2")
		a := o.manage("a")
		o.Eventually(late.given, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
		a.Close()
		o.load("m1", "w-m1", 1)
		o.machines = o.cloud
		b := o.manage("b")
		defer b.Close()
		atFirst(o)
		time.Sleep(1500 * time.Millisecond)
		o.Expect(late.late()).To(Succeed())
		time.Sleep(3 * time.Second)
		o.keptLimit()
	})
}

// keptLimit expects the orders for one machine at a time to be as far apart as
// maintenance takes.
func (o *office) keptLimit() {
	o.t.Helper()
	orders := o.cloud.Orders()
	o.Expect(orders).NotTo(BeEmpty())
	for i := range orders[1:] {
		o.Expect(orders[i+1].At.Sub(orders[i].At)).To(BeNumerically(">=", 2*time.Second))
	}
}

// slowMachines answers the first maintenance order not at all, and only gives that
// up after a while.
type slowMachines struct {
	tw.Machines
	once sync.Once
	wait time.Duration
}

func (s *slowMachines) Maintain(ctx context.Context, by tw.MachineHolder, machine tw.InstanceID, wave int64) error {
	lost := false
	s.once.Do(func() { lost = true })
	if !lost {
		return s.Machines.Maintain(ctx, by, machine, wave)
	}
	select {
	case <-time.After(s.wait):
	case <-ctx.Done():
	}
	return tw.ErrAmbiguous
}

// A manager records its orders before it gives them, and may give one up to 1.7 s
// later, as a try without an answer is repeated. Its successor took the record's time
// for the order's: it counted the time between two holders from the moment at which
// it took over, 0.7 s added. The former manager's second try was carried out 1 s
// after the record, and the successor's order for the same machine came 2.8 s after
// that, where 3 s must lie between two holders.
func TestSuccessorOfAManagerWhoseOrderIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOffice(t)
		defer o.census.Close()
		o.machine("m1", 0)
		o.machine("m2", 0)
		o.waveOf("m1")
		o.machines = &slowMachines{Machines: o.cloud, wait: time.Second}
		a := o.manage("a")
		defer a.Close()
		recorded := func() bool {
			orders, err := ledger.FindOrders(t.Context(), o.kv)
			return err == nil && len(orders) > 0
		}
		o.Eventually(recorded, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
		o.waves = append(o.waves, tw.MaintenanceWave{Number: 2, Machines: []tw.InstanceID{"m1"}, NoticePeriod: 30 * time.Second, MaxConcurrent: 1})
		b := o.manage("b")
		defer b.Close()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			machines, err := o.cloud.List(t.Context())
			o.Expect(err).NotTo(HaveOccurred())
			o.load("m1", machines[0].Worker, 0)
		}
		orders := o.cloud.Orders()
		o.Expect(orders).To(HaveLen(2))
		o.Expect(orders[0].By.Name).To(Equal("a"))
		o.Expect(orders[1].By.Name).To(Equal("b"))
		o.Expect(orders[1].At.Sub(orders[0].At)).To(BeNumerically(">=", 3*time.Second))
	})
}
