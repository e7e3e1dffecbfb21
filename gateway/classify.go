package gateway

import (
	"context"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"
)

type (
	// RetryReason is a stable name for why a request was retried.
	RetryReason string

	// decision is the result of classifying an attempt.
	decision struct {
		// refusal is nil if the response can be forwarded to the caller.
		refusal *Refusal
		// retry is why the request may be retried; "" if it may not.
		retry RetryReason
		// instanceFailed marks the attempt as a failure of the instance.
		instanceFailed bool
		// truncated means that the caller got only part of the response.
		truncated bool
	}
)

// Retry reasons.
const (
	RetryUnreachable RetryReason = "unreachable" // no byte was sent
	RetryRefused     RetryReason = "refused"     // the upstream reports that it did not run the request
	RetryLost        RetryReason = "lost"        // connection lost, request repeatable
	RetryStatus      RetryReason = "status"      // 502, 503 or 504, request repeatable
)

// RetryReasons lists every retry reason.
var RetryReasons = []RetryReason{RetryUnreachable, RetryRefused, RetryLost, RetryStatus}

// abortIfTruncated closes the caller's connection, so that a truncated response
// does not look complete.
func (d decision) abortIfTruncated() {
	if d.truncated {
		panic(http.ErrAbortHandler)
	}
}

// classify decides from an attempt what the caller gets, whether the request
// may be retried, and whether the instance failed.
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
		d := decision{instanceFailed: true}
		if ex.repeatable {
			d.retry = ex.ifReplayable(RetryStatus)
		}
		return d
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
	d := decision{refusal: refusal, instanceFailed: true}
	if ex.repeatable {
		d.retry = ex.ifReplayable(RetryLost)
	}
	return d
}

func (ex *exchange) ifReplayable(reason RetryReason) RetryReason {
	if !ex.body.replayable() {
		return ""
	}
	return reason
}

// reportsNotRun reports whether an upstream or a daemon states that it has not
// run the request.
func reportsNotRun(resp *http.Response) bool {
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusMisdirectedRequest
	return refused && resp.Header.Get(HeaderOutcome) == string(NotRun)
}

// closeDelimited reports whether the end of the response is marked only by the
// end of its connection: a truncated one would look complete. Only HTTP/1.0
// upstreams and "Connection: close" without a length do this.
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
