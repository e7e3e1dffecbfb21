package gateway

import (
	"math"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/spread"
)

// slotShare returns how many slots of an instance belong to the daemon self.
// Slots are divided between the hall's live daemons, partly by demand (see
// evenShare). Each daemon computes the division independently from the same
// heartbeats. Every slot has one owner, except that floating-point rounding may
// leave one slot without an owner. The instance's id offsets the division, so
// that rounding evens out over the instances of a pool.
func slotShare(members []tw.Member, self tw.DaemonID, instance tw.InstanceID, slots tw.Slots) int {
	total := 0.0
	for _, m := range members {
		total += demandWeight(m)
	}
	from := spread.Fraction(string(instance))
	for _, m := range members {
		fraction := evenShare/float64(len(members)) + (1-evenShare)*demandWeight(m)/total
		to := from + fraction*float64(slots)
		if m.ID == self {
			return int(math.Floor(to) - math.Floor(from))
		}
		from = to
	}
	return 0
}

// evenShare is the fraction of the slots that is divided evenly, as the next
// request may arrive at any daemon. The rest is divided by demand.
const evenShare = 0.5

// demandWeight is a member's demand plus one, rounded up to a power of two, so
// that shares don't change with every heartbeat.
func demandWeight(m tw.Member) float64 {
	return math.Exp2(math.Ceil(math.Log2(float64(m.Demand + 1))))
}
