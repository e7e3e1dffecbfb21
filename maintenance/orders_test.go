package maintenance_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
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
		return tw.ErrUnclear
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
		answers: []error{&tw.MachineRefused{Reason: tw.MachineBusy}},
		then:    func(o *office) { o.load("m1", "w-m1", 1) },
	},
	"a crash that brings another worker": {
		answers: []error{tw.ErrUnclear, tw.ErrUnclear},
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
				orders := o.cloud.Orders()
				o.Expect(orders).NotTo(BeEmpty())
				for i := range orders[1:] {
					o.Expect(orders[i+1].At.Sub(orders[i].At)).To(BeNumerically(">=", 2*time.Second))
				}
			})
		})
	}
}
