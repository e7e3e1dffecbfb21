package run

import "time"

// callOrder tells a lost answer from one that is late because this daemon is short of processor time
// or link bandwidth. The answers of all workers then arrive late, and about in the order in which
// their calls were sent. So a call is overdue only once one that was sent later, to any worker, is
// answered, as in RACK (RFC 8985). Polls that wait at a worker are left out.
type callOrder struct {
	// sentAt is when the last call was sent, answeredSentAt when the latest-sent answered one was.
	sentAt, answeredSentAt time.Time
}

// reorderShare is the share of the hedge delay by which answers may arrive out of order.
const reorderShare = 0.25

func (c *callOrder) noteSent(at time.Time) { c.sentAt = later(c.sentAt, at) }

func (c *callOrder) noteAnswer(sentAt time.Time) {
	c.answeredSentAt = later(c.answeredSentAt, sentAt)
}

// overdue reports whether a call that was to be answered from a time on is not merely late together
// with all others, given the hedge delay. If no call was sent later, it is.
func (c *callOrder) overdue(from time.Time, delay time.Duration) bool {
	from = from.Add(time.Duration(reorderShare * float64(delay)))
	return !c.sentAt.After(from) || c.answeredSentAt.After(from)
}
