package relay

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// linkLoad detects that the daemon's link is saturated: the start rate is a large part of what the
// link can carry, and workers seem slow to answer. Slow workers alone do not count. Owners report a
// lack of processor time by Orders.NoteShort.
type linkLoad struct {
	// maxRate is about how many starts per second the link can carry; infinite if unknown.
	maxRate float64
	// latency is the smoothed latency of direct starts, inFlight the number of those in flight.
	latency  time.Duration
	inFlight int
	// endedAt is when a direct start last ended.
	endedAt time.Time
	// decayedCount is the number of starts up to countedAt, with exponential decay over rateWindow.
	decayedCount float64
	countedAt    time.Time
	relaying     bool
	// busyAt is when the start rate was last high.
	busyAt time.Time
}

const (
	// orderBytes is the usual size of an order with its headers. The start rate counts as high
	// if it exceeds busyShare of the number of such orders per second that the link can carry.
	orderBytes = 730
	busyShare  = 0.2
	// slowStartLatency is the latency above which direct starts indicate a saturated link.
	slowStartLatency = 25 * time.Millisecond
	// rateWindow is the smoothing time of the start rate.
	rateWindow = 250 * time.Millisecond
	// relayHoldTime is how long the start rate must be low before relaying ends.
	relayHoldTime = time.Second
	// stalledStarts starts in flight also indicate a saturated link, if none has ended for
	// twice slowStartLatency.
	stalledStarts = 4
	// directWhileRelaying is the number of concurrent starts that are sent directly while
	// relaying.
	directWhileRelaying = 1
	// latencyWeight smooths the latency over about the last ten starts.
	latencyWeight = 0.1
)

// maxStartRate returns about how many starts per second a link can carry.
func maxStartRate(link tw.BytesPerSecond) float64 {
	if link == 0 {
		return math.Inf(1)
	}
	return float64(link) / orderBytes
}

// recordStart counts a start and updates whether starts are relayed.
func (l *linkLoad) recordStart(now time.Time) {
	if math.IsInf(l.maxRate, 1) {
		return
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
}

// rate returns the smoothed number of starts per second.
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
