package gateway

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// reserve maps a class to the fraction of a job's slots that it must leave free
// for more urgent ones. It follows the measured arrivals, so that quick
// requests find a free slot among long ones, without more idle slots than
// needed.
type reserve map[tw.Class]float64

// Limits of a reserve. The maxima keep some slots for normal and long requests.
const (
	minNormalReserve = 1.0 / 8
	maxNormalReserve = 1.0 / 2
	minLongReserve   = 1.0 / 4
	maxLongReserve   = 3.0 / 4
	reserveMargin    = 1.15 // headroom for bursts of arrivals
	// arrivalWindow is the time span over which arrivals are counted; see
	// eventWindow.
	arrivalWindow = time.Second
)

// limit returns how many of an instance's slots a class and those less urgent
// may use together; at least one.
func (r reserve) limit(class tw.Class, slots int) int {
	reserved := int(math.Floor(r[class]*float64(slots) + 0.5))
	return max(1, slots-reserved)
}

// computeReserve computes the reserve from the load that each class offers.
func (js *jobState) computeReserve(now time.Time) reserve {
	slots := 0
	for _, w := range js.instances {
		slots += w.ownSlots
	}
	if slots == 0 {
		return reserve{}
	}
	part := func(urgent, class tw.Class) float64 {
		return reserveMargin * js.offeredLoad(urgent, now) / float64(slots) * js.reserveFactor(urgent, class)
	}
	return reserve{
		tw.ClassNormal: min(max(part(tw.ClassQuick, tw.ClassNormal), minNormalReserve), maxNormalReserve),
		tw.ClassLong:   min(max(part(tw.ClassQuick, tw.ClassLong)+part(tw.ClassNormal, tw.ClassLong), minLongReserve), maxLongReserve),
	}
}

// reserveFactor scales the reserve for an urgent class against a less urgent
// one: from 0 if requests of the less urgent class free their slots as fast as
// the urgent ones, to 1 if they are far slower. It is squared to reserve little
// against a class that is only somewhat slower.
func (js *jobState) reserveFactor(urgent, class tw.Class) float64 {
	slower := max(0, 1-js.meanServiceSeconds(urgent)/js.meanServiceSeconds(class))
	return slower * slower
}

// offeredLoad is the mean number of slots that a class would use if all its
// requests were admitted (arrival rate times service time).
func (js *jobState) offeredLoad(class tw.Class, now time.Time) float64 {
	return js.arrivals[class].rate(now) * js.meanServiceSeconds(class)
}
