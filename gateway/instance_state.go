package gateway

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// instanceState is this daemon's state of one instance, guarded by the
	// scheduler's lock.
	instanceState struct {
		id       tw.InstanceID
		address  string
		jobs     map[tw.JobID]bool // that the instance serves
		ownSlots int               // slots of the instance that belong to this daemon
		since    time.Time         // start of the slow start; see install
		perJob   map[tw.JobID]*jobStats
		byClass  map[tw.Class]int
		inFlight int

		consecutiveFailures int // since the last success or ejection
		ejectedUntil        time.Time
		ejectionTime        time.Duration // length of the last ejection; 0 after a success
		penalty             float64       // grows with failures, decays with successes
	}

	// jobStats counts the requests of one job on an instance.
	jobStats struct {
		inFlight int
		recent   eventWindow
	}

	// eventWindow counts events over the last one to two spans.
	eventWindow struct {
		span              time.Duration // 0 means windowSpan
		start             time.Time
		current, previous counts
	}

	counts struct{ ok, failed int }
)

const (
	slowStart       = 5 * time.Second
	ejectAfter      = 5 // consecutive failures
	minEjection     = 2 * time.Second
	maxEjection     = 30 * time.Second
	maxEjectedShare = 0.34 // of a job's instances
	windowSpan      = 5 * time.Second
	penaltyStep     = 1.0
	penaltyDecay    = 0.8
)

// usableSlots returns how many requests this daemon may have in flight on the
// instance. The number grows over slowStart for a new instance.
func (w *instanceState) usableSlots(now time.Time) int {
	if age := now.Sub(w.since); w.ownSlots > 0 && age < slowStart {
		return max(1, int(float64(w.ownSlots)*float64(age)/float64(slowStart)))
	}
	return w.ownSlots
}

// hasRoom reports whether the instance has a free slot for a class. The
// requests of a class and of those less urgent may together use only the slots
// that the class need not leave free for more urgent ones.
func (w *instanceState) hasRoom(class tw.Class, reserved reserve, now time.Time) bool {
	slots := w.usableSlots(now)
	if slots == 0 || now.Before(w.ejectedUntil) {
		return false
	}
	taken := w.inFlight
	for _, c := range tw.Classes {
		if taken >= reserved.limit(c, slots) {
			return false
		}
		if c == class {
			return true
		}
		taken -= w.byClass[c]
	}
	return false
}

// load compares instances for pickInstance; lower is better.
func (w *instanceState) load() float64 {
	return float64(w.inFlight+1) / float64(max(w.ownSlots, 1)) * (1 + w.penalty)
}

func (w *instanceState) begin(job tw.JobID, class tw.Class) {
	w.inFlight++
	w.byClass[class]++
	w.jobStats(job).inFlight++
}

func (w *instanceState) finish(job tw.JobID, class tw.Class, failed bool, now time.Time) {
	w.inFlight--
	w.byClass[class]--
	stats := w.jobStats(job)
	stats.inFlight--
	stats.recent.count(failed, now)
	if !failed {
		w.consecutiveFailures = 0
		w.ejectionTime = 0
		w.penalty *= penaltyDecay
		return
	}
	w.consecutiveFailures++
	w.penalty += penaltyStep
}

func (w *instanceState) jobStats(job tw.JobID) *jobStats {
	stats := w.perJob[job]
	if stats == nil {
		stats = &jobStats{}
		w.perJob[job] = stats
	}
	return stats
}

// ejectNow excludes the instance from new requests for a while. The time
// doubles with each ejection in a row, up to maxEjection.
func (w *instanceState) ejectNow(now time.Time) {
	w.ejectionTime = min(max(2*w.ejectionTime, minEjection), maxEjection)
	w.ejectedUntil = now.Add(w.ejectionTime)
	w.consecutiveFailures = 0
}

func (w *eventWindow) count(failed bool, now time.Time) {
	w.advance(now)
	if failed {
		w.current.failed++
		return
	}
	w.current.ok++
}

// rate is the number of events per second.
func (w *eventWindow) rate(now time.Time) float64 {
	sum := w.sum(now)
	elapsed := now.Sub(w.start)
	if w.previous != (counts{}) {
		elapsed += w.effectiveSpan()
	}
	return float64(sum.ok+sum.failed) / max(elapsed, w.effectiveSpan()/2).Seconds()
}

func (w *eventWindow) sum(now time.Time) counts {
	w.advance(now)
	return counts{ok: w.current.ok + w.previous.ok, failed: w.current.failed + w.previous.failed}
}

func (w *eventWindow) advance(now time.Time) {
	span := w.effectiveSpan()
	switch age := now.Sub(w.start); {
	case age < span:
	case age < 2*span:
		w.previous, w.current, w.start = w.current, counts{}, w.start.Add(span)
	default:
		w.previous, w.current, w.start = counts{}, counts{}, now
	}
}

func (w *eventWindow) effectiveSpan() time.Duration {
	if w.span == 0 {
		return windowSpan
	}
	return w.span
}
