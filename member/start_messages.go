package member

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// StartRequest is a batch of start orders that one daemon sends on behalf of another.
	// Its JSON keys are short because it is used when a link's bandwidth is exhausted.
	StartRequest struct {
		Starts []StartOrder `json:"o"`
		// Grouped means that the sender understands responses with several results.
		Grouped bool `json:"g,omitempty"`
	}

	// StartOrder is one order of a batch. Several orders may go to the same worker.
	StartOrder struct {
		Worker     tw.WorkerID     `json:"w"`
		Address    string          `json:"a"`
		Submission tw.SubmissionID `json:"s"`
		Repetition int             `json:"k,omitempty"`
		Step       int             `json:"t,omitempty"`
		Index      int             `json:"i,omitempty"`
		Run        tw.RunNumber    `json:"r"`
		Fence      tw.FencingToken `json:"f"`
		Deadline   tw.WorkerTime   `json:"d"`
		Checkpoint tw.Checkpoint   `json:"c,omitempty"`
		Ticket     string          `json:"x,omitempty"`
		// Spec is nil if the relay received it with an earlier order of the submission.
		Spec    *string `json:"p,omitempty"`
		LimitMs int64   `json:"l"`
	}

	// StartResponse holds results of orders of the batch: those in Results, or without these the
	// one in StartResult. Daemons of older versions send and understand only the latter.
	StartResponse struct {
		StartResult
		Results []StartResult `json:"m,omitempty"`
	}

	// StartResult is the result of one order of the batch.
	StartResult struct {
		Index   int           `json:"n"`
		Clock   tw.WorkerTime `json:"c,omitempty"`
		Outcome startOutcome  `json:"o,omitempty"`
		// Reason is set if the worker refused the order.
		Reason tw.RefusalReason `json:"r,omitempty"`
	}

	startOutcome string
)

const (
	startDone    startOutcome = ""
	startRefused startOutcome = "refused"
	startNotDone startOutcome = "not-done"
	// startTimedOut means that the worker did not answer in time, startConnLost that
	// the connection to it was closed.
	startTimedOut    startOutcome = "unclear"
	startConnLost    startOutcome = "cut"
	startSpecUnknown startOutcome = "spec-unknown"
)

func newStartRequest(batch []tw.RelayedStart) StartRequest {
	out := StartRequest{Starts: make([]StartOrder, len(batch)), Grouped: true}
	for n, s := range batch {
		id := s.Order.Subtask
		out.Starts[n] = StartOrder{
			Worker: s.To.ID, Address: s.To.Address,
			Submission: id.Submission, Repetition: id.Repetition, Step: id.Step, Index: id.Index,
			Run: s.Order.Run, Fence: s.Order.Fence, Deadline: s.Order.Deadline, Checkpoint: s.Order.Checkpoint,
			Ticket: s.Order.Ticket, LimitMs: s.Limit.Milliseconds(),
		}
		if !s.SpecCached {
			out.Starts[n].Spec = &batch[n].Order.Spec
		}
	}
	return out
}

// Batch returns the decoded orders of the request.
func (r *StartRequest) Batch() []tw.RelayedStart {
	out := make([]tw.RelayedStart, len(r.Starts))
	for n, s := range r.Starts {
		out[n] = tw.RelayedStart{
			To: tw.WorkerRef{ID: s.Worker, Address: s.Address},
			Order: tw.StartOrder{
				Subtask: tw.SubtaskID{Submission: s.Submission, Repetition: s.Repetition, Step: s.Step, Index: s.Index},
				Run:     s.Run, Fence: s.Fence, Deadline: s.Deadline, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
			},
			SpecCached: s.Spec == nil, Limit: time.Duration(s.LimitMs) * time.Millisecond,
		}
		if s.Spec != nil {
			out[n].Order.Spec = *s.Spec
		}
	}
	return out
}

// Responses encodes results for the sender of the request.
func (r *StartRequest) Responses(answers []tw.RelayedAnswer) []*StartResponse {
	results := make([]StartResult, len(answers))
	for n, a := range answers {
		results[n] = newStartResult(a)
	}
	if r.Grouped && len(results) > 1 {
		return []*StartResponse{{Results: results}}
	}
	out := make([]*StartResponse, len(results))
	for n, result := range results {
		out[n] = &StartResponse{StartResult: result}
	}
	return out
}

// results returns the results of a response.
func (r *StartResponse) results() []StartResult {
	if len(r.Results) > 0 {
		return r.Results
	}
	return []StartResult{r.StartResult}
}

func newStartResult(a tw.RelayedAnswer) StartResult {
	out := StartResult{Index: a.Index, Clock: a.Clock}
	var refused *tw.OrderRefusedError
	switch {
	case a.Err == nil:
	case errors.As(a.Err, &refused):
		out.Outcome, out.Reason, out.Clock = startRefused, refused.Reason, refused.Clock
	case errors.Is(a.Err, tw.ErrSpecUnknown):
		out.Outcome = startSpecUnknown
	case tw.NotApplied(a.Err):
		out.Outcome = startNotDone
	case tw.TimedOut(a.Err):
		out.Outcome = startTimedOut
	default:
		out.Outcome = startConnLost
	}
	return out
}

func (r *StartResult) answer() tw.RelayedAnswer {
	out := tw.RelayedAnswer{Index: r.Index, Clock: r.Clock}
	switch r.Outcome {
	case startDone:
	case startRefused:
		out.Err = &tw.OrderRefusedError{Reason: r.Reason, Clock: r.Clock}
	case startSpecUnknown:
		out.Err = tw.ErrSpecUnknown
	case startNotDone:
		out.Err = errors.Wrap(tw.ErrUnavailable, "member: the relay did not send the order")
	case startConnLost:
		out.Err = errors.Wrap(tw.ErrAmbiguous, "member: the worker closed the relay's connection")
	default:
		out.Err = fmt.Errorf("member: the relay got no answer: %w: %w", tw.ErrAmbiguous, context.DeadlineExceeded)
	}
	return out
}
