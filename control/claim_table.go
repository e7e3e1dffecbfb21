package control

import (
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// claimTable stores claims on idempotency keys until they expire.
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

func newClaimTable(clock tw.Clock, ttl time.Duration, limit int) *claimTable {
	return &claimTable{clock: clock, ttl: ttl, limit: limit, claims: map[string]storedClaim{}}
}

// put stores a claim and returns the one in effect: the same, or an earlier one. A
// full table stores no new claim and returns an empty one, so that no request runs
// whose claim is not stored.
func (t *claimTable) put(c tw.Claim) tw.Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.expire(now)
	existing, ok := t.claims[c.Scope]
	same := ok && existing.Holder == c.Holder && existing.Nonce == c.Nonce
	switch {
	case c.State == tw.ClaimReleased:
		if same {
			delete(t.claims, c.Scope)
		}
		return c
	case ok && !same:
		return existing.Claim
	case !ok && len(t.claims) >= t.limit:
		return tw.Claim{}
	}
	expiresAt := now.Add(t.ttl)
	t.claims[c.Scope] = storedClaim{Claim: c, expiresAt: expiresAt}
	t.expiries = append(t.expiries, expiry{scope: c.Scope, at: expiresAt})
	return c
}

// expire removes claims past their expiry. A scope may be queued several times;
// only its latest expiry counts.
func (t *claimTable) expire(now time.Time) {
	for len(t.expiries) > 0 && !now.Before(t.expiries[0].at) {
		scope := t.expiries[0].scope
		if stored, ok := t.claims[scope]; ok && !now.Before(stored.expiresAt) {
			delete(t.claims, scope)
		}
		t.expiries = t.expiries[1:]
	}
}
