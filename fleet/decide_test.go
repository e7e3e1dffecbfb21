package fleet

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// scenario is an event in a stable hall of 12 instances with two pools of three
// replicas each, and a check of the result.
type scenario struct {
	event func(h *fakeHall)
	check func(h *fakeHall)
}

var scenarios = map[string]scenario{
	"an instance is lost: a spare takes its place": {
		event: func(h *fakeHall) { h.removeInstances(hasID("w000")) },
		check: func(h *fakeHall) {
			Expect(h.serving("jp0")).To(HaveLen(3))
			Expect(h.serving("jp1")).To(HaveLen(3))
			Expect(h.state("w000")).To(BeEmpty())
		},
	},
	"a rack is lost: spares take its place": {
		event: func(h *fakeHall) { h.removeInstances(func(in tw.Instance) bool { return in.Rack == "r0" }) },
		check: func(h *fakeHall) {
			Expect(h.serving("jp0")).To(HaveLen(3))
			Expect(h.serving("jp1")).To(HaveLen(3))
		},
	},
	"an instance leaves and stays after all: it is a spare again": {
		event: func(h *fakeHall) {
			h.find("w000").Phase = tw.PhaseLeaving
			h.runUntilStable()
			Expect(h.state("w000")).To(Equal(tw.InstanceOut))
			h.find("w000").Phase = tw.PhaseLive
		},
		check: func(h *fakeHall) { Expect(h.state("w000")).To(Equal(tw.InstanceSpare)) },
	},
	"an instance is missing from the list for a moment: it drains before it is used again": {
		event: func(h *fakeHall) {
			h.paused["d1"] = true
			lost := *h.find("w000")
			h.removeInstances(hasID("w000"))
			h.runUntilStable()
			h.in.Instances = append(h.in.Instances, lost)
			h.runUntilStable()
			Expect(h.state("w000")).To(Equal(tw.InstanceDraining))
			h.paused["d1"] = false
		},
		check: func(h *fakeHall) { Expect(h.state("w000")).To(Equal(tw.InstanceSpare)) },
	},
	"a daemon is paused: the move waits for it": {
		event: func(h *fakeHall) {
			h.paused["d2"] = true
			h.find("w000").Phase = tw.PhaseLeaving
			h.runUntilStable()
		},
		check: func(h *fakeHall) {
			Expect(h.state("w000")).To(Equal(tw.InstanceDraining))
			Expect(h.serving("jp0")).To(HaveLen(3))
			h.paused["d2"] = false
			h.runUntilStable()
			Expect(h.state("w000")).To(Equal(tw.InstanceOut))
		},
	},
	"the platform loses a task: it is started again under a new id": {
		event: func(h *fakeHall) {
			maps.DeleteFunc(h.tasks, func(_ tw.TaskID, t tw.Task) bool { return t.Instance == "w000" })
			h.refreshInput()
		},
		check: func(h *fakeHall) { Expect(h.serving("jp0")).To(ContainElement(tw.InstanceID("w000"))) },
	},
	"a job that fits nowhere is unplaced and does not delay others": {
		event: func(h *fakeHall) {
			c := poolConfig(2, 3)
			c.Jobs = append([]tw.Job{{ID: "huge", Service: "sp0", Labels: map[string]string{"pool": "p0"}, Replicas: 1, Cores: 64}}, c.Jobs...)
			c.Jobs[1].Replicas = 4
			h.configure(c)
		},
		check: func(h *fakeHall) {
			Expect(h.unplacedReason("huge")).To(Equal(tw.ReasonTooLarge))
			Expect(h.serving("jp0")).To(HaveLen(4))
		},
	},
	"a job that matches no pool is unplaced": {
		event: func(h *fakeHall) {
			c := poolConfig(2, 3)
			c.Jobs = append(c.Jobs, tw.Job{ID: "stray", Service: "sp0", Replicas: 1, Cores: 1})
			h.configure(c)
		},
		check: func(h *fakeHall) { Expect(h.unplacedReason("stray")).To(Equal(tw.ReasonNoPool)) },
	},
	"a job that fails on three instances is unplaced": {
		event: func(h *fakeHall) {
			for _, in := range h.in.Instances {
				h.failsTasks[in.ID] = true
			}
			c := poolConfig(2, 3)
			c.Jobs = append(c.Jobs, tw.Job{ID: "bad", Service: "sp0", Labels: map[string]string{"pool": "p0"}, Replicas: 3, Cores: 1})
			h.configure(c)
		},
		check: func(h *fakeHall) {
			Expect(h.unplacedReason("bad")).To(Equal(tw.ReasonFailing))
			Expect(h.serving("jp0")).To(HaveLen(3))
			for _, a := range h.in.Plan.Instances {
				Expect(a.State).NotTo(Equal(tw.InstanceQuarantined), "%s must not be quarantined", a.Instance)
			}
		},
	},
	"a worker that fails every task is quarantined and no longer used": {
		event: func(h *fakeHall) {
			h.failsTasks["w006"] = true
			h.failsTasks["w007"] = true
			h.removeInstances(hasID("w000"))
			h.removeInstances(hasID("w001"))
		},
		check: func(h *fakeHall) {
			Expect(h.serving("jp0")).To(HaveLen(3))
			Expect(h.serving("jp1")).To(HaveLen(3))
			Expect(h.serving("jp0")).NotTo(ContainElement(tw.InstanceID("w006")))
			Expect(h.serving("jp1")).NotTo(ContainElement(tw.InstanceID("w006")))
		},
	},
	"a worker that fails every request is quarantined if others succeed": {
		event: func(h *fakeHall) {
			first := h.serving("jp0")[0]
			h.in.Health = map[tw.InstanceID]Health{first: {Failed: 9}}
			h.pass()
			Expect(h.state(first)).To(Equal(tw.InstanceDraining))
			h.in.Health = nil
		},
		check: func(h *fakeHall) { Expect(h.serving("jp0")).To(HaveLen(3)) },
	},
	"all workers of a job fail: none is quarantined": {
		event: func(h *fakeHall) {
			h.in.Health = map[tw.InstanceID]Health{}
			for _, id := range h.serving("jp0") {
				h.in.Health[id] = Health{Failed: 9}
			}
		},
		check: func(h *fakeHall) { Expect(h.serving("jp0")).To(HaveLen(3)) },
	},
	"a pool is removed: its instances become spares": {
		event: func(h *fakeHall) { h.configure(poolConfig(1, 3)) },
		check: func(h *fakeHall) {
			Expect(h.serving("jp1")).To(BeEmpty())
			for _, a := range h.in.Plan.Instances {
				Expect(a.Pool).NotTo(Equal(tw.PoolID("p1")))
			}
		},
	},
	"a label takes an instance out of its pool: it is replaced": {
		event: func(h *fakeHall) {
			c := poolConfig(2, 3)
			c.Labels = map[tw.InstanceID]map[string]string{"w000": {"kind": "special"}}
			h.configure(c)
		},
		check: func(h *fakeHall) {
			Expect(h.serving("jp0")).To(HaveLen(3))
			Expect(h.state("w000")).To(Equal(tw.InstanceSpare))
		},
	},
	"the measured load is above the declared size: the pool grows": {
		event: func(h *fakeHall) { h.in.BusySlots = map[tw.JobID]float64{"jp0": 27} },
		check: func(h *fakeHall) {
			n := 0
			for _, a := range h.in.Plan.Instances {
				if a.Pool == "p0" && a.Active() {
					n++
				}
			}
			Expect(n).To(Equal(5)) // 27 busy slots / (8 slots per instance * 0.7)
		},
	},
	"a wave maintains every instance once": {
		event: func(h *fakeHall) {
			c := poolConfig(2, 3)
			c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), MaxConcurrent: 2}}
			h.configure(c)
		},
		check: func(h *fakeHall) {
			for _, a := range h.in.Plan.Instances {
				Expect(a.Waves).To(Equal([]tw.WaveID{"w"}), string(a.Instance))
				Expect(h.find(a.Instance).Boots).To(Equal(uint64(1)), string(a.Instance))
			}
		},
	},
	"a wave that is no longer configured is removed from the plan": {
		event: func(h *fakeHall) {
			c := poolConfig(2, 3)
			c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), MaxConcurrent: 4}}
			h.configure(c)
			h.runUntilStable()
			h.configure(poolConfig(2, 3))
		},
		check: func(h *fakeHall) {
			for _, a := range h.in.Plan.Instances {
				Expect(a.Waves).To(BeEmpty())
			}
		},
	},
	"a wave pauses while a pool is short": {
		event: func(h *fakeHall) {
			c := poolConfig(2, 3)
			c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), MaxConcurrent: 2}}
			h.removeInstances(func(in tw.Instance) bool { return in.Rack != "r0" })
			h.configure(c)
		},
		check: func(h *fakeHall) {
			for _, a := range h.in.Plan.Instances {
				Expect(a.Waves).To(BeEmpty())
			}
		},
	},
}

var _ = Describe("Decide", func() {
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		It(name, func() {
			h := newFakeHall(poolConfig(2, 3), 12)
			h.runUntilStable()
			Expect(h.serving("jp0")).To(HaveLen(3))
			Expect(h.serving("jp1")).To(HaveLen(3))
			scenarios[name].event(h)
			h.runUntilStable()
			scenarios[name].check(h)
		})
	}

	It("does not release an instance in the pass that drains it, even without members", func() {
		h := newFakeHall(poolConfig(2, 3), 12)
		h.runUntilStable()
		h.removeInstances(hasID("w000"))
		h.in.Members = nil // the planner reads the roster only while a handover is pending
		out := Decide(h.in)
		a := out.Plan.Find("w000")
		Expect(a).NotTo(BeNil())
		Expect(a.State).To(Equal(tw.InstanceDraining))
	})

	It("assigns a returning instance to no pool while tasks of its former pool run on it", func() {
		h := newFakeHall(poolConfig(2, 3), 6)
		h.runUntilStable()
		id := h.serving("jp0")[0]
		back := *h.find(id)
		h.in.Instances = slices.DeleteFunc(h.in.Instances, hasID(id)) // unlisted, but its task keeps running
		h.ignoresStop[id] = true
		h.runUntilStable()
		Expect(h.state(id)).To(BeEmpty())
		c := poolConfig(2, 4) // pool p1 is short of an instance
		c.Jobs[0].Replicas = 2
		h.configure(c)
		h.runUntilStable()
		h.in.Instances = append(h.in.Instances, back)
		h.runUntilStable()
		Expect(h.state(id)).To(Equal(tw.InstanceSpare))
		h.ignoresStop[id] = false
		h.runUntilStable()
		Expect(h.in.Plan.Find(id).Pool).To(Equal(tw.PoolID("p1")))
		Expect(h.state(id)).To(Equal(tw.InstanceServing))
	})

	It("keeps the budget and the limit on moves during a wave", func() {
		h := newFakeHall(poolConfig(5, 10), 60)
		h.runUntilStable()
		c := poolConfig(5, 10)
		c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), MaxConcurrent: 8}}
		h.configure(c)
		for range 500 {
			changed := h.pass().Changed
			draining := 0
			for _, a := range h.in.Plan.Instances {
				if a.State == tw.InstanceDraining {
					draining++
				}
			}
			Expect(draining).To(BeNumerically("<=", h.in.Config.Spares.MaxMoves))
			for _, j := range c.Jobs {
				Expect(len(h.serving(j.ID))).To(BeNumerically(">=", 9), string(j.ID))
			}
			if !changed {
				return
			}
		}
		Fail("the wave does not end")
	})

	It("spreads pools and the remaining spares over racks", func() {
		h := newFakeHall(poolConfig(5, 3), 20)
		h.runUntilStable()
		active, spare := map[tw.RackID]int{}, map[tw.RackID]int{}
		for _, a := range h.in.Plan.Instances {
			if a.Active() {
				active[a.Rack]++
			} else {
				spare[a.Rack]++
			}
		}
		Expect(active).To(HaveLen(5))
		for rack, n := range active {
			Expect(n).To(Equal(3), string(rack))
			Expect(spare[rack]).To(Equal(1), string(rack))
		}
		Expect(h.in.Plan.SparesNeeded).To(Equal(3))
	})

	It("never stops the only replica of a job before another one runs", func() {
		h := newFakeHall(poolConfig(1, 1), 3)
		h.runUntilStable()
		c := poolConfig(1, 1)
		c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), MaxConcurrent: 2}}
		h.configure(c)
		for range 60 {
			h.pass()
			Expect(h.serving("jp0")).NotTo(BeEmpty())
		}
		for _, a := range h.in.Plan.Instances {
			Expect(a.Waves).To(Equal([]tw.WaveID{"w"}), string(a.Instance))
		}
	})

	It("uses no budget for a wave while one of its instances will be back as a spare", func() {
		h := newFakeHall(poolConfig(2, 2), 5)
		h.runUntilStable()
		c := poolConfig(2, 2)
		c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), MaxConcurrent: 2}}
		h.configure(c)
		for range 100 {
			h.pass()
			Expect(h.serving("jp0")).To(HaveLen(2))
			Expect(h.serving("jp1")).To(HaveLen(2))
		}
		for _, a := range h.in.Plan.Instances {
			Expect(a.Waves).To(Equal([]tw.WaveID{"w"}), string(a.Instance))
		}
	})

	It("gives the same output for the same input", func() {
		h := newFakeHall(poolConfig(5, 10), 60)
		h.pass()
		h.refreshInput()
		Expect(Decide(h.in)).To(Equal(Decide(h.in)))
	})

	It("changes nothing when nothing has happened", func() {
		h := newFakeHall(poolConfig(5, 10), 60)
		h.runUntilStable()
		before := h.in.Plan.Generation
		starts := h.starts
		Expect(h.runUntilStable()).To(BeZero())
		Expect(h.in.Plan.Generation).To(Equal(before))
		Expect(h.starts).To(Equal(starts))
	})
})

func hasID(id tw.InstanceID) func(tw.Instance) bool {
	return func(in tw.Instance) bool { return in.ID == id }
}
