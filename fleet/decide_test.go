package fleet

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// scenario is one thing that happens to a hall of 12 instances, two pools with
// three replicas each, that has settled.
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
	"the list loses an instance for a moment: it drains before it is used again": {
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
	"a job that fits nowhere is set aside and holds nothing up": {
		event: func(h *fakeHall) {
			c := pools(2, 3)
			c.Jobs = append([]tw.Job{{ID: "huge", Service: "sp0", Labels: map[string]string{"pool": "p0"}, Replicas: 1, Cores: 64}}, c.Jobs...)
			c.Jobs[1].Replicas = 4
			h.configure(c)
		},
		check: func(h *fakeHall) {
			Expect(h.unplacedReason("huge")).To(Equal(tw.ReasonTooLarge))
			Expect(h.serving("jp0")).To(HaveLen(4))
		},
	},
	"a job that no pool takes is set aside": {
		event: func(h *fakeHall) {
			c := pools(2, 3)
			c.Jobs = append(c.Jobs, tw.Job{ID: "stray", Service: "sp0", Replicas: 1, Cores: 1})
			h.configure(c)
		},
		check: func(h *fakeHall) { Expect(h.unplacedReason("stray")).To(Equal(tw.ReasonNoPool)) },
	},
	"a job that fails wherever it starts is set aside after three tries": {
		event: func(h *fakeHall) {
			for _, in := range h.in.Instances {
				h.failsTasks[in.ID] = true
			}
			c := pools(2, 3)
			c.Jobs = append(c.Jobs, tw.Job{ID: "bad", Service: "sp0", Labels: map[string]string{"pool": "p0"}, Replicas: 3, Cores: 1})
			h.configure(c)
		},
		check: func(h *fakeHall) {
			Expect(h.unplacedReason("bad")).To(Equal(tw.ReasonFailing))
			Expect(h.serving("jp0")).To(HaveLen(3))
			for _, a := range h.in.Plan.Instances {
				Expect(a.State).NotTo(Equal(tw.InstanceQuarantined), "%s is not to blame", a.Instance)
			}
		},
	},
	"a worker that fails every task is quarantined, and used no more": {
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
	"a worker that fails every request is quarantined if others do not": {
		event: func(h *fakeHall) {
			first := h.serving("jp0")[0]
			h.in.Health = map[tw.InstanceID]Health{first: {Failed: 9}}
			h.pass()
			Expect(h.state(first)).To(Equal(tw.InstanceDraining))
			h.in.Health = nil
		},
		check: func(h *fakeHall) { Expect(h.serving("jp0")).To(HaveLen(3)) },
	},
	"all workers of a job fail: it is not the workers": {
		event: func(h *fakeHall) {
			h.in.Health = map[tw.InstanceID]Health{}
			for _, id := range h.serving("jp0") {
				h.in.Health[id] = Health{Failed: 9}
			}
		},
		check: func(h *fakeHall) { Expect(h.serving("jp0")).To(HaveLen(3)) },
	},
	"a pool is taken away: its instances become spares": {
		event: func(h *fakeHall) { h.configure(pools(1, 3)) },
		check: func(h *fakeHall) {
			Expect(h.serving("jp1")).To(BeEmpty())
			for _, a := range h.in.Plan.Instances {
				Expect(a.Pool).NotTo(Equal(tw.PoolID("p1")))
			}
		},
	},
	"a label takes an instance out of its pool: it is replaced": {
		event: func(h *fakeHall) {
			c := pools(2, 3)
			c.Labels = map[tw.InstanceID]map[string]string{"w000": {"kind": "special"}}
			h.configure(c)
		},
		check: func(h *fakeHall) {
			Expect(h.serving("jp0")).To(HaveLen(3))
			Expect(h.state("w000")).To(Equal(tw.InstanceSpare))
		},
	},
	"measured use is above the declared size: the pool grows": {
		event: func(h *fakeHall) { h.in.BusySlots = map[tw.JobID]float64{"jp0": 27} },
		check: func(h *fakeHall) {
			n := 0
			for _, a := range h.in.Plan.Instances {
				if a.Pool == "p0" && a.Active() {
					n++
				}
			}
			Expect(n).To(Equal(5)) // 27 busy of 8 slots each, at most 0.7 full
		},
	},
	"a wave maintains every instance once": {
		event: func(h *fakeHall) {
			c := pools(2, 3)
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
	"a wave that is over is forgotten": {
		event: func(h *fakeHall) {
			c := pools(2, 3)
			c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), MaxConcurrent: 4}}
			h.configure(c)
			h.runUntilStable()
			h.configure(pools(2, 3))
		},
		check: func(h *fakeHall) {
			for _, a := range h.in.Plan.Instances {
				Expect(a.Waves).To(BeEmpty())
			}
		},
	},
	"a wave pauses while a pool is short": {
		event: func(h *fakeHall) {
			c := pools(2, 3)
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
			h := newFakeHall(pools(2, 3), 12)
			h.runUntilStable()
			Expect(h.serving("jp0")).To(HaveLen(3))
			Expect(h.serving("jp1")).To(HaveLen(3))
			scenarios[name].event(h)
			h.runUntilStable()
			scenarios[name].check(h)
		})
	}

	It("releases nothing in the pass that drains it, whoever is in the roster", func() {
		h := newFakeHall(pools(2, 3), 12)
		h.runUntilStable()
		h.removeInstances(hasID("w000"))
		h.in.Members = nil // as at rest: the roster is read once something is on its way
		out := Decide(h.in)
		a := out.Plan.Find("w000")
		Expect(a).NotTo(BeNil())
		Expect(a.State).To(Equal(tw.InstanceDraining))
	})

	It("gives an instance that comes back to no pool while tasks of its former one run there", func() {
		h := newFakeHall(pools(2, 3), 6)
		h.runUntilStable()
		id := h.serving("jp0")[0]
		back := *h.find(id)
		h.in.Instances = slices.DeleteFunc(h.in.Instances, hasID(id)) // the list lacks it; its task runs on
		h.ignoresStop[id] = true
		h.runUntilStable()
		Expect(h.state(id)).To(BeEmpty())
		c := pools(2, 4) // pool p1 lacks an instance
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

	It("keeps the budget and the bound on moves through a wave", func() {
		h := newFakeHall(pools(5, 10), 60)
		h.runUntilStable()
		c := pools(5, 10)
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

	It("spreads pools over racks, and leaves the spares spread", func() {
		h := newFakeHall(pools(5, 3), 20)
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
		h := newFakeHall(pools(1, 1), 3)
		h.runUntilStable()
		c := pools(1, 1)
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

	It("uses no budget for a wave while a spare will be back", func() {
		h := newFakeHall(pools(2, 2), 5)
		h.runUntilStable()
		c := pools(2, 2)
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
		h := newFakeHall(pools(5, 10), 60)
		h.pass()
		h.refreshInput()
		Expect(Decide(h.in)).To(Equal(Decide(h.in)))
	})

	It("changes nothing when nothing has happened", func() {
		h := newFakeHall(pools(5, 10), 60)
		h.runUntilStable()
		before := h.in.Plan.Generation
		moves := h.starts
		Expect(h.runUntilStable()).To(BeZero())
		Expect(h.in.Plan.Generation).To(Equal(before))
		Expect(h.starts).To(Equal(moves))
	})
})

func hasID(id tw.InstanceID) func(tw.Instance) bool {
	return func(in tw.Instance) bool { return in.ID == id }
}
