package member

import (
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// What few daemons learn of the owners by pinging them reaches all others with the pings
// between daemons: who owns which pool, and which owner doesn't answer. Each daemon pings a
// bounded number of others, so that news takes a number of rounds that grows with the
// logarithm of the number of daemons. A ping carries at most a line for each pool.

// Suspicion says that the owner at an address has left a ping without an answer.
type Suspicion struct {
	Address string `json:"address"`
	// Age is the time since the last such ping, wherever it came from.
	Age time.Duration `json:"age"`
}

// suspicionTTL is how old a doubt may be to count: longer than it takes for news to reach all,
// and than the time between two pings without an answer.
const suspicionTTL = 1500 * time.Millisecond

// HandlePing takes up what a ping tells, and returns what this daemon knows: the owners that it
// doubts, and all ownerships if the asker knows others.
func (m *Members) HandlePing(ping *PingRequest) ([]Suspicion, []ledger.Owner) {
	now := m.config.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeSuspicions(ping.Suspicions, now)
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

// ownersDigest differs between daemons that know different ownerships.
func (m *Members) ownersDigest() uint64 {
	digest := uint64(0)
	for pool, o := range m.owners {
		digest += fnv1a(fnvOffset, string(pool)) * (2*uint64(o.Fence) + 1)
	}
	return digest
}

// suspectedOwners are the owners that don't answer, as far as this daemon knows.
func (m *Members) suspectedOwners(now time.Time) []Suspicion {
	var out []Suspicion
	for _, o := range m.owners {
		at := m.suspectedAt(o.Address)
		if now.Sub(at) >= suspicionTTL || slices.ContainsFunc(out, func(d Suspicion) bool { return d.Address == o.Address }) {
			continue
		}
		out = append(out, Suspicion{Address: o.Address, Age: now.Sub(at)})
	}
	return out
}

// suspectedAt is when the daemon at an address last left a ping without an answer, its own word
// before that of others; zero if nothing speaks against it.
func (m *Members) suspectedAt(address string) time.Time {
	c := m.pingStates[address]
	if c == nil {
		return m.suspicions[address]
	}
	if c.failingSince.IsZero() {
		return time.Time{}
	}
	return c.lastFailure
}

func (m *Members) mergeSuspicions(doubts []Suspicion, now time.Time) {
	if m.suspicions == nil {
		m.suspicions = map[string]time.Time{}
	}
	for address, at := range m.suspicions {
		if now.Sub(at) >= suspicionTTL {
			delete(m.suspicions, address)
		}
	}
	for _, d := range doubts {
		at := now.Add(-d.Age)
		if d.Age < suspicionTTL && at.After(m.suspicions[d.Address]) && m.ownsAnyPool(d.Address) {
			m.suspicions[d.Address] = at
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

// unresponsive tells whether the daemon at an address has left the last ping without an answer, by
// the word of this daemon or of others.
func (m *Members) unresponsive(address string, now time.Time) bool {
	return now.Sub(m.suspectedAt(address)) < suspicionTTL
}

// pingsOwner tells whether this daemon is one of those that ping the owner of a pool: as many
// as ownerWatchers, those that would take it over first.
func (m *Members) pingsOwner(pool tw.PoolID) bool {
	if watches, known := m.pingedPools[pool]; known {
		return watches
	}
	self := m.config.Self
	before := 0
	for id, l := range m.live {
		if id != self.Daemon && compareByCapacity(pool, l, self) < 0 {
			before++
		}
	}
	if m.pingedPools == nil {
		m.pingedPools = map[tw.PoolID]bool{}
	}
	m.pingedPools[pool] = before < pingersPerOwner
	return m.pingedPools[pool]
}
