package gateway

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// reserve is the part of a job's slots that less urgent classes leave free,
// by the class that must leave it. It follows the measured arrivals, so that
// quick requests find a place among long ones and no slot idles for nothing.
type reserve map[tw.Class]float64

// Bounds of a reserve. Long work keeps a floor of the slots.
const (
	minNormalReserve = 1.0 / 8
	maxNormalReserve = 1.0 / 2
	minLongReserve   = 1.0 / 4
	maxLongReserve   = 3.0 / 4
	reserveMargin    = 1.15 // arrivals come in bursts
	// arrivalWindow is how far back arrivals are counted, once to twice.
	arrivalWindow = time.Second
)

// limit is how many of an instance's slots a class and those less urgent may
// have together; at least one.
func (r reserve) limit(class tw.Class, slots int) int {
	kept := int(math.Floor(r[class]*float64(slots) + 0.5))
	return max(1, slots-kept)
}

// computeReserve works out what the classes of a job must leave free.
func (l *jobState) computeReserve(now time.Time) reserve {
	slots := 0
	for _, w := range l.workers {
		slots += w.ownSlots
	}
	if slots == 0 {
		return reserve{}
	}
	part := func(urgent, class tw.Class) float64 {
		return reserveMargin * l.offeredLoad(urgent, now) / float64(slots) * l.reserveFactor(urgent, class)
	}
	return reserve{
		tw.ClassNormal: min(max(part(tw.ClassQuick, tw.ClassNormal), minNormalReserve), maxNormalReserve),
		tw.ClassLong:   min(max(part(tw.ClassQuick, tw.ClassLong)+part(tw.ClassNormal, tw.ClassLong), minLongReserve), maxLongReserve),
	}
}

// reserveFactor is how much an urgent class needs a reserve against another: nothing if
// the other's slots are freed as fast as its own, all of it if far slower. The
// square keeps little against classes that are only somewhat slower.
func (l *jobState) reserveFactor(urgent, class tw.Class) float64 {
	slower := max(0, 1-l.meanServiceSeconds(urgent)/l.meanServiceSeconds(class))
	return slower * slower
}

// offeredLoad is how many slots a class would fill if all that comes were admitted.
func (l *jobState) offeredLoad(class tw.Class, now time.Time) float64 {
	return l.arrivals[class].rate(now) * l.meanServiceSeconds(class)
}
