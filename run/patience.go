package run

import (
	"math"
	"sync"
	"time"
)

// patience bounds how long an order waits for its answer: several times the
// longest answer of late. Where workers answer in milliseconds, an order that gets
// no answer is noticed soon; where answers take long, also because this daemon has
// little processor time, orders are given longer. Mean worth of a day on which one
// start in 25 is not answered: 0.548 with a fixed 0.8 s, 0.571 with it (12 plays).
type patience struct {
	mu sync.Mutex
	// longest is the longest answer, as of at; it fades with answerHalfLife.
	longest time.Duration
	at      time.Time
	// missed are the orders in a row, to whatever worker, that were not answered in time.
	missed int
}

const (
	// patienceFactor times the longest answer of late is waited for.
	patienceFactor = 5
	// patienceLeast is above what a packet sent again takes, patienceMost is what
	// is waited for while nothing is known.
	patienceLeast = 200 * time.Millisecond
	patienceMost  = 800 * time.Millisecond
	// answerHalfLife: after a burst of slow answers, longest halves in this time.
	answerHalfLife = 3 * time.Second
	// missedMany orders in a row without an answer aren't one silent worker's doing: the owner
	// is too slow for its own limit, which is doubled. An owner whose answers took 0.5 s gave
	// up all its orders after 0.4 s, and learned of no answer that took longer.
	missedMany = 4
)

// answered notes how long an answer took.
func (p *patience) answered(now time.Time, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longest = max(p.faded(now), took)
	p.at = now
	p.missed = 0
}

// unanswered notes that an order was not answered within a limit.
func (p *patience) unanswered(now time.Time, limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.missed++
	if p.missed < missedMany {
		return
	}
	p.missed = 0
	p.longest = max(p.faded(now), min(2*limit, patienceMost)/patienceFactor)
	p.at = now
}

// limit is how long an order sent now may wait.
func (p *patience) limit(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() {
		return patienceMost
	}
	return min(max(patienceLeast, patienceFactor*p.faded(now)), patienceMost)
}

func (p *patience) faded(now time.Time) time.Duration {
	if p.at.IsZero() {
		return 0
	}
	halves := float64(now.Sub(p.at)) / float64(answerHalfLife)
	return time.Duration(float64(p.longest) * math.Exp2(-halves))
}
