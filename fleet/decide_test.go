package fleet

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// story is one thing that happens to a hall of 12 instances, two pools with
// three replicas each, that has settled.
type story struct {
	happens func(h *hall)
	then    func(h *hall)
}

var stories = map[string]story{
	"an instance is lost: a spare takes its place": {
		happens: func(h *hall) { h.lose(is("w000")) },
		then: func(h *hall) {
			Expect(h.serving("jp0")).To(HaveLen(3))
			Expect(h.serving("jp1")).To(HaveLen(3))
			Expect(h.state("w000")).To(BeEmpty())
		},
	},
	"a rack is lost: spares take its place": {
		happens: func(h *hall) { h.lose(func(in tw.Instance) bool { return in.Rack == "r0" }) },
		then: func(h *hall) {
			Expect(h.serving("jp0")).To(HaveLen(3))
			Expect(h.serving("jp1")).To(HaveLen(3))
		},
	},
	"an instance leaves and stays after all: it is a spare again": {
		happens: func(h *hall) {
			h.find("w000").Phase = tw.PhaseLeaving
			h.settle()
			Expect(h.state("w000")).To(Equal(tw.InstanceOut))
			h.find("w000").Phase = tw.PhaseLive
		},
		then: func(h *hall) { Expect(h.state("w000")).To(Equal(tw.InstanceSpare)) },
	},
	"the list loses an instance for a moment: it drains before it is used again": {
		happens: func(h *hall) {
			h.paused["d1"] = true
			lost := *h.find("w000")
			h.lose(is("w000"))
			h.settle()
			h.in.Instances = append(h.in.Instances, lost)
			h.settle()
			Expect(h.state("w000")).To(Equal(tw.InstanceDraining))
			h.paused["d1"] = false
		},
		then: func(h *hall) { Expect(h.state("w000")).To(Equal(tw.InstanceSpare)) },
	},
	"a daemon is paused: the move waits for it": {
		happens: func(h *hall) {
			h.paused["d2"] = true
			h.find("w000").Phase = tw.PhaseLeaving
			h.settle()
		},
		then: func(h *hall) {
			Expect(h.state("w000")).To(Equal(tw.InstanceDraining))
			Expect(h.serving("jp0")).To(HaveLen(3))
			h.paused["d2"] = false
			h.settle()
			Expect(h.state("w000")).To(Equal(tw.InstanceOut))
		},
	},
	"the platform loses a task: it is started again under a new id": {
		happens: func(h *hall) {
			maps.DeleteFunc(h.tasks, func(_ tw.TaskID, t tw.Task) bool { return t.Instance == "w000" })
			h.see()
		},
		then: func(h *hall) { Expect(h.serving("jp0")).To(ContainElement(tw.InstanceID("w000"))) },
	},
	"a job that fits nowhere is set aside and holds nothing up": {
		happens: func(h *hall) {
			c := pools(2, 3)
			c.Jobs = append([]tw.Job{{ID: "huge", Service: "sp0", Labels: map[string]string{"pool": "p0"}, Replicas: 1, Cores: 64}}, c.Jobs...)
			c.Jobs[1].Replicas = 4
			h.configure(c)
		},
		then: func(h *hall) {
			Expect(h.setAside("huge")).To(Equal(tw.ReasonTooLarge))
			Expect(h.serving("jp0")).To(HaveLen(4))
		},
	},
	"a job that no pool takes is set aside": {
		happens: func(h *hall) {
			c := pools(2, 3)
			c.Jobs = append(c.Jobs, tw.Job{ID: "stray", Service: "sp0", Replicas: 1, Cores: 1})
			h.configure(c)
		},
		then: func(h *hall) { Expect(h.setAside("stray")).To(Equal(tw.ReasonNoPool)) },
	},
	"a job that fails wherever it starts is set aside after three tries": {
		happens: func(h *hall) {
			for _, in := range h.in.Instances {
				h.fails[in.ID] = true
			}
			c := pools(2, 3)
			c.Jobs = append(c.Jobs, tw.Job{ID: "bad", Service: "sp0", Labels: map[string]string{"pool": "p0"}, Replicas: 3, Cores: 1})
			h.configure(c)
		},
		then: func(h *hall) {
			Expect(h.setAside("bad")).To(Equal(tw.ReasonFailing))
			Expect(h.serving("jp0")).To(HaveLen(3))
			for _, a := range h.in.Plan.Instances {
				Expect(a.State).NotTo(Equal(tw.InstanceQuarantined), "%s is not to blame", a.Instance)
			}
		},
	},
	"a worker that fails every task is quarantined, and used no more": {
		happens: func(h *hall) {
			h.fails["w006"] = true
			h.fails["w007"] = true
			h.lose(is("w000"))
			h.lose(is("w001"))
		},
		then: func(h *hall) {
			Expect(h.serving("jp0")).To(HaveLen(3))
			Expect(h.serving("jp1")).To(HaveLen(3))
			Expect(h.serving("jp0")).NotTo(ContainElement(tw.InstanceID("w006")))
			Expect(h.serving("jp1")).NotTo(ContainElement(tw.InstanceID("w006")))
		},
	},
	"a worker that fails every request is quarantined if others do not": {
		happens: func(h *hall) {
			first := h.serving("jp0")[0]
			h.in.Health = map[tw.InstanceID]Health{first: {Failed: 9}}
			h.pass()
			Expect(h.state(first)).To(Equal(tw.InstanceDraining))
			h.in.Health = nil
		},
		then: func(h *hall) { Expect(h.serving("jp0")).To(HaveLen(3)) },
	},
	"all workers of a job fail: it is not the workers": {
		happens: func(h *hall) {
			h.in.Health = map[tw.InstanceID]Health{}
			for _, id := range h.serving("jp0") {
				h.in.Health[id] = Health{Failed: 9}
			}
		},
		then: func(h *hall) { Expect(h.serving("jp0")).To(HaveLen(3)) },
	},
	"a pool is taken away: its instances become spares": {
		happens: func(h *hall) { h.configure(pools(1, 3)) },
		then: func(h *hall) {
			Expect(h.serving("jp1")).To(BeEmpty())
			for _, a := range h.in.Plan.Instances {
				Expect(a.Pool).NotTo(Equal(tw.PoolID("p1")))
			}
		},
	},
	"a label takes an instance out of its pool: it is replaced": {
		happens: func(h *hall) {
			c := pools(2, 3)
			c.Labels = map[tw.InstanceID]map[string]string{"w000": {"kind": "special"}}
			h.configure(c)
		},
		then: func(h *hall) {
			Expect(h.serving("jp0")).To(HaveLen(3))
			Expect(h.state("w000")).To(Equal(tw.InstanceSpare))
		},
	},
	"measured use is above the declared size: the pool grows": {
		happens: func(h *hall) { h.in.Busy = map[tw.JobID]float64{"jp0": 27} },
		then: func(h *hall) {
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
		happens: func(h *hall) {
			c := pools(2, 3)
			c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), AtOnce: 2}}
			h.configure(c)
		},
		then: func(h *hall) {
			for _, a := range h.in.Plan.Instances {
				Expect(a.Waves).To(Equal([]tw.WaveID{"w"}), string(a.Instance))
				Expect(h.find(a.Instance).Boots).To(Equal(uint64(1)), string(a.Instance))
			}
		},
	},
	"a wave that is over is forgotten": {
		happens: func(h *hall) {
			c := pools(2, 3)
			c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), AtOnce: 4}}
			h.configure(c)
			h.settle()
			h.configure(pools(2, 3))
		},
		then: func(h *hall) {
			for _, a := range h.in.Plan.Instances {
				Expect(a.Waves).To(BeEmpty())
			}
		},
	},
	"a wave pauses while a pool is short": {
		happens: func(h *hall) {
			c := pools(2, 3)
			c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), AtOnce: 2}}
			h.lose(func(in tw.Instance) bool { return in.Rack != "r0" })
			h.configure(c)
		},
		then: func(h *hall) {
			for _, a := range h.in.Plan.Instances {
				Expect(a.Waves).To(BeEmpty())
			}
		},
	},
}

var _ = Describe("Decide", func() {
	for _, name := range slices.Sorted(maps.Keys(stories)) {
		It(name, func() {
			h := newHall(pools(2, 3), 12)
			h.settle()
			Expect(h.serving("jp0")).To(HaveLen(3))
			Expect(h.serving("jp1")).To(HaveLen(3))
			stories[name].happens(h)
			h.settle()
			stories[name].then(h)
		})
	}

	It("releases nothing in the pass that drains it, whoever is in the roster", func() {
		h := newHall(pools(2, 3), 12)
		h.settle()
		h.lose(is("w000"))
		h.in.Members = nil // as at rest: the roster is read once something is on its way
		out := Decide(h.in)
		a := out.Plan.Find("w000")
		Expect(a).NotTo(BeNil())
		Expect(a.State).To(Equal(tw.InstanceDraining))
	})

	It("gives an instance that comes back to no pool while tasks of its former one run there", func() {
		h := newHall(pools(2, 3), 6)
		h.settle()
		id := h.serving("jp0")[0]
		back := *h.find(id)
		h.in.Instances = slices.DeleteFunc(h.in.Instances, is(id)) // the list lacks it; its task runs on
		h.deaf[id] = true
		h.settle()
		Expect(h.state(id)).To(BeEmpty())
		c := pools(2, 4) // pool p1 lacks an instance
		c.Jobs[0].Replicas = 2
		h.configure(c)
		h.settle()
		h.in.Instances = append(h.in.Instances, back)
		h.settle()
		Expect(h.state(id)).To(Equal(tw.InstanceSpare))
		h.deaf[id] = false
		h.settle()
		Expect(h.in.Plan.Find(id).Pool).To(Equal(tw.PoolID("p1")))
		Expect(h.state(id)).To(Equal(tw.InstanceServing))
	})

	It("keeps the budget and the bound on moves through a wave", func() {
		h := newHall(pools(5, 10), 60)
		h.settle()
		c := pools(5, 10)
		c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), AtOnce: 8}}
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
		h := newHall(pools(5, 3), 20)
		h.settle()
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
		h := newHall(pools(1, 1), 3)
		h.settle()
		c := pools(1, 1)
		c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), AtOnce: 2}}
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
		h := newHall(pools(2, 2), 5)
		h.settle()
		c := pools(2, 2)
		c.Waves = []tw.Wave{{ID: "w", Instances: selector("kind=general"), AtOnce: 2}}
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
		h := newHall(pools(5, 10), 60)
		h.pass()
		h.see()
		Expect(Decide(h.in)).To(Equal(Decide(h.in)))
	})

	It("changes nothing when nothing has happened", func() {
		h := newHall(pools(5, 10), 60)
		h.settle()
		before := h.in.Plan.Generation
		moves := h.moves
		Expect(h.settle()).To(BeZero())
		Expect(h.in.Plan.Generation).To(Equal(before))
		Expect(h.moves).To(Equal(moves))
	})
})

func is(id tw.InstanceID) func(tw.Instance) bool {
	return func(in tw.Instance) bool { return in.ID == id }
}
