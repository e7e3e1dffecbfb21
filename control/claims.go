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

// claims stores claims on idempotency keys in this daemon and in the daemons of the
// hall that rank highest for the key, so that a repeated request at any daemon finds
// the claim, also after one of them was lost.
type claims struct {
	table      *claimTable
	peers      tw.Peers
	self       tw.DaemonID
	candidates func() []tw.Member // daemons of the hall that may store claims, including this one
	metrics    *metrics.Set
}

// claimResponse is a peer's response to a claim.
type claimResponse struct {
	claim tw.Claim
	err   error
}

const (
	// claimReplicas is the number of daemons that store a claim, besides the sender.
	claimReplicas = 3
	// claimQuorum is the number of daemons, including the sender, that must have
	// stored a claim before the request is sent. If fewer are running in the hall,
	// all of them must have.
	claimQuorum = 2
)

var _ tw.Claims = (*claims)(nil)

// Claim implements tw.Claims.
func (c *claims) Claim(ctx context.Context, scope, body string) (tw.Claim, tw.ClaimResult) {
	claim := tw.Claim{Scope: scope, Body: body, Holder: c.self, Nonce: rand.Text(), State: tw.ClaimPending}
	if existing := c.table.put(claim); existing != claim {
		c.count("standing")
		return claim, tw.ClaimResult{Existing: existing}
	}
	hall := c.candidates()
	stored, gone := 1, 0
	responses := c.sendClaim(ctx, c.replicas(scope, hall), claim)
	for response := range responses {
		switch {
		case errors.Is(response.err, tw.ErrNotListening):
			gone++ // its claims were lost with its process
		case response.err != nil:
		case response.claim == claim:
			stored++
		case response.claim.Holder != "":
			c.count("standing")
			c.release(claim, responses, hall)
			return claim, tw.ClaimResult{Existing: response.claim}
		}
	}
	if stored < min(claimQuorum, len(hall)-gone) {
		c.count("unavailable")
		c.release(claim, responses, hall)
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

// propagate stores the final state of a claim here and at its replicas. Those that
// it does not reach keep the claim as pending, which is safe.
func (c *claims) propagate(claim tw.Claim, state tw.ClaimState, hall []tw.Member) {
	claim.State = state
	c.table.put(claim)
	// Runs in the background until the calls return or time out.
	c.sendClaim(context.Background(), c.replicas(claim.Scope, hall), claim)
}

// release removes a claim: here at once, and at its replicas once all have answered,
// as a release that arrives before the claim itself would leave the claim stored
// there.
func (c *claims) release(claim tw.Claim, responses <-chan claimResponse, hall []tw.Member) {
	claim.State = tw.ClaimReleased
	c.table.put(claim)
	go func() {
		for range responses { // wait for all; the content does not matter
		}
		c.propagate(claim, tw.ClaimReleased, hall)
	}()
}

// sendClaim sends a claim to peers concurrently. The channel gets their responses
// and is closed after the last one.
func (c *claims) sendClaim(ctx context.Context, peers []tw.Member, claim tw.Claim) <-chan claimResponse {
	out := make(chan claimResponse, len(peers))
	var wg sync.WaitGroup
	for _, m := range peers {
		wg.Go(func() {
			existing, err := c.peers.Claim(ctx, m.Address, claim)
			out <- claimResponse{claim: existing, err: err}
		})
	}
	go func() {
		wg.Wait()
		close(out)
	}()
	return out
}

// replicas returns the daemons, without this one, that store the claims for a key.
// They are chosen by rendezvous hashing (highest random weight), so that daemons
// with nearly the same view of the hall choose nearly the same ones.
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
