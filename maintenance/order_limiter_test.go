package maintenance

import (
	"testing"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// TestOrderLimiter guards against issuing all moves of a decision at once: 1,509 of 2,111 were
// then rate limited, and each of these calls has a cost.
func TestOrderLimiter(t *testing.T) {
	g := NewWithT(t)
	orders := []Order{{Machine: "a", Pool: "off"}, {Machine: "b", Pool: "q"}, {Machine: "c", Wave: 3}, {Machine: "d", Pool: "q"}}
	now, later := (&orderLimiter{limit: 1}).split(orders, "off")
	g.Expect(now).To(Equal([]Order{orders[2], orders[1]}))
	g.Expect(later).To(Equal([]Order{orders[3], orders[0]}))

	const acceptedPerPass, total = 60, 2000
	l := &orderLimiter{limit: initialOrderLimit}
	refused, done, passes := 0, 0, 0
	for done < total {
		issued := min(l.limit, total-done)
		errs := make([]error, issued)
		for i := acceptedPerPass; i < issued; i++ {
			errs[i] = tw.ErrRateLimited
			refused++
		}
		done += min(issued, acceptedPerPass)
		l.adjust(errs)
		passes++
	}
	g.Expect(refused).To(BeNumerically("<", total/2))
	g.Expect(passes).To(BeNumerically("<", 2*total/acceptedPerPass))
}
