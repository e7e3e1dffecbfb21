package gateway

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// worker is what this daemon has on one instance. The scheduler's lock
	// guards it.
	worker struct {
		id       tw.InstanceID
		address  string
		jobs     map[tw.JobID]bool // that may be sent here
		ownSlots int               // slots of the instance that are ours
		since    time.Time         // first seen serving
		perJob   map[tw.JobID]*jobStats
		byClass  map[tw.Class]int
		inFlight int

		consecutiveFailures int // in a row
		ejectedUntil        time.Time
		ejectionTime        time.Duration // of the last ejection
		penalty             float64       // recent failures, decays with successes
	}

	// jobStats counts the requests of one job on an instance.
	jobStats struct {
		inFlight int
		recent   eventWindow
	}

	// eventWindow counts events over the last one to two spans.
	eventWindow struct {
		span              time.Duration // 0: windowSpan
		start             time.Time
		current, previous counts
	}

	counts struct{ ok, failed int }
)

const (
	slowStart       = 5 * time.Second
	ejectAfter      = 5 // failures in a row
	minEjection     = 2 * time.Second
	maxEjection     = 30 * time.Second
	maxEjectedShare = 0.34 // of a job's instances
	windowSpan      = 5 * time.Second
	penaltyStep     = 1.0
	penaltyDecay    = 0.8
)

// usableSlots is how many requests may be on the instance at once; one that is new
// starts slowly.
func (w *worker) usableSlots(now time.Time) int {
	if age := now.Sub(w.since); w.ownSlots > 0 && age < slowStart {
		return max(1, int(float64(w.ownSlots)*float64(age)/float64(slowStart)))
	}
	return w.ownSlots
}

// hasRoom tells whether a request of a class fits now. For each class, those
// less urgent together leave it its reserve.
func (w *worker) hasRoom(class tw.Class, keep reserve, now time.Time) bool {
	slots := w.usableSlots(now)
	if slots == 0 || now.Before(w.ejectedUntil) {
		return false
	}
	taken := w.inFlight
	for _, c := range tw.Classes {
		if taken >= keep.limit(c, slots) {
			return false
		}
		if c == class {
			return true
		}
		taken -= w.byClass[c]
	}
	return false
}

// load orders instances for the choice; lower is better.
func (w *worker) load() float64 {
	return float64(w.inFlight+1) / float64(max(w.ownSlots, 1)) * (1 + w.penalty)
}

func (w *worker) begin(job tw.JobID, class tw.Class) {
	w.inFlight++
	w.byClass[class]++
	w.jobStats(job).inFlight++
}

func (w *worker) finish(job tw.JobID, class tw.Class, failed bool, now time.Time) {
	w.inFlight--
	w.byClass[class]--
	t := w.jobStats(job)
	t.inFlight--
	t.recent.count(failed, now)
	if !failed {
		w.consecutiveFailures = 0
		w.ejectionTime = 0
		w.penalty *= penaltyDecay
		return
	}
	w.consecutiveFailures++
	w.penalty += penaltyStep
}

func (w *worker) jobStats(job tw.JobID) *jobStats {
	t := w.perJob[job]
	if t == nil {
		t = &jobStats{}
		w.perJob[job] = t
	}
	return t
}

// ejectNow keeps the instance out of the choice for a while, longer each time.
func (w *worker) ejectNow(now time.Time) {
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

// rate is events a second.
func (w *eventWindow) rate(now time.Time) float64 {
	sum := w.sum(now)
	over := now.Sub(w.start)
	if w.previous != (counts{}) {
		over += w.width()
	}
	return float64(sum.ok+sum.failed) / max(over, w.width()/2).Seconds()
}

func (w *eventWindow) sum(now time.Time) counts {
	w.advance(now)
	return counts{ok: w.current.ok + w.previous.ok, failed: w.current.failed + w.previous.failed}
}

func (w *eventWindow) advance(now time.Time) {
	span := w.width()
	switch age := now.Sub(w.start); {
	case age < span:
	case age < 2*span:
		w.previous, w.current, w.start = w.current, counts{}, w.start.Add(span)
	default:
		w.previous, w.current, w.start = counts{}, counts{}, now
	}
}

func (w *eventWindow) width() time.Duration {
	if w.span == 0 {
		return windowSpan
	}
	return w.span
}
