package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// peer is a daemon that relays orders.
	peer struct {
		address string

		mu sync.Mutex
		// sentSpecs holds the submissions whose spec was sent to the relay, without texts.
		sentSpecs *specCache
		// inFlight is the number of orders in flight.
		inFlight int
		// backoffUntil is the time until which the relay gets no orders.
		backoffUntil time.Time
	}

	// peerState is what shares needs to know of a relay.
	peerState struct {
		inFlight int
		usable   bool
	}

	// share is a number of orders for the relay with an index.
	share struct{ relay, count int }
)

const (
	// A relay with its preferred number of orders in flight gets more only if no other relay
	// has fewer than that. While the link is saturated the number is so low that a relay with
	// an equally slow link keeps up. While processor time is short the batches are as large
	// as a small daemon can send in a few milliseconds.
	preferredInFlightLink = 8
	preferredInFlightCPU  = 32
	// maxInFlight is the number of orders in flight beyond which a relay never gets more.
	maxInFlight = 64
)

// shares distributes orders among relays, which are listed in order of preference: as few relays
// as possible get up to perRelay each, then all of them up to maxInFlight. Orders may be left over.
func shares(orders, perRelay int, relays []peerState) []share {
	added := make([]int, len(relays))
	for _, limit := range []int{perRelay, maxInFlight} {
		for n, r := range relays {
			if r.usable {
				count := max(0, min(orders, limit-r.inFlight-added[n]))
				added[n] += count
				orders -= count
			}
		}
	}
	var out []share
	for n, count := range added {
		if count > 0 {
			out = append(out, share{relay: n, count: count})
		}
	}
	return out
}

// states returns the states of relays.
func states(peers []*peer, now time.Time) []peerState {
	out := make([]peerState, len(peers))
	for n, p := range peers {
		p.mu.Lock()
		out[n] = peerState{inFlight: p.inFlight, usable: now.After(p.backoffUntil)}
		p.mu.Unlock()
	}
	return out
}

// leastBusyFirst sorts relays by their orders in flight; equally busy ones keep their order.
func leastBusyFirst(peers []*peer) {
	inFlight := map[*peer]int{}
	for _, p := range peers {
		p.mu.Lock()
		inFlight[p] = p.inFlight
		p.mu.Unlock()
	}
	slices.SortStableFunc(peers, func(a, b *peer) int { return cmp.Compare(inFlight[a], inFlight[b]) })
}

// take prepares orders for the relay and counts them as in flight. It omits specs that the relay has.
func (p *peer) take(pending []*pendingOrder) []tw.RelayedStart {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight += len(pending)
	batch := make([]tw.RelayedStart, len(pending))
	for n, order := range pending {
		order.via = p
		if id := order.start.Order.Subtask.Submission; p.sentSpecs.has(id) {
			order.start.Order.Spec, order.start.SpecCached = "", true
		} else {
			p.sentSpecs.add(id, "")
		}
		batch[n] = order.start
	}
	return batch
}

// ended counts orders that are no longer in flight.
func (p *peer) ended(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight -= count
}

// forgetSpec has the next order of a submission carry its spec again.
func (p *peer) forgetSpec(id tw.SubmissionID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentSpecs.remove(id)
}

// avoidUntil gives the relay no orders until a time. It may have restarted then, without specs.
func (p *peer) avoidUntil(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffUntil = until
	p.sentSpecs.clear()
}
