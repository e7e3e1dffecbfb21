package member

import (
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// StartsRequest asks a daemon to give starts to workers. It is what a busy
	// owner sends most, so names are short and specs come once.
	StartsRequest struct {
		Specs   []StartsSpec   `json:"specs"`
		Workers []WorkerStarts `json:"workers"`
		// Within is how long after its arrival the request may be acted upon.
		Within time.Duration `json:"within"`
	}

	// StartsSpec is the spec of a submission.
	StartsSpec struct {
		ID   tw.SubmissionID `json:"id"`
		Spec string          `json:"spec"`
	}

	// WorkerStarts are the starts of one worker, in their order.
	WorkerStarts struct {
		ID      tw.WorkerID `json:"id"`
		Address string      `json:"at"`
		Fence   tw.Fence    `json:"fence"`
		// Timeout bounds each start.
		Timeout time.Duration  `json:"timeout"`
		Starts  []RelayedStart `json:"starts"`
	}

	// RelayedStart is a start of a subtask of the submission at Spec of the
	// request's specs.
	RelayedStart struct {
		Spec       int            `json:"n"`
		Repetition int            `json:"k,omitempty"`
		Step       int            `json:"s,omitempty"`
		Index      int            `json:"i,omitempty"`
		Run        tw.RunNumber   `json:"r"`
		Deadline   tw.WorkerClock `json:"d"`
		Checkpoint tw.Checkpoint  `json:"c,omitempty"`
		Ticket     string         `json:"t,omitempty"`
	}

	// StartsResponse tells how the starts of some workers ended. Several follow
	// each other, so that a silent worker holds up no other's outcome.
	StartsResponse struct {
		Workers []WorkerOutcomes `json:"workers"`
	}

	// WorkerOutcomes are the outcomes of the starts of the worker at Index of the
	// request's workers, in their order.
	WorkerOutcomes struct {
		Index    int            `json:"n"`
		Outcomes []StartOutcome `json:"out"`
	}

	// StartOutcome is how a start ended: with none of the words it was answered.
	StartOutcome struct {
		Clock   tw.WorkerClock   `json:"c,omitempty"`
		Refused tw.RefusalReason `json:"refused,omitempty"`
		Failed  startFailure     `json:"failed,omitempty"`
	}

	// startFailure says how a start failed.
	startFailure string
)

const (
	startUnclear     startFailure = "unclear"
	startUnavailable startFailure = "unavailable"
	startNotSent     startFailure = "not-sent"
)

// relayedStart is an order as it is sent, with its submission's place among the specs.
func relayedStart(order tw.StartOrder, spec int) RelayedStart {
	return RelayedStart{
		Spec: spec, Repetition: order.Subtask.Repetition, Step: order.Subtask.Step, Index: order.Subtask.Index,
		Run: order.Run, Deadline: order.Deadline, Checkpoint: order.Checkpoint, Ticket: order.Ticket,
	}
}

// order is the start that is to be given; false if the request is malformed.
func (s RelayedStart) order(m *StartsRequest, fence tw.Fence) (tw.StartOrder, bool) {
	if s.Spec < 0 || s.Spec >= len(m.Specs) {
		return tw.StartOrder{}, false
	}
	spec := m.Specs[s.Spec]
	return tw.StartOrder{
		Subtask: tw.SubtaskID{Submission: spec.ID, Repetition: s.Repetition, Step: s.Step, Index: s.Index},
		Run:     s.Run, Spec: spec.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket, Deadline: s.Deadline, Fence: fence,
	}, true
}

// outcomeOf is the outcome that a result stands for.
func outcomeOf(r tw.StartResult) StartOutcome {
	var refused *tw.OrderRefused
	switch {
	case r.Err == nil:
		return StartOutcome{Clock: r.Clock}
	case errors.As(r.Err, &refused):
		return StartOutcome{Clock: refused.Clock, Refused: refused.Reason}
	case errors.Is(r.Err, run.ErrNotSent):
		return StartOutcome{Failed: startNotSent}
	case tw.SurelyNotDone(r.Err):
		return StartOutcome{Failed: startUnavailable}
	}
	return StartOutcome{Failed: startUnclear}
}

// result is the result that an outcome stands for.
func (o StartOutcome) result() tw.StartResult {
	switch {
	case o.Refused != "":
		return tw.StartResult{Clock: o.Clock, Err: &tw.OrderRefused{Reason: o.Refused, Clock: o.Clock}}
	case o.Failed == "":
		return tw.StartResult{Clock: o.Clock}
	case o.Failed == startNotSent:
		return tw.StartResult{Err: run.ErrNotSent}
	case o.Failed == startUnavailable:
		return tw.StartResult{Err: errors.Wrap(tw.ErrUnavailable, "member: relayed start")}
	}
	return tw.StartResult{Err: errors.Wrap(tw.ErrUnclear, "member: relayed start")}
}
