package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a daemon that has just registered", func() {
	// It may send to instances as soon as it has the plan, but hears the other
	// daemons only with the next heartbeat.
	It("grants no key that the daemons in the roster hold", func() {
		b := newBed()
		b.pace.Sync = time.Second
		one, _ := b.node("d1", b.platform)
		two, _ := b.node("d2", b.platform)
		b.apply(0)
		for _, n := range []*Node{one, two} {
			Eventually(func() int { return len(n.hallMembers()) }, patient).Should(Equal(2))
		}
		_, first := one.Claims().Claim(GinkgoT().Context(), "key", "body")
		Expect(first.Granted).To(BeTrue())
		b.network.setCut("d1", true) // with its caller's answer: the caller repeats

		three, view := b.node("d3", b.platform)
		Eventually(func() bool { return view.seen().Registered }, patient, "1ms").Should(BeTrue())
		_, again := three.Claims().Claim(GinkgoT().Context(), "key", "body")
		Expect(again.Granted).To(BeFalse())
	})

	It("grants keys by itself when the others' processes are gone", func() {
		b := newBed()
		b.pace.Sync = time.Second
		one, _ := b.node("d1", b.platform)
		b.apply(0)
		one.Close() // without leaving the roster
		b.network.set("d1", nil)

		two, view := b.node("d2", b.platform)
		Eventually(func() bool { return view.seen().Registered }, patient, "1ms").Should(BeTrue())
		_, result := two.Claims().Claim(GinkgoT().Context(), "key", "body")
		Expect(result.Granted).To(BeTrue())
	})

	It("grants keys beside a daemon that stays silent, once that counts as down", func() {
		b := newBed()
		b.pace.Sync = time.Second
		b.node("d1", b.platform)
		b.node("d2", b.platform)
		b.apply(0)
		Eventually(func() int { return len(b.roster()) }, patient).Should(Equal(2))
		b.network.setCut("d1", true)

		three, view := b.node("d3", b.platform)
		Eventually(func() bool { return view.seen().Registered }, patient, "1ms").Should(BeTrue())
		_, result := three.Claims().Claim(GinkgoT().Context(), "key", "body")
		Expect(result.Granted).To(BeTrue(), "with the other one")
		b.network.setCut("d2", true)
		Eventually(func() bool {
			_, alone := three.Claims().Claim(GinkgoT().Context(), "another key", "body")
			return alone.Granted
		}, patient).Should(BeTrue())
	})
})
