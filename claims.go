package tamarindworks

import "context"

// Claims keeps idempotency keys with several daemons of the hall.
type Claims interface {
	// Claim asks for the key named by scope. body is a digest that tells
	// two requests under one key apart.
	Claim(ctx context.Context, scope, body string) (Claim, ClaimResult)
	// Settle records how a granted claim ended.
	Settle(claim Claim, state ClaimState)
}
