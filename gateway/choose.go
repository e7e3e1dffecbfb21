package gateway

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// release modes.
type releaseMode int

const (
	releaseOK     releaseMode = iota // the instance did its work
	releaseFailed                    // the instance failed
	releaseUnused                    // nothing was asked of the instance
)

// pickWorker picks two instances with room at random and takes the less loaded.
// The lock is held.
func (s *scheduler) pickWorker(line *jobState, a slotRequest, now time.Time) *worker {
	var first, second *worker
	keep := line.computeReserve(now)
	seen := 0
	for _, w := range line.workers {
		if a.tried[w.id] || !w.hasRoom(a.class, keep, now) {
			continue
		}
		// Reservoir sampling: both picks are uniform over those with room.
		seen++
		switch {
		case first == nil:
			first = w
		case second == nil:
			second = w
		default:
			if at := s.rand.IntN(seen); at == 0 {
				first = w
			} else if at == 1 {
				second = w
			}
		}
	}
	if second != nil && (second.load() < first.load() || second.load() == first.load() && s.rand.IntN(2) == 0) {
		return second
	}
	return first
}

func (s *scheduler) grant(w *worker, a slotRequest, now time.Time) *grant {
	w.begin(a.job, a.class)
	s.running++
	s.teamRequests[a.team]++
	return &grant{worker: w, address: w.address, req: a, start: now}
}

// release gives a slot back, once, and passes it to whoever waits for it.
func (s *scheduler) release(g *grant, mode releaseMode) {
	g.once.Do(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.finish(g, mode)
		s.dispatch(g.worker)
	})
}

func (s *scheduler) finish(g *grant, mode releaseMode) {
	now := s.clock.Now()
	w := g.worker
	s.running--
	s.releaseTeam(g.req.team)
	if mode == releaseUnused {
		w.inFlight--
		w.byClass[g.req.class]--
		w.jobStats(g.req.job).inFlight--
		return
	}
	w.finish(g.req.job, g.req.class, mode == releaseFailed, now)
	line := s.jobStateFor(g.req.job)
	if mode == releaseOK {
		line.recordServiceTime(g.req.class, now.Sub(g.start))
	}
	if w.consecutiveFailures >= ejectAfter && s.mayEject(line, now) {
		w.ejectNow(now)
	}
}

// mayEject keeps ejections under a ceiling: when most instances of a job fail,
// it is not the instances. One of two may go, the only one may not.
func (s *scheduler) mayEject(line *jobState, now time.Time) bool {
	out := 1
	for _, w := range line.workers {
		if now.Before(w.ejectedUntil) {
			out++
		}
	}
	n := len(line.workers)
	return n > 1 && out <= max(1, int(maxEjectedShare*float64(n)))
}

func (s *scheduler) releaseTeam(team tw.TeamID) {
	s.teamRequests[team]--
	if s.teamRequests[team] <= 0 {
		delete(s.teamRequests, team)
	}
}

// dispatch gives the free slots of an instance to those who wait.
func (s *scheduler) dispatch(w *worker) {
	now := s.clock.Now()
	for {
		next, line := s.nextWaiter(w, now)
		if next == nil {
			return
		}
		s.dequeue(line, next)
		line.queues[next.req.class].charge(next)
		s.virtualTime = s.classPass[next.req.class]
		s.classPass[next.req.class] += line.meanServiceSeconds(next.req.class) / classWeight[next.req.class]
		next.ready <- waitResult{grant: s.grant(w, next.req, now)}
	}
}

// nextWaiter finds who has the next turn at an instance: the class that is most
// behind its weight, then the team likewise, then the first to come.
func (s *scheduler) nextWaiter(w *worker, now time.Time) (*waiter, *jobState) {
	var best *waiter
	var of *jobState
	for job := range w.jobs {
		line := s.jobs[job]
		if line.waiting() == 0 {
			continue // by far the most releases: don't work out a reserve
		}
		keep := line.computeReserve(now)
		for _, class := range tw.Classes {
			if line.queues[class].size == 0 || !w.hasRoom(class, keep, now) {
				continue
			}
			head := line.queues[class].head()
			if head == nil || head.req.tried[w.id] {
				continue
			}
			if best == nil || s.precedes(head, best) {
				best, of = head, line
			}
		}
	}
	return best, of
}

func (s *scheduler) precedes(a, b *waiter) bool {
	if a.req.class != b.req.class {
		return s.classPass[a.req.class] < s.classPass[b.req.class]
	}
	return a.seq < b.seq
}

// catchUpPass brings a class that nobody waited in up to the last turn, so that
// it neither claims the turns it did not need nor pays for turns that nobody
// else wanted (start-time fair queueing).
func (s *scheduler) catchUpPass(class tw.Class) {
	s.classPass[class] = max(s.classPass[class], s.virtualTime)
}

// dispatchAll serves all who wait after the view has changed, and refuses
// those whose job nothing carries any more.
func (s *scheduler) dispatchAll() {
	for _, w := range s.workers {
		s.dispatch(w)
	}
	for _, line := range s.jobs {
		if len(line.workers) > 0 {
			continue
		}
		for _, q := range line.queues {
			for w := q.head(); w != nil; w = q.head() {
				s.refuse(line, w, notRunRetryAfter(ReasonNoInstance, retryAfterPromotion, "the job's last instance has gone"))
			}
		}
	}
}

// refuse ends a wait with a refusal.
func (s *scheduler) refuse(line *jobState, w *waiter, refusal *Refusal) {
	s.dequeue(line, w)
	w.ready <- waitResult{refusal: refusal}
}

func (s *scheduler) dequeue(line *jobState, w *waiter) {
	line.queues[w.req.class].remove(w)
	s.releaseTeam(w.req.team)
}

// removeWaiter takes a waiter out if it still waits.
func (s *scheduler) removeWaiter(w *waiter) {
	if !w.done {
		s.dequeue(s.jobStateFor(w.req.job), w)
	}
}
