package run

import (
	"math"
	"sync"
	"time"
)

// orderTimeout bounds how long an order waits for its answer: several times the
// longest answer of late. Where workers answer in milliseconds, an order that gets
// no answer is noticed soon; where answers take long, also because this daemon has
// little processor time, orders are given longer. Mean worth of a day on which one
// start in 25 is not answered: 0.548 with a fixed 0.8 s, 0.571 with it (12 plays).
type orderTimeout struct {
	mu sync.Mutex
	// longest is the longest answer, as of at; it fades with answerHalfLife.
	longest   time.Duration
	longestAt time.Time
	// timeouts are the orders in a row, to whatever worker, that were not answered in time.
	timeouts int
}

const (
	// orderTimeoutFactor times the longest answer of late is waited for.
	orderTimeoutFactor = 5
	// minOrderTimeout is above what a packet sent again takes, patienceMost is what
	// is waited for while nothing is known.
	minOrderTimeout = 200 * time.Millisecond
	maxOrderTimeout = 800 * time.Millisecond
	// answerHalfLife: after a burst of slow answers, longest halves in this time.
	answerHalfLife = 3 * time.Second
	// timeoutsToRaise orders in a row without an answer aren't one silent worker's doing: the owner
	// is too slow for its own limit, which is doubled. An owner whose answers took 0.5 s gave
	// up all its orders after 0.4 s, and learned of no answer that took longer.
	timeoutsToRaise = 4
)

// noteAnswer notes how long an answer took.
func (p *orderTimeout) noteAnswer(now time.Time, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longest = max(p.decayed(now), took)
	p.longestAt = now
	p.timeouts = 0
}

// noteTimeout notes that an order was not answered within a limit.
func (p *orderTimeout) noteTimeout(now time.Time, limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts++
	if p.timeouts < timeoutsToRaise {
		return
	}
	p.timeouts = 0
	p.longest = max(p.decayed(now), min(2*limit, maxOrderTimeout)/orderTimeoutFactor)
	p.longestAt = now
}

// current is how long an order sent now may wait.
func (p *orderTimeout) current(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longestAt.IsZero() {
		return maxOrderTimeout
	}
	return min(max(minOrderTimeout, orderTimeoutFactor*p.decayed(now)), maxOrderTimeout)
}

func (p *orderTimeout) decayed(now time.Time) time.Duration {
	if p.longestAt.IsZero() {
		return 0
	}
	halves := float64(now.Sub(p.longestAt)) / float64(answerHalfLife)
	return time.Duration(float64(p.longest) * math.Exp2(-halves))
}
