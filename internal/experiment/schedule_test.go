package experiment

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A play repeats itself, and at half the usual load nearly everything is in time.
func TestDemandModel(t *testing.T) {
	g := NewWithT(t)
	policy := schedulePolicies[0]
	first, second := newDemandModel(1, policy, 0.5).play(), newDemandModel(1, policy, 0.5).play()
	g.Expect(first).To(HaveLen(len(second)))
	inTime := 0
	for i, j := range first {
		g.Expect(j.ended).To(Equal(second[i].ended))
		if j.ended != 0 && j.ended-j.arrived <= j.objective {
			inTime++
		}
	}
	g.Expect(float64(inTime) / float64(len(first))).To(BeNumerically(">", 0.8))
}
