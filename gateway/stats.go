package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	tw "github.com/tamarindworks/tamarindworks"
)

// stats holds the gateway's metrics. All counters are created at the start, so
// that a reason that has not occurred is exported as 0.
type stats struct {
	refusals  map[Reason]*metrics.Counter
	retries   map[RetryReason]*metrics.Counter
	answered  map[tw.Class]*metrics.Counter
	latency   map[tw.Class]*metrics.Histogram
	truncated *metrics.Counter
}

func newStats(set *metrics.Set) *stats {
	s := &stats{
		refusals:  map[Reason]*metrics.Counter{},
		retries:   map[RetryReason]*metrics.Counter{},
		answered:  map[tw.Class]*metrics.Counter{},
		latency:   map[tw.Class]*metrics.Histogram{},
		truncated: set.GetOrCreateCounter("tamarind_answers_cut_total"),
	}
	for _, r := range Reasons() {
		s.refusals[r] = set.GetOrCreateCounter(fmt.Sprintf("tamarind_refusals_total{reason=%q}", r))
	}
	for _, r := range RetryReasons {
		s.retries[r] = set.GetOrCreateCounter(fmt.Sprintf("tamarind_retries_total{reason=%q}", r))
	}
	for _, c := range tw.Classes {
		s.answered[c] = set.GetOrCreateCounter(fmt.Sprintf("tamarind_answers_total{class=%q}", c))
		s.latency[c] = set.GetOrCreateHistogram(fmt.Sprintf("tamarind_request_seconds{class=%q}", c))
	}
	return s
}

func (s *stats) refused(r Reason) { s.refusals[r].Inc() }

func (s *stats) retried(r RetryReason) { s.retries[r].Inc() }

func (s *stats) responseTruncated() { s.truncated.Inc() }

func (s *stats) requestEnded(ex *exchange, refusal *Refusal, took time.Duration) {
	if refusal != nil {
		s.refused(refusal.Reason)
		return
	}
	s.answered[ex.class].Inc()
	s.latency[ex.class].Update(took.Seconds())
}
