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

// lateMachines does not answer the first maintenance order and carries it out when the
// test calls late. The next attempts get the errors in answers.
type lateMachines struct {
	tw.Machines
	answers []error

	mu       sync.Mutex
	attempts int
	late     func() error
}

func (l *lateMachines) Maintain(ctx context.Context, by tw.MachineHolder, machine tw.InstanceID, wave int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	if l.attempts == 1 {
		l.late = func() error { return l.Machines.Maintain(context.Background(), by, machine, wave) }
		return tw.ErrAmbiguous
	}
	if l.attempts-2 < len(l.answers) {
		return l.answers[l.attempts-2]
	}
	return l.Machines.Maintain(ctx, by, machine, wave)
}

// issued reports whether the first order was issued.
func (l *lateMachines) issued() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late != nil
}

// lateOrderCases are events between an unanswered maintenance order and its execution by the
// platform seconds later. They guard against a manager that considers the order settled too
// soon: because a later attempt is refused, which proves nothing about the first one, or
// because the machine has another worker, which may also be due to a crash. The manager then
// ordered maintenance of the next machine, and two machines were down for a wave that allows
// one: the orders for m2 and m1 came 1.3 s apart, and each takes 2 s.
var lateOrderCases = map[string]struct {
	answers []error
	// then changes m1 after the order.
	then func(o *fixture)
}{
	"later attempt is rate limited": {
		answers: []error{tw.ErrRateLimited},
		then:    func(o *fixture) { o.setLoad("m1", "w-m1", 1) },
	},
	"later attempt is refused because the machine is not up": {
		answers: []error{&tw.MachineRefusedError{Reason: tw.MachineRefusedBusy}},
		then:    func(o *fixture) { o.setLoad("m1", "w-m1", 1) },
	},
	"crash replaces the worker": {
		answers: []error{tw.ErrAmbiguous, tw.ErrAmbiguous},
		then: func(o *fixture) {
			o.cloud.Add(tw.Machine{ID: "m1", Pool: "p", State: tw.MachineUp, Worker: "another", Capacity: size})
			o.setLoad("m1", "another", 1)
		},
	},
}

// setLoad sets the worker and the number of runs that the owner reports for a machine.
func (o *fixture) setLoad(id tw.InstanceID, worker tw.WorkerID, runs int) {
	o.owners.mu.Lock()
	defer o.owners.mu.Unlock()
	for i := range o.owners.loads["p"] {
		if load := &o.owners.loads["p"][i]; load.Instance == id {
			load.Worker, load.Runs = worker, runs
		}
	}
}

func TestLateOrders(t *testing.T) {
	for name, c := range lateOrderCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newFixture(t)
				defer o.machineCache.Close()
				late := &lateMachines{Machines: o.cloud, answers: c.answers}
				o.machines = late
				for _, id := range []tw.InstanceID{"m1", "m2", "m3"} {
					o.addMachine(id, 0)
				}
				o.addWave("m1", "m2")
				m := o.startManager("a")
				defer m.Close()
				o.Eventually(late.issued, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
				c.then(o)
				time.Sleep(1500 * time.Millisecond)
				o.Expect(late.late()).To(Succeed())
				time.Sleep(3 * time.Second)
				o.expectOneDownAtATime()
			})
		})
	}
}

// TestTakeoverWithLateOrder guards against a successor that does not know of an unanswered
// order of the former manager. It ordered maintenance of the next machine of the wave, and
// 1.3 s later the platform carried out the former manager's order, so that two machines were
// down for a wave that allows one.
func TestTakeoverWithLateOrder(t *testing.T) {
	testLateOrder(t, func(*fixture) {})
}

// TestTakeoverWithUnreadableWave is like TestTakeoverWithLateOrder, but the successor's first
// read of the wave's record fails. It must not treat this as a wave without a record.
func TestTakeoverWithUnreadableWave(t *testing.T) {
	testLateOrder(t, func(o *fixture) {
		o.kv.SetFaults(standin.KVFaults{Down: true})
		time.Sleep(50 * time.Millisecond)
		o.kv.SetFaults(standin.KVFaults{})
	})
}

// testLateOrder has a former manager's order carried out after its successor has started.
// afterTakeover runs right after that start.
func testLateOrder(t *testing.T, afterTakeover func(o *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		o := newFixture(t)
		defer o.machineCache.Close()
		late := &lateMachines{Machines: o.cloud, answers: []error{tw.ErrAmbiguous, tw.ErrAmbiguous}}
		o.machines = late
		for _, id := range []tw.InstanceID{"m1", "m2", "m3"} {
			o.addMachine(id, 0)
		}
		o.addWave("m1", "m2")
		a := o.startManager("a")
		o.Eventually(late.issued, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
		a.Close()
		o.setLoad("m1", "w-m1", 1)
		o.machines = o.cloud
		b := o.startManager("b")
		defer b.Close()
		afterTakeover(o)
		time.Sleep(1500 * time.Millisecond)
		o.Expect(late.late()).To(Succeed())
		time.Sleep(3 * time.Second)
		o.expectOneDownAtATime()
	})
}

// expectOneDownAtATime expects consecutive orders to be at least the duration of maintenance apart,
// so that only one machine is down at a time.
func (o *fixture) expectOneDownAtATime() {
	o.t.Helper()
	orders := o.cloud.Orders()
	o.Expect(orders).NotTo(BeEmpty())
	for i := range orders[1:] {
		o.Expect(orders[i+1].At.Sub(orders[i].At)).To(BeNumerically(">=", 2*time.Second))
	}
}

// slowMachines does not carry out the first maintenance order, and fails it with an unknown
// outcome after a while.
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

// TestTakeoverWithOrderInFlight guards against a successor that assumes that an order was issued
// at the time of its record. A manager records an order first and, as it repeats unanswered
// attempts, may issue it up to 1.7 s later. The successor waited for the minimum time between
// two holders, counted from its takeover, plus 0.7 s. The former manager's second attempt was
// carried out 1 s after the record, and the successor's order for the same machine came only
// 2.8 s after that instead of at least 3 s.
func TestTakeoverWithOrderInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFixture(t)
		defer o.machineCache.Close()
		o.addMachine("m1", 0)
		o.addMachine("m2", 0)
		o.addWave("m1")
		o.machines = &slowMachines{Machines: o.cloud, wait: time.Second}
		a := o.startManager("a")
		defer a.Close()
		recorded := func() bool {
			orders, err := ledger.FindOrders(t.Context(), o.kv)
			return err == nil && len(orders) > 0
		}
		o.Eventually(recorded, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
		o.waves = append(o.waves, tw.MaintenanceWave{Number: 2, Machines: []tw.InstanceID{"m1"}, TimeLimit: 30 * time.Second, MaxConcurrent: 1})
		b := o.startManager("b")
		defer b.Close()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			machines, err := o.cloud.List(t.Context())
			o.Expect(err).NotTo(HaveOccurred())
			o.setLoad("m1", machines[0].Worker, 0)
		}
		orders := o.cloud.Orders()
		o.Expect(orders).To(HaveLen(2))
		o.Expect(orders[0].By.Name).To(Equal("a"))
		o.Expect(orders[1].By.Name).To(Equal("b"))
		o.Expect(orders[1].At.Sub(orders[0].At)).To(BeNumerically(">=", 3*time.Second))
	})
}
