package run

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// errNotStored is the answer to a caller whose submission has the id of another organisation's
// submission: the caller must not learn of that one, and is told that the store did not
// accept the submission.
var errNotStored = errors.Wrap(tw.ErrUnavailable, "run: the store does not take it")

// Submit stores a submission and returns when it is durable. Submitting it again is no error.
// ErrUnavailable and ErrRateLimited prove that it was not accepted; after any other error that is
// unknown.
func (o *Owner) Submit(ctx context.Context, s tw.Submission) error {
	result := make(chan error, 1)
	return o.call(ctx, result, func() { o.submit(s, result) })
}

// Cancel cancels a submission of an organisation and returns when the cancellation is durable. It
// returns ErrUnknownSubmission if the organisation has no submission with this id.
func (o *Owner) Cancel(ctx context.Context, by tw.OrganisationID, id tw.SubmissionID) error {
	result := make(chan error, 1)
	return o.call(ctx, result, func() {
		if o.isHidden(id, by) {
			result <- ErrUnknownSubmission
			return
		}
		o.requestCancel(id, result)
	})
}

// State returns the state of a submission of an organisation, or ErrUnknownSubmission.
func (o *Owner) State(ctx context.Context, by tw.OrganisationID, id tw.SubmissionID) (tw.SubmissionState, error) {
	return query(ctx, o, func() (tw.SubmissionState, error) {
		sub := o.submissions[id]
		if sub == nil || !sub.durable || sub.unsubmitted || o.isHidden(id, by) {
			return "", ErrUnknownSubmission
		}
		return sub.state(), nil
	})
}

// isHidden reports whether a submission belongs to another organisation than the given one, which
// must not learn of it.
func (o *Owner) isHidden(id tw.SubmissionID, organisation tw.OrganisationID) bool {
	sub := o.submissions[id]
	return sub != nil && sub.Organisation != organisation
}

// Waiting counts a route's submissions of which no subtask has begun.
func (o *Owner) Waiting(ctx context.Context, route tw.RouteName) (int, error) {
	return query(ctx, o, func() (int, error) { return o.waiting[route], nil })
}

// StoreOutage is how long the store has accepted no write of this owner; zero if it accepts them.
func (o *Owner) StoreOutage(ctx context.Context) (time.Duration, error) {
	return query(ctx, o, func() (time.Duration, error) {
		since := o.writer.failingSince()
		if since.IsZero() {
			return 0, nil
		}
		return o.now.Sub(since), nil
	})
}

// OverloadedFor is how long the owner has had too little processor time or link bandwidth for the
// work that has free capacity; zero if it has enough.
func (o *Owner) OverloadedFor(ctx context.Context) (time.Duration, error) {
	return query(ctx, o, func() (time.Duration, error) { return o.window.shortage(o.now), nil })
}

// HandleInbox has the owner apply a message that another daemon left for it in the store.
func (o *Owner) HandleInbox(ctx context.Context, message ledger.InboxRecord) {
	o.post(ctx, func() { o.handleMessage(message) })
}

// query runs a function in the owner's loop and returns its result. The value is zero after an
// error.
func query[T any](ctx context.Context, o *Owner, f func() (T, error)) (T, error) {
	answer := make(chan T, 1)
	result := make(chan error, 1)
	err := o.call(ctx, result, func() {
		value, err := f()
		answer <- value
		result <- err
	})
	if err != nil {
		var none T
		return none, err
	}
	return <-answer, nil
}

func (o *Owner) call(ctx context.Context, result chan error, event func()) error {
	if !o.post(ctx, event) {
		return errors.Wrap(ErrNotOwner, "run: it is busy or has ended")
	}
	select {
	case err := <-result:
		return err
	case <-o.done:
		select {
		case err := <-result:
			return err
		default:
			return errors.Wrap(tw.ErrAmbiguous, "run: the owner ended meanwhile")
		}
	case <-ctx.Done():
		return errors.Wrap(tw.ErrAmbiguous, "run: no result in time")
	}
}

func (o *Owner) submit(s tw.Submission, result chan<- error) {
	if o.draining {
		result <- ErrNotOwner
		return
	}
	if o.isHidden(s.ID, s.Organisation) {
		result <- errNotStored
		return
	}
	if existing := o.submissions[s.ID]; existing != nil {
		if existing.durable {
			result <- nil
		} else {
			existing.waiters = append(existing.waiters, result)
		}
		return
	}
	if err := o.writer.acceptError(); err != nil {
		o.metrics.refused.Inc()
		o.metrics.countRefusal(refusedStore)
		o.log.Info("submission: refused, the store does not take it", zap.String("submission", string(s.ID)), logsink.Err(err))
		result <- err
		return
	}
	if evacuated := o.checkAllEvacuated(&s); evacuated != nil {
		o.metrics.busy.Inc()
		o.metrics.countRefusal(refusedEvacuated)
		o.log.Info("submission: refused, all halls are evacuated", zap.String("submission", string(s.ID)),
			zap.Int64("evacuations", int64(o.evacuated.Revision)), zap.Duration("retry_after", evacuated.RetryAfter))
		result <- evacuated
		return
	}
	if busy := o.checkOverload(&s); busy != nil {
		o.metrics.busy.Inc()
		result <- busy
		return
	}
	sub := newSubmission(s, ledger.Progress{})
	sub.waiters = append(sub.waiters, result)
	o.submissions[s.ID] = sub
	o.backlog.addArrival(sub)
	o.writer.accept(sub)
}

// submissionStored is called when a new submission is durable.
func (o *Owner) submissionStored(sub *submission) {
	if o.submissions[sub.ID] != sub {
		return // it has been replaced by the one read from the store
	}
	sub.durable = true
	o.metrics.accepted.Inc()
	o.log.Info("submission: accepted", zap.String("submission", string(sub.ID)),
		zap.String("route", string(sub.Policy.Route)), zap.Int("steps", len(sub.Steps)))
	o.noteHandIn(sub)
	o.add(sub)
	o.addOffered(sub)
	sub.notifyDurable()
}

// refusedByStore is called when a new submission was certainly not stored.
func (o *Owner) refusedByStore(sub *submission, err error) {
	if o.submissions[sub.ID] != sub {
		return // another attempt of it was stored
	}
	delete(o.submissions, sub.ID)
	o.deleteCancelMessage(sub)
	o.metrics.refused.Inc()
	o.metrics.countRefusal(refusedStore)
	o.log.Info("submission: not taken", zap.String("submission", string(sub.ID)), logsink.Err(err))
	sub.notifyWaiters(err)
}

// alreadyStored is called when another daemon has stored the same id: the stored submission
// replaces sub, and a cancel received meanwhile is applied to it.
func (o *Owner) alreadyStored(sub *submission, stored tw.KVItem) {
	if o.submissions[sub.ID] != sub {
		return // already replaced
	}
	delete(o.submissions, sub.ID)
	if record, err := ledger.DecodeRecord(stored); err == nil {
		sub.answerStored(record)
	} else {
		sub.answerWaiters(errors.Wrapf(tw.ErrAmbiguous, "run: stored by another attempt, and not readable: %v", err))
	}
	o.fetch(sub.ID, false, func() { o.forwardCancel(sub) })
}

// answerStored answers the callers that wait for a submission to be stored, by the record stored
// under its id: their own submission, or another organisation's, which must stay hidden from
// them.
func (s *submission) answerStored(record ledger.Record) {
	if record.Organisation != s.Organisation {
		s.answerWaiters(errNotStored)
		return
	}
	s.notifyDurable()
}

// supersede replaces a submission that waits to be stored by the one that another attempt has
// stored.
func (o *Owner) supersede(waiting *submission, l ledger.LoadedSubmission) {
	o.log.Info("submission: already stored by another attempt", zap.String("submission", string(l.ID)))
	delete(o.submissions, l.ID)
	o.writer.withdraw(waiting)
	waiting.answerStored(l.Record)
	o.addFetched(l)
	o.forwardCancel(waiting)
}

// forwardCancel applies a cancel that was received while a submission waited to be stored to the
// one that another attempt has stored.
func (o *Owner) forwardCancel(waiting *submission) {
	cancels := waiting.cancelWaiters
	waiting.cancelWaiters = nil
	if o.isHidden(waiting.ID, waiting.Organisation) {
		for _, result := range cancels {
			result <- ErrUnknownSubmission
		}
		o.deleteCancelMessage(waiting)
		return
	}
	switch stored := o.submissions[waiting.ID]; {
	case stored == nil || stored.final != "":
		o.deleteCancelMessage(waiting)
	case waiting.pendingFinal == tw.SubmissionCancelled:
		stored.cancelInInbox = stored.cancelInInbox || waiting.cancelInInbox
		o.cancelSubmission(stored)
	}
	for _, result := range cancels {
		o.requestCancel(waiting.ID, result)
	}
}

func (o *Owner) handleFetched(l ledger.LoadedSubmission) {
	existing := o.submissions[l.ID]
	switch {
	case l.Record.Pool != o.pool:
	case existing == nil:
		o.addFetched(l)
	case !existing.durable:
		o.supersede(existing, l)
	}
}

func (o *Owner) addFetched(l ledger.LoadedSubmission) {
	o.loadSubmission(l)
	if sub := o.submissions[l.ID]; sub != nil && sub.final == "" {
		o.noteHandIn(sub)
		o.delayStart(sub)
	}
	o.log.Info("submission: loaded from the store", zap.String("submission", string(l.ID)))
}

func (o *Owner) requestCancel(id tw.SubmissionID, result chan<- error) {
	sub := o.submissions[id]
	switch {
	case o.draining:
		result <- ErrNotOwner
	case sub == nil || sub.unsubmitted:
		result <- ErrUnknownSubmission
	case sub.final != "":
		result <- nil
	default:
		sub.cancelWaiters = append(sub.cancelWaiters, result)
		o.metrics.cancelRequested(sub.durable)
		o.cancelSubmission(sub)
	}
}

// cancelSubmission stops all runs and has the end recorded.
func (o *Owner) cancelSubmission(sub *submission) {
	o.endSubmission(sub, tw.SubmissionCancelled, "cancelled by the caller")
}

// endSubmission ends a submission: nothing more of it is started, its runs are stopped, and its
// final state is visible once it is recorded.
func (o *Owner) endSubmission(sub *submission, state tw.SubmissionState, reason string) {
	if sub.closed() {
		return
	}
	sub.pendingFinal = state
	o.markBegun(sub)
	o.log.Info("submission: ends", zap.String("submission", string(sub.ID)),
		zap.String("state", string(state)), zap.String("why", reason), zap.Bool("stored", sub.durable))
	for _, rep := range sub.reps {
		for _, st := range rep.steps {
			for _, t := range st.tasks {
				for _, r := range t.runs {
					o.stop(r, "submission "+string(state))
				}
			}
		}
	}
	o.writer.markDirty(sub)
}

// endRecorded is called when the end of a submission is recorded.
func (o *Owner) endRecorded(sub *submission) {
	sub.final = sub.pendingFinal
	sub.endedAt = o.now
	o.ended = append(o.ended, sub)
	if o.mayHaveUnknownRuns(sub) {
		o.caps.endedEarly = append(o.caps.endedEarly, sub)
	}
	delete(o.live, sub.ID)
	delete(o.scheduled, sub.ID)
	sub.Steps, sub.Spec = nil, ""
	o.deleteCancelMessage(sub)
	sub.notifyWaiters(nil)
	o.metrics.ended(sub.final)
	// The clock of the daemon that has accepted it may be ahead.
	o.log.Info("submission: recorded as ended", zap.String("submission", string(sub.ID)),
		zap.String("state", string(sub.final)), ageField("after", later(o.now, sub.Accepted), sub.Accepted))
}
