package tamarindworks_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// TestEvacuationsAreOrdered checks that the value with the higher revision replaces the other.
func TestEvacuationsAreOrdered(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		a := &tw.Evacuations{Revision: tw.KVRevision(rng.IntN(4))}
		b := &tw.Evacuations{Revision: tw.KVRevision(rng.IntN(4))}
		g.Expect(a.NewerThan(b)).To(Equal(a.Revision > b.Revision))
		g.Expect(a.NewerThan(nil)).To(BeTrue())
	}
	var none *tw.Evacuations
	g.Expect(none.NewerThan(nil)).To(BeFalse())
	g.Expect(none.Has("h")).To(BeFalse())
}
