package control

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// busyMeter smooths the measured use of jobs: up at once, down slowly.
type busyMeter struct {
	clock        tw.Clock
	lastObserved time.Time
	slots        map[tw.JobID]float64
}

const (
	busyHalfLife = 30 * time.Second
	// negligibleSlots is so little use that it is forgotten.
	negligibleSlots = 0.01
)

func newBusyMeter(clock tw.Clock) *busyMeter {
	return &busyMeter{clock: clock, lastObserved: clock.Now(), slots: map[tw.JobID]float64{}}
}

// observe takes in what is in flight now and returns the smoothed use.
func (b *busyMeter) observe(now map[tw.JobID]float64) map[tw.JobID]float64 {
	at := b.clock.Now()
	keep := math.Exp2(-at.Sub(b.lastObserved).Seconds() / busyHalfLife.Seconds())
	b.lastObserved = at
	out := map[tw.JobID]float64{}
	for job, v := range b.slots {
		b.slots[job] = v * keep
	}
	for job, v := range now {
		b.slots[job] = max(b.slots[job], v)
	}
	for job, v := range b.slots {
		if v < negligibleSlots {
			delete(b.slots, job)
			continue
		}
		out[job] = v
	}
	return out
}
