package gateway

import (
	"hash/fnv"
	"math"

	tw "github.com/tamarindworks/tamarindworks"
)

// share divides the slots of an instance between the hall's live daemons by
// their demand. Each daemon works it out alone from the same heartbeats; every
// slot has one owner, and where the cuts fall turns with the instance's id, so
// that fractions even out over the instances of a pool.
func share(members []tw.Member, self tw.DaemonID, instance tw.InstanceID, slots tw.Slots) int {
	total := 0.0
	for _, m := range members {
		total += weight(m)
	}
	from := turn(instance)
	for _, m := range members {
		to := from + weight(m)/total*float64(slots)
		if m.ID == self {
			return int(math.Floor(to) - math.Floor(from))
		}
		from = to
	}
	return 0
}

// weight lets shares follow demand; a daemon without any keeps a base share,
// as the next request may come to it. Demand is rounded up to a power of two,
// so that shares don't change with every heartbeat.
func weight(m tw.Member) float64 {
	const base = 4
	return base + math.Exp2(math.Ceil(math.Log2(float64(m.Demand+1))))
}

// turn is in [0, 1).
func turn(instance tw.InstanceID) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance)) // a hash never fails
	return float64(h.Sum32()) / (1 << 32)
}
