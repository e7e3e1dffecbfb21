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

// choose picks two instances with room at random and takes the less loaded.
// The lock is held.
func (s *scheduler) choose(line *jobLine, a ask, now time.Time) *worker {
	var first, second *worker
	keep := line.reserve(now)
	seen := 0
	for _, w := range line.workers {
		if a.tried[w.id] || !w.room(a.class, keep, now) {
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

func (s *scheduler) grant(w *worker, a ask, now time.Time) *grant {
	w.begin(a.job, a.class)
	s.running++
	s.teams[a.team]++
	return &grant{worker: w, address: w.address, ask: a, start: now}
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
	s.leaveTeam(g.ask.team)
	if mode == releaseUnused {
		w.total--
		w.byClass[g.ask.class]--
		w.tally(g.ask.job).inFlight--
		return
	}
	w.finish(g.ask.job, g.ask.class, mode == releaseFailed, now)
	line := s.line(g.ask.job)
	if mode == releaseOK {
		line.observe(g.ask.class, now.Sub(g.start))
	}
	if w.failures >= ejectAfter && s.mayEject(line, now) {
		w.ejectNow(now)
	}
}

// mayEject keeps ejections under a ceiling: when most instances of a job fail,
// it is not the instances. One of two may go, the only one may not.
func (s *scheduler) mayEject(line *jobLine, now time.Time) bool {
	out := 1
	for _, w := range line.workers {
		if now.Before(w.ejected) {
			out++
		}
	}
	n := len(line.workers)
	return n > 1 && out <= max(1, int(maxEjectedShare*float64(n)))
}

func (s *scheduler) leaveTeam(team tw.TeamID) {
	s.teams[team]--
	if s.teams[team] <= 0 {
		delete(s.teams, team)
	}
}

// dispatch gives the free slots of an instance to those who wait.
func (s *scheduler) dispatch(w *worker) {
	now := s.clock.Now()
	for {
		next, line := s.nextFor(w, now)
		if next == nil {
			return
		}
		s.leave(line, next)
		line.queues[next.ask.class].charge(next)
		s.paid = s.pass[next.ask.class]
		s.pass[next.ask.class] += line.mean(next.ask.class) / classWeight[next.ask.class]
		next.ready <- outcome{grant: s.grant(w, next.ask, now)}
	}
}

// nextFor finds who has the next turn at an instance: the class that is most
// behind its weight, then the team likewise, then the first to come.
func (s *scheduler) nextFor(w *worker, now time.Time) (*waiter, *jobLine) {
	var best *waiter
	var of *jobLine
	for job := range w.jobs {
		line := s.jobs[job]
		if line.waiting() == 0 {
			continue // by far the most releases: don't work out a reserve
		}
		keep := line.reserve(now)
		for _, class := range tw.Classes {
			if line.queues[class].size == 0 || !w.room(class, keep, now) {
				continue
			}
			head := line.queues[class].head()
			if head == nil || head.ask.tried[w.id] {
				continue
			}
			if best == nil || s.before(head, best) {
				best, of = head, line
			}
		}
	}
	return best, of
}

func (s *scheduler) before(a, b *waiter) bool {
	if a.ask.class != b.ask.class {
		return s.pass[a.ask.class] < s.pass[b.ask.class]
	}
	return a.order < b.order
}

// joinTurns brings a class that nobody waited in up to the last turn, so that
// it neither claims the turns it did not need nor pays for turns that nobody
// else wanted (start-time fair queueing).
func (s *scheduler) joinTurns(class tw.Class) {
	s.pass[class] = max(s.pass[class], s.paid)
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
				s.refuse(line, w, notRunFor(ReasonNoInstance, retryAfterPromotion, "the job's last instance has gone"))
			}
		}
	}
}

// refuse ends a wait with a refusal.
func (s *scheduler) refuse(line *jobLine, w *waiter, refusal *Refusal) {
	s.leave(line, w)
	w.ready <- outcome{refusal: refusal}
}

func (s *scheduler) leave(line *jobLine, w *waiter) {
	line.queues[w.ask.class].end(w)
	s.leaveTeam(w.ask.team)
}

// end takes a waiter out if it still waits.
func (s *scheduler) end(w *waiter) {
	if !w.ended {
		s.leave(s.line(w.ask.job), w)
	}
}
