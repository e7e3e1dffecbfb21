package experiment

import (
	"testing"

	. "github.com/onsi/gomega"
)

// The simulation is deterministic, and at half the usual load most jobs meet their
// objective.
func TestDemandModel(t *testing.T) {
	g := NewWithT(t)
	policy := schedulePolicies[0]
	first, second := newDemandModel(1, policy, 0.5).simulate(), newDemandModel(1, policy, 0.5).simulate()
	g.Expect(first).To(HaveLen(len(second)))
	onTime := 0
	for i, j := range first {
		g.Expect(j.endedAt).To(Equal(second[i].endedAt))
		if j.endedAt != 0 && j.endedAt-j.arrivedAt <= j.objective {
			onTime++
		}
	}
	g.Expect(float64(onTime) / float64(len(first))).To(BeNumerically(">", 0.8))
}
