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
		ttl   time.Duration
		limit int

		mu       sync.Mutex
		claims   map[string]storedClaim
		expiries []expiry // in the order of expiry
	}

	storedClaim struct {
		tw.Claim
		expiresAt time.Time
	}

	expiry struct {
		scope string
		at    time.Time
	}
)

func newClaimTable(clock tw.Clock, keep time.Duration, limit int) *claimTable {
	return &claimTable{clock: clock, ttl: keep, limit: limit, claims: map[string]storedClaim{}}
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
	until := now.Add(t.ttl)
	t.claims[c.Scope] = storedClaim{Claim: c, expiresAt: until}
	t.expiries = append(t.expiries, expiry{scope: c.Scope, at: until})
	return c
}

// expire drops what is too old. A scope may stand in the line several times;
// only the newest counts.
func (t *claimTable) expire(now time.Time) {
	for len(t.expiries) > 0 && !now.Before(t.expiries[0].at) {
		scope := t.expiries[0].scope
		if held, ok := t.claims[scope]; ok && !now.Before(held.expiresAt) {
			delete(t.claims, scope)
		}
		t.expiries = t.expiries[1:]
	}
}
