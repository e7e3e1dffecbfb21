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
	quickWaitShare  = 0.7                  // of the mean service time
	quickWaitFloor  = 5 * time.Millisecond // a burst that nobody notices
	maxNormalWait   = 2 * time.Second
	maxLongWait     = 20 * time.Second
	maxQueued       = 1024 // a job and class
	guessedService  = 0.010
	serviceSmooth   = 0.1
	defaultTeamCost = 1
)

// admit grants a slot now, queues the ask, or refuses it. The lock is held.
func (s *scheduler) admit(a ask) (*grant, *waiter, *Refusal) {
	line := s.jobs[a.job]
	if line == nil || len(line.workers) == 0 {
		return nil, nil, notRunFor(ReasonNoInstance, retryAfterPromotion, "no instance carries the job now")
	}
	if !line.untried(a.tried) {
		return nil, nil, notRunFor(ReasonNoInstance, retryAfterPromotion, "every instance of the job has been tried")
	}
	weight, refusal := s.checkTeam(a.team)
	if refusal != nil {
		return nil, nil, refusal
	}
	now := s.clock.Now()
	line.arrivals[a.class].count(false, now)
	queue := line.queues[a.class]
	if s.firstInLine(line, a.class) {
		if w := s.choose(line, a, now); w != nil {
			return s.grant(w, a, now), nil, nil
		}
	}
	if refusal := s.checkWait(line, a, now); refusal != nil {
		return nil, nil, refusal
	}
	if queue.size >= maxQueued {
		victim := queue.newestOfLargest(a.team, weight)
		if victim == nil {
			return nil, nil, notRunFor(ReasonQueueFull, s.wait(line, a.class), "the queue is full")
		}
		s.refuse(line, victim, notRunFor(ReasonTeamShare, s.wait(line, a.class), "the queue went to teams that use less of it"))
	}
	s.order++
	w := &waiter{ask: a, order: s.order, ready: make(chan outcome, 1)}
	if queue.size == 0 {
		s.joinTurns(a.class)
	}
	queue.push(w, weight)
	s.teams[a.team]++
	return nil, w, nil
}

func (s *scheduler) checkTeam(id tw.TeamID) (weight int, refusal *Refusal) {
	team := findTeam(s.view.Config, id)
	if team == nil {
		return defaultTeamCost, nil
	}
	if team.MaxInFlight > 0 && s.teams[id] >= team.MaxInFlight {
		detail := fmt.Sprintf("the team has %d requests running or waiting here", s.teams[id])
		return 0, notRunFor(ReasonTeamQuota, minRetryAfter, detail)
	}
	return team.Weight, nil
}

// firstInLine tells whether nobody of the same or a more urgent class waits.
func (s *scheduler) firstInLine(line *jobLine, class tw.Class) bool {
	for _, c := range tw.Classes {
		if rank(c) <= rank(class) && line.queues[c].size > 0 {
			return false
		}
	}
	return true
}

// checkWait refuses what would wait too long to be of use.
func (s *scheduler) checkWait(line *jobLine, a ask, now time.Time) *Refusal {
	wait := s.wait(line, a.class)
	service := seconds(line.mean(a.class))
	left := a.deadline.Sub(now)
	if wait+service > left {
		return notRunFor(ReasonWaitTooLong, wait, "the wait would outlast the request's deadline")
	}
	if wait > s.maxWait(line, a.class) {
		return notRunFor(ReasonWaitTooLong, wait, "the wait would be too long for its class")
	}
	return nil
}

func (s *scheduler) maxWait(line *jobLine, class tw.Class) time.Duration {
	switch class {
	case tw.ClassQuick:
		return max(quickWaitFloor, seconds(quickWaitShare*line.mean(tw.ClassQuick)))
	case tw.ClassNormal:
		return maxNormalWait
	}
	return maxLongWait
}

// wait estimates how long a new request of a class would wait: for those of
// its class, and for the turns that other classes get meanwhile.
func (s *scheduler) wait(line *jobLine, class tw.Class) time.Duration {
	now := s.clock.Now()
	keep := line.reserve(now)
	slots := 0
	for _, w := range line.workers {
		if n := w.slots(now); n > 0 {
			slots += keep.limit(class, n)
		}
	}
	if slots == 0 {
		return retryAfterPromotion
	}
	ahead := float64(line.queues[class].size) + 0.5 // half a turn until a slot is freed
	own := ahead * line.mean(class)
	work := own
	for _, c := range tw.Classes {
		if c != class {
			waiting := float64(line.queues[c].size) * line.mean(c)
			work += min(waiting, own*classWeight[c]/classWeight[class])
		}
	}
	return seconds(work / float64(slots))
}

// untried tells whether an instance is left for a retry.
func (l *jobLine) untried(tried map[tw.InstanceID]bool) bool {
	return slices.ContainsFunc(l.workers, func(w *worker) bool { return !tried[w.id] })
}

// mean is the mean time in a slot, in seconds.
func (l *jobLine) mean(class tw.Class) float64 {
	if v := l.service[class]; v > 0 {
		return v
	}
	return guessedService
}

func (l *jobLine) observe(class tw.Class, took time.Duration) {
	old := l.mean(class)
	l.service[class] = old + serviceSmooth*(took.Seconds()-old)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}
