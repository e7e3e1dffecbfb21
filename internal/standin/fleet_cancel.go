package standin

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// cancelTime is how long after a confirmed cancel its work may still be started by callers that are
// in contact with the store, and for how long it may take them to stop what runs.
const cancelTime = 3 * time.Second

// NoteCancelled records that the cancel of a submission has been confirmed to its caller.
func (f *Fleet) NoteCancelled(id tw.SubmissionID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelled[id].IsZero() {
		f.cancelled[id] = f.config.Clock.Now()
	}
}

// NoteDisturbance records that callers may have been kept from stopping runs until now, as by the end
// of one of them.
func (f *Fleet) NoteDisturbance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbedAt = f.config.Clock.Now()
}

// checkCancelled records a start of cancelled work.
func (f *Fleet) checkCancelled(id tw.SubtaskID) {
	at := f.cancelled[id.Submission]
	if !at.IsZero() && f.config.Clock.Now().Sub(at) > cancelTime && f.callersInContact() {
		f.addViolation("UNASKED: %s was started after its cancel", id)
	}
}

// checkStopped records the runs on a worker that went on after a confirmed cancel although nothing kept
// callers from stopping them.
func (f *Fleet) checkStopped(w *SimWorker) {
	now := f.config.Clock.Now()
	if w.Silent || w.dead || f.lost.Share > 0 || !f.callersInContact() {
		w.disturbedAt = now
		return
	}
	for id, r := range w.runs {
		cancelled := f.cancelled[id.Submission]
		if cancelled.IsZero() || r.outlivedCancel {
			continue
		}
		ranUntil := now
		if end, _ := w.endOf(r); !end.IsZero() && end.Before(now) {
			ranUntil = end
		}
		for _, t := range []time.Time{w.disturbedAt, f.disturbedAt, r.started} {
			if t.After(cancelled) {
				cancelled = t
			}
		}
		if ranUntil.Sub(cancelled) > cancelTime+f.config.StopTime {
			r.outlivedCancel = true
			f.addViolation("UNASKED: %s runs on %s after its cancel", id, w.Entry.ID)
		}
	}
}
