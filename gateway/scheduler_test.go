package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/fakeclock"
)

// schedulerHarness is a scheduler that a test runs step by step, with a fake
// clock.
type schedulerHarness struct {
	*scheduler
	clock *fakeclock.Clock
}

func newSchedulerHarness(view tw.View) *schedulerHarness {
	clock := fakeclock.New()
	c := Config{Clock: clock, Seed: 1}
	c.defaults()
	h := &schedulerHarness{scheduler: newScheduler(c), clock: clock}
	h.install(view)
	return h
}

func (h *schedulerHarness) newRequest(class tw.Class, team tw.TeamID) slotRequest {
	return slotRequest{job: "job", class: class, team: team, deadline: h.clock.Now().Add(time.Hour)}
}

// tryAdmit admits a request without waiting for a slot.
func (h *schedulerHarness) tryAdmit(req slotRequest) (*grant, *waiter, *Refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.admit(req)
}

// fillSlots acquires all free slots.
func (h *schedulerHarness) fillSlots() []*grant {
	var out []*grant
	for {
		g, w, _ := h.tryAdmit(h.newRequest(tw.ClassQuick, ""))
		if g == nil {
			if w != nil {
				h.mu.Lock()
				h.removeWaiter(w)
				h.mu.Unlock()
			}
			return out
		}
		out = append(out, g)
	}
}

// releaseAndCount releases n slots one after the other, and counts by name the
// waiters that were granted one.
func (h *schedulerHarness) releaseAndCount(n int, grants *[]*grant, waiters map[*waiter]string) map[string]int {
	got := map[string]int{}
	for range n {
		h.clock.Advance(time.Millisecond)
		h.release((*grants)[0], releaseOK)
		*grants = (*grants)[1:]
		for w, name := range waiters {
			select {
			case out := <-w.ready:
				*grants = append(*grants, out.grant)
				got[name]++
				delete(waiters, w)
			default:
			}
		}
	}
	return got
}

var _ = Describe("turns", func() {
	It("go to classes by weight, regardless of earlier use", func() {
		h := newSchedulerHarness(newView(8, "a"))
		held := h.fillSlots()
		waiters := map[*waiter]string{}
		for range 200 {
			_, w, _ := h.tryAdmit(h.newRequest(tw.ClassNormal, ""))
			waiters[w] = "before"
		}
		// For a while, only normal requests are served.
		Expect(h.releaseAndCount(200, &held, waiters)["before"]).To(BeNumerically(">", 180))
		waiters = map[*waiter]string{}
		for range 300 {
			for _, class := range []tw.Class{tw.ClassNormal, tw.ClassLong} {
				_, w, refusal := h.tryAdmit(h.newRequest(class, ""))
				Expect(refusal).To(BeNil())
				waiters[w] = string(class)
			}
		}
		got := h.releaseAndCount(200, &held, waiters)
		Expect(got["normal"]).To(BeNumerically("~", 160, 10))
		Expect(got["long"]).To(BeNumerically("~", 40, 10))
	})

	It("go to teams by weight", func() {
		h := newSchedulerHarness(newView(8, "a"))
		held := h.fillSlots()
		waiters := map[*waiter]string{}
		for range 200 {
			for _, team := range []tw.TeamID{"a", "b"} {
				_, w, _ := h.tryAdmit(h.newRequest(tw.ClassNormal, team))
				waiters[w] = string(team)
			}
		}
		got := h.releaseAndCount(100, &held, waiters)
		Expect(got["b"]).To(BeNumerically("~", 75, 2)) // b has weight 3
		Expect(got["a"]).To(BeNumerically("~", 25, 2))
	})

	It("are not delayed by a team that floods the queue", func() {
		h := newSchedulerHarness(newView(8, "a"))
		held := h.fillSlots()
		waiters := map[*waiter]string{}
		for range maxQueued {
			_, w, refusal := h.tryAdmit(h.newRequest(tw.ClassLong, "a"))
			Expect(refusal).To(BeNil())
			waiters[w] = "flood"
		}
		_, w, refusal := h.tryAdmit(h.newRequest(tw.ClassLong, "b"))
		Expect(refusal).To(BeNil())
		waiters[w] = "late"
		_, _, refusal = h.tryAdmit(h.newRequest(tw.ClassLong, "a"))
		Expect(refusal.Reason).To(Equal(ReasonQueueFull))
		refused := 0
		for w := range waiters {
			select {
			case out := <-w.ready:
				Expect(out.refusal.Reason).To(Equal(ReasonTeamShare))
				delete(waiters, w)
				refused++
			default:
			}
		}
		Expect(refused).To(Equal(1))
		Expect(h.releaseAndCount(8, &held, waiters)["late"]).To(Equal(1))
	})
})

var _ = Describe("admission", func() {
	It("refuses quick requests that would wait longer than their service time", func() {
		h := newSchedulerHarness(newView(8, "a", "b"))
		h.fillSlots()
		admitted := 0
		for range 1000 {
			if _, w, _ := h.tryAdmit(h.newRequest(tw.ClassQuick, "")); w != nil {
				admitted++
			}
		}
		Expect(admitted).To(BeNumerically(">", 0))
		Expect(admitted).To(BeNumerically("<=", 2*16)) // two waiters per slot
	})

	It("reserves slots for quick requests among long ones", func() {
		h := newSchedulerHarness(newView(8, "a"))
		for range 100 {
			h.tryAdmit(h.newRequest(tw.ClassLong, ""))
			h.tryAdmit(h.newRequest(tw.ClassNormal, ""))
		}
		g, _, _ := h.tryAdmit(h.newRequest(tw.ClassQuick, ""))
		Expect(g).NotTo(BeNil())
	})

	It("reserves more slots the more quick requests arrive", func() {
		h := newSchedulerHarness(newView(8, "a", "b", "c", "d"))
		for range 4000 { // 400 a second of 2.5 ms each: 1 of 32 slots
			g, _, _ := h.tryAdmit(h.newRequest(tw.ClassQuick, ""))
			h.clock.Advance(2500 * time.Microsecond)
			if g != nil {
				h.release(g, releaseOK)
			}
		}
		h.jobs["job"].serviceSeconds[tw.ClassQuick] = 0.030 // 12 of 32 slots
		h.jobs["job"].serviceSeconds[tw.ClassLong] = 3
		for range 100 {
			h.tryAdmit(h.newRequest(tw.ClassLong, ""))
		}
		free := 32 - h.running
		Expect(free).To(BeNumerically(">=", 12))
		Expect(free).To(BeNumerically("<=", 20))
	})

	It("refuses at once a request that would miss its deadline", func() {
		h := newSchedulerHarness(newView(8, "a"))
		h.fillSlots()
		req := h.newRequest(tw.ClassNormal, "")
		req.deadline = h.clock.Now().Add(time.Millisecond)
		_, w, refusal := h.tryAdmit(req)
		Expect(w).To(BeNil())
		Expect(refusal.Reason).To(Equal(ReasonWaitTooLong))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	It("limits a team's requests", func() {
		h := newSchedulerHarness(newView(8, "a"))
		g, _, _ := h.tryAdmit(h.newRequest(tw.ClassNormal, "small"))
		Expect(g).NotTo(BeNil())
		_, _, refusal := h.tryAdmit(h.newRequest(tw.ClassNormal, "small"))
		Expect(refusal.Reason).To(Equal(ReasonTeamQuota))
		h.release(g, releaseOK)
		g, _, _ = h.tryAdmit(h.newRequest(tw.ClassNormal, "small"))
		Expect(g).NotTo(BeNil())
	})

	It("refuses at once when every instance has been tried", func() {
		h := newSchedulerHarness(newView(8, "a", "b"))
		req := h.newRequest(tw.ClassNormal, "")
		req.tried = map[tw.InstanceID]bool{"w0": true, "w1": true}
		_, w, refusal := h.tryAdmit(req)
		Expect(w).To(BeNil())
		Expect(refusal).NotTo(BeNil())
	})

	It("cleans up after a caller that gave up", func() {
		h := newSchedulerHarness(newView(8, "a"))
		held := h.fillSlots()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, refusal := h.acquire(ctx, h.newRequest(tw.ClassNormal, ""))
		Expect(refusal.Reason).To(Equal(ReasonCallerGone))
		for _, g := range held {
			h.release(g, releaseOK)
		}
		Expect(h.demand()).To(BeZero())
		Expect(h.teamRequests).To(BeEmpty())
	})
})

// viewChanges are changes of the view after which w0 gets no new requests.
var viewChanges = map[string]func(v *tw.View){
	"draining":                       func(v *tw.View) { v.Plan.Instances[0].State = tw.InstanceDraining },
	"listed as leaving":              func(v *tw.View) { v.Leaving = map[tw.InstanceID]bool{"w0": true} },
	"in quarantine":                  func(v *tw.View) { v.Plan.Instances[0].State = tw.InstanceQuarantined },
	"stopping the job":               func(v *tw.View) { v.Plan.Instances[0].Jobs[0].State = tw.PlacementStopping },
	"starting the job":               func(v *tw.View) { v.Plan.Instances[0].Jobs[0].State = tw.PlacementStarting },
	"no longer planned":              func(v *tw.View) { v.Plan.Instances = v.Plan.Instances[1:] },
	"used by an unregistered daemon": func(v *tw.View) { v.Registered = false },
}

var _ = Describe("an installed view", func() {
	for _, name := range slices.Sorted(maps.Keys(viewChanges)) {
		It("sends no new requests to an instance that is "+name, func() {
			h := newSchedulerHarness(newView(8, "a", "b"))
			view := newView(8, "a", "b")
			viewChanges[name](&view)
			h.install(view)
			for range 20 {
				g, _, _ := h.tryAdmit(h.newRequest(tw.ClassNormal, ""))
				if g != nil {
					Expect(g.instance.id).NotTo(Equal(tw.InstanceID("w0")))
				}
			}
		})
	}

	It("still counts requests in flight on a removed instance", func() {
		h := newSchedulerHarness(newView(8, "a"))
		g, _, _ := h.tryAdmit(h.newRequest(tw.ClassNormal, ""))
		h.install(newView(8))
		Expect(h.loads()).To(ConsistOf(tw.Load{Instance: "w0", Job: "job", InFlight: 1}))
		h.release(g, releaseOK)
		Expect(h.loads()[0].InFlight).To(BeZero())
	})

	It("refuses waiters for a job without an instance", func() {
		h := newSchedulerHarness(newView(8, "a"))
		h.fillSlots()
		_, w, _ := h.tryAdmit(h.newRequest(tw.ClassNormal, ""))
		h.install(newView(8))
		Expect((<-w.ready).refusal.Reason).To(Equal(ReasonNoInstance))
	})
})

var _ = Describe("the choice of an instance", func() {
	It("spreads evenly", func() {
		h := newSchedulerHarness(newView(8, "a", "b", "c", "d"))
		counts := map[tw.InstanceID]int{}
		for range 16 {
			g, _, _ := h.tryAdmit(h.newRequest(tw.ClassQuick, ""))
			counts[g.instance.id]++
		}
		for _, n := range counts {
			Expect(n).To(BeNumerically("~", 4, 2))
		}
	})

	It("ejects instances that fail, but never most of them", func() {
		h := newSchedulerHarness(newView(8, "a", "b", "c", "d", "e", "f"))
		for range 100 {
			g, _, _ := h.tryAdmit(h.newRequest(tw.ClassQuick, ""))
			if g == nil {
				break
			}
			mode := releaseOK
			if g.instance.id <= "w3" { // four of six fail
				mode = releaseFailed
			}
			h.release(g, mode)
		}
		now := h.clock.Now()
		ejected := 0
		for _, w := range h.instances {
			if now.Before(w.ejectedUntil) {
				ejected++
			}
		}
		Expect(ejected).To(Equal(2)) // a third of six
	})

	It("ejects one of two that fail, never both", func() {
		h := newSchedulerHarness(newView(8, "a", "b"))
		for range 40 {
			g, _, _ := h.tryAdmit(h.newRequest(tw.ClassQuick, ""))
			if g == nil {
				break
			}
			h.release(g, releaseFailed)
		}
		now := h.clock.Now()
		Expect(now.Before(h.instances["w0"].ejectedUntil)).NotTo(Equal(now.Before(h.instances["w1"].ejectedUntil)))
	})

	It("uses no slot of a new instance whose slots belong to another daemon", func() {
		w := instanceState{since: fakeclock.New().Now()}
		Expect(w.usableSlots(w.since.Add(time.Second))).To(BeZero())
	})

	It("applies slow start to a new instance", func() {
		h := newSchedulerHarness(newView(8, "a"))
		h.install(newView(8, "a", "b"))
		now := h.clock.Now()
		Expect(h.instances["w0"].usableSlots(now)).To(Equal(8))
		Expect(h.instances["w1"].usableSlots(now)).To(Equal(1))
		Expect(h.instances["w1"].usableSlots(now.Add(slowStart / 2))).To(Equal(4))
		Expect(h.instances["w1"].usableSlots(now.Add(slowStart))).To(Equal(8))
	})
})

var _ = Describe("shares of an instance's slots", func() {
	for _, n := range []int{1, 2, 3, 7, 20} {
		It(fmt.Sprintf("add up to the slots among %d daemons, each of which gets some", n), func() {
			var members []tw.Member
			for i := range n {
				members = append(members, tw.Member{ID: tw.DaemonID(fmt.Sprintf("d%02d", i)), Demand: i * i})
			}
			totals := map[tw.DaemonID]int{}
			for i := range 100 {
				id := tw.InstanceID(fmt.Sprintf("w%d", i))
				sum := 0
				for _, m := range members {
					s := slotShare(members, m.ID, id, 8)
					totals[m.ID] += s
					sum += s
				}
				Expect(sum).To(BeNumerically("<=", 8))
				Expect(sum).To(BeNumerically(">=", 7)) // floating-point rounding may leave one out
			}
			for _, total := range totals {
				Expect(total).To(BeNumerically(">", 0))
			}
		})
	}
})
