package daemon

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/tamarindworks/tamarindworks/internal/traffic"
)

// trafficLog logs at a bounded rate the traffic of a daemon that is too slow for its pools.
type trafficLog struct {
	baselineTime time.Time
	baseline     map[string]traffic.Count
}

const (
	// trafficLogInterval is the time between lines. maxTrafficKinds limits a line to the
	// kinds of messages with the most bytes.
	trafficLogInterval = time.Second
	maxTrafficKinds    = 8
)

// write logs the traffic since the last baseline if a line is due, and sets a new baseline.
// It logs nothing if the baseline is two intervals old or more.
func (l *trafficLog) write(now time.Time, meter *traffic.Meter, log *zap.Logger) {
	elapsed := now.Sub(l.baselineTime)
	if elapsed < trafficLogInterval {
		return
	}
	totals := meter.Totals()
	if elapsed < 2*trafficLogInterval {
		log.Info("daemon: traffic", l.fields(totals, elapsed)...)
	}
	l.baselineTime, l.baseline = now, totals
}

// fields returns the total kB per second, and for each kind the messages per second and
// the kB per second sent and received.
func (l *trafficLog) fields(totals map[string]traffic.Count, elapsed time.Duration) []zap.Field {
	recent := map[string]traffic.Count{}
	for kind, total := range totals {
		before := l.baseline[kind]
		recent[kind] = traffic.Count{
			Sent: total.Sent - before.Sent, Received: total.Received - before.Received, Messages: total.Messages - before.Messages,
		}
	}
	kinds := slices.SortedFunc(maps.Keys(recent), func(a, b string) int {
		return cmp.Compare(recent[b].Sent+recent[b].Received, recent[a].Sent+recent[a].Received)
	})
	perSecond := func(n int64) float64 { return float64(n) / elapsed.Seconds() }
	var sent, received int64
	for _, c := range recent {
		sent += int64(c.Sent)
		received += int64(c.Received)
	}
	const kilo = 1000
	fields := []zap.Field{
		zap.Float64("sent_kb", perSecond(sent)/kilo), zap.Float64("received_kb", perSecond(received)/kilo),
	}
	for _, kind := range kinds[:min(maxTrafficKinds, len(kinds))] {
		c := recent[kind]
		fields = append(fields, zap.Float64s(kind, []float64{
			perSecond(c.Messages), perSecond(int64(c.Sent)) / kilo, perSecond(int64(c.Received)) / kilo,
		}))
	}
	return fields
}
