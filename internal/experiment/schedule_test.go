package experiment

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A play repeats itself, and at half the usual load nearly everything is in time.
func TestDemandModel(t *testing.T) {
	g := NewWithT(t)
	policy := schedulePolicies[0]
	first, second := newDemandModel(1, policy, 0.5).simulate(), newDemandModel(1, policy, 0.5).simulate()
	g.Expect(first).To(HaveLen(len(second)))
	inTime := 0
	for i, j := range first {
		g.Expect(j.endedAt).To(Equal(second[i].endedAt))
		if j.endedAt != 0 && j.endedAt-j.arrivedAt <= j.objective {
			inTime++
		}
	}
	g.Expect(float64(inTime) / float64(len(first))).To(BeNumerically(">", 0.8))
}
