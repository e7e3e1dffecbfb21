package standin

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// cancelTime is how long after a confirmed cancel its work may still be started by callers that are
// in contact with the store.
const cancelTime = 3 * time.Second

// NoteCancelled records that the cancel of a submission has been confirmed to its caller.
func (f *Fleet) NoteCancelled(id tw.SubmissionID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelled[id].IsZero() {
		f.cancelled[id] = f.config.Clock.Now()
	}
}

// checkCancelled records a start of cancelled work.
func (f *Fleet) checkCancelled(id tw.SubtaskID) {
	at := f.cancelled[id.Submission]
	if !at.IsZero() && f.config.Clock.Now().Sub(at) > cancelTime && f.callersInContact() {
		f.addViolation("UNASKED: %s was started after its cancel", id)
	}
}
