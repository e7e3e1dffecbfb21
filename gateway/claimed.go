package gateway

import (
	"context"
	"net/http"

	tw "github.com/tamarindworks/tamarindworks"
)

// serveClaimed sends a request under an idempotency key that must run at most
// once: first the key is claimed with several daemons of the hall.
func (g *Gateway) serveClaimed(ctx context.Context, w http.ResponseWriter, ex *exchange) *Refusal {
	if ex.body.rest != nil {
		return notRunRefusal(ReasonBodyTooLarge, "a request under "+HeaderKey+" must fit in memory")
	}
	claim, result := g.cfg.Claims.Claim(ctx, ex.scope(ex.job), ex.digest())
	if !result.Granted {
		return claimRefusal(claim, result.Existing)
	}
	state := tw.ClaimPending // also if the answer is cut and this panics
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

// claimRefusal says what became of the request that has the key.
func claimRefusal(claim, standing tw.Claim) *Refusal {
	switch {
	case standing.Holder == "":
		return notRunRetryAfter(ReasonKeyUnavailable, retryAfterRestart, "too few daemons could keep the key")
	case standing.Body != claim.Body:
		return notRunRefusal(ReasonKeyMismatch, "the key was used for another request")
	case standing.State == tw.ClaimAnswered:
		return &Refusal{Reason: ReasonKeyAnswered, Outcome: Answered, Detail: "the request under this key was run and answered"}
	}
	return &Refusal{
		Reason:     ReasonKeyInProgress,
		Outcome:    Unknown,
		RetryAfter: retryAfterUpstream,
		Detail:     "a request under this key is running or was lost; it is not run again",
	}
}
