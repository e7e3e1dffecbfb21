package member

import (
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// Only a few daemons ping each pool owner. What they learn, the current owners and the owners
// that do not answer, spreads to all daemons by gossip in the pings. Each daemon pings a bounded
// number of others, so that the number of ping rounds until all daemons know it grows with the
// logarithm of the number of daemons. Each list in a ping or its response has at most one entry per
// pool.

// Suspicion reports that the pool owner at an address did not answer a ping.
type Suspicion struct {
	Address string `json:"address"`
	// Age is the time since the last unanswered ping, by any daemon.
	Age time.Duration `json:"age"`
}

// suspicionTTL is the age at which a suspicion expires. It is longer than gossip takes to reach all
// daemons, and longer than the interval between two unanswered pings.
const suspicionTTL = 1500 * time.Millisecond

// HandlePing merges the suspicions of a ping, and records what the sender knows of evacuated halls.
// It returns the owners that this daemon suspects, and all owners that it knows if the sender's
// digest of them differs.
func (m *Members) HandlePing(ping *PingRequest) ([]Suspicion, []ledger.Owner) {
	now := m.config.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeSuspicions(ping.Suspicions, now)
	m.noteEvacuations(ping.From, ping.Evacuations, now)
	if ping.OwnersDigest == m.ownersDigest() {
		return m.suspectedOwners(now), nil
	}
	return m.suspectedOwners(now), m.knownOwners()
}

func (m *Members) knownOwners() []ledger.Owner {
	out := make([]ledger.Owner, 0, len(m.owners))
	for _, o := range m.owners {
		out = append(out, o)
	}
	return out
}

// ownersDigest is a digest of the known pool owners and their fencing tokens.
func (m *Members) ownersDigest() uint64 {
	digest := uint64(0)
	for pool, o := range m.owners {
		digest += fnv1a(fnvOffset, string(pool)) * (2*uint64(o.Fence) + 1)
	}
	return digest
}

// suspectedOwners lists the owners that this daemon suspects, with the age of the suspicion.
func (m *Members) suspectedOwners(now time.Time) []Suspicion {
	var out []Suspicion
	for _, o := range m.owners {
		at := m.suspectedAt(o.Address)
		if now.Sub(at) >= suspicionTTL || slices.ContainsFunc(out, func(s Suspicion) bool { return s.Address == o.Address }) {
			continue
		}
		out = append(out, Suspicion{Address: o.Address, Age: now.Sub(at)})
	}
	return out
}

// suspectedAt returns the time of the last unanswered ping to an address, or zero if it is not
// suspected. This daemon's own pings take precedence over gossip.
func (m *Members) suspectedAt(address string) time.Time {
	state := m.pingStates[address]
	if state == nil {
		return m.suspicions[address]
	}
	if state.failingSince.IsZero() {
		return time.Time{}
	}
	return state.lastFailure
}

func (m *Members) mergeSuspicions(suspicions []Suspicion, now time.Time) {
	if m.suspicions == nil {
		m.suspicions = map[string]time.Time{}
	}
	for address, at := range m.suspicions {
		if now.Sub(at) >= suspicionTTL {
			delete(m.suspicions, address)
		}
	}
	for _, s := range suspicions {
		at := now.Add(-s.Age)
		if s.Age < suspicionTTL && at.After(m.suspicions[s.Address]) && m.ownsAnyPool(s.Address) {
			m.suspicions[s.Address] = at
		}
	}
}

func (m *Members) ownsAnyPool(address string) bool {
	for _, o := range m.owners {
		if o.Address == address {
			return true
		}
	}
	return false
}

// unresponsive reports whether the daemon at an address did not answer the last ping, according to
// this daemon or to gossip.
func (m *Members) unresponsive(address string, now time.Time) bool {
	return now.Sub(m.suspectedAt(address)) < suspicionTTL
}

// pingsOwner reports whether this daemon pings the owner of a pool. The first pingersPerOwner
// daemons in the order of compareByCapacity do.
func (m *Members) pingsOwner(pool tw.PoolID) bool {
	if cached, known := m.pingedPools[pool]; known {
		return cached
	}
	self := m.config.Self
	before := 0
	for id, record := range m.live {
		if id != self.Daemon && compareByCapacity(pool, record, self) < 0 {
			before++
		}
	}
	if m.pingedPools == nil {
		m.pingedPools = map[tw.PoolID]bool{}
	}
	m.pingedPools[pool] = before < pingersPerOwner
	return m.pingedPools[pool]
}
