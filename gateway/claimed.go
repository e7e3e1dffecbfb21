package gateway

import (
	"context"
	"net/http"

	tw "github.com/tamarindworks/tamarindworks"
)

// serveClaimed handles a request with an idempotency key, which must run at
// most once: the key is first claimed with several daemons of the hall.
func (g *Gateway) serveClaimed(ctx context.Context, w http.ResponseWriter, ex *exchange) *Refusal {
	if ex.body.rest != nil {
		return notRunRefusal(ReasonBodyTooLarge, "a request under "+HeaderKey+" must fit in memory")
	}
	claim, result := g.cfg.Claims.Claim(ctx, ex.scope(ex.job), ex.digest())
	if !result.Granted {
		return claimRefusal(claim, result.Existing)
	}
	state := tw.ClaimPending // also if the response is truncated and serveLocally panics
	defer func() { g.cfg.Claims.Settle(claim, state) }()
	refusal := g.serveLocally(ctx, w, ex)
	switch {
	case refusal == nil:
		state = tw.ClaimAnswered
	case refusal.Outcome == NotRun:
		state = tw.ClaimReleased
	}
	return refusal
}

// claimRefusal returns the refusal for a key that another request holds, or
// that could not be claimed because too few daemons acknowledged it.
func claimRefusal(claim, existing tw.Claim) *Refusal {
	switch {
	case existing.Holder == "":
		return notRunRetryAfter(ReasonKeyUnavailable, retryAfterRestart, "too few daemons could keep the key")
	case existing.Body != claim.Body:
		return notRunRefusal(ReasonKeyMismatch, "the key was used for another request")
	case existing.State == tw.ClaimAnswered:
		return &Refusal{Reason: ReasonKeyAnswered, Outcome: Answered, Detail: "the request under this key was run and answered"}
	}
	return &Refusal{
		Reason:     ReasonKeyInProgress,
		Outcome:    Unknown,
		RetryAfter: retryAfterUpstream,
		Detail:     "a request under this key is running or was lost; it is not run again",
	}
}
