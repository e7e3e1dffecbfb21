package gateway

import (
	"fmt"
	"math"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// Bounds of a queue. The wait of quick requests is bounded by their own
// service time, so that what is admitted stays quick at any overload; the
// others may wait as long as their deadline allows, up to a bound.
const (
	quickWaitFactor       = 0.7                  // of the mean service time
	minQuickWait          = 5 * time.Millisecond // a burst that nobody notices
	maxNormalWait         = 2 * time.Second
	maxLongWait           = 20 * time.Second
	maxQueued             = 1024 // a job and class
	initialServiceSeconds = 0.010
	serviceTimeAlpha      = 0.1
	defaultTeamWeight     = 1
)

// admit grants a slot now, queues the ask, or refuses it. The lock is held.
func (s *scheduler) admit(a slotRequest) (*grant, *waiter, *Refusal) {
	line := s.jobs[a.job]
	if line == nil || len(line.workers) == 0 {
		return nil, nil, notRunRetryAfter(ReasonNoInstance, retryAfterPromotion, "no instance carries the job now")
	}
	if !line.hasUntried(a.tried) {
		return nil, nil, notRunRetryAfter(ReasonNoInstance, retryAfterPromotion, "every instance of the job has been tried")
	}
	weight, refusal := s.checkTeamQuota(a.team)
	if refusal != nil {
		return nil, nil, refusal
	}
	now := s.clock.Now()
	line.arrivals[a.class].count(false, now)
	queue := line.queues[a.class]
	if s.noWaiterAhead(line, a.class) {
		if w := s.pickWorker(line, a, now); w != nil {
			return s.grant(w, a, now), nil, nil
		}
	}
	if refusal := s.checkWait(line, a, now); refusal != nil {
		return nil, nil, refusal
	}
	if queue.size >= maxQueued {
		victim := queue.evictionCandidate(a.team, weight)
		if victim == nil {
			return nil, nil, notRunRetryAfter(ReasonQueueFull, s.estimateWait(line, a.class), "the queue is full")
		}
		s.refuse(line, victim, notRunRetryAfter(ReasonTeamShare, s.estimateWait(line, a.class), "the queue went to teams that use less of it"))
	}
	s.lastSeq++
	w := &waiter{req: a, seq: s.lastSeq, ready: make(chan waitResult, 1)}
	if queue.size == 0 {
		s.catchUpPass(a.class)
	}
	queue.push(w, weight)
	s.teamRequests[a.team]++
	return nil, w, nil
}

func (s *scheduler) checkTeamQuota(id tw.TeamID) (weight int, refusal *Refusal) {
	team := findTeam(s.view.Config, id)
	if team == nil {
		return defaultTeamWeight, nil
	}
	if team.MaxInFlight > 0 && s.teamRequests[id] >= team.MaxInFlight {
		detail := fmt.Sprintf("the team has %d requests running or waiting here", s.teamRequests[id])
		return 0, notRunRetryAfter(ReasonTeamQuota, minRetryAfter, detail)
	}
	return team.Weight, nil
}

// noWaiterAhead tells whether nobody of the same or a more urgent class waits.
func (s *scheduler) noWaiterAhead(line *jobState, class tw.Class) bool {
	for _, c := range tw.Classes {
		if rank(c) <= rank(class) && line.queues[c].size > 0 {
			return false
		}
	}
	return true
}

// checkWait refuses what would wait too long to be of use.
func (s *scheduler) checkWait(line *jobState, a slotRequest, now time.Time) *Refusal {
	wait := s.estimateWait(line, a.class)
	service := seconds(line.meanServiceSeconds(a.class))
	left := a.deadline.Sub(now)
	if wait+service > left {
		return notRunRetryAfter(ReasonWaitTooLong, wait, "the wait would outlast the request's deadline")
	}
	if wait > s.maxWait(line, a.class) {
		return notRunRetryAfter(ReasonWaitTooLong, wait, "the wait would be too long for its class")
	}
	return nil
}

func (s *scheduler) maxWait(line *jobState, class tw.Class) time.Duration {
	switch class {
	case tw.ClassQuick:
		return max(minQuickWait, seconds(quickWaitFactor*line.meanServiceSeconds(tw.ClassQuick)))
	case tw.ClassNormal:
		return maxNormalWait
	}
	return maxLongWait
}

// estimateWait estimates how long a new request of a class would wait: for those of
// its class, and for the turns that other classes get meanwhile.
func (s *scheduler) estimateWait(line *jobState, class tw.Class) time.Duration {
	now := s.clock.Now()
	keep := line.computeReserve(now)
	slots := 0
	for _, w := range line.workers {
		if n := w.usableSlots(now); n > 0 {
			slots += keep.limit(class, n)
		}
	}
	if slots == 0 {
		return retryAfterPromotion
	}
	ahead := float64(line.queues[class].size) + 0.5 // half a turn until a slot is freed
	own := ahead * line.meanServiceSeconds(class)
	work := own
	for _, c := range tw.Classes {
		if c != class {
			waiting := float64(line.queues[c].size) * line.meanServiceSeconds(c)
			work += min(waiting, own*classWeight[c]/classWeight[class])
		}
	}
	return seconds(work / float64(slots))
}

// hasUntried tells whether an instance is left for a retry.
func (l *jobState) hasUntried(tried map[tw.InstanceID]bool) bool {
	return slices.ContainsFunc(l.workers, func(w *worker) bool { return !tried[w.id] })
}

// meanServiceSeconds is the mean time in a slot, in seconds.
func (l *jobState) meanServiceSeconds(class tw.Class) float64 {
	if v := l.serviceSeconds[class]; v > 0 {
		return v
	}
	return initialServiceSeconds
}

func (l *jobState) recordServiceTime(class tw.Class, took time.Duration) {
	old := l.meanServiceSeconds(class)
	l.serviceSeconds[class] = old + serviceTimeAlpha*(took.Seconds()-old)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}
