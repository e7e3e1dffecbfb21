package control

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/fakeclock"
)

// slowClaims delays the pending claims from one daemon to another.
type slowClaims struct {
	*network
	from tw.DaemonID
	to   string
}

func (s slowClaims) Claim(ctx context.Context, address string, claim tw.Claim) (tw.Claim, error) {
	if claim.Holder == s.from && address == s.to && claim.State == tw.ClaimPending {
		time.Sleep(50 * time.Millisecond)
	}
	return s.network.Claim(ctx, address, claim)
}

var _ = Describe("a claim that is refused", func() {
	// Guards against a release that overtakes the refused claim on its way to a peer,
	// which would then keep the claim until it expires.
	It("does not block the key after the claim in effect is released", func() {
		network := newNetwork()
		var members []tw.Member
		for i := range 3 {
			id := fmt.Sprintf("d%d", i)
			members = append(members, tw.Member{ID: tw.DaemonID(id), Address: id})
		}
		all := map[tw.DaemonID]*claims{}
		for _, m := range members {
			all[m.ID] = &claims{
				table:      newClaimTable(fakeclock.New(), time.Minute, 100),
				peers:      slowClaims{network: network, from: "d1", to: "d2"},
				self:       m.ID,
				candidates: func() []tw.Member { return members },
				metrics:    metrics.NewSet(),
			}
			network.setHandler(m.Address, claimsOnly{all[m.ID]})
		}
		existing := tw.Claim{Scope: "key", Body: "body", Holder: "d0", Nonce: "first", State: tw.ClaimPending}
		all["d0"].table.put(existing) // d2 has not received it

		_, refused := all["d1"].Claim(GinkgoT().Context(), "key", "body")
		Expect(refused.Existing).To(Equal(existing))
		time.Sleep(100 * time.Millisecond) // until d2 has received the delayed claim
		all["d0"].Settle(existing, tw.ClaimReleased)
		Eventually(func() bool {
			again, result := all["d0"].Claim(context.Background(), "key", "body")
			if result.Granted {
				all["d0"].Settle(again, tw.ClaimReleased)
			}
			return result.Granted
		}, "2s").Should(BeTrue())
	})
})

var _ = Describe("a daemon that has just registered", func() {
	// The daemon may send to instances as soon as it has the plan, but gets the first
	// heartbeats of the other daemons only later.
	It("grants no key that a daemon in the roster has claimed", func() {
		b := newTestBed(GinkgoT())
		b.intervals.Sync = time.Second
		one, _ := b.node("d1", b.platform)
		two, _ := b.node("d2", b.platform)
		b.applyConfig(0)
		for _, n := range []*Node{one, two} {
			Eventually(func() int { return len(n.hallMembers()) }, eventualTimeout).Should(Equal(2))
		}
		_, first := one.Claims().Claim(GinkgoT().Context(), "key", "body")
		Expect(first.Granted).To(BeTrue())
		b.network.setIsolated("d1", true) // its response to the caller is lost, so the caller repeats the request

		three, view := b.node("d3", b.platform)
		Eventually(func() bool { return view.installedView().Registered }, eventualTimeout, "1ms").Should(BeTrue())
		_, again := three.Claims().Claim(GinkgoT().Context(), "key", "body")
		Expect(again.Granted).To(BeFalse())
	})

	It("grants keys by itself when the others' processes are gone", func() {
		b := newTestBed(GinkgoT())
		b.intervals.Sync = time.Second
		one, _ := b.node("d1", b.platform)
		b.applyConfig(0)
		one.Close() // without leaving the roster
		b.network.setHandler("d1", nil)

		two, view := b.node("d2", b.platform)
		Eventually(func() bool { return view.installedView().Registered }, eventualTimeout, "1ms").Should(BeTrue())
		_, result := two.Claims().Claim(GinkgoT().Context(), "key", "body")
		Expect(result.Granted).To(BeTrue())
	})

	It("grants keys without a silent daemon once it counts as down", func() {
		b := newTestBed(GinkgoT())
		b.intervals.Sync = time.Second
		b.node("d1", b.platform)
		b.node("d2", b.platform)
		b.applyConfig(0)
		Eventually(func() int { return len(b.roster()) }, eventualTimeout).Should(Equal(2))
		b.network.setIsolated("d1", true)

		three, view := b.node("d3", b.platform)
		Eventually(func() bool { return view.installedView().Registered }, eventualTimeout, "1ms").Should(BeTrue())
		_, result := three.Claims().Claim(GinkgoT().Context(), "key", "body")
		Expect(result.Granted).To(BeTrue(), "together with d2")
		b.network.setIsolated("d2", true)
		Eventually(func() bool {
			_, alone := three.Claims().Claim(GinkgoT().Context(), "another key", "body")
			return alone.Granted
		}, eventualTimeout).Should(BeTrue())
	})
})
