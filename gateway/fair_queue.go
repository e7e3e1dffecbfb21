package gateway

import (
	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// waiter is a queued request.
	waiter struct {
		req   slotRequest
		seq   uint64 // arrival sequence number
		ready chan waitResult
		done  bool // granted, refused or abandoned
		queue *teamQueue
	}

	// waitResult ends a wait: a slot or a refusal.
	waitResult struct {
		grant   *grant
		refusal *Refusal
	}

	// fairQueue holds the waiters of one job and class. Teams take turns by
	// weight (stride scheduling); each team's requests are served in FIFO
	// order.
	fairQueue struct {
		teams       map[tw.TeamID]*teamQueue
		size        int
		virtualTime float64 // pass of the team served last
	}

	// teamQueue holds one team's waiters in a fairQueue.
	teamQueue struct {
		waiters []*waiter
		size    int
		pass    float64
		weight  int
	}
)

func newFairQueue() *fairQueue { return &fairQueue{teams: map[tw.TeamID]*teamQueue{}} }

func (q *fairQueue) push(w *waiter, weight int) {
	tq := q.teams[w.req.team]
	if tq == nil {
		tq = &teamQueue{pass: q.virtualTime}
		q.teams[w.req.team] = tq
	}
	tq.weight = max(weight, 1)
	tq.waiters = append(tq.waiters, w)
	tq.size++
	w.queue = tq
	q.size++
}

// head returns the waiter to serve next, or nil.
func (q *fairQueue) head() *waiter {
	var best *teamQueue
	for team, tq := range q.teams {
		tq.skipDone()
		if tq.size == 0 {
			delete(q.teams, team)
			continue
		}
		if best == nil || tq.pass < best.pass || tq.pass == best.pass && tq.waiters[0].seq < best.waiters[0].seq {
			best = tq
		}
	}
	if best == nil {
		return nil
	}
	return best.waiters[0]
}

// charge advances the pass of a waiter's team by one turn.
func (q *fairQueue) charge(w *waiter) {
	q.virtualTime = w.queue.pass
	w.queue.pass += 1 / float64(w.queue.weight)
}

// remove removes a waiter at any position.
func (q *fairQueue) remove(w *waiter) {
	if w.done {
		return
	}
	w.done = true
	w.queue.size--
	q.size--
}

// evictionCandidate returns the newest waiter of the team with the most waiters
// per weight, or nil if no team has more per weight than the given team would
// have with another waiter.
func (q *fairQueue) evictionCandidate(team tw.TeamID, weight int) *waiter {
	withAnother := 1.0 / float64(max(weight, 1))
	if tq := q.teams[team]; tq != nil {
		withAnother = float64(tq.size+1) / float64(tq.weight)
	}
	var largest *teamQueue
	for _, tq := range q.teams {
		if tq.weightedSize() > withAnother && (largest == nil || tq.weightedSize() > largest.weightedSize()) {
			largest = tq
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

func (tq *teamQueue) weightedSize() float64 { return float64(tq.size) / float64(tq.weight) }

func (tq *teamQueue) skipDone() {
	for len(tq.waiters) > 0 && tq.waiters[0].done {
		tq.waiters[0] = nil
		tq.waiters = tq.waiters[1:]
	}
}
