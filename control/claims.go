package control

import (
	"cmp"
	"context"
	"crypto/rand"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/spread"
)

// claims keeps idempotency keys: with this daemon, and with those of the hall
// that rank highest for the key, so that a repeat at any of them, also after
// the loss of one, finds the claim.
type claims struct {
	table      *claimTable
	peers      tw.Peers
	self       tw.DaemonID
	candidates func() []tw.Member // daemons of the hall that may hold claims, self included
	metrics    *metrics.Set
}

// claimResponse is what a peer says to a claim.
type claimResponse struct {
	claim tw.Claim
	err   error
}

const (
	// claimReplicas is how many daemons keep a claim, besides the sender.
	claimReplicas = 3
	// claimQuorum is how many must have it before the request is sent, unless
	// the hall has fewer daemons.
	claimQuorum = 2
)

var _ tw.Claims = (*claims)(nil)

// Claim implements tw.Claims.
func (c *claims) Claim(ctx context.Context, scope, body string) (tw.Claim, tw.ClaimResult) {
	claim := tw.Claim{Scope: scope, Body: body, Holder: c.self, Nonce: rand.Text(), State: tw.ClaimPending}
	if standing := c.table.put(claim); standing != claim {
		c.count("standing")
		return claim, tw.ClaimResult{Existing: standing}
	}
	hall := c.candidates()
	kept, gone := 1, 0
	answers := c.sendClaim(ctx, c.replicas(scope, hall), claim)
	for answer := range answers {
		switch {
		case errors.Is(answer.err, tw.ErrNotListening):
			gone++ // and what it held is gone with it
		case answer.err != nil:
		case answer.claim == claim:
			kept++
		case answer.claim.Holder != "":
			c.count("standing")
			c.release(claim, answers, hall)
			return claim, tw.ClaimResult{Existing: answer.claim}
		}
	}
	if kept < min(claimQuorum, len(hall)-gone) {
		c.count("unavailable")
		c.release(claim, answers, hall)
		return claim, tw.ClaimResult{}
	}
	c.count("granted")
	return claim, tw.ClaimResult{Granted: true}
}

// Settle implements tw.Claims.
func (c *claims) Settle(claim tw.Claim, state tw.ClaimState) {
	if state != tw.ClaimPending {
		c.propagate(claim, state, c.candidates())
	}
}

// propagate records how a claim ended, here and with its holders. Those that miss it
// keep the claim as pending, which is the safe side.
func (c *claims) propagate(claim tw.Claim, state tw.ClaimState, hall []tw.Member) {
	claim.State = state
	c.table.put(claim)
	// Nobody waits for this: it ends with the timeout of the calls.
	c.sendClaim(context.Background(), c.replicas(claim.Scope, hall), claim)
}

// release releases a claim: here at once, and with its holders when all have
// answered, as a release that overtakes the claim leaves it standing there.
func (c *claims) release(claim tw.Claim, answers <-chan claimResponse, hall []tw.Member) {
	claim.State = tw.ClaimReleased
	c.table.put(claim)
	go func() {
		for range answers { // whatever they say
		}
		c.propagate(claim, tw.ClaimReleased, hall)
	}()
}

// sendClaim sends a claim to peers at the same time, and yields what they answer.
func (c *claims) sendClaim(ctx context.Context, peers []tw.Member, claim tw.Claim) <-chan claimResponse {
	out := make(chan claimResponse, len(peers))
	var asked sync.WaitGroup
	for _, m := range peers {
		asked.Go(func() {
			standing, err := c.peers.Claim(ctx, m.Address, claim)
			out <- claimResponse{claim: standing, err: err}
		})
	}
	go func() {
		asked.Wait()
		close(out)
	}()
	return out
}

// replicas ranks the hall's daemons for a key (highest random weight), this
// one left out. Daemons that see nearly the same hall ask nearly the same
// peers.
func (c *claims) replicas(scope string, hall []tw.Member) []tw.Member {
	others := slices.DeleteFunc(slices.Clone(hall), func(m tw.Member) bool { return m.ID == c.self })
	slices.SortFunc(others, func(a, b tw.Member) int {
		return cmp.Compare(spread.Hash(scope, string(b.ID)), spread.Hash(scope, string(a.ID)))
	})
	return others[:min(len(others), claimReplicas)]
}

func (c *claims) count(result string) {
	c.metrics.GetOrCreateCounter(`tamarind_claims_total{result="` + result + `"}`).Inc()
}
