package run_test

import (
	"context"
	"fmt"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
)

func (s *soak) submitAny() {
	sub := s.anySubmission()
	ctx, cancel := context.WithTimeout(s.ctx, callerTimeout)
	defer cancel()
	switch err := s.owner.Submit(ctx, sub); {
	case err == nil:
		s.accepted = append(s.accepted, sub.ID)
	case tw.NotApplied(err):
		s.refused = append(s.refused, sub.ID)
	}
}

// submitViaInbox stores a submission as a daemon does that can't reach the owner. The current
// owner is notified at times; the next one finds it in any case.
func (s *soak) submitViaInbox() {
	sub := s.anySubmission()
	if _, err := s.kv.Commit(s.ctx, ledger.AcceptViaInbox(&sub)); err != nil {
		return
	}
	s.accepted = append(s.accepted, sub.ID)
	if s.rand.IntN(2) == 0 {
		s.owner.HandleInbox(s.ctx, ledger.InboxRecord{Kind: ledger.InboxSubmitted, ID: sub.ID})
	}
}

func (s *soak) anySubmission() tw.Submission {
	s.submissionCount++
	id := fmt.Sprintf("%016x", s.submissionCount)
	sub := submission(id, 1+s.rand.IntN(4), 1+s.rand.IntN(3))
	if s.rand.IntN(4) == 0 {
		sub = longRunning(id, 2)
	}
	sub.Steps[0].Estimate = time.Duration(200+s.rand.IntN(2000)) * time.Millisecond
	sub.Steps[0].AllowCopies = s.rand.IntN(3) == 0
	sub.Policy.Attempts = 2
	crashes := s.poisonous && s.rand.IntN(6) == 0
	s.poisoned[sub.ID] = crashes
	s.fleet.RegisterSubmission(&sub, func(id tw.SubtaskID, p *standin.Profile) { p.Crashes = crashes && id.Step == 0 && id.Index == 0 })
	return sub
}

func (s *soak) cancelAny() {
	if len(s.accepted) == 0 {
		return
	}
	id := s.accepted[s.rand.IntN(len(s.accepted))]
	if s.killing && s.rand.IntN(2) == 0 {
		s.cancelThroughStore(id)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callerTimeout)
	defer cancel()
	if s.owner.Cancel(ctx, "", id) == nil { // may fail while the store fails
		s.noteCancelled(id)
	}
}

// cancelThroughStore cancels a submission as a daemon does that can't reach the owner, whose watch of the
// inbox reads the request.
func (s *soak) cancelThroughStore(id tw.SubmissionID) {
	if txn, err := cancelInStore(s.ctx, s.kv, id); err == nil && len(txn.Puts) > 0 {
		s.noteCancelled(id)
		s.owner.HandleInbox(s.ctx, ledger.InboxRecord{Kind: ledger.InboxCancel, ID: id})
	}
}

// noteCancelled records a confirmed cancel.
func (s *soak) noteCancelled(id tw.SubmissionID) {
	if s.killing { // other soaks leave owners without word of a new one and of the inbox
		s.fleet.NoteCancelled(id)
		s.cancelled = append(s.cancelled, id)
	}
}

// isRunning reports whether a long-running submission is running.
func (s *soak) isRunning(id tw.SubmissionID) bool {
	return s.fleet.Ready(tw.SubtaskID{Submission: id}) && s.fleet.Ready(tw.SubtaskID{Submission: id, Index: 1})
}
