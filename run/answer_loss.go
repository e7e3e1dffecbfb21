package run

import (
	"math"
	"sync"
	"time"

	"go.uber.org/zap"
)

// answerLoss estimates the share of orders that get no answer though their worker is alive. It
// is shared by the sessions of an owner. Orders to workers that are taken for silent are left
// out: the answers of a dead worker are not lost.
type answerLoss struct {
	mu sync.Mutex
	// answered and lost count orders as of at. They decay with lossHalfLife.
	answered, lost float64
	at             time.Time
}

const (
	// lossHalfLife is the time in which the counts halve.
	lossHalfLife = time.Second
	// assumedAnswers is a number of answered orders that are assumed in addition, so that one
	// lost order in a pool with few orders is not taken for a large share.
	assumedAnswers = 10
	// minLossShare is the share below which no answers count as lost.
	minLossShare = 0.01
	// silenceProbability is the probability below which unanswered orders are not explained by
	// lost answers: the worker is silent then.
	silenceProbability = 0.01
	// maxUnanswered bounds how many unanswered orders may be explained by lost answers.
	maxUnanswered = 8
)

// note counts orders that were answered, and orders that were not although the worker is alive.
func (l *answerLoss) note(now time.Time, answered, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.answered += float64(answered)
	l.lost += float64(lost)
}

// noteLate corrects the counts for an order that was counted as lost and is answered late.
func (l *answerLoss) noteLate(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.answered++
	l.lost = max(0, l.lost-1)
}

// share returns the share of lost answers, between 0 and 1. It is 0 below minLossShare.
func (l *answerLoss) share(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	share := l.lost / (l.answered + l.lost + assumedAnswers)
	if share < minLossShare {
		return 0
	}
	return share
}

func (l *answerLoss) decay(now time.Time) {
	if elapsed := now.Sub(l.at); !l.at.IsZero() && elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(lossHalfLife))
		l.answered *= factor
		l.lost *= factor
	}
	l.at = later(l.at, now)
}

// noteLoss publishes the share of lost answers, and logs when it begins and ends to matter.
func (o *Owner) noteLoss() {
	share := o.loss.share(o.now)
	o.metrics.lostShare.Set(share)
	if o.answersLost == (share > 0) {
		return
	}
	o.answersLost = share > 0
	message := "owner: no more answers are lost"
	if o.answersLost {
		message = "owner: answers are lost"
	}
	delay, _ := o.hedge.current()
	o.log.Info(message, zap.Float64("lost_share", share), zap.Duration("hedge_delay", delay), zap.Int("workers", len(o.workers)))
}

// unansweredLimit returns the number of orders in a row without an answer from which on a worker
// is silent, given the share of lost answers: one if none are lost.
func unansweredLimit(share float64) int {
	if share < minLossShare {
		return 1
	}
	for n := 1; n < maxUnanswered; n++ {
		if math.Pow(share, float64(n)) < silenceProbability {
			return n
		}
	}
	return maxUnanswered
}
