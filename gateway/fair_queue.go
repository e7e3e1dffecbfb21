package gateway

import (
	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// waiter is a request that waits for a slot.
	waiter struct {
		ask   ask
		order uint64 // of arrival
		ready chan outcome
		ended bool // granted, refused or given up
		line  *teamLine
	}

	// outcome ends a wait.
	outcome struct {
		grant   *grant
		refusal *Refusal
	}

	// fairQueue holds the waiters of one job and class. Teams take turns by
	// weight (stride scheduling); within a team, first come, first served.
	fairQueue struct {
		teams map[tw.TeamID]*teamLine
		size  int
		paid  float64 // pass of the last turn
	}

	// teamLine is one team's part of a queue.
	teamLine struct {
		waiters []*waiter
		size    int
		pass    float64
		weight  int
	}
)

func newFairQueue() *fairQueue { return &fairQueue{teams: map[tw.TeamID]*teamLine{}} }

func (q *fairQueue) push(w *waiter, weight int) {
	line := q.teams[w.ask.team]
	if line == nil {
		line = &teamLine{pass: q.paid}
		q.teams[w.ask.team] = line
	}
	line.weight = max(weight, 1)
	line.waiters = append(line.waiters, w)
	line.size++
	w.line = line
	q.size++
}

// head is the waiter whose turn it is, or nil.
func (q *fairQueue) head() *waiter {
	var best *teamLine
	for team, line := range q.teams {
		line.skipEnded()
		if line.size == 0 {
			delete(q.teams, team)
			continue
		}
		if best == nil || line.pass < best.pass || line.pass == best.pass && line.waiters[0].order < best.waiters[0].order {
			best = line
		}
	}
	if best == nil {
		return nil
	}
	return best.waiters[0]
}

// charge lets a team pay for its turn.
func (q *fairQueue) charge(w *waiter) {
	q.paid = w.line.pass
	w.line.pass += 1 / float64(w.line.weight)
}

// end takes a waiter out, wherever it stands.
func (q *fairQueue) end(w *waiter) {
	if w.ended {
		return
	}
	w.ended = true
	w.line.size--
	q.size--
}

// newestOfLargest is the last waiter of the team that waits most for its
// weight, if that team waits more than the asker's would.
func (q *fairQueue) newestOfLargest(team tw.TeamID, weight int) *waiter {
	own := 1.0 / float64(max(weight, 1))
	if line := q.teams[team]; line != nil {
		own = float64(line.size+1) / float64(line.weight)
	}
	var largest *teamLine
	for _, line := range q.teams {
		if line.share() > own && (largest == nil || line.share() > largest.share()) {
			largest = line
		}
	}
	if largest == nil {
		return nil
	}
	for i := len(largest.waiters) - 1; i >= 0; i-- {
		if !largest.waiters[i].ended {
			return largest.waiters[i]
		}
	}
	return nil
}

func (l *teamLine) share() float64 { return float64(l.size) / float64(l.weight) }

func (l *teamLine) skipEnded() {
	for len(l.waiters) > 0 && l.waiters[0].ended {
		l.waiters[0] = nil
		l.waiters = l.waiters[1:]
	}
}
