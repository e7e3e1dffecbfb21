package run

import (
	"time"

	"go.uber.org/zap"
)

// shortLogInterval is the minimum time between log lines about a shortage.
const shortLogInterval = time.Second

// logShort logs what shows the cause of a shortage. If the processor is short, the loop is late
// and all orders take long. If the link is short, orders and writes take long but the loop is on
// time. If a worker is slow, it takes far longer for a start than the average.
func (o *Owner) logShort() {
	if o.now.Sub(o.shortLoggedAt) < shortLogInterval {
		return
	}
	o.shortLoggedAt = o.now
	var slowest *worker
	ordered, unrecorded := 0, 0
	for _, w := range o.workers {
		ordered += w.startsInFlight
		unrecorded += len(w.unrecorded)
		if slowest == nil || w.startLatency > slowest.startLatency {
			slowest = w
		}
	}
	if slowest == nil {
		return
	}
	o.countBacklog()
	waiting := 0
	for _, n := range o.backlog.counts {
		waiting += n
	}
	o.log.Info("owner: short", zap.Duration("short_for", o.window.shortage(o.now)), zap.Int("waiting", waiting),
		zap.Int("submissions", len(o.live)), zap.Int("window", o.window.limit), zap.Int("ordered", ordered),
		zap.Float64("starts_per_second", o.window.capacity(o.now)), zap.Duration("order_age", o.window.latency),
		zap.Duration("order_took", o.window.roundTrip), zap.String("slowest_worker", string(slowest.entry.ID)),
		zap.Duration("slowest_took", slowest.startLatency), zap.Duration("loop_late", o.maxLoopDelay), zap.Duration("answer_lag", o.window.lag.average),
		zap.Duration("write_took", o.writer.lastWriteTime), zap.Int("to_record", len(o.writer.dirty)),
		zap.Int("ends_unrecorded", unrecorded))
	o.maxLoopDelay = 0
}
