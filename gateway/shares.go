package gateway

import (
	"math"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/spread"
)

// slotShare divides the slots of an instance between the hall's live daemons by
// their demand. Each daemon works it out alone from the same heartbeats; every
// slot has one owner, and where the cuts fall turns with the instance's id, so
// that fractions even out over the instances of a pool.
func slotShare(members []tw.Member, self tw.DaemonID, instance tw.InstanceID, slots tw.Slots) int {
	total := 0.0
	for _, m := range members {
		total += demandWeight(m)
	}
	from := spread.Fraction(string(instance))
	for _, m := range members {
		part := evenShare/float64(len(members)) + (1-evenShare)*demandWeight(m)/total
		to := from + part*float64(slots)
		if m.ID == self {
			return int(math.Floor(to) - math.Floor(from))
		}
		from = to
	}
	return 0
}

// evenShare is the part of the slots that is divided evenly: the next request
// may come to any daemon. The rest follows demand.
const evenShare = 0.5

// demandWeight is rounded up to a power of two, so that shares don't change with
// every heartbeat.
func demandWeight(m tw.Member) float64 {
	return math.Exp2(math.Ceil(math.Log2(float64(m.Demand + 1))))
}
