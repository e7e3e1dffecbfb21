package gateway

import (
	"context"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
)

type (
	// RetryReason is the stable name of why a request was sent again.
	RetryReason string

	// decision is what an attempt amounts to.
	decision struct {
		// refusal is nil if the response can be handed to the caller.
		refusal *Refusal
		// retry says why another try may be made; "" if none may.
		retry RetryReason
		// instanceFailed says that the instance failed.
		instanceFailed bool
		// truncated says that the caller has a part of the answer.
		truncated bool
	}
)

// Retry reasons.
const (
	RetryUnreachable RetryReason = "unreachable" // no byte left
	RetryRefused     RetryReason = "refused"     // the upstream says: not run
	RetryLost        RetryReason = "lost"        // connection lost, repeatable
	RetryStatus      RetryReason = "status"      // 502, 503 or 504, repeatable
)

// RetryReasons lists every retry reason.
var RetryReasons = []RetryReason{RetryUnreachable, RetryRefused, RetryLost, RetryStatus}

// abortIfTruncated ends the caller's connection: nothing short may look whole.
func (v decision) abortIfTruncated() {
	if v.truncated {
		panic(http.ErrAbortHandler)
	}
}

// classify decides what an attempt means for the request.
func (ex *exchange) classify(ctx context.Context, a attempt) decision {
	if a.err != nil {
		return ex.classifyError(ctx, a)
	}
	resp := a.resp
	switch {
	case reportsNotRun(resp):
		refusal := notRunRetryAfter(ReasonUpstreamRefused, retryAfterUpstream, "the instance did not take the request")
		return decision{refusal: refusal, retry: ex.ifReplayable(RetryRefused)}
	case closeDelimited(resp):
		refusal := &Refusal{Reason: ReasonUnframed, Outcome: Unknown, Detail: "the answer's end cannot be told from a cut"}
		return decision{refusal: refusal, instanceFailed: true}
	case isGatewayError(resp.StatusCode):
		v := decision{instanceFailed: true}
		if ex.repeatable {
			v.retry = ex.ifReplayable(RetryStatus)
		}
		return v
	}
	return decision{instanceFailed: resp.StatusCode >= http.StatusInternalServerError}
}

func (ex *exchange) classifyError(ctx context.Context, a attempt) decision {
	outcome := NotRun
	if a.mayHaveSent {
		outcome = Unknown
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(a.err, &tooLarge):
		return decision{refusal: &Refusal{Reason: ReasonBodyTooLarge, Outcome: outcome}}
	case ex.in.Context().Err() != nil:
		return decision{refusal: &Refusal{Reason: ReasonCallerGone, Outcome: outcome}}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal := &Refusal{Reason: ReasonDeadline, Outcome: outcome, RetryAfter: retryAfterUpstream}
		return decision{refusal: refusal}
	case !a.mayHaveSent:
		refusal := notRunRetryAfter(ReasonUnreachable, retryAfterUpstream, "no instance could be reached")
		return decision{refusal: refusal, retry: ex.ifReplayable(RetryUnreachable), instanceFailed: true}
	}
	refusal := &Refusal{Reason: ReasonUpstreamLost, Outcome: Unknown, RetryAfter: retryAfterUpstream}
	v := decision{refusal: refusal, instanceFailed: true}
	if ex.repeatable {
		v.retry = ex.ifReplayable(RetryLost)
	}
	return v
}

func (ex *exchange) ifReplayable(reason RetryReason) RetryReason {
	if !ex.body.replayable() {
		return ""
	}
	return reason
}

// reportsNotRun takes an upstream's or daemon's word that it has not run the
// request.
func reportsNotRun(resp *http.Response) bool {
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusMisdirectedRequest
	return refused && resp.Header.Get(HeaderOutcome) == string(NotRun)
}

// closeDelimited tells whether the answer ends with its connection: then a cut
// answer looks whole. Only HTTP/1.0 upstreams and "Connection: close" without
// a length do this.
func closeDelimited(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.Request.Method == http.MethodHead {
		return false
	}
	return !slices.Contains(resp.TransferEncoding, "chunked")
}

func isGatewayError(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
