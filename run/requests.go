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

// errNotStored is what a caller is told whose id another organisation's submission has: as
// far as it can tell, the store did not take its own.
var errNotStored = errors.Wrap(tw.ErrUnavailable, "run: the store does not take it")

// Submit keeps a submission and returns when it is durable; that it was
// already is no error. ErrUnavailable and ErrRateLimited prove that it was
// not taken; after any other error that is unclear.
func (o *Owner) Submit(ctx context.Context, s tw.Submission) error {
	result := make(chan error, 1)
	return o.call(ctx, result, func() { o.submit(s, result) })
}

// Cancel cancels a submission of an organisation and returns when that is durable. It
// fails with ErrUnknown if the organisation has none with this id.
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

// State tells the state of a submission of an organisation, or fails with ErrUnknown.
func (o *Owner) State(ctx context.Context, by tw.OrganisationID, id tw.SubmissionID) (tw.SubmissionState, error) {
	return query(ctx, o, func() (tw.SubmissionState, error) {
		sub := o.submissions[id]
		if sub == nil || !sub.durable || o.isHidden(id, by) {
			return "", ErrUnknownSubmission
		}
		return sub.state(), nil
	})
}

// isHidden tells whether a submission is another organisation's, which this one must not
// learn of.
func (o *Owner) isHidden(id tw.SubmissionID, from tw.OrganisationID) bool {
	sub := o.submissions[id]
	return sub != nil && sub.Organisation != from
}

// Waiting counts a route's submissions none of whose subtasks has begun.
func (o *Owner) Waiting(ctx context.Context, route tw.RouteName) (int, error) {
	return query(ctx, o, func() (int, error) { return o.waiting[route], nil })
}

// StoreOutage is how long the store has taken no write of this owner; zero
// if it takes them.
func (o *Owner) StoreOutage(ctx context.Context) (time.Duration, error) {
	return query(ctx, o, func() (time.Duration, error) {
		from := o.writer.failingSince()
		if from.IsZero() {
			return 0, nil
		}
		return o.now.Sub(from), nil
	})
}

// Shortage is how long the owner has had too little processor time or link for the work that
// has room; zero if it has enough.
func (o *Owner) Shortage(ctx context.Context) (time.Duration, error) {
	return query(ctx, o, func() (time.Duration, error) { return o.window.shortage(o.now), nil })
}

// HandleInbox hands over what another daemon left in the store for this owner.
func (o *Owner) HandleInbox(ctx context.Context, message ledger.InboxRecord) {
	o.post(ctx, func() { o.handleMessage(message) })
}

// query has a question answered by the owner's loop. The answer is zero after
// an error.
func query[T any](ctx context.Context, o *Owner, question func() (T, error)) (T, error) {
	answer := make(chan T, 1)
	result := make(chan error, 1)
	err := o.call(ctx, result, func() {
		value, err := question()
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
	if have := o.submissions[s.ID]; have != nil {
		if have.durable {
			result <- nil
		} else {
			have.waiters = append(have.waiters, result)
		}
		return
	}
	if err := o.writer.acceptError(); err != nil {
		o.metrics.refused.Inc()
		o.log.Info("submission: refused, the store does not take it", zap.String("submission", string(s.ID)), logsink.Err(err))
		result <- err
		return
	}
	if closed := o.checkAllEvacuated(&s); closed != nil {
		o.metrics.busy.Inc()
		o.log.Info("submission: refused, all halls are evacuated", zap.String("submission", string(s.ID)),
			zap.Int64("evacuations", int64(o.evacuated.Revision)), zap.Duration("retry_after", closed.RetryAfter))
		result <- closed
		return
	}
	if busy := o.checkOverload(&s); busy != nil {
		o.metrics.busy.Inc()
		o.log.Info("submission: refused, it would wait for too long", zap.String("submission", string(s.ID)),
			zap.Int("ahead", o.backlogAhead(s.Policy.Priority)), zap.Float64("starts_per_second", o.window.capacity(o.now)),
			zap.Duration("retry_after", busy.RetryAfter))
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
		return // it was read from the store meanwhile
	}
	sub.durable = true
	o.metrics.accepted.Inc()
	o.log.Info("submission: accepted", zap.String("submission", string(sub.ID)),
		zap.String("route", string(sub.Policy.Route)), zap.Int("steps", len(sub.Steps)))
	o.add(sub)
	o.addOffered(sub)
	sub.notifyWaiters(nil)
}

// refusedByStore is called when a new submission was surely not kept.
func (o *Owner) refusedByStore(sub *submission, err error) {
	if o.submissions[sub.ID] != sub {
		return // another try of it was kept
	}
	delete(o.submissions, sub.ID)
	o.metrics.refused.Inc()
	o.log.Info("submission: not taken", zap.String("submission", string(sub.ID)), logsink.Err(err))
	sub.notifyWaiters(err)
}

// alreadyStored is called when another daemon has kept the same id: what the store has
// takes the place of sub, and a cancel that came meanwhile goes on to it.
func (o *Owner) alreadyStored(sub *submission, kept tw.KVItem) {
	if o.submissions[sub.ID] != sub {
		return // it has done so already
	}
	delete(o.submissions, sub.ID)
	if record, err := ledger.DecodeRecord(kept); err == nil {
		sub.answerStored(record)
	} else {
		sub.notifyDurable()
	}
	o.fetch(sub.ID, false, func() { o.forwardCancel(sub) })
}

// answerStored tells those who wait for a submission to be kept what stands under its id: itself,
// or another organisation's, of which they must not learn.
func (s *submission) answerStored(record ledger.Record) {
	if record.Organisation != s.Organisation {
		for _, waiter := range s.waiters {
			waiter <- errNotStored
		}
		s.waiters = nil
		return
	}
	s.notifyDurable()
}

// supersede has what the store has kept of another try take the place of a submission
// that waits to be kept.
func (o *Owner) supersede(waiting *submission, l ledger.LoadedSubmission) {
	o.log.Info("submission: kept by another try", zap.String("submission", string(l.ID)))
	delete(o.submissions, l.ID)
	o.writer.withdraw(waiting)
	waiting.answerStored(l.Record)
	o.addFetched(l)
	o.forwardCancel(waiting)
}

// forwardCancel has a cancel that came while a submission waited go on to what was kept of
// it by another try.
func (o *Owner) forwardCancel(waiting *submission) {
	enders := waiting.cancelWaiters
	waiting.cancelWaiters = nil
	if o.isHidden(waiting.ID, waiting.Organisation) {
		for _, result := range enders {
			result <- ErrUnknownSubmission
		}
		return
	}
	if kept := o.submissions[waiting.ID]; kept != nil && waiting.pendingFinal == tw.SubmissionCancelled && kept.final == "" {
		o.cancelSubmission(kept)
	}
	for _, result := range enders {
		o.requestCancel(waiting.ID, result)
	}
}

// fetch takes up a submission that another daemon has kept, then calls then.
// It goes on trying until the store answers. inInbox: its message is there.
func (o *Owner) fetch(id tw.SubmissionID, inInbox bool, then func()) {
	go func() {
		for {
			loaded, err := o.readSubmission(id)
			loaded.InInbox = inInbox
			if err == nil || errors.Is(err, tw.ErrNotFound) {
				o.post(o.ctx, func() {
					if err == nil {
						o.handleFetched(loaded)
					}
					then()
				})
				return
			}
			o.log.Warn("submission: not readable, tried again", zap.String("submission", string(id)), logsink.Err(err))
			select {
			case <-o.clock.After(flushRetryDelay):
			case <-o.ctx.Done():
				return
			}
		}
	}()
}

func (o *Owner) readSubmission(id tw.SubmissionID) (ledger.LoadedSubmission, error) {
	record, err := ledger.FindSubmission(o.ctx, o.kv, id)
	if err != nil {
		return ledger.LoadedSubmission{}, err
	}
	progress, err := ledger.FindProgress(o.ctx, o.kv, record.Pool, id)
	return ledger.LoadedSubmission{ID: id, Record: record, Progress: progress}, err
}

func (o *Owner) handleFetched(l ledger.LoadedSubmission) {
	have := o.submissions[l.ID]
	switch {
	case l.Record.Pool != o.pool:
	case have == nil:
		o.addFetched(l)
	case !have.durable:
		o.supersede(have, l)
	}
}

func (o *Owner) addFetched(l ledger.LoadedSubmission) {
	o.loadSubmission(l)
	if sub := o.submissions[l.ID]; sub != nil {
		o.hold(sub)
	}
	o.log.Info("submission: taken up from the store", zap.String("submission", string(l.ID)))
}

// handleMessage follows a message from the inbox and then has it taken out.
func (o *Owner) handleMessage(m ledger.InboxRecord) {
	if sub := o.submissions[m.ID]; sub != nil && sub.durable {
		o.applyMessage(m)
		return
	}
	o.fetch(m.ID, m.Kind == ledger.InboxSubmitted, func() { o.applyMessage(m) })
}

// hold keeps a submission from being started until no message tells of it any
// more; that there is none is no harm.
func (o *Owner) hold(sub *submission) {
	if sub.closed() {
		return
	}
	sub.inboxPending = true
	o.writer.deleteMessage(ledger.InboxRecord{Kind: ledger.InboxSubmitted, ID: sub.ID})
}

// messageRemoved is called when a message has been taken out of the inbox.
func (o *Owner) messageRemoved(m ledger.InboxRecord) {
	if sub := o.submissions[m.ID]; sub != nil && m.Kind == ledger.InboxSubmitted {
		sub.inboxPending = false
		o.placeRequested = true
	}
}

func (o *Owner) applyMessage(m ledger.InboxRecord) {
	if sub := o.submissions[m.ID]; sub != nil && m.Kind == ledger.InboxCancel {
		o.cancelSubmission(sub)
	}
	o.writer.deleteMessage(m)
}

func (o *Owner) requestCancel(id tw.SubmissionID, result chan<- error) {
	sub := o.submissions[id]
	switch {
	case o.draining:
		result <- ErrNotOwner
	case sub == nil:
		result <- ErrUnknownSubmission
	case sub.final != "":
		result <- nil
	default:
		sub.cancelWaiters = append(sub.cancelWaiters, result)
		o.cancelSubmission(sub)
	}
}

// cancelSubmission stops all runs and has the end recorded.
func (o *Owner) cancelSubmission(sub *submission) {
	o.endSubmission(sub, tw.SubmissionCancelled, "asked by the caller")
}

// endSubmission ends a submission: nothing of it is started any more, what runs is
// stopped, and the state is shown once it is recorded.
func (o *Owner) endSubmission(sub *submission, state tw.SubmissionState, why string) {
	if sub.closed() {
		return
	}
	sub.pendingFinal = state
	o.markBegun(sub)
	o.log.Info("submission: ends", zap.String("submission", string(sub.ID)),
		zap.String("state", string(state)), zap.String("why", why))
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

// endRecorded is called when the end is recorded.
func (o *Owner) endRecorded(sub *submission) {
	sub.final = sub.pendingFinal
	sub.endedAt = o.now
	delete(o.live, sub.ID)
	delete(o.scheduled, sub.ID)
	sub.Steps, sub.Spec = nil, ""
	sub.notifyWaiters(nil)
	o.metrics.ended(sub.final)
	o.log.Info("submission: recorded as ended", zap.String("submission", string(sub.ID)),
		zap.String("state", string(sub.final)), zap.Duration("after", o.now.Sub(sub.Accepted)))
}
