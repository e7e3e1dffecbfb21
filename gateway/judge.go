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

	// verdict is what an attempt amounts to.
	verdict struct {
		// refusal is nil if the response can be handed to the caller.
		refusal *Refusal
		// retry says why another try may be made; "" if none may.
		retry RetryReason
		// blame says that the instance failed.
		blame bool
		// cut says that the caller has a part of the answer.
		cut bool
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

// abortIfCut ends the caller's connection: nothing short may look whole.
func (v verdict) abortIfCut() {
	if v.cut {
		panic(http.ErrAbortHandler)
	}
}

// judge decides what an attempt means for the request.
func (ex *exchange) judge(ctx context.Context, a attempt) verdict {
	if a.err != nil {
		return ex.judgeError(ctx, a)
	}
	resp := a.resp
	switch {
	case saysNotRun(resp):
		refusal := notRunFor(ReasonUpstreamRefused, retryAfterUpstream, "the instance did not take the request")
		return verdict{refusal: refusal, retry: ex.ifReplayable(RetryRefused)}
	case unframed(resp):
		refusal := &Refusal{Reason: ReasonUnframed, Outcome: Unknown, Detail: "the answer's end cannot be told from a cut"}
		return verdict{refusal: refusal, blame: true}
	case gatewayStatus(resp.StatusCode):
		v := verdict{blame: true}
		if ex.repeatable {
			v.retry = ex.ifReplayable(RetryStatus)
		}
		return v
	}
	return verdict{blame: resp.StatusCode >= http.StatusInternalServerError}
}

func (ex *exchange) judgeError(ctx context.Context, a attempt) verdict {
	outcome := NotRun
	if a.sent {
		outcome = Unknown
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(a.err, &tooLarge):
		return verdict{refusal: &Refusal{Reason: ReasonBodyTooLarge, Outcome: outcome}}
	case ex.in.Context().Err() != nil:
		return verdict{refusal: &Refusal{Reason: ReasonCallerGone, Outcome: outcome}}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal := &Refusal{Reason: ReasonDeadline, Outcome: outcome, RetryAfter: retryAfterUpstream}
		return verdict{refusal: refusal}
	case !a.sent:
		refusal := notRunFor(ReasonUnreachable, retryAfterUpstream, "no instance could be reached")
		return verdict{refusal: refusal, retry: ex.ifReplayable(RetryUnreachable), blame: true}
	}
	refusal := &Refusal{Reason: ReasonUpstreamLost, Outcome: Unknown, RetryAfter: retryAfterUpstream}
	v := verdict{refusal: refusal, blame: true}
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

// saysNotRun takes an upstream's or daemon's word that it has not run the
// request.
func saysNotRun(resp *http.Response) bool {
	refused := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusMisdirectedRequest
	return refused && resp.Header.Get(HeaderOutcome) == string(NotRun)
}

// unframed tells whether the answer ends with its connection: then a cut
// answer looks whole. Only HTTP/1.0 upstreams and "Connection: close" without
// a length do this.
func unframed(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.Request.Method == http.MethodHead {
		return false
	}
	return !slices.Contains(resp.TransferEncoding, "chunked")
}

func gatewayStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
