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
		expectNoViolations(r)
		Expect(r.Answered).To(Equal(r.Sent), r.Line())
	})

	It("cuts no request short when a daemon is stopped gracefully", func() {
		defer f.startDaemon("h1", "h1-e0")
		r := underLoad(f.load(600, 200), func() {
			Expect(f.daemons["h1-e0"].stop()).To(Equal(0))
		})
		expectNoViolations(r)
		Expect(r.Cut).To(BeZero(), r.Line())
		Expect(r.Unknown).To(BeZero(), r.Line())
	})

	It("sends no new requests to a leaving instance after 3 s, and cuts none short", func() {
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
		expectNoViolations(r)
		Expect(before).To(BeNumerically(">", 0))
		Expect(after).To(Equal(before))
		Expect(r.Answered).To(Equal(r.Sent), r.Line())
	})

	It("loses and duplicates no request when an upstream is killed", func() {
		victim := f.serving("h2", "boards")[0]
		r := underLoad(f.load(600, 200), func() { f.upstreams[victim].kill() })
		f.replaceUpstream(victim) // keeps a spare instance in the hall for the next specs
		expectNoViolations(r)
		Expect(r.Cut).To(BeZero(), r.Line())
	})

	It("loses and duplicates no request when an upstream is paused and resumed", func() {
		victim := f.serving("h1", "boards")[0]
		r := underLoad(f.load(600, 150), func() {
			f.upstreams[victim].signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			f.upstreams[victim].signal(syscall.SIGCONT)
		})
		expectNoViolations(r)
	})

	It("loses and duplicates no request when a daemon is killed and replaced", func() {
		r := underLoad(f.load(600, 200), func() {
			f.daemons["h2-e1"].kill()
			f.startDaemon("h2", "h2-e1")
		})
		expectNoViolations(r)
	})

	It("does not move an instance while a daemon is paused, and continues once it is resumed", func() {
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
		expectNoViolations(r)
	})

	It("keeps serving while the store is down", func() {
		r := underLoad(f.load(800, 200), func() {
			f.setFaults(standin.Faults{Down: true})
			time.Sleep(2 * time.Second)
			f.setFaults(standin.Faults{})
		})
		expectNoViolations(r)
		Expect(r.Answered).To(Equal(r.Sent), r.Line())
	})

	It("keeps serving in a hall that is cut off from the platform", func() {
		r := underLoad(f.load(800, 150), func() {
			f.relays["h2"].setCut(true)
			time.Sleep(2 * time.Second)
			f.relays["h2"].setCut(false)
		})
		expectNoViolations(r)
		Expect(r.Answered).To(Equal(r.Sent), r.Line())
	})

	It("runs requests with an idempotency key once when callers repeat them while a daemon is killed", func() {
		l := f.load(300, 150, standin.Stream{
			Name: "record", Method: "POST", Host: "boards.test", Path: "/records", Work: 20 * time.Millisecond, Keyed: true,
		})
		l.Repeat = 2
		l.Targets = f.gatewaysOf("h1")
		r := underLoad(l, func() {
			f.daemons["h1-e1"].kill()
			f.startDaemon("h1", "h1-e1")
		})
		expectNoViolations(r)
		Expect(r.Refused["key-answered"]).To(BeNumerically(">", 0))
	})

	It("rejects a change based on an outdated revision and shows the conflicting difference", func() {
		out, code := run("tamarind", "--platform", f.url, "config", "apply", "testdata/wave.toml", "--base", "0")
		Expect(code).To(Equal(3), out)
		Expect(out).To(ContainSubstring("+id = \"december\""))
		Expect(out).To(ContainSubstring("revision 1"))
	})

	It("explains instances and jobs, and previews a configuration change", func() {
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

	It("completes a maintenance wave on every instance without failing requests", func() {
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
		expectNoViolations(r)
		Expect(r.Answered).To(Equal(r.Sent), r.Line())
	})
})
