package gateway

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// releaseMode says how the use of a slot ended.
type releaseMode int

const (
	releaseOK     releaseMode = iota // the instance did not fail
	releaseFailed                    // the instance failed
	releaseUnused                    // nothing was sent to the instance
)

// pickInstance picks two instances with free slots at random and returns the less
// loaded one (power of two choices), or nil. The caller holds s.mu.
func (s *scheduler) pickInstance(js *jobState, req slotRequest, now time.Time) *instanceState {
	var first, second *instanceState
	reserved := js.computeReserve(now)
	seen := 0
	for _, w := range js.instances {
		if req.tried[w.id] || !w.hasRoom(req.class, reserved, now) {
			continue
		}
		// Reservoir sampling: both picks are uniform over the candidates.
		seen++
		switch {
		case first == nil:
			first = w
		case second == nil:
			second = w
		default:
			if i := s.rand.IntN(seen); i == 0 {
				first = w
			} else if i == 1 {
				second = w
			}
		}
	}
	if second != nil && (second.load() < first.load() || second.load() == first.load() && s.rand.IntN(2) == 0) {
		return second
	}
	return first
}

func (s *scheduler) grant(w *instanceState, req slotRequest, now time.Time) *grant {
	w.begin(req.job, req.class)
	s.running++
	s.teamRequests[req.team]++
	return &grant{instance: w, address: w.address, req: req, start: now}
}

// release returns a slot and dispatches waiters to its instance. Repeated calls
// have no effect.
func (s *scheduler) release(g *grant, mode releaseMode) {
	g.once.Do(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.finish(g, mode)
		s.dispatch(g.instance)
	})
}

func (s *scheduler) finish(g *grant, mode releaseMode) {
	now := s.clock.Now()
	w := g.instance
	s.running--
	s.releaseTeam(g.req.team)
	if mode == releaseUnused {
		w.inFlight--
		w.byClass[g.req.class]--
		w.jobStats(g.req.job).inFlight--
		return
	}
	w.finish(g.req.job, g.req.class, mode == releaseFailed, now)
	js := s.jobStateFor(g.req.job)
	if mode == releaseOK {
		js.recordServiceTime(g.req.class, now.Sub(g.start))
	}
	if w.consecutiveFailures >= ejectAfter && s.mayEject(js, now) {
		w.ejectNow(now)
	}
}

// mayEject limits the share of a job's instances that are ejected: when most of
// them fail, the cause is not the instances. One of two may be ejected, the
// only one may not.
func (s *scheduler) mayEject(js *jobState, now time.Time) bool {
	ejected := 1
	for _, w := range js.instances {
		if now.Before(w.ejectedUntil) {
			ejected++
		}
	}
	n := len(js.instances)
	return n > 1 && ejected <= max(1, int(maxEjectedShare*float64(n)))
}

func (s *scheduler) releaseTeam(team tw.TeamID) {
	s.teamRequests[team]--
	if s.teamRequests[team] <= 0 {
		delete(s.teamRequests, team)
	}
}

// dispatch grants the free slots of an instance to waiters.
func (s *scheduler) dispatch(w *instanceState) {
	now := s.clock.Now()
	for {
		next, js := s.nextWaiter(w, now)
		if next == nil {
			return
		}
		s.dequeue(js, next)
		js.queues[next.req.class].charge(next)
		s.virtualTime = s.classPass[next.req.class]
		s.classPass[next.req.class] += js.meanServiceSeconds(next.req.class) / classWeight[next.req.class]
		next.ready <- waitResult{grant: s.grant(w, next.req, now)}
	}
}

// nextWaiter returns the waiter to serve next on an instance, and its job. The
// class with the lowest pass goes first, within it the team with the lowest
// pass, then the earliest arrival.
func (s *scheduler) nextWaiter(w *instanceState, now time.Time) (*waiter, *jobState) {
	var best *waiter
	var bestJob *jobState
	for job := range w.jobs {
		js := s.jobs[job]
		if js.waiting() == 0 {
			continue // the common case: skip computing the reserve
		}
		reserved := js.computeReserve(now)
		for _, class := range tw.Classes {
			if js.queues[class].size == 0 || !w.hasRoom(class, reserved, now) {
				continue
			}
			head := js.queues[class].head()
			if head == nil || head.req.tried[w.id] {
				continue
			}
			if best == nil || s.precedes(head, best) {
				best, bestJob = head, js
			}
		}
	}
	return best, bestJob
}

func (s *scheduler) precedes(a, b *waiter) bool {
	if a.req.class != b.req.class {
		return s.classPass[a.req.class] < s.classPass[b.req.class]
	}
	return a.seq < b.seq
}

// catchUpPass advances the pass of a class whose queue was empty to the virtual
// time (start-time fair queueing). The class then gets no extra turns for the
// time when it had no waiters, and the other classes are not charged for turns
// that they took while it wanted none.
func (s *scheduler) catchUpPass(class tw.Class) {
	s.classPass[class] = max(s.classPass[class], s.virtualTime)
}

// dispatchAll dispatches waiters after the view has changed, and refuses those
// whose job no longer has an instance.
func (s *scheduler) dispatchAll() {
	for _, w := range s.instances {
		s.dispatch(w)
	}
	for _, js := range s.jobs {
		if len(js.instances) > 0 {
			continue
		}
		for _, q := range js.queues {
			for w := q.head(); w != nil; w = q.head() {
				s.refuse(js, w, notRunRetryAfter(ReasonNoInstance, retryAfterPromotion, "the job's last instance has gone"))
			}
		}
	}
}

// refuse removes a waiter from its queue and sends it a refusal.
func (s *scheduler) refuse(js *jobState, w *waiter, refusal *Refusal) {
	s.dequeue(js, w)
	w.ready <- waitResult{refusal: refusal}
}

func (s *scheduler) dequeue(js *jobState, w *waiter) {
	js.queues[w.req.class].remove(w)
	s.releaseTeam(w.req.team)
}

// removeWaiter removes a waiter if it is still queued.
func (s *scheduler) removeWaiter(w *waiter) {
	if !w.done {
		s.dequeue(s.jobStateFor(w.req.job), w)
	}
}
