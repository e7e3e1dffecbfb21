package run

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// An owner that is short of processor time or link bandwidth cannot send all the starts for which
// there is free capacity. If it placed them all, they would be queued, expire before they are
// sent and be placed again, and accepted work would begin late or never. So an owner places only what it can send soon, using a window
// like a TCP sender's congestion window, and places the rest as answers arrive.

type (
	// sendWindow bounds the starts that an owner has placed and that are not answered yet. It
	// belongs to the owner's loop.
	sendWindow struct {
		limit int
		// initial is the limit at first. A lower limit is set back to it after a while in which
		// no work waited for starts and no start was late.
		initial int
		// pending are the starts that count against the limit until they are released, in the
		// order of their placement.
		pending     []*pendingStart
		outstanding int // number of pending starts that are not released
		// prompt and late count the outcomes since evaluatedAt of starts placed after changedAt.
		prompt, late int
		// halfUsed reports that at least half of the limit was used since evaluatedAt.
		halfUsed               bool
		evaluatedAt, changedAt time.Time
		// limitedAt is when work that had free capacity last waited only for starts to be
		// answered, limitedSince the beginning of the last uninterrupted period of such waiting.
		limitedSince, limitedAt time.Time
		// lateAt is when a start was last late: answered late, not answered or not sent in time.
		lateAt time.Time
		// roundTrip is the moving average of the time from sending a start to its answer, over
		// all workers.
		roundTrip time.Duration
		// latency is the moving average of the time from placing a start to its answer, inFlight
		// that of the number of unanswered starts.
		latency  time.Duration
		inFlight float64
		// lag shows whether the owner keeps up with the answers.
		lag handlingLag
	}

	// pendingStart is a start that counts against the window until it is released.
	pendingStart struct {
		placedAt time.Time
		released bool
		// lostTime is how much later it was answered because copies of the order were lost.
		lostTime time.Duration
	}
)

const (
	// maxStartAge is how long after its placement a start may be sent. A worker that answers
	// handles some tens of starts in that time.
	maxStartAge = 500 * time.Millisecond
	// targetStartLatency is the time from its placement within which a start should be answered.
	// It is so far below maxStartAge that a start that takes twice as long is still in time.
	targetStartLatency = 200 * time.Millisecond
	// stuckStartAge is the age at which an unanswered start no longer counts against the window.
	// Its worker is slow to answer, or it was placed before the window was reduced. It must not
	// block other starts.
	stuckStartAge = 2 * targetStartLatency
	// slowStartLatency is the start latency from which an owner counts as slow. An owner that
	// has enough processor time and bandwidth has a start latency of 5 to 25 ms.
	slowStartLatency = targetStartLatency / 4
	// defaultWindow is the initial window of a daemon whose resources are unknown. minWindow and
	// maxWindow bound every window; the largest pools start 2,000 subtasks a second.
	defaultWindow = 64
	minWindow     = 4
	maxWindow     = 4096
	// startsPerCore is the assumed number of starts per second and processor core. It is above what
	// daemons reach, as the first answers reduce an initial window that is too wide, while one
	// that is too narrow delays every burst.
	startsPerCore = 1800
	// typicalOrderBytes is the typical size of a start order.
	typicalOrderBytes = 730
	// windowResetAfter: a reduced window returns to its initial size this long after work last
	// waited for starts or a start was late. What reduced the window has passed by then.
	windowResetAfter = time.Second
	// initialWorkerLimit and maxWorkerLimit bound the starts that are queued for or in flight to
	// one worker, which are sent one after the other, or up to maxParallelStarts at once where
	// the client allows that. The maximum fills a worker of 16 cores three times over.
	initialWorkerLimit = 4
	maxWorkerLimit     = 48
	// evaluateInterval is the time after which the collected outcomes are evaluated even if they
	// are fewer than half of the window. minAnswers is their minimum number in any case.
	evaluateInterval = 100 * time.Millisecond
	minAnswers       = 8
	// latencyWeight averages start latencies over about the last ten.
	latencyWeight = 0.1
	// limitedTime is how long work that has waited for starts counts as still waiting. During a
	// burst, placement passes come at shorter intervals.
	limitedTime = 500 * time.Millisecond
)

// newSendWindow returns a window with an initial limit.
func newSendWindow(now time.Time, initial int) *sendWindow {
	return &sendWindow{limit: initial, initial: initial, evaluatedAt: now, changedAt: now}
}

// initialWindow is how many starts a daemon with a number of processor cores and a link can be
// expected to send soon. With a window of 64 for every daemon, the starts of bursts were delayed
// by tens of milliseconds without need. A window wider than the link can carry leads to dropped
// starts.
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

// available is how many more starts may be placed now.
func (s *sendWindow) available(now time.Time) int {
	if s.limit < s.initial && now.Sub(later(s.limitedAt, s.lateAt)) > windowResetAfter {
		s.limit = s.initial
	}
	for len(s.pending) > 0 && (s.pending[0].released || now.Sub(s.pending[0].placedAt) > stuckStartAge) {
		if !s.pending[0].released {
			s.pending[0].released = true
			s.outstanding--
		}
		s.pending = s.pending[1:]
	}
	return max(0, s.limit-s.outstanding)
}

// addStart counts a placed start against the window.
func (s *sendWindow) addStart(now time.Time) *pendingStart {
	p := &pendingStart{placedAt: now}
	s.pending = append(s.pending, p)
	s.outstanding++
	s.halfUsed = s.halfUsed || 2*s.outstanding >= s.limit
	return p
}

// noteLimited records that work with free capacity waits for starts to be answered.
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

// limited reports whether work waits for starts to be answered, even if only for a moment.
func (s *sendWindow) limited(now time.Time) bool {
	return !s.limitedAt.IsZero() && now.Sub(s.limitedAt) < limitedTime
}

// short reports whether the owner is too slow for the work that has free capacity. Where starts
// are answered soon, waiting work only waits for the window to grow.
func (s *sendWindow) short(now time.Time) bool {
	return s.limited(now) && s.latency >= slowStartLatency
}

// busy reports whether the owner lacks processor time or link bandwidth, even if it still has sent
// all that was placed. What costs some and is of less use than starts and ends is left out then.
func (s *sendWindow) busy(now time.Time) bool { return s.lag.isBusy(now) || s.short(now) }

// capacity is about how many starts a second the owner can send while it is short, by Little's
// law: starts in flight divided by their latency. It is zero if the owner is not short or nothing
// is known.
func (s *sendWindow) capacity(now time.Time) float64 {
	if !s.short(now) {
		return 0
	}
	return s.inFlight / s.latency.Seconds()
}

// release stops counting a start against the window, whatever its outcome.
func (s *sendWindow) release(p *pendingStart) {
	if !p.released {
		p.released = true
		s.outstanding--
	}
}

// noteAnswer records that a start was answered. took is the time from sending it to the answer.
func (s *sendWindow) noteAnswer(now time.Time, p *pendingStart, took time.Duration) {
	s.inFlight += latencyWeight * (float64(s.outstanding) - s.inFlight)
	s.release(p)
	age := now.Sub(p.placedAt) - p.lostTime
	s.roundTrip, s.latency = smooth(s.roundTrip, took), smooth(s.latency, age)
	s.countOutcome(now, p, age > targetStartLatency)
}

// noteOutdated records that a start could not be sent in time.
func (s *sendWindow) noteOutdated(now time.Time, p *pendingStart) {
	s.release(p)
	s.countOutcome(now, p, true)
}

// noteTimeout records that a sent start was not answered in time. Unless a single worker is
// silent, this means that more was sent than the link or the processor can carry.
func (s *sendWindow) noteTimeout(now time.Time, p *pendingStart) {
	s.release(p)
	s.countOutcome(now, p, true)
}

// countOutcome counts the outcome of a start, and evaluates the window once it knows enough
// outcomes of starts placed with the present limit. The majority decides, as one slow worker
// alone must not reduce the window.
func (s *sendWindow) countOutcome(now time.Time, p *pendingStart, late bool) {
	if p.placedAt.Before(s.changedAt) {
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
		return // the first answers to a full window say little about the last ones
	case known >= s.limit/2 && s.late == 0 && s.halfUsed && s.limited(now):
		s.setLimit(now, s.limit*2)
	}
	s.prompt, s.late, s.evaluatedAt, s.halfUsed = 0, 0, now, 2*s.outstanding >= s.limit
}

func (s *sendWindow) setLimit(now time.Time, limit int) {
	s.limit = min(max(minWindow, limit), maxWindow)
	s.changedAt = now
}

// workerLimit is how many starts may be in flight to a worker that takes the given time for each:
// as many as it answers within targetStartLatency.
func (s *sendWindow) workerLimit(took time.Duration) int {
	if took == 0 {
		took = s.roundTrip
	}
	if took == 0 {
		return initialWorkerLimit
	}
	return int(min(max(1, targetStartLatency/took), maxWorkerLimit))
}

// smooth adds a sample to a moving average, which is zero if there is none yet.
func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(latencyWeight*float64(sample-average))
}
