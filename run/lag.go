package run

import (
	"math"
	"time"
)

// handlingLag measures whether this daemon keeps up: how long the answers of workers wait between
// their arrival and their handling. It shows a shortage of processor time before starts are late,
// and also while the send window isn't full.
type handlingLag struct {
	average time.Duration // as of at
	at      time.Time
	// busy: the average was at least busyLag, and has not fallen to calmLag since busySince.
	busy      bool
	busySince time.Time
}

const (
	// busyLag is several times the lag of an owner that keeps up, which is well below a millisecond.
	// It must fall to calmLag before the owner keeps up again.
	busyLag = 3 * time.Millisecond
	calmLag = busyLag / 2
	// lagWeight averages over about the last twenty answers. lagHalfLife is the time in which the
	// average halves when there are none.
	lagWeight   = 0.05
	lagHalfLife = 100 * time.Millisecond
)

// note records that an answer is handled now that arrived at a time.
func (l *handlingLag) note(now, arrived time.Time) {
	if arrived.IsZero() || now.Before(arrived) {
		return
	}
	average := l.decayed(now)
	l.average, l.at = average+time.Duration(lagWeight*float64(now.Sub(arrived)-average)), now
	switch {
	case !l.busy && l.average >= busyLag:
		l.busy, l.busySince = true, now
	case l.busy && l.average <= calmLag:
		l.busy = false
	}
}

// isBusy reports whether answers wait to be handled.
func (l *handlingLag) isBusy(now time.Time) bool { return l.busy && l.decayed(now) > calmLag }

func (l *handlingLag) decayed(now time.Time) time.Duration {
	if l.at.IsZero() {
		return 0
	}
	return time.Duration(float64(l.average) * math.Exp2(-float64(now.Sub(l.at))/float64(lagHalfLife)))
}
