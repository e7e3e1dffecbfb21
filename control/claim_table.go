package control

import (
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// claimTable holds claims on idempotency keys for a while.
	claimTable struct {
		clock tw.Clock
		keep  time.Duration
		limit int

		mu     sync.Mutex
		claims map[string]heldClaim
		line   []expiry // in the order of expiry
	}

	heldClaim struct {
		tw.Claim
		until time.Time
	}

	expiry struct {
		scope string
		until time.Time
	}
)

func newClaimTable(clock tw.Clock, keep time.Duration, limit int) *claimTable {
	return &claimTable{clock: clock, keep: keep, limit: limit, claims: map[string]heldClaim{}}
}

// put records a claim and returns the one that stands: the same, or another
// one that was first. A full table takes no new claim and returns an empty
// one: nothing is run that would not be remembered.
func (t *claimTable) put(c tw.Claim) tw.Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.expire(now)
	standing, ok := t.claims[c.Scope]
	own := ok && standing.Holder == c.Holder && standing.Nonce == c.Nonce
	switch {
	case c.State == tw.ClaimReleased:
		if own {
			delete(t.claims, c.Scope)
		}
		return c
	case ok && !own:
		return standing.Claim
	case !ok && len(t.claims) >= t.limit:
		return tw.Claim{}
	}
	until := now.Add(t.keep)
	t.claims[c.Scope] = heldClaim{Claim: c, until: until}
	t.line = append(t.line, expiry{scope: c.Scope, until: until})
	return c
}

// expire drops what is too old. A scope may stand in the line several times;
// only the newest counts.
func (t *claimTable) expire(now time.Time) {
	for len(t.line) > 0 && !now.Before(t.line[0].until) {
		scope := t.line[0].scope
		if held, ok := t.claims[scope]; ok && !now.Before(held.until) {
			delete(t.claims, scope)
		}
		t.line = t.line[1:]
	}
}
