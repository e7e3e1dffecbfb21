package run

import (
	"sync"
	"time"
)

// hedgeDelay is the time without an answer after which an order is sent once more. It follows the
// usual answer time and its variation, as the retransmission timeout of TCP does (RFC 6298). It
// is shared by the sessions of an owner.
type hedgeDelay struct {
	mu              sync.Mutex
	mean, variation time.Duration // zero if no order was answered yet
	order           callOrder
	// busy: the owner does not keep up with the answers.
	busy bool
}

const (
	// minHedgeDelay is several times the 2 ms or so of an answer within a region.
	minHedgeDelay = 25 * time.Millisecond
	// maxHedgeDelay leaves time for a copy within the minimum timeout of an order.
	maxHedgeDelay = minOrderTimeout / 2
	// meanWeight and variationWeight are the weights of a new answer time, variationFactor the
	// multiple of the variation that is added to the mean, as in RFC 6298.
	meanWeight      = 0.125
	variationWeight = 0.25
	variationFactor = 4
)

// setBusy records whether the owner keeps up with the answers.
func (h *hedgeDelay) setBusy(busy bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy = busy
}

// noteSent records that a call was sent that the worker answers at once.
func (h *hedgeDelay) noteSent(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.order.noteSent(at)
}

// overdue reports whether a call that was to be answered from a time on is later than the others.
func (h *hedgeDelay) overdue(from time.Time) bool {
	delay, _ := h.current()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.order.overdue(from, delay)
}

// noteAnswer records the answer to a call and how long it took.
func (h *hedgeDelay) noteAnswer(sentAt time.Time, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.order.noteAnswer(sentAt)
	if h.mean == 0 {
		h.mean, h.variation = took, took/2
		return
	}
	deviation := (took - h.mean).Abs()
	h.variation += time.Duration(variationWeight * float64(deviation-h.variation))
	h.mean += time.Duration(meanWeight * float64(took-h.mean))
}

// current is the delay for an order that is sent now. useful reports whether orders may be sent
// again: not while answers take so long that a slow one can't be told from a lost one, as copies
// would add to the load that makes the answers slow, and not before the first answer.
func (h *hedgeDelay) current() (delay time.Duration, useful bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mean == 0 {
		return maxHedgeDelay, false
	}
	delay = max(minHedgeDelay, h.mean+variationFactor*h.variation)
	useful = delay < maxHedgeDelay
	if h.busy {
		delay = maxHedgeDelay // most late answers have arrived and wait to be handled
	}
	return min(delay, maxHedgeDelay), useful
}
