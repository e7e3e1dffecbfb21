package relay

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// linkLoad tells whether a daemon is short of its link: when it sends much of what that could
// carry, and workers seem slow to answer. Slow workers alone are no reason, nor is a lack of
// processor time, which a batch and its answers take as well.
type linkLoad struct {
	// maxRate is about how many starts a second the link could carry; infinite if that is
	// not known.
	maxRate float64
	// latency is the smoothed time of a direct start, open those that are not answered.
	latency  time.Duration
	inFlight int
	// endedAt is when a direct start last came to an end.
	endedAt time.Time
	// decayedCount decays with rateTime and counts the starts up to countedAt.
	decayedCount float64
	countedAt    time.Time
	relaying     bool
	// busyAt is when the daemon last was asked for many starts.
	busyAt time.Time
}

const (
	// orderBytes is the usual size of an order with its headers; busyShare of what the link
	// could carry of such is many.
	orderBytes = 730
	busyShare  = 0.2
	// slowStartLatency is how long a direct start takes at a daemon that is short.
	slowStartLatency = 25 * time.Millisecond
	// rateWindow is over what the rate of starts is smoothed.
	rateWindow = 250 * time.Millisecond
	// relayHoldTime is how long there must be few starts before all are given directly again.
	relayHoldTime = time.Second
	// stalledStarts without an answer for two times slowStart are slow, too.
	stalledStarts = 4
	// directWhileRelaying starts at a time go over the daemon's own connections.
	directWhileRelaying = 1
	// latencyWeight smooths the time of a start over about the last ten.
	latencyWeight = 0.1
)

// maxStartRate is about how many starts a second a link could carry.
func maxStartRate(link tw.BytesPerSecond) float64 {
	if link == 0 {
		return math.Inf(1)
	}
	return float64(link) / orderBytes
}

// recordStart counts a recordStart and tells whether it may go over a relay.
func (l *linkLoad) recordStart(now time.Time) bool {
	if math.IsInf(l.maxRate, 1) {
		return false
	}
	l.decayedCount = l.rate(now)*rateWindow.Seconds() + 1
	l.countedAt = now
	if l.rate(now) > busyShare*l.maxRate {
		l.busyAt = now
		l.relaying = l.relaying || l.isSlow(now)
	}
	if l.relaying && now.Sub(l.busyAt) > relayHoldTime {
		l.relaying, l.latency = false, 0
	}
	return l.relaying
}

// rate is how many starts a second there are.
func (l *linkLoad) rate(now time.Time) float64 {
	if l.countedAt.IsZero() {
		return 0
	}
	return l.decayedCount / rateWindow.Seconds() * math.Exp(-now.Sub(l.countedAt).Seconds()/rateWindow.Seconds())
}

func (l *linkLoad) isSlow(now time.Time) bool {
	return l.latency > slowStartLatency || l.inFlight >= stalledStarts && now.Sub(l.endedAt) > 2*slowStartLatency
}

func (l *linkLoad) directSent() { l.inFlight++ }

func (l *linkLoad) directEnded(now time.Time, took time.Duration, answered bool) {
	l.inFlight--
	l.endedAt = now
	switch {
	case !answered:
	case l.latency == 0:
		l.latency = took
	default:
		l.latency += time.Duration(latencyWeight * float64(took-l.latency))
	}
}
