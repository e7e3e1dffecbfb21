package maintenance_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// vacated returns the machines that the owner of the pool was last asked to vacate.
func (o *fixture) vacated() []tw.InstanceID {
	o.owners.mu.Lock()
	defer o.owners.mu.Unlock()
	return o.owners.directions["p"].Vacate
}

// TestTakeoverKeepsMachinesVacated guards against work that is placed on a machine for which an order of the
// former manager may still be carried out: all that runs there would die.
func TestTakeoverKeepsMachinesVacated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFixture(t)
		defer o.machineCache.Close()
		late := &lateMachines{Machines: o.cloud, answers: []error{tw.ErrAmbiguous, tw.ErrAmbiguous}}
		o.machines = late
		for _, id := range []tw.InstanceID{"m1", "m2", "m3"} {
			o.addMachine(id, 0)
		}
		o.addWave("m1")
		a := o.startManager("a")
		o.Eventually(late.issued, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
		time.Sleep(200 * time.Millisecond)
		o.Expect(o.vacated()).To(ConsistOf(tw.InstanceID("m1")))
		a.Close()
		o.machines = o.cloud
		b := o.startManager("b")
		defer b.Close()
		time.Sleep(500 * time.Millisecond)
		o.Consistently(o.vacated, 4*time.Second, 50*time.Millisecond).Should(ConsistOf(tw.InstanceID("m1")))
		o.Expect(late.late()).To(Succeed())
		time.Sleep(500 * time.Millisecond)
		o.expectOneDownAtATime()
	})
}

// TestTakeoverKeepsWaveTime guards against a manager that counts the time of a wave from its own start: a wave
// whose managers change would be late.
func TestTakeoverKeepsWaveTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFixture(t)
		defer o.machineCache.Close()
		for _, id := range []tw.InstanceID{"m1", "m2", "m3"} {
			o.addMachine(id, 1)
		}
		// Machines with long-running subtasks are not vacated before the wave is behind its time.
		o.owners.loads["p"][0].LongRunning = 1
		o.addWave("m1")
		began := time.Now()
		a := o.startManager("a")
		time.Sleep(10 * time.Second)
		a.Close()
		o.Expect(o.vacated()).To(BeEmpty())
		b := o.startManager("b")
		defer b.Close()
		o.Eventually(o.vacated, 20*time.Second, 50*time.Millisecond).Should(ConsistOf(tw.InstanceID("m1")))
		o.Expect(time.Since(began)).To(BeNumerically("<", 20*time.Second))
	})
}
