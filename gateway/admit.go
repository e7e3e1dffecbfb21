package gateway

import (
	"fmt"
	"math"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// Limits of a queue. The wait of quick requests is limited by their own service
// time, so that admitted ones stay quick at any overload. Other classes may
// wait as long as their deadline allows, up to a maximum.
const (
	quickWaitFactor       = 0.7                  // multiple of the mean service time
	minQuickWait          = 5 * time.Millisecond // lowest limit, for short bursts; callers do not notice such a wait
	maxNormalWait         = 2 * time.Second
	maxLongWait           = 20 * time.Second
	maxQueued             = 1024  // waiters per job and class
	initialServiceSeconds = 0.010 // until one was observed
	serviceTimeAlpha      = 0.1   // weight of a new observation in the moving average
	defaultTeamWeight     = 1     // of requests without a team
)

// admit grants a slot, queues the request, or refuses it. The caller holds
// s.mu.
func (s *scheduler) admit(req slotRequest) (*grant, *waiter, *Refusal) {
	js := s.jobs[req.job]
	if js == nil || len(js.instances) == 0 {
		return nil, nil, notRunRetryAfter(ReasonNoInstance, retryAfterPromotion, "no instance carries the job now")
	}
	if !js.hasUntried(req.tried) {
		return nil, nil, notRunRetryAfter(ReasonNoInstance, retryAfterPromotion, "every instance of the job has been tried")
	}
	weight, refusal := s.checkTeamQuota(req.team)
	if refusal != nil {
		return nil, nil, refusal
	}
	now := s.clock.Now()
	js.arrivals[req.class].count(false, now)
	queue := js.queues[req.class]
	if s.noWaiterAhead(js, req.class) {
		if w := s.pickInstance(js, req, now); w != nil {
			return s.grant(w, req, now), nil, nil
		}
	}
	if refusal := s.checkWait(js, req, now); refusal != nil {
		return nil, nil, refusal
	}
	if queue.size >= maxQueued {
		victim := queue.evictionCandidate(req.team, weight)
		if victim == nil {
			return nil, nil, notRunRetryAfter(ReasonQueueFull, s.estimateWait(js, req.class), "the queue is full")
		}
		s.refuse(js, victim, notRunRetryAfter(ReasonTeamShare, s.estimateWait(js, req.class), "the queue went to teams that use less of it"))
	}
	s.lastSeq++
	w := &waiter{req: req, seq: s.lastSeq, ready: make(chan waitResult, 1)}
	if queue.size == 0 {
		s.catchUpPass(req.class)
	}
	queue.push(w, weight)
	s.teamRequests[req.team]++
	return nil, w, nil
}

// checkTeamQuota returns the team's weight, or a refusal if the team has too
// many requests running or queued.
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

// noWaiterAhead reports whether no request of the same or a more urgent class
// is queued for the job.
func (s *scheduler) noWaiterAhead(js *jobState, class tw.Class) bool {
	for _, c := range tw.Classes {
		if rank(c) <= rank(class) && js.queues[c].size > 0 {
			return false
		}
	}
	return true
}

// checkWait refuses a request that would miss its deadline in the queue, or
// wait longer than its class allows.
func (s *scheduler) checkWait(js *jobState, req slotRequest, now time.Time) *Refusal {
	wait := s.estimateWait(js, req.class)
	service := seconds(js.meanServiceSeconds(req.class))
	remaining := req.deadline.Sub(now)
	if wait+service > remaining {
		return notRunRetryAfter(ReasonWaitTooLong, wait, "the wait would outlast the request's deadline")
	}
	if wait > s.maxWait(js, req.class) {
		return notRunRetryAfter(ReasonWaitTooLong, wait, "the wait would be too long for its class")
	}
	return nil
}

func (s *scheduler) maxWait(js *jobState, class tw.Class) time.Duration {
	switch class {
	case tw.ClassQuick:
		return max(minQuickWait, seconds(quickWaitFactor*js.meanServiceSeconds(tw.ClassQuick)))
	case tw.ClassNormal:
		return maxNormalWait
	}
	return maxLongWait
}

// estimateWait estimates how long a new request of a class would wait: for the
// requests queued in its class, and for the turns that other classes get
// meanwhile.
func (s *scheduler) estimateWait(js *jobState, class tw.Class) time.Duration {
	now := s.clock.Now()
	reserved := js.computeReserve(now)
	slots := 0
	for _, w := range js.instances {
		if n := w.usableSlots(now); n > 0 {
			slots += reserved.limit(class, n)
		}
	}
	if slots == 0 {
		return retryAfterPromotion
	}
	ahead := float64(js.queues[class].size) + 0.5 // half a service time until a slot is free
	classWork := ahead * js.meanServiceSeconds(class)
	totalWork := classWork
	for _, c := range tw.Classes {
		if c != class {
			waiting := float64(js.queues[c].size) * js.meanServiceSeconds(c)
			totalWork += min(waiting, classWork*classWeight[c]/classWeight[class])
		}
	}
	return seconds(totalWork / float64(slots))
}

// hasUntried reports whether the job has an instance that is not in tried.
func (js *jobState) hasUntried(tried map[tw.InstanceID]bool) bool {
	return slices.ContainsFunc(js.instances, func(w *instanceState) bool { return !tried[w.id] })
}

// meanServiceSeconds is the moving average of the time in a slot, in seconds.
func (js *jobState) meanServiceSeconds(class tw.Class) float64 {
	if v := js.serviceSeconds[class]; v > 0 {
		return v
	}
	return initialServiceSeconds
}

func (js *jobState) recordServiceTime(class tw.Class, took time.Duration) {
	old := js.meanServiceSeconds(class)
	js.serviceSeconds[class] = old + serviceTimeAlpha*(took.Seconds()-old)
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}
