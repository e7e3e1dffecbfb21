package control

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/platform"
)

const eventualTimeout = "10s" // timeout of Eventually

var _ = Describe("a configuration", func() {
	It("reaches every daemon and becomes a plan that serves", func() {
		b := newTestBed(GinkgoT())
		_, one := b.node("d1", b.platform)
		_, two := b.node("d2", b.platform)
		b.applyConfig(0)
		Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
		for _, r := range []*recordingDispatcher{one, two} {
			Eventually(func() tw.Revision { return r.installedView().Revision }, eventualTimeout).Should(Equal(tw.Revision(1)))
		}
	})

	It("reaches a daemon that cannot reach the store, through a peer", func() {
		b := newTestBed(GinkgoT())
		store := &partitionableStore{Store: b.platform}
		b.node("d1", b.platform)
		_, two := b.node("d2", store)
		b.applyConfig(0)
		Eventually(func() tw.Revision { return two.installedView().Revision }, eventualTimeout).Should(Equal(tw.Revision(1)))
		store.setUnavailable(true)
		b.applyConfig(1)
		Eventually(func() tw.Revision { return two.installedView().Revision }, eventualTimeout).Should(Equal(tw.Revision(2)))
	})

	It("is not reverted when the store is restored to an older revision", func() {
		b := newTestBed(GinkgoT())
		_, one := b.node("d1", b.platform)
		b.applyConfig(0)
		older, err := b.platform.Get(GinkgoT().Context(), tw.ConfigKey)
		Expect(err).NotTo(HaveOccurred())
		b.applyConfig(1)
		Eventually(func() tw.Revision { return one.installedView().Revision }, eventualTimeout).Should(Equal(tw.Revision(2)))
		b.platform.Restore(tw.ConfigKey, older)
		Consistently(func() tw.Revision { return one.installedView().Revision }, "300ms").Should(Equal(tw.Revision(2)))
		Eventually(func() tw.Revision { return b.revision() }, eventualTimeout).Should(Equal(tw.Revision(2)), "the planner restores it")
	})

	It("is not accepted over a store that is behind the daemons", func() {
		b := newTestBed(GinkgoT())
		_, one := b.node("d1", b.platform)
		b.applyConfig(0)
		older, err := b.platform.Get(GinkgoT().Context(), tw.ConfigKey)
		Expect(err).NotTo(HaveOccurred())
		b.applyConfig(1)
		Eventually(func() tw.Revision { return one.installedView().Revision }, eventualTimeout).Should(Equal(tw.Revision(2)))
		Eventually(func() bool { return one.installedView().Registered }, eventualTimeout).Should(BeTrue())
		b.platform.Restore(tw.ConfigKey, older)
		_, err = b.operator.Apply(GinkgoT().Context(), testConfig+"# late\n", "test", 1)
		var conflict *ConflictError
		if !errors.As(err, &conflict) { // the planner may have restored it already
			Expect(err).To(MatchError(ErrStoreBehind))
		}
	})

	It("reaches a new daemon that cannot reach the store", func() {
		b := newTestBed(GinkgoT())
		b.node("d1", b.platform)
		b.applyConfig(0)
		Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
		store := &partitionableStore{Store: b.platform, unavailable: true}
		_, two := b.node("d2", store)
		Eventually(func() tw.Revision { return two.installedView().Revision }, eventualTimeout).Should(Equal(tw.Revision(1)))
		Expect(two.installedView().Registered).To(BeFalse())
		store.setUnavailable(false)
		Eventually(func() bool { return two.installedView().Registered }, eventualTimeout).Should(BeTrue())
	})

	It("is accepted from one of two concurrent operators, and the other gets a conflict", func() {
		b := newTestBed(GinkgoT())
		b.applyConfig(0)
		results := make(chan error, 2)
		for _, operator := range []string{"ama", "salim"} {
			go func() {
				_, err := b.operator.Apply(context.Background(), testConfig+"# "+operator+"\n", operator, 1)
				results <- err
			}()
		}
		first, second := <-results, <-results
		if first != nil {
			first, second = second, first
		}
		Expect(first).NotTo(HaveOccurred())
		var conflict *ConflictError
		Expect(second).To(BeAssignableToTypeOf(conflict))
		current, err := b.operator.Get(GinkgoT().Context())
		Expect(err).NotTo(HaveOccurred())
		Expect(current.Revision).To(Equal(tw.Revision(2)))
	})
})

var _ = Describe("a move", func() {
	// startDaemons starts two daemons, and returns them and a serving instance.
	startDaemons := func() (b *testBed, one, two *recordingDispatcher, id tw.InstanceID) {
		b = newTestBed(GinkgoT())
		_, one = b.node("d1", b.platform)
		_, two = b.node("d2", b.platform)
		b.applyConfig(0)
		Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
		plan := b.plan()
		for i := range plan.Instances {
			if plan.Instances[i].Serves("j") {
				id = plan.Instances[i].Instance
			}
		}
		return b, one, two, id
	}

	It("waits for requests in flight at every daemon", func() {
		b, _, two, id := startDaemons()
		two.setLoads(tw.Load{Instance: id, Job: "j", InFlight: 1})
		b.platform.SetPhase(id, tw.PhaseLeaving)
		Eventually(func() tw.InstanceState { return b.state(id) }, eventualTimeout).Should(Equal(tw.InstanceDraining))
		Consistently(func() tw.InstanceState { return b.state(id) }, "300ms").Should(Equal(tw.InstanceDraining))
		two.setLoads()
		Eventually(func() tw.InstanceState { return b.state(id) }, eventualTimeout).Should(Equal(tw.InstanceOut))
	})

	It("waits for requests in flight on an instance that is missing from the list for a moment", func() {
		b, _, two, id := startDaemons()
		Eventually(func() tw.PlacementState { return b.pendingState() }, eventualTimeout).Should(BeEmpty())
		two.setLoads(tw.Load{Instance: id, Job: "j", InFlight: 1})
		lost := b.platform.Instance(id)
		b.platform.RemoveInstance(id)
		Eventually(func() tw.InstanceState { return b.state(id) }, eventualTimeout).ShouldNot(Equal(tw.InstanceServing))
		Expect(b.state(id)).To(Equal(tw.InstanceDraining))
		b.platform.SetInstance(lost)
		Consistently(func() tw.InstanceState { return b.state(id) }, "300ms").Should(Equal(tw.InstanceDraining))
		two.setLoads()
		Eventually(func() tw.InstanceState { return b.state(id) }, eventualTimeout).Should(Equal(tw.InstanceSpare))
	})

	It("waits for an isolated daemon, while a spare serves", func() {
		b, _, _, id := startDaemons()
		follower := "d1"
		if holder, err := b.platform.Holder(GinkgoT().Context(), tw.PlannerLease("h1")); err == nil && holder.Holder == "d1" {
			follower = "d2"
		}
		b.network.setIsolated(follower, true) // the daemon that does not plan
		b.platform.SetPhase(id, tw.PhaseLeaving)
		Eventually(func() tw.InstanceState { return b.state(id) }, eventualTimeout).Should(Equal(tw.InstanceDraining))
		Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
		Consistently(func() tw.InstanceState { return b.state(id) }, "300ms").Should(Equal(tw.InstanceDraining))
		b.network.setIsolated(follower, false)
		Eventually(func() tw.InstanceState { return b.state(id) }, eventualTimeout).Should(Equal(tw.InstanceOut))
	})

	It("waits for requests in flight at a daemon that a restored roster lacks", func() {
		b := newTestBed(GinkgoT())
		b.intervals.Roster = time.Minute // so that the daemon does not check its entry in time
		b.node("d1", b.platform)
		b.applyConfig(0)
		Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
		older, err := b.platform.Get(GinkgoT().Context(), tw.RosterKey("h1"))
		Expect(err).NotTo(HaveOccurred())
		_, two := b.node("d2", b.platform)
		Eventually(func() bool { return two.installedView().Registered }, eventualTimeout).Should(BeTrue())
		Expect(b.roster()).To(HaveLen(2))
		id := firstServing(b)
		two.setLoads(tw.Load{Instance: id, Job: "j", InFlight: 1})
		b.platform.Restore(tw.RosterKey("h1"), older)
		b.platform.SetPhase(id, tw.PhaseLeaving)
		Eventually(func() tw.InstanceState { return b.state(id) }, eventualTimeout).ShouldNot(Equal(tw.InstanceServing))
		Consistently(func() tw.InstanceState { return b.state(id) }, "300ms").Should(Equal(tw.InstanceDraining))
		two.setLoads()
		Eventually(func() tw.InstanceState { return b.state(id) }, eventualTimeout).Should(Equal(tw.InstanceOut))
	})

	It("stops waiting for a daemon that the operator has removed", func() {
		b, _, _, id := startDaemons()
		Expect(b.operator.documents.Update(GinkgoT().Context(), tw.RosterKey("h1"), addUnreachableDaemon)).To(Succeed())
		b.platform.SetPhase(id, tw.PhaseLeaving)
		Eventually(func() tw.InstanceState { return b.state(id) }, eventualTimeout).Should(Equal(tw.InstanceDraining))
		Consistently(func() tw.InstanceState { return b.state(id) }, "300ms").Should(Equal(tw.InstanceDraining))
		Expect(b.operator.Forget(GinkgoT().Context(), "h1", "ghost")).To(Succeed())
		Eventually(func() tw.InstanceState { return b.state(id) }, eventualTimeout).Should(Equal(tw.InstanceOut))
	})
})

// plannerFaults are faults of the planning daemon or of its store.
var plannerFaults = map[string]func(b *testBed, store *partitionableStore){
	"loses the responses to its writes": func(b *testBed, _ *partitionableStore) {
		b.platform.SetFaults(standin.Faults{LoseAnswers: 30})
	},
	"has a slow store": func(b *testBed, _ *partitionableStore) {
		b.platform.SetFaults(standin.Faults{Delay: tw.Duration(20 * time.Millisecond)})
	},
	"cannot reach the store until its lease has expired": func(_ *testBed, store *partitionableStore) {
		store.setUnavailable(true)
	},
	"has no store for a while": func(b *testBed, _ *partitionableStore) {
		b.platform.SetFaults(standin.Faults{Down: true})
		time.Sleep(2 * fastIntervals.LeaseTTL)
		b.platform.SetFaults(standin.Faults{})
	},
	"finds an older plan in the store": func(b *testBed, _ *partitionableStore) {
		key := tw.PlanKey("h1")
		item, err := b.platform.Get(context.Background(), key)
		Expect(err).NotTo(HaveOccurred())
		b.platform.SetPhase("w3", tw.PhaseLeaving)
		Eventually(func() tw.InstanceState { return b.state("w3") }, eventualTimeout).Should(Equal(tw.InstanceOut))
		b.platform.Restore(key, item)
	},
}

var _ = Describe("the planner of a hall", func() {
	for _, name := range slices.Sorted(maps.Keys(plannerFaults)) {
		It(name+": replaces lost instances, and no generation decreases", func() {
			b := newTestBed(GinkgoT())
			store := &partitionableStore{Store: b.platform}
			_, one := b.node("d1", store)
			b.applyConfig(0)
			Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
			_, two := b.node("d2", b.platform)
			Eventually(func() bool { return two.installedView().Registered }, eventualTimeout).Should(BeTrue())
			neverDecreased := watchGenerations(one, two)
			plannerFaults[name](b, store)
			b.platform.RemoveInstance(firstServing(b))
			Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
			Eventually(func() tw.Generation { return two.installedView().Plan.Generation }, eventualTimeout).
				Should(BeNumerically(">=", b.plan().Generation))
			Expect(neverDecreased()).To(BeTrue())
		})
	}

	It("acquires the lease once, also when the store has lost its epochs", func() {
		b := newTestBed(GinkgoT())
		core, logs := observer.New(zap.InfoLevel)
		b.log = agecheck.LoggerOf(GinkgoT(), core)
		b.applyConfig(0)
		_, err := b.operator.documents.Write(GinkgoT().Context(), tw.PlanKey("h1"), platform.Document{}, tw.Plan{Hall: "h1", Generation: 5, Epoch: 50})
		Expect(err).NotTo(HaveOccurred())
		b.node("d1", b.platform)
		Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
		Expect(b.plan().Epoch).To(Equal(tw.Epoch(51)))
		before := b.platform.Calls().Writes
		Eventually(func() int { return b.platform.Calls().Writes - before }, eventualTimeout).Should(BeNumerically(">=", 5)) // renewals
		Expect(logs.FilterMessage("planning for the hall").Len()).To(Equal(1))
	})

	It("keeps planning when its predecessor's epoch is above its own, even if it already has that plan", func() {
		b := newTestBed(GinkgoT())
		b.node("d1", b.platform)
		b.node("d2", b.platform)
		b.applyConfig(0)
		Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
		Eventually(func() tw.PlacementState { return b.pendingState() }, eventualTimeout).Should(BeEmpty())
		// The state after the store lost its leases and a planner took over: the planner has
		// fenced with an epoch above the former plan's, and lease epochs count from 1 again.
		Expect(b.operator.documents.Update(GinkgoT().Context(), tw.PlanKey("h1"), func(body json.RawMessage) (any, error) {
			var plan tw.Plan
			err := json.Unmarshal(body, &plan)
			plan.Epoch = 50
			return plan, err
		})).To(Succeed())
		lost := firstServing(b)
		b.platform.RemoveInstance(lost)
		Eventually(func() tw.InstanceState { return b.state(lost) }, eventualTimeout).Should(BeEmpty())
		Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
	})

	It("fences its predecessor by writing the plan before anything else", func() {
		b := newTestBed(GinkgoT())
		one, _ := b.node("d1", b.platform)
		b.applyConfig(0)
		Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
		Eventually(func() tw.PlacementState { return b.pendingState() }, eventualTimeout).Should(BeEmpty())
		before := b.plan()
		one.Close() // like a process that is paused for good
		b.network.setIsolated("d1", true)
		b.node("d2", b.platform)
		Eventually(func() tw.Epoch { return b.plan().Epoch }, eventualTimeout).Should(BeNumerically(">", before.Epoch))
		Expect(b.plan().Generation).To(Equal(before.Generation))
	})

	It("fences an earlier process of its own daemon that had the same epoch", func() {
		b := newTestBed(GinkgoT())
		one, _ := b.node("d1", b.platform)
		b.applyConfig(0)
		Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
		Eventually(func() tw.PlacementState { return b.pendingState() }, eventualTimeout).Should(BeEmpty())
		one.Close() // like a process that was killed with a write still in flight
		late, err := b.platform.Get(GinkgoT().Context(), tw.PlanKey("h1"))
		Expect(err).NotTo(HaveOccurred())
		two, _ := b.start("d1", 2, b.platform)
		DeferCleanup(two.Close)
		Eventually(func() bool { return two.planner.leaseHeld.Load() }, eventualTimeout).Should(BeTrue())
		Eventually(func() tw.Version {
			item, err := b.platform.Get(context.Background(), tw.PlanKey("h1"))
			Expect(err).NotTo(HaveOccurred())
			return item.Version
		}, "1s").Should(BeNumerically(">", late.Version))
		_, err = b.platform.Put(GinkgoT().Context(), tw.PlanKey("h1"), late.Value, late.Version)
		Expect(err).To(MatchError(tw.ErrConflict))
	})

	It("is one daemon at a time", func() {
		b := newTestBed(GinkgoT())
		one, _ := b.node("d1", b.platform)
		two, _ := b.node("d2", b.platform)
		b.applyConfig(0)
		Eventually(func() int { return servingCount(b.plan()) }, eventualTimeout).Should(Equal(2))
		for range 50 {
			Expect(one.planner.leaseHeld.Load() && two.planner.leaseHeld.Load()).To(BeFalse())
			time.Sleep(5 * time.Millisecond)
		}
	})
})

func firstServing(b *testBed) tw.InstanceID {
	plan := b.plan()
	for i := range plan.Instances {
		if plan.Instances[i].Serves("j") {
			return plan.Instances[i].Instance
		}
	}
	return ""
}

// watchGenerations watches the plans of the dispatchers. The returned function ends
// the watch and reports whether no generation has decreased.
func watchGenerations(all ...*recordingDispatcher) func() bool {
	done := make(chan struct{})
	result := make(chan bool, 1)
	go func() {
		last := make([]tw.Generation, len(all))
		neverDecreased := true
		for {
			for i, r := range all {
				if plan := r.installedView().Plan; plan != nil {
					neverDecreased = neverDecreased && plan.Generation >= last[i]
					last[i] = plan.Generation
				}
			}
			select {
			case <-done:
				result <- neverDecreased
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() bool {
		close(done)
		return <-result
	}
}
