package run

import (
	"go.uber.org/zap"

	"github.com/tamarindworks/tamarindworks/ledger"
)

// handleMessage applies a message from the inbox and then has it deleted.
func (o *Owner) handleMessage(m ledger.InboxRecord) {
	if sub := o.submissions[m.ID]; sub != nil && sub.durable {
		o.applyMessage(m)
		return
	}
	o.fetch(m.ID, m.Kind == ledger.InboxSubmitted, func() { o.applyMessage(m) })
}

// delayStart delays the start of a submission until its message has been deleted from the inbox. If
// there is none, the deletion does nothing.
func (o *Owner) delayStart(sub *submission) {
	if sub.closed() {
		return
	}
	sub.inboxPending = true
	o.writer.deleteMessage(ledger.InboxRecord{Kind: ledger.InboxSubmitted, ID: sub.ID})
}

// messageRemoved is called when a message has been deleted from the inbox.
func (o *Owner) messageRemoved(m ledger.InboxRecord) {
	if m.Kind == ledger.InboxCancel {
		o.log.Info("submission: cancel removed from the inbox", zap.String("submission", string(m.ID)))
	}
	if sub := o.submissions[m.ID]; sub != nil && m.Kind == ledger.InboxSubmitted {
		sub.inboxPending = false
		o.placeRequested = true
	}
}

// applyMessage applies a message from the inbox. The notice of a confirmed cancel stays there until the end
// of its submission is recorded: daemons of older versions do not mark the record, and owners of older
// versions do not read the mark.
func (o *Owner) applyMessage(m ledger.InboxRecord) {
	if sub := o.submissions[m.ID]; sub != nil && m.Kind == ledger.InboxCancel && sub.final == "" {
		sub.cancelInInbox = true
		o.metrics.cancelRead()
		o.log.Info("submission: cancel read from the inbox", zap.String("submission", string(m.ID)), zap.String("state", string(sub.state())))
		o.cancelSubmission(sub)
		return
	}
	o.writer.deleteMessage(m)
}

// deleteCancelMessage has the message of a cancel deleted, if there is one.
func (o *Owner) deleteCancelMessage(sub *submission) {
	if sub.cancelInInbox {
		sub.cancelInInbox = false
		o.writer.deleteMessage(ledger.InboxRecord{Kind: ledger.InboxCancel, ID: sub.ID})
	}
}
