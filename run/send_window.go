package run

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// An owner that is short of processor time or of its link can't send all the starts for
// which there is room. Decided all the same they wait, are outdated when their turn comes,
// and are decided again: one owner dropped 6,873 of some 9,000 so, and accepted work began
// after 6 to 19 s or never. So an owner decides only what it can send soon, as a TCP sender
// does with a congestion window, and decides the rest when answers have come.

type (
	// sendWindow bounds the starts that an owner has decided and that are not answered
	// yet. It belongs to the owner's loop.
	sendWindow struct {
		limit int
		// initial is the limit that is begun with, also after work has not waited for a while.
		initial int
		// pending are the starts that count against the limit, by the time of their
		// decision.
		pending     []*pendingStart
		outstanding int // of pending, not answered
		// prompt and late count the answers to starts that were decided after changedAt,
		// since judgedAt.
		prompt, late int
		// halfUsed: at least half of the limit was used meanwhile.
		halfUsed               bool
		evaluatedAt, changedAt time.Time
		// limitedAt is when work with room last waited for orders to be answered alone,
		// limitedSince since when it has done so without a break.
		limitedSince, limitedAt time.Time
		// lateAt is when a start was last answered late or not at all.
		lateAt time.Time
		// roundTrip is the smoothed time from the sending of a start to its answer, of all
		// workers.
		roundTrip time.Duration
		// latency is the smoothed time from the decision to start to the answer, inFlight how
		// many starts were decided and not answered meanwhile.
		latency  time.Duration
		inFlight float64
	}

	// pendingStart is a start that is not answered yet.
	pendingStart struct {
		decidedAt time.Time
		released  bool
	}
)

const (
	// maxStartAge is how old the decision to start may be when the order is sent; a
	// worker that answers takes some tens of starts in that time.
	maxStartAge = 500 * time.Millisecond
	// targetStartLatency is within what a start should be answered, counted from its decision: so
	// far below startAge that twice the usual time is still in time.
	targetStartLatency = 200 * time.Millisecond
	// stuckStartAge: a start that has waited so long waits for its worker, or for a window
	// that has been cut since. It must not keep others from being sent.
	stuckStartAge = 2 * targetStartLatency
	// slowStartLatency is how long orders take, from the decision to the answer, at an owner that
	// is short; elsewhere it is 5 to 25 ms.
	slowStartLatency = targetStartLatency / 4
	// defaultWindow is the first window of a daemon of which nothing is known, windowLeast and
	// windowMost bound it; the largest pools start 2,000 a second.
	defaultWindow = 64
	minWindow     = 4
	maxWindow     = 4096
	// startsPerCore is more than a processor core was seen to send: 100 to 170 a second with
	// 0.19 of one, 800 to 1,100 with 0.8, as these daemons told while they were short. Too
	// wide a first window is narrowed by the first answers, one too narrow holds up each height.
	startsPerCore = 1800
	// typicalOrderBytes is the usual size of an order to start, in bytes.
	typicalOrderBytes = 730
	// windowResetAfter: so long after work has last waited for orders, or one was late, the window is
	// the first one again. What made it narrow has passed.
	windowResetAfter = time.Second
	// initialWorkerLimit and workerMost bound the starts on their way to one worker, which are
	// sent one after the other. So many fill a worker of 16 cores three times over.
	initialWorkerLimit = 4
	maxWorkerLimit     = 48
	// evaluateInterval bounds how long answers gather before the window is judged by less than
	// half of it, judgeLeast is by how few it is judged at all.
	evaluateInterval = 100 * time.Millisecond
	minAnswers       = 8
	// latencyWeight smooths the time of an order over about the last ten.
	latencyWeight = 0.1
	// limitedTime is for how long work that has waited for orders counts as waiting: a height's
	// passes come closer together.
	limitedTime = 500 * time.Millisecond
)

// newSendWindow begins with a limit.
func newSendWindow(now time.Time, first int) *sendWindow {
	return &sendWindow{limit: first, initial: first, evaluatedAt: now, changedAt: now}
}

// initialWindow is how many starts a daemon with a share of processor cores and a link can be
// expected to send soon. A window of 64 at all daemons held the starts of a height up by some
// tens of milliseconds where there was no need; one wider than the link can carry has
// orders dropped.
func initialWindow(cores tw.Cores, link tw.BytesPerSecond) int {
	if cores == 0 && link == 0 {
		return defaultWindow
	}
	rate := math.Inf(1)
	if cores > 0 {
		rate = startsPerCore * float64(cores)
	}
	if link > 0 {
		rate = min(rate, startsLinkShare*float64(link)/typicalOrderBytes)
	}
	return int(min(max(minWindow, rate*targetStartLatency.Seconds()), maxWindow))
}

// available is how many more starts may be decided now.
func (s *sendWindow) available(now time.Time) int {
	if s.limit < s.initial && now.Sub(later(s.limitedAt, s.lateAt)) > windowResetAfter {
		s.limit = s.initial
	}
	for len(s.pending) > 0 && (s.pending[0].released || now.Sub(s.pending[0].decidedAt) > stuckStartAge) {
		if !s.pending[0].released {
			s.pending[0].released = true
			s.outstanding--
		}
		s.pending = s.pending[1:]
	}
	return max(0, s.limit-s.outstanding)
}

// addStart notes a start.
func (s *sendWindow) addStart(now time.Time) *pendingStart {
	p := &pendingStart{decidedAt: now}
	s.pending = append(s.pending, p)
	s.outstanding++
	s.halfUsed = s.halfUsed || 2*s.outstanding >= s.limit
	return p
}

// noteLimited notes that work with room waits for orders to be answered.
func (s *sendWindow) noteLimited(now time.Time) {
	if !s.limited(now) {
		s.limitedSince = now
	}
	s.limitedAt = now
}

// shortage is how long the owner has been short; zero if it is not.
func (s *sendWindow) shortage(now time.Time) time.Duration {
	if !s.short(now) {
		return 0
	}
	return now.Sub(s.limitedSince)
}

// limited tells whether orders are what work waits for, be it for a moment.
func (s *sendWindow) limited(now time.Time) bool {
	return !s.limitedAt.IsZero() && now.Sub(s.limitedAt) < limitedTime
}

// short tells whether the owner is too slow for the work that has room. Where orders are soon
// answered, work that waits for them only waits for the window to open.
func (s *sendWindow) short(now time.Time) bool {
	return s.limited(now) && s.latency >= slowStartLatency
}

// capacity is about how many starts a second the owner can send while it is short: as many as
// are in flight in the time that one takes (Little's law). It is zero while it is not, or
// nothing is known.
func (s *sendWindow) capacity(now time.Time) float64 {
	if !s.short(now) {
		return 0
	}
	return s.inFlight / s.latency.Seconds()
}

// release takes a start out that has come to an end, whatever that is.
func (s *sendWindow) release(p *pendingStart) {
	if !p.released {
		p.released = true
		s.outstanding--
	}
}

// noteAnswer notes that a start was noteAnswer, took after it was sent.
func (s *sendWindow) noteAnswer(now time.Time, p *pendingStart, took time.Duration) {
	s.inFlight += latencyWeight * (float64(s.outstanding) - s.inFlight)
	s.release(p)
	age := now.Sub(p.decidedAt)
	s.roundTrip, s.latency = smooth(s.roundTrip, took), smooth(s.latency, age)
	s.countOutcome(now, p, age > targetStartLatency)
}

// noteOutdated notes that a start could not be sent in time.
func (s *sendWindow) noteOutdated(now time.Time, p *pendingStart) {
	s.release(p)
	s.countOutcome(now, p, true)
}

// noteTimeout notes that a start that was sent got no answer in time. Where that is not one
// silent worker's doing, more was sent than the link or the processor can carry: an owner that
// kept its window sent 500 starts in 40 s of which hardly one was answered, and stopped all.
func (s *sendWindow) noteTimeout(now time.Time, p *pendingStart) {
	s.release(p)
	s.countOutcome(now, p, true)
}

// countOutcome takes up what became of a start, and judges the window once enough is known of
// what it has led to. One slow worker alone must not narrow it, so that most answers countOutcome.
func (s *sendWindow) countOutcome(now time.Time, p *pendingStart, late bool) {
	if p.decidedAt.Before(s.changedAt) {
		return
	}
	if late {
		s.late++
		s.lateAt = now
	} else {
		s.prompt++
	}
	known := s.prompt + s.late
	switch {
	case known < minAnswers:
		return
	case 2*s.late > known:
		s.setLimit(now, s.limit*3/4)
	case known < s.limit/2 && now.Sub(s.evaluatedAt) < evaluateInterval:
		return // the first answers to a full window say little of the last ones
	case known >= s.limit/2 && s.late == 0 && s.halfUsed && s.limited(now):
		s.setLimit(now, s.limit*2)
	}
	s.prompt, s.late, s.evaluatedAt, s.halfUsed = 0, 0, now, 2*s.outstanding >= s.limit
}

func (s *sendWindow) setLimit(now time.Time, limit int) {
	s.limit = min(max(minWindow, limit), maxWindow)
	s.changedAt = now
}

// workerLimit is how many starts may be on their way to a worker that takes a time for each:
// as many as it answers soon.
func (s *sendWindow) workerLimit(took time.Duration) int {
	if took == 0 {
		took = s.roundTrip
	}
	if took == 0 {
		return initialWorkerLimit
	}
	return int(min(max(1, targetStartLatency/took), maxWorkerLimit))
}

// smooth takes the time of an order up into the smoothed one; zero if there is none yet.
func smooth(usual, took time.Duration) time.Duration {
	if usual == 0 {
		return took
	}
	return usual + time.Duration(latencyWeight*float64(took-usual))
}
