package run

import (
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// An entry in the list of workers is what somebody wrote. Where it contradicts what a worker has
// answered, the worker is asked, and only an answer replaces what is known.

// dispute is a listed entry that names another incarnation or another address of a worker than the ones
// that have answered.
type dispute struct {
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
	// minDisputeDelay and maxDisputeDelay bound the pause between two polls of the address that an entry names.
	minDisputeDelay = 500 * time.Millisecond
	maxDisputeDelay = 4 * time.Second
)

// contradicts reports whether an entry contradicts what the worker has answered.
func (w *worker) contradicts(entry tw.WorkerEntry) bool {
	if w.startTime == 0 && w.polledAt.IsZero() {
		return false // it has not answered
	}
	return w.startTime != 0 && entry.StartTime != 0 && entry.StartTime != w.startTime ||
		w.entry.Address != "" && entry.Address != w.entry.Address
}

// pending reports whether the known incarnation must be asked. A nil dispute is settled.
func (d *dispute) pending() bool { return d != nil && !d.refuted }

// noteDispute records an entry that contradicts what the worker has answered, and has the worker polled.
func (o *Owner) noteDispute(w *worker, entry tw.WorkerEntry) {
	if d := w.dispute; d != nil && d.entry.StartTime == entry.StartTime && d.entry.Address == entry.Address {
		d.entry = entry
		return
	}
	d := &dispute{entry: entry, since: o.now, delay: minDisputeDelay}
	if w.dispute != nil {
		d.nextAsk, d.delay = w.dispute.nextAsk, w.dispute.delay // entries may change all the time
	}
	w.dropDispute()
	w.dispute = d
	o.metrics.disputes.Inc()
	o.log.Info("worker: listed with another start or address, it is asked", zap.String("worker", string(entry.ID)),
		zap.Int64("listed_born", int64(entry.StartTime)), zap.Int64("born", int64(w.startTime)), zap.String("listed_address", entry.Address),
		zap.String("address", w.entry.Address), zap.Int("runs", len(w.runs)), w.answerAgeField(o.now))
	// Open polls are not cancelled: entries that change all the time would keep them from extending the
	// time of the runs.
	w.nextPoll, w.requestedPoll = o.now, o.pollSeq+1
}

// dropDispute forgets the dispute, if there is one.
func (w *worker) dropDispute() {
	if w.dispute != nil && w.dispute.session != nil {
		w.dispute.session.close()
	}
	w.dispute = nil
}

// refuteDispute records that the known incarnation has answered a poll.
func (o *Owner) refuteDispute(w *worker, sentAt time.Time) {
	if !w.dispute.pending() || sentAt.Before(w.dispute.since) {
		return
	}
	w.dispute.refuted = true
	o.log.Info("worker: answers as before, its entry is not followed", zap.String("worker", string(w.entry.ID)),
		zap.Int64("listed_born", int64(w.dispute.entry.StartTime)), zap.String("listed_address", w.dispute.entry.Address))
}

// askDisputed polls a worker that does not answer at the address that its entry names, without regard
// to the polls that are still open. It returns when the next poll is due; zero if none is.
func (o *Owner) askDisputed(w *worker) time.Time {
	d := w.dispute
	if d == nil || d.asking || !w.silent() {
		return time.Time{}
	}
	if o.now.Before(d.nextAsk) {
		return d.nextAsk
	}
	if d.session == nil {
		d.session = newSession(o, d.entry.Ref())
	}
	d.asking = true
	o.pollSeq++
	o.metrics.polls.Inc()
	sentAt := o.now
	d.session.polls <- pollRequest{
		hold: tw.HoldOrder{Fence: o.self.Fence}, seq: o.pollSeq, timeout: o.orderTimeout.current(o.now),
		done: func(result pollResult) {
			d.asking = false
			d.nextAsk = o.now.Add(d.delay)
			d.delay = min(2*d.delay, maxDisputeDelay)
			if w.dispute == d && o.workers[w.entry.ID] == w && !o.draining {
				o.disputeAnswered(w, sentAt, result)
			}
		},
	}
	return time.Time{}
}

// disputeAnswered handles the result of a poll of the address that an entry names. Any refusal but that of a stale
// fence says nothing of the known incarnation: another worker may have that address.
func (o *Owner) disputeAnswered(w *worker, sentAt time.Time, result pollResult) {
	startTime := result.report.StartTime
	switch {
	case tw.RefusedFor(result.err, tw.RefusedStaleFence):
		o.loseOwnership("a worker has a newer owner")
	case result.err != nil || startTime == 0 || startTime == w.startTime:
		// It shows no other incarnation.
	case sentAt.After(w.polledAt):
		entry := w.dispute.entry // it answers at the address of that entry, also if it is a later one
		entry.StartTime = startTime
		o.replaceIncarnation(w, entry)
	}
}

// nextEntry returns the entry of the worker's next incarnation: the disputed one if it is of that
// incarnation, else what is known of the machine.
func (w *worker) nextEntry(startTime tw.WorkerStartTime) tw.WorkerEntry {
	entry := w.entry
	if w.dispute != nil && w.dispute.entry.StartTime == startTime {
		entry = w.dispute.entry
	}
	entry.StartTime = startTime
	return entry
}
