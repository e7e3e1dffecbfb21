package relay

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// load tells whether a daemon is short of its link: when it sends much of what that could
// carry, and workers seem slow to answer. Slow workers alone are no reason, nor is a lack of
// processor time, which a batch and its answers take as well.
type load struct {
	// most is about how many starts a second the link could carry; infinite if that is
	// not known.
	most float64
	// took is the smoothed time of a direct start, open those that are not answered.
	took time.Duration
	open int
	// endedAt is when a direct start last came to an end.
	endedAt time.Time
	// count decays with rateTime and counts the starts up to countedAt.
	count     float64
	countedAt time.Time
	relaying  bool
	// busyAt is when the daemon last was asked for many starts.
	busyAt time.Time
}

const (
	// orderBytes is the usual size of an order with its headers; busyShare of what the link
	// could carry of such is many.
	orderBytes = 730
	busyShare  = 0.2
	// slowStart is how long a direct start takes at a daemon that is short.
	slowStart = 25 * time.Millisecond
	// rateTime is over what the rate of starts is smoothed.
	rateTime = 250 * time.Millisecond
	// calmTime is how long there must be few starts before all are given directly again.
	calmTime = time.Second
	// stalledStarts without an answer for two times slowStart are slow, too.
	stalledStarts = 4
	// directWhileRelaying starts at a time go over the daemon's own connections.
	directWhileRelaying = 1
	// startWeight smooths the time of a start over about the last ten.
	startWeight = 0.1
)

// mostStarts is about how many starts a second a link could carry.
func mostStarts(link tw.BytesPerSecond) float64 {
	if link == 0 {
		return math.Inf(1)
	}
	return float64(link) / orderBytes
}

// start counts a start and tells whether it may go over a relay.
func (l *load) start(now time.Time) bool {
	if math.IsInf(l.most, 1) {
		return false
	}
	l.count = l.rate(now)*rateTime.Seconds() + 1
	l.countedAt = now
	if l.rate(now) > busyShare*l.most {
		l.busyAt = now
		l.relaying = l.relaying || l.slow(now)
	}
	if l.relaying && now.Sub(l.busyAt) > calmTime {
		l.relaying, l.took = false, 0
	}
	return l.relaying
}

// rate is how many starts a second there are.
func (l *load) rate(now time.Time) float64 {
	if l.countedAt.IsZero() {
		return 0
	}
	return l.count / rateTime.Seconds() * math.Exp(-now.Sub(l.countedAt).Seconds()/rateTime.Seconds())
}

func (l *load) slow(now time.Time) bool {
	return l.took > slowStart || l.open >= stalledStarts && now.Sub(l.endedAt) > 2*slowStart
}

func (l *load) sent() { l.open++ }

func (l *load) ended(now time.Time, took time.Duration, answered bool) {
	l.open--
	l.endedAt = now
	switch {
	case !answered:
	case l.took == 0:
		l.took = took
	default:
		l.took += time.Duration(startWeight * float64(took-l.took))
	}
}
