package gateway

import (
	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// waiter is a request that waits for a slot.
	waiter struct {
		req   slotRequest
		seq   uint64 // of arrival
		ready chan waitResult
		done  bool // granted, refused or given up
		queue *teamQueue
	}

	// waitResult ends a wait.
	waitResult struct {
		grant   *grant
		refusal *Refusal
	}

	// fairQueue holds the waiters of one job and class. Teams take turns by
	// weight (stride scheduling); within a team, first come, first served.
	fairQueue struct {
		teams       map[tw.TeamID]*teamQueue
		size        int
		virtualTime float64 // pass of the last turn
	}

	// teamQueue is one team's part of a queue.
	teamQueue struct {
		waiters []*waiter
		size    int
		pass    float64
		weight  int
	}
)

func newFairQueue() *fairQueue { return &fairQueue{teams: map[tw.TeamID]*teamQueue{}} }

func (q *fairQueue) push(w *waiter, weight int) {
	line := q.teams[w.req.team]
	if line == nil {
		line = &teamQueue{pass: q.virtualTime}
		q.teams[w.req.team] = line
	}
	line.weight = max(weight, 1)
	line.waiters = append(line.waiters, w)
	line.size++
	w.queue = line
	q.size++
}

// head is the waiter whose turn it is, or nil.
func (q *fairQueue) head() *waiter {
	var best *teamQueue
	for team, line := range q.teams {
		line.skipDone()
		if line.size == 0 {
			delete(q.teams, team)
			continue
		}
		if best == nil || line.pass < best.pass || line.pass == best.pass && line.waiters[0].seq < best.waiters[0].seq {
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
	q.virtualTime = w.queue.pass
	w.queue.pass += 1 / float64(w.queue.weight)
}

// remove takes a waiter out, wherever it stands.
func (q *fairQueue) remove(w *waiter) {
	if w.done {
		return
	}
	w.done = true
	w.queue.size--
	q.size--
}

// evictionCandidate is the last waiter of the team that waits most for its
// weight, if that team waits more than the asker's would.
func (q *fairQueue) evictionCandidate(team tw.TeamID, weight int) *waiter {
	own := 1.0 / float64(max(weight, 1))
	if line := q.teams[team]; line != nil {
		own = float64(line.size+1) / float64(line.weight)
	}
	var largest *teamQueue
	for _, line := range q.teams {
		if line.weightedSize() > own && (largest == nil || line.weightedSize() > largest.weightedSize()) {
			largest = line
		}
	}
	if largest == nil {
		return nil
	}
	for i := len(largest.waiters) - 1; i >= 0; i-- {
		if !largest.waiters[i].done {
			return largest.waiters[i]
		}
	}
	return nil
}

func (l *teamQueue) weightedSize() float64 { return float64(l.size) / float64(l.weight) }

func (l *teamQueue) skipDone() {
	for len(l.waiters) > 0 && l.waiters[0].done {
		l.waiters[0] = nil
		l.waiters = l.waiters[1:]
	}
}
