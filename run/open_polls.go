package run

import (
	"math"
	"time"
)

// A worker may have several open polls, as an answer may be lost: a poll that should have been
// answered is not waited for any longer. Their answers may arrive in any order.

// openPoll is a poll that has not ended yet.
type openPoll struct {
	seq    int64
	sentAt time.Time
	// wait is how long the worker may wait before it answers.
	wait time.Duration
	// lost: a later poll was answered, long after this one should have been.
	lost bool
}

const (
	// maxOpenPolls bounds the open polls of a worker.
	maxOpenPolls = 2 * maxUnanswered
	// pollWaitPerLoss is the wait of polls if all answers were lost. With a share x lost, the
	// delay by lost polls is proportional to x times the wait and the number of polls to its
	// inverse, so that the best wait is proportional to 1/sqrt(x).
	pollWaitPerLoss = 35 * time.Millisecond
	// calmPollDelays is how many hedge delays a poll may be late while no answers are lost.
	calmPollDelays = 4
)

// maxPollWait returns how long polls may wait at a worker for a share of lost answers.
func maxPollWait(share float64) time.Duration {
	if share < minLossShare {
		return longPollWait
	}
	return min(longPollWait, time.Duration(float64(pollWaitPerLoss)/math.Sqrt(share)))
}

// pollRenewal returns when another poll may be sent although there are open ones: at once if it was
// requested after the last one was sent, or if that one was answered, else when it should have been.
func (o *Owner) pollRenewal(w *worker) (at time.Time, allowed bool) {
	if len(w.openPolls) == 0 {
		return time.Time{}, true
	}
	if len(w.openPolls) >= maxOpenPolls {
		return time.Time{}, false
	}
	last := w.openPolls[len(w.openPolls)-1]
	if last.seq < w.sentPoll {
		return time.Time{}, true // the last one is answered
	}
	delay, useful := o.hedge.current()
	if !useful {
		return time.Time{}, false
	}
	if w.pollRequested() && last.wait > 0 {
		return time.Time{}, true
	}
	share := o.loss.share(o.now)
	limit := unansweredLimit(share)
	if !w.silent() {
		limit++
	}
	if w.unexplainedPolls() >= limit {
		return time.Time{}, false
	}
	due := last.dueAt(share, delay)
	if o.now.After(due) && !o.hedge.overdue(due.Add(-delay)) {
		due = o.now.Add(delay)
	}
	return due, true
}

// dueAt returns when a poll should be answered at the latest. If answers are lost, polls that wait
// for long are not relied on for their whole wait.
func (p openPoll) dueAt(share float64, hedge time.Duration) time.Time {
	if share < minLossShare {
		return p.sentAt.Add(p.wait + calmPollDelays*hedge)
	}
	return p.sentAt.Add(min(p.wait, maxPollWait(share)) + hedge)
}

// requestPoll requests a poll that does not wait for the open ones. While answers are slow these are
// cancelled, to not add to the load.
func (o *Owner) requestPoll(w *worker) {
	w.nextPoll = o.now
	w.requestedPoll = o.pollSeq + 1
	if _, useful := o.hedge.current(); !useful {
		w.session.interruptPolls()
	}
}

// pollRequested reports whether a requested poll has not been sent yet.
func (w *worker) pollRequested() bool { return w.sentPoll < w.requestedPoll }

// unexplainedPolls is the number of open polls that are not known to be lost.
func (w *worker) unexplainedPolls() int {
	n := 0
	for _, p := range w.openPolls {
		if !p.lost {
			n++
		}
	}
	return n
}

// silenceExplained reports whether lost answers can explain that polls are open. The first one
// needs no explanation, nor does one that still waits at the worker.
func (o *Owner) silenceExplained(w *worker) bool {
	open := 0
	for _, p := range w.openPolls {
		if !p.lost && !o.now.Before(p.sentAt.Add(p.wait)) {
			open++
		}
	}
	return open == 0 || open < unansweredLimit(o.loss.share(o.now))
}

// closePoll removes an open poll and returns it.
func (w *worker) closePoll(seq int64) openPoll {
	for i, p := range w.openPolls {
		if p.seq == seq {
			w.openPolls = append(w.openPolls[:i], w.openPolls[i+1:]...)
			return p
		}
	}
	return openPoll{}
}

// notePollAnswer counts the polls as lost that were sent before an answered one and should have been
// answered as well.
func (o *Owner) notePollAnswer(w *worker, answered openPoll) {
	if answered.lost {
		o.loss.noteLate(o.now)
	}
	delay, useful := o.hedge.current()
	for i := range w.openPolls {
		p := &w.openPolls[i]
		if useful && p.seq < answered.seq && !p.lost && o.now.After(p.sentAt.Add(p.wait+delay)) {
			p.lost = true
			o.loss.note(o.now, 0, 1)
		}
	}
}

// supersedes reports whether a report is newer than all that were handled: it was requested after
// the last one, or its clock is later. An older one may list runs that have ended since.
func (w *worker) supersedes(result pollResult) bool {
	return result.seq > w.lastReportSeq || result.report.Clock > w.lastReportClock
}
