package schedule

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// Rates tells which submissions of an organisation are beyond its weight, the number of its
// submissions a second that are guaranteed service. It is a token bucket for each organisation,
// which refills at its weight and holds one second of it. A submission that finds no token is beyond
// the weight and takes none, so that an organisation that sends too much keeps its weight's worth.
// The load that it answers is one organisation that sends many times its usual.
type Rates struct {
	organisations map[tw.OrganisationID]*organisationRate
}

// organisationRate is the state of one organisation.
type organisationRate struct {
	weight float64
	// tokens are the submissions that it may still send at the time at.
	tokens float64
	at     time.Time
	// excess counts the submissions beyond its weight since windowStart, lastExcess those of
	// the window before.
	excess, lastExcess float64
	windowStart        time.Time
}

const (
	// rateBurst is the time for which an organisation may save up unused weight.
	rateBurst = time.Second
	// rateWindow is the time over which Excess averages.
	rateWindow = time.Second
)

// Add counts a submission that was accepted at a time. It returns zero if the submission is within
// the organisation's weight, and otherwise how long the weight would take to allow what the
// organisation has sent beyond it of late; by this, organisations take turns with such work.
// Submissions are added about in the order of their times. Without an organisation or a weight
// nothing is beyond it.
func (r *Rates) Add(organisation tw.OrganisationID, weight float64, at time.Time) (ahead time.Duration) {
	if organisation == "" || weight <= 0 {
		return 0
	}
	o := r.organisations[organisation]
	if o == nil {
		if r.organisations == nil {
			r.organisations = map[tw.OrganisationID]*organisationRate{}
		}
		o = &organisationRate{tokens: capacity(weight), at: at, windowStart: at}
		r.organisations[organisation] = o
	}
	o.weight = weight
	o.advance(at)
	if o.tokens >= 1 {
		o.tokens--
		return 0
	}
	o.excess++
	return time.Duration(o.recentExcess() / weight * float64(time.Second))
}

// Beyond reports whether a submission that an organisation hands in now would be beyond its weight.
func (r *Rates) Beyond(organisation tw.OrganisationID, weight float64, now time.Time) bool {
	o := r.organisations[organisation]
	if o == nil || weight <= 0 {
		return false
	}
	o.advance(now)
	return o.tokens < 1
}

// Excess is by how much an organisation's rate of late was above its weight, relative to its
// weight: 0 while it sends within its weight, 1 for twice its weight.
func (r *Rates) Excess(organisation tw.OrganisationID, now time.Time) float64 {
	o := r.organisations[organisation]
	if o == nil {
		return 0
	}
	o.advance(now)
	return o.recentExcess() / (o.weight * rateWindow.Seconds())
}

// recentExcess counts the submissions beyond the weight in the last rateWindow, of which those of
// the window before count by the part that is not over yet.
func (o *organisationRate) recentExcess() float64 {
	lastPart := 1 - min(max(0, o.at.Sub(o.windowStart).Seconds()/rateWindow.Seconds()), 1)
	return o.excess + lastPart*o.lastExcess
}

// capacity is the most tokens that an organisation can have. One that may send less than one
// submission a second must still be able to save up a whole one.
func capacity(weight float64) float64 { return max(1, weight*rateBurst.Seconds()) }

// advance refills the tokens for the time that has passed and begins a new window when one is over.
// A time before the last one changes nothing.
func (o *organisationRate) advance(now time.Time) {
	if passed := now.Sub(o.at); passed > 0 {
		o.at = now
		o.tokens = min(o.tokens+o.weight*passed.Seconds(), capacity(o.weight))
	}
	switch age := now.Sub(o.windowStart); {
	case age >= 2*rateWindow:
		o.excess, o.lastExcess, o.windowStart = 0, 0, now
	case age >= rateWindow:
		o.excess, o.lastExcess, o.windowStart = 0, o.excess, o.windowStart.Add(rateWindow)
	}
}
