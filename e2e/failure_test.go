package e2e

import (
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

var _ = Describe("a fleet of separate processes", Ordered, ContinueOnFailure, func() {
	var f *fleet

	BeforeAll(func() { f = newFleet() })
	BeforeEach(func() { f.waitServing() })

	It("answers every request", func() {
		r := underLoad(f.load(300, 200), func() {})
		expectNoFaults(r)
		Expect(r.Answered).To(Equal(r.Sent), r.Line())
	})

	It("cuts nothing when a daemon stops as planned", func() {
		defer f.startDaemon("h1", "h1-e0")
		r := underLoad(f.load(600, 200), func() {
			Expect(f.daemons["h1-e0"].stop()).To(Equal(0))
		})
		expectNoFaults(r)
		Expect(r.Cut).To(BeZero(), r.Line())
		Expect(r.Unknown).To(BeZero(), r.Line())
	})

	It("gives no new work to a leaving instance after 3 s, and cuts nothing", func() {
		leaving := f.serving("h1", "boards")[0]
		defer f.setPhase(leaving, tw.PhaseLive)
		var before, after int
		r := underLoad(f.load(1000, 200), func() {
			f.setPhase(leaving, tw.PhaseLeaving)
			time.Sleep(3 * time.Second)
			before = f.runCount(leaving)
			time.Sleep(time.Second)
			after = f.runCount(leaving)
		})
		expectNoFaults(r)
		Expect(before).To(BeNumerically(">", 0))
		Expect(after).To(Equal(before))
		Expect(r.Answered).To(Equal(r.Sent), r.Line())
	})

	It("loses and doubles nothing when a worker is killed", func() {
		victim := f.serving("h2", "boards")[0]
		r := underLoad(f.load(600, 200), func() { f.upstreams[victim].kill() })
		f.replaceUpstream(victim) // or the hall would be left without a spare
		expectNoFaults(r)
		Expect(r.Cut).To(BeZero(), r.Line())
	})

	It("loses and doubles nothing when a worker freezes and comes back", func() {
		victim := f.serving("h1", "boards")[0]
		r := underLoad(f.load(600, 150), func() {
			f.upstreams[victim].signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			f.upstreams[victim].signal(syscall.SIGCONT)
		})
		expectNoFaults(r)
	})

	It("loses and doubles nothing when a daemon is killed and replaced", func() {
		r := underLoad(f.load(600, 200), func() {
			f.daemons["h2-e1"].kill()
			f.startDaemon("h2", "h2-e1")
		})
		expectNoFaults(r)
	})

	It("moves nothing past a frozen daemon, and goes on when it thaws", func() {
		paused := f.daemons["h1-e1"]
		leaving := f.serving("h1", "leases")[0]
		defer f.setPhase(leaving, tw.PhaseLive)
		r := underLoad(f.load(900, 150), func() {
			paused.signal(syscall.SIGSTOP)
			f.setPhase(leaving, tw.PhaseLeaving)
			Eventually(func() tw.InstanceState {
				plan := f.plan("h1")
				return plan.Find(leaving).State
			}, eventualTimeout, "50ms").Should(Equal(tw.InstanceDraining))
			Consistently(func() tw.InstanceState {
				plan := f.plan("h1")
				return plan.Find(leaving).State
			}, "2s", "100ms").Should(Equal(tw.InstanceDraining))
			paused.signal(syscall.SIGCONT)
			Eventually(func() tw.InstanceState {
				plan := f.plan("h1")
				return plan.Find(leaving).State
			}, eventualTimeout, "50ms").Should(Equal(tw.InstanceOut))
		})
		expectNoFaults(r)
	})

	It("goes on serving while the store is down, and plans again after", func() {
		r := underLoad(f.load(800, 200), func() {
			f.setFaults(standin.Faults{Down: true})
			time.Sleep(2 * time.Second)
			f.setFaults(standin.Faults{})
		})
		expectNoFaults(r)
		Expect(r.Answered).To(Equal(r.Sent), r.Line())
	})

	It("goes on serving in a hall that is cut off from the platform, and takes the change after", func() {
		r := underLoad(f.load(800, 150), func() {
			f.relays["h2"].setCut(true)
			time.Sleep(2 * time.Second)
			f.relays["h2"].setCut(false)
		})
		expectNoFaults(r)
		Expect(r.Answered).To(Equal(r.Sent), r.Line())
	})

	It("runs keyed requests once that callers repeat while a daemon is killed", func() {
		l := f.load(300, 150, standin.Stream{
			Name: "record", Method: "POST", Host: "boards.test", Path: "/records", Work: 20 * time.Millisecond, Keyed: true,
		})
		l.Repeat = 2
		l.Targets = f.gatewaysOf("h1")
		r := underLoad(l, func() {
			f.daemons["h1-e1"].kill()
			f.startDaemon("h1", "h1-e1")
		})
		expectNoFaults(r)
		Expect(r.Refused["key-answered"]).To(BeNumerically(">", 0))
	})

	It("tells an operator who comes second of the first one's change", func() {
		out, code := run("tamarind", "--platform", f.url, "config", "apply", "testdata/wave.toml", "--base", "0")
		Expect(code).To(Equal(3), out)
		Expect(out).To(ContainSubstring("+id = \"december\""))
		Expect(out).To(ContainSubstring("revision 1"))
	})

	It("explains instances and jobs, and shows what a change would do", func() {
		id := string(f.serving("h1", "boards")[0])
		for _, c := range [][]string{
			{"status"}, {"status", "--output", "json"}, {"explain", "instance", id},
			{"explain", "job", "board-check"}, {"plan", "testdata/wave.toml"}, {"config", "get"},
		} {
			out, code := run("tamarind", append([]string{"--platform", f.url}, c...)...)
			Expect(code).To(Equal(0), out)
			Expect(out).NotTo(BeEmpty())
		}
	})

	It("maintains every instance once, within the budget", func() {
		r := underLoad(f.load(1200, 100), func() {
			f.configure("wave.toml", 1)
			Eventually(func(g Gomega) {
				for _, hall := range halls {
					plan := f.plan(hall)
					for _, a := range plan.Instances {
						g.Expect(a.Maintained("december")).To(BeTrue(), "%s: %s %s", a.Instance, a.State, a.Reason)
					}
				}
			}, eventualTimeout, "100ms").Should(Succeed())
		})
		expectNoFaults(r)
		Expect(r.Answered).To(Equal(r.Sent), r.Line())
	})
})
