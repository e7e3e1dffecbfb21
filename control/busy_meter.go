package control

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// busyMeter smooths the number of busy slots of each job: it follows increases at
// once and decays exponentially.
type busyMeter struct {
	clock        tw.Clock
	lastObserved time.Time
	slots        map[tw.JobID]float64
}

const (
	busyHalfLife = 30 * time.Second
	// negligibleSlots is the value below which a job's value is dropped.
	negligibleSlots = 0.01
)

func newBusyMeter(clock tw.Clock) *busyMeter {
	return &busyMeter{clock: clock, lastObserved: clock.Now(), slots: map[tw.JobID]float64{}}
}

// observe records the requests in flight now and returns the smoothed values.
func (b *busyMeter) observe(inFlight map[tw.JobID]float64) map[tw.JobID]float64 {
	now := b.clock.Now()
	decay := math.Exp2(-now.Sub(b.lastObserved).Seconds() / busyHalfLife.Seconds())
	b.lastObserved = now
	out := map[tw.JobID]float64{}
	for job, v := range b.slots {
		b.slots[job] = v * decay
	}
	for job, v := range inFlight {
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
