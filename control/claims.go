package control

import (
	"cmp"
	"context"
	"crypto/rand"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/spread"
)

// claims keeps idempotency keys: with this daemon, and with those of the hall
// that rank highest for the key, so that a repeat at any of them, also after
// the loss of one, finds the claim.
type claims struct {
	table   *claimTable
	peers   tw.Peers
	self    tw.DaemonID
	hall    func() []tw.Member // live daemons of the hall, self included
	metrics *metrics.Set
}

const (
	// claimHolders is how many daemons keep a claim, besides the sender.
	claimHolders = 3
	// claimQuorum is how many must have it before the request is sent, unless
	// the hall has fewer daemons.
	claimQuorum = 2
)

var _ tw.Claims = (*claims)(nil)

func newClaims(self tw.DaemonID, peers tw.Peers, hall func() []tw.Member, table *claimTable) *claims {
	return &claims{table: table, peers: peers, self: self, hall: hall, metrics: metrics.NewSet()}
}

// Claim implements tw.Claims.
func (c *claims) Claim(ctx context.Context, scope, body string) (tw.Claim, tw.ClaimResult) {
	claim := tw.Claim{Scope: scope, Body: body, Holder: c.self, Nonce: rand.Text(), State: tw.ClaimPending}
	if standing := c.table.put(claim); standing != claim {
		c.count("standing")
		return claim, tw.ClaimResult{Standing: standing}
	}
	hall := c.hall()
	kept := 1
	for answer := range c.ask(ctx, c.holders(scope, hall), claim) {
		switch {
		case answer == claim:
			kept++
		case answer.Holder != "":
			c.count("standing")
			c.release(claim, hall)
			return claim, tw.ClaimResult{Standing: answer}
		}
	}
	if kept < min(claimQuorum, len(hall)) {
		c.count("unavailable")
		c.release(claim, hall)
		return claim, tw.ClaimResult{}
	}
	c.count("granted")
	return claim, tw.ClaimResult{Granted: true}
}

// Settle implements tw.Claims. The daemons that miss it keep the claim as
// pending, which is the safe side.
func (c *claims) Settle(claim tw.Claim, state tw.ClaimState) {
	if state == tw.ClaimPending {
		return
	}
	claim.State = state
	c.table.put(claim)
	go func() {
		for range c.ask(context.Background(), c.holders(claim.Scope, c.hall()), claim) {
		}
	}()
}

func (c *claims) release(claim tw.Claim, hall []tw.Member) {
	claim.State = tw.ClaimReleased
	c.table.put(claim)
	go func() {
		for range c.ask(context.Background(), c.holders(claim.Scope, hall), claim) {
		}
	}()
}

// ask sends a claim to peers at the same time, and yields what they answer.
// One that does not answer yields an empty claim.
func (c *claims) ask(ctx context.Context, peers []tw.Member, claim tw.Claim) <-chan tw.Claim {
	out := make(chan tw.Claim, len(peers))
	for _, m := range peers {
		go func() {
			answer, err := c.peers.Claim(ctx, m.Address, claim)
			if err != nil {
				answer = tw.Claim{}
			}
			out <- answer
		}()
	}
	return collect(out, len(peers))
}

// collect passes n answers on and closes.
func collect(in <-chan tw.Claim, n int) <-chan tw.Claim {
	out := make(chan tw.Claim, n)
	go func() {
		defer close(out)
		for range n {
			out <- <-in
		}
	}()
	return out
}

// holders ranks the hall's daemons for a key (highest random weight), this
// one left out. Daemons that see nearly the same hall ask nearly the same
// peers.
func (c *claims) holders(scope string, hall []tw.Member) []tw.Member {
	others := slices.DeleteFunc(slices.Clone(hall), func(m tw.Member) bool { return m.ID == c.self })
	slices.SortFunc(others, func(a, b tw.Member) int {
		return cmp.Compare(spread.Hash(scope, string(b.ID)), spread.Hash(scope, string(a.ID)))
	})
	return others[:min(len(others), claimHolders)]
}

func (c *claims) count(result string) {
	c.metrics.GetOrCreateCounter(`tamarind_claims_total{result="` + result + `"}`).Inc()
}
