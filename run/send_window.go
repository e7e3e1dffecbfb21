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
		// first is the limit that is begun with, also after work has not waited for a while.
		first int
		// pending are the starts that count against the limit, by the time of their
		// decision.
		pending []*pendingStart
		open    int // of pending, not answered
		// prompt and late count the answers to starts that were decided after changedAt,
		// since judgedAt.
		prompt, late int
		// filled: at least half of the limit was used meanwhile.
		filled              bool
		judgedAt, changedAt time.Time
		// heldAt is when work with room last waited for orders to be answered alone,
		// heldFrom since when it has done so without a break.
		heldFrom, heldAt time.Time
		// lateAt is when a start was last answered late or not at all.
		lateAt time.Time
		// usual is the smoothed time from the sending of a start to its answer, of all
		// workers.
		usual time.Duration
		// age is the smoothed time from the decision to start to the answer, inFlight how
		// many starts were decided and not answered meanwhile.
		age      time.Duration
		inFlight float64
	}

	// pendingStart is a start that is not answered yet.
	pendingStart struct {
		decided  time.Time
		answered bool
	}
)

const (
	// startAge is how old the decision to start may be when the order is sent; a
	// worker that answers takes some tens of starts in that time.
	startAge = 500 * time.Millisecond
	// sendSoon is within what a start should be answered, counted from its decision: so
	// far below startAge that twice the usual time is still in time.
	sendSoon = 200 * time.Millisecond
	// sendStuck: a start that has waited so long waits for its worker, or for a window
	// that has been cut since. It must not keep others from being sent.
	sendStuck = 2 * sendSoon
	// slowOrder is how long orders take, from the decision to the answer, at an owner that
	// is short; elsewhere it is 5 to 25 ms.
	slowOrder = sendSoon / 4
	// windowFirst is the first window of a daemon of which nothing is known, windowLeast and
	// windowMost bound it; the largest pools start 2,000 a second.
	windowFirst = 64
	windowLeast = 4
	windowMost  = 4096
	// startsPerCore is more than a processor core was seen to send: 100 to 170 a second with
	// 0.19 of one, 800 to 1,100 with 0.8, as these daemons told while they were short. Too
	// wide a first window is narrowed by the first answers, one too narrow holds up each height.
	startsPerCore = 1800
	// usualOrder is the usual size of an order to start, in bytes.
	usualOrder = 730
	// beginAnew: so long after work has last waited for orders, or one was late, the window is
	// the first one again. What made it narrow has passed.
	beginAnew = time.Second
	// workerFirst and workerMost bound the starts on their way to one worker, which are
	// sent one after the other. So many fill a worker of 16 cores three times over.
	workerFirst = 4
	workerMost  = 48
	// judgeEvery bounds how long answers gather before the window is judged by less than
	// half of it, judgeLeast is by how few it is judged at all.
	judgeEvery = 100 * time.Millisecond
	judgeLeast = 8
	// orderWeight smooths the time of an order over about the last ten.
	orderWeight = 0.1
	// shortFor is for how long work that has waited for orders counts as waiting: a height's
	// passes come closer together.
	shortFor = 500 * time.Millisecond
)

// newSendWindow begins with a limit.
func newSendWindow(now time.Time, first int) *sendWindow {
	return &sendWindow{limit: first, first: first, judgedAt: now, changedAt: now}
}

// firstWindow is how many starts a daemon with a share of processor cores and a link can be
// expected to send soon. A window of 64 at all daemons held the starts of a height up by some
// tens of milliseconds where there was no need; one wider than the link can carry has
// orders dropped.
func firstWindow(cores tw.Cores, link tw.BytesPerSecond) int {
	if cores == 0 && link == 0 {
		return windowFirst
	}
	rate := math.Inf(1)
	if cores > 0 {
		rate = startsPerCore * float64(cores)
	}
	if link > 0 {
		rate = min(rate, startsShare*float64(link)/usualOrder)
	}
	return int(min(max(windowLeast, rate*sendSoon.Seconds()), windowMost))
}

// left is how many more starts may be decided now.
func (s *sendWindow) left(now time.Time) int {
	if s.limit < s.first && now.Sub(later(s.heldAt, s.lateAt)) > beginAnew {
		s.limit = s.first
	}
	for len(s.pending) > 0 && (s.pending[0].answered || now.Sub(s.pending[0].decided) > sendStuck) {
		if !s.pending[0].answered {
			s.pending[0].answered = true
			s.open--
		}
		s.pending = s.pending[1:]
	}
	return max(0, s.limit-s.open)
}

// decided notes a start.
func (s *sendWindow) decided(now time.Time) *pendingStart {
	p := &pendingStart{decided: now}
	s.pending = append(s.pending, p)
	s.open++
	s.filled = s.filled || 2*s.open >= s.limit
	return p
}

// held notes that work with room waits for orders to be answered.
func (s *sendWindow) held(now time.Time) {
	if !s.holds(now) {
		s.heldFrom = now
	}
	s.heldAt = now
}

// shortage is how long the owner has been short; zero if it is not.
func (s *sendWindow) shortage(now time.Time) time.Duration {
	if !s.short(now) {
		return 0
	}
	return now.Sub(s.heldFrom)
}

// holds tells whether orders are what work waits for, be it for a moment.
func (s *sendWindow) holds(now time.Time) bool {
	return !s.heldAt.IsZero() && now.Sub(s.heldAt) < shortFor
}

// short tells whether the owner is too slow for the work that has room. Where orders are soon
// answered, work that waits for them only waits for the window to open.
func (s *sendWindow) short(now time.Time) bool { return s.holds(now) && s.age >= slowOrder }

// capacity is about how many starts a second the owner can send while it is short: as many as
// are in flight in the time that one takes (Little's law). It is zero while it is not, or
// nothing is known.
func (s *sendWindow) capacity(now time.Time) float64 {
	if !s.short(now) {
		return 0
	}
	return s.inFlight / s.age.Seconds()
}

// release takes a start out that has come to an end, whatever that is.
func (s *sendWindow) release(p *pendingStart) {
	if !p.answered {
		p.answered = true
		s.open--
	}
}

// answered notes that a start was answered, took after it was sent.
func (s *sendWindow) answered(now time.Time, p *pendingStart, took time.Duration) {
	s.inFlight += orderWeight * (float64(s.open) - s.inFlight)
	s.release(p)
	age := now.Sub(p.decided)
	s.usual, s.age = smooth(s.usual, took), smooth(s.age, age)
	s.count(now, p, age > sendSoon)
}

// outdated notes that a start could not be sent in time.
func (s *sendWindow) outdated(now time.Time, p *pendingStart) {
	s.release(p)
	s.count(now, p, true)
}

// unanswered notes that a start that was sent got no answer in time. Where that is not one
// silent worker's doing, more was sent than the link or the processor can carry: an owner that
// kept its window sent 500 starts in 40 s of which hardly one was answered, and stopped all.
func (s *sendWindow) unanswered(now time.Time, p *pendingStart) {
	s.release(p)
	s.count(now, p, true)
}

// count takes up what became of a start, and judges the window once enough is known of
// what it has led to. One slow worker alone must not narrow it, so that most answers count.
func (s *sendWindow) count(now time.Time, p *pendingStart, late bool) {
	if p.decided.Before(s.changedAt) {
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
	case known < judgeLeast:
		return
	case 2*s.late > known:
		s.change(now, s.limit*3/4)
	case known < s.limit/2 && now.Sub(s.judgedAt) < judgeEvery:
		return // the first answers to a full window say little of the last ones
	case known >= s.limit/2 && s.late == 0 && s.filled && s.holds(now):
		s.change(now, s.limit*2)
	}
	s.prompt, s.late, s.judgedAt, s.filled = 0, 0, now, 2*s.open >= s.limit
}

func (s *sendWindow) change(now time.Time, limit int) {
	s.limit = min(max(windowLeast, limit), windowMost)
	s.changedAt = now
}

// perWorker is how many starts may be on their way to a worker that takes a time for each:
// as many as it answers soon.
func (s *sendWindow) perWorker(took time.Duration) int {
	if took == 0 {
		took = s.usual
	}
	if took == 0 {
		return workerFirst
	}
	return int(min(max(1, sendSoon/took), workerMost))
}

// smooth takes the time of an order up into the smoothed one; zero if there is none yet.
func smooth(usual, took time.Duration) time.Duration {
	if usual == 0 {
		return took
	}
	return usual + time.Duration(orderWeight*float64(took-usual))
}
