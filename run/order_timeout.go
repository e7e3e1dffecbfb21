package run

import (
	"math"
	"sync"
	"time"
)

// orderTimeout is the adaptive timeout of orders: several times the longest recent answer time.
// Where workers answer within milliseconds, an order that gets no answer is noticed soon; where
// answers take long, also because this daemon has little processor time, orders get more time.
type orderTimeout struct {
	mu sync.Mutex
	// longest is the longest answer time as of longestAt. It decays with answerHalfLife.
	longest   time.Duration
	longestAt time.Time
	// timeouts counts the consecutive orders, to any worker, that were not answered in time.
	timeouts int
}

const (
	// orderTimeoutFactor is the timeout as a multiple of the longest recent answer time.
	orderTimeoutFactor = 5
	// minOrderTimeout is above the time of a packet retransmission. maxOrderTimeout is also used
	// while no answer times are known.
	minOrderTimeout = 200 * time.Millisecond
	maxOrderTimeout = 800 * time.Millisecond
	// answerHalfLife is the time in which the longest answer time halves after a burst of slow
	// answers.
	answerHalfLife = 3 * time.Second
	// timeoutsToRaise consecutive timeouts cannot come from one silent worker: the owner is
	// too slow for its own timeout, which is doubled. Otherwise it would never observe an
	// answer that takes longer.
	timeoutsToRaise = 4
)

// noteAnswer records how long an answer took.
func (t *orderTimeout) noteAnswer(now time.Time, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.longest = max(t.decayed(now), took)
	t.longestAt = now
	t.timeouts = 0
}

// noteTimeout records that an order was not answered within its timeout.
func (t *orderTimeout) noteTimeout(now time.Time, limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeouts++
	if t.timeouts < timeoutsToRaise {
		return
	}
	t.timeouts = 0
	t.longest = max(t.decayed(now), min(2*limit, maxOrderTimeout)/orderTimeoutFactor)
	t.longestAt = now
}

// current is the timeout of an order sent now.
func (t *orderTimeout) current(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.longestAt.IsZero() {
		return maxOrderTimeout
	}
	return min(max(minOrderTimeout, orderTimeoutFactor*t.decayed(now)), maxOrderTimeout)
}

func (t *orderTimeout) decayed(now time.Time) time.Duration {
	if t.longestAt.IsZero() {
		return 0
	}
	halves := float64(now.Sub(t.longestAt)) / float64(answerHalfLife)
	return time.Duration(float64(t.longest) * math.Exp2(-halves))
}
