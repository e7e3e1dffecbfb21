package run

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// noteHandIn counts a new submission in its organisation's rate. The clock of the daemon that accepted
// it may be ahead of this one's; no tokens would be refilled until then.
func (o *Owner) noteHandIn(sub *submission) {
	sub.ahead = o.rates.Add(sub.Organisation, o.weight(sub.Organisation), earlier(sub.Accepted, o.now))
	if sub.ahead == 0 {
		return
	}
	o.metrics.beyondWeight.Inc()
	if o.now.Sub(o.beyondLoggedAt) < beyondLogInterval {
		return
	}
	o.beyondLoggedAt = o.now
	o.log.Info("submission: beyond its organisation's weight", zap.String("submission", string(sub.ID)),
		zap.String("organisation", string(sub.Organisation)), zap.Duration("ahead", sub.ahead),
		zap.Float64("excess", o.rates.Excess(sub.Organisation, o.now)))
}

// beyondLogInterval is the minimum time between two log lines about work beyond a weight.
const beyondLogInterval = 100 * time.Millisecond

// replayHandIns counts the submissions that were loaded at the takeover, in the order in which they
// were accepted: so an owner marks about the same work as its predecessor did.
func (o *Owner) replayHandIns() {
	loaded := slices.SortedFunc(maps.Values(o.live), func(a, b *submission) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	for _, sub := range loaded {
		o.noteHandIn(sub)
	}
}

// weight is an organisation's weight in the active configuration; zero without one. An owner sees
// the hand-ins of its own pool only, and compares them with the whole weight: what it finds beyond
// the weight surely is.
func (o *Owner) weight(id tw.OrganisationID) float64 {
	config := o.caps.config()
	if config == nil || id == "" {
		return 0
	}
	for i := range config.Organisations {
		if config.Organisations[i].ID == id {
			return config.Organisations[i].Weight
		}
	}
	return 0
}
