package run

import (
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// An entry in the list of workers is what somebody wrote. Where it contradicts what a worker has
// answered, the worker is asked, and only an answer replaces what is known.

// claim is a listed entry that names another incarnation or another address of a worker than the ones
// that have answered.
type claim struct {
	entry tw.WorkerEntry
	// since is when the entry was first listed.
	since time.Time
	// refuted: the known incarnation has answered a poll that was sent since then.
	refuted bool
	// session asks at the address that the entry names; nil until that is needed.
	session *session
	// asking: a poll of that session has not ended. The next one is not due before nextAsk, and
	// delay is the pause after it.
	asking  bool
	nextAsk time.Time
	delay   time.Duration
}

const (
	// minClaimDelay and maxClaimDelay bound the pause between two polls of a claimed address.
	minClaimDelay = 500 * time.Millisecond
	maxClaimDelay = 4 * time.Second
)

// contradicts reports whether an entry contradicts what the worker has answered.
func (w *worker) contradicts(entry tw.WorkerEntry) bool {
	if w.startTime == 0 && w.polledAt.IsZero() {
		return false // it has not answered
	}
	return w.startTime != 0 && entry.StartTime != 0 && entry.StartTime != w.startTime ||
		w.entry.Address != "" && entry.Address != w.entry.Address
}

// pending reports whether the known incarnation must be asked about a claim.
func (c *claim) pending() bool { return c != nil && !c.refuted }

// noteClaim records an entry that contradicts what the worker has answered, and has the worker polled.
func (o *Owner) noteClaim(w *worker, entry tw.WorkerEntry) {
	if c := w.claim; c != nil && c.entry.StartTime == entry.StartTime && c.entry.Address == entry.Address {
		c.entry = entry
		return
	}
	c := &claim{entry: entry, since: o.now, delay: minClaimDelay}
	if w.claim != nil {
		c.nextAsk, c.delay = w.claim.nextAsk, w.claim.delay // entries may change all the time
	}
	w.dropClaim()
	w.claim = c
	o.metrics.claims.Inc()
	o.log.Info("worker: listed with another start or address, it is asked", zap.String("worker", string(entry.ID)),
		zap.Int64("listed_born", int64(entry.StartTime)), zap.Int64("born", int64(w.startTime)), zap.String("listed_address", entry.Address),
		zap.String("address", w.entry.Address), zap.Int("runs", len(w.runs)), w.answerAgeField(o.now))
	// Open polls are not cancelled: entries that change all the time would keep them from extending the
	// time of the runs.
	w.nextPoll, w.requestedPoll = o.now, o.pollSeq+1
}

// dropClaim forgets the claim, if there is one.
func (w *worker) dropClaim() {
	if w.claim != nil && w.claim.session != nil {
		w.claim.session.close()
	}
	w.claim = nil
}

// refuteClaim records that the known incarnation has answered a poll.
func (o *Owner) refuteClaim(w *worker, sentAt time.Time) {
	if !w.claim.pending() || sentAt.Before(w.claim.since) {
		return
	}
	w.claim.refuted = true
	o.log.Info("worker: answers as before, its entry is not followed", zap.String("worker", string(w.entry.ID)),
		zap.Int64("listed_born", int64(w.claim.entry.StartTime)), zap.String("listed_address", w.claim.entry.Address))
}

// askClaimed polls a worker that does not answer at the address that its entry claims, without regard
// to the polls that are still open. It returns when the next poll is due.
func (o *Owner) askClaimed(w *worker) time.Time {
	c := w.claim
	if c == nil || c.asking || !w.silent() {
		return time.Time{}
	}
	if o.now.Before(c.nextAsk) {
		return c.nextAsk
	}
	if c.session == nil {
		c.session = newSession(o, c.entry.Ref())
	}
	c.asking = true
	o.pollSeq++
	o.metrics.polls.Inc()
	sentAt := o.now
	c.session.polls <- pollRequest{
		hold: tw.HoldOrder{Fence: o.self.Fence}, seq: o.pollSeq, timeout: o.orderTimeout.current(o.now),
		done: func(result pollResult) {
			c.asking = false
			c.nextAsk = o.now.Add(c.delay)
			c.delay = min(2*c.delay, maxClaimDelay)
			if w.claim == c && o.workers[w.entry.ID] == w && !o.draining {
				o.claimAnswered(w, sentAt, result)
			}
		},
	}
	return time.Time{}
}

// claimAnswered handles the result of a poll of a claimed address. Any refusal but that of a stale
// fence says nothing of the known incarnation: another worker may have that address.
func (o *Owner) claimAnswered(w *worker, sentAt time.Time, result pollResult) {
	startTime := result.report.StartTime
	switch {
	case tw.RefusedFor(result.err, tw.RefusedStaleFence):
		o.loseOwnership("a worker has a newer owner")
	case result.err != nil || startTime == 0 || startTime == w.startTime:
	case sentAt.After(w.polledAt):
		o.replaceIncarnation(w, w.nextEntry(startTime))
	}
}

// nextEntry returns the entry of the worker's next incarnation: the claimed one if it is of that
// incarnation, else what is known of the machine.
func (w *worker) nextEntry(startTime tw.WorkerStartTime) tw.WorkerEntry {
	entry := w.entry
	if w.claim != nil && w.claim.entry.StartTime == startTime {
		entry = w.claim.entry
	}
	entry.StartTime = startTime
	return entry
}
