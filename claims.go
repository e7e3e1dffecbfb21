package tamarindworks

import "context"

// Claims replicates claims on idempotency keys to several daemons of the hall.
type Claims interface {
	// Claim tries to claim the key named by scope. body is a digest that
	// distinguishes different requests under the same key.
	Claim(ctx context.Context, scope, body string) (Claim, ClaimResult)
	// Settle records how a granted claim ended.
	Settle(claim Claim, state ClaimState)
}
