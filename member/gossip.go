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

// Doubt says that the owner at an address has left a ping without an answer.
type Doubt struct {
	Address string `json:"address"`
	// Age is the time since the last such ping, wherever it came from.
	Age time.Duration `json:"age"`
}

// doubtKept is how old a doubt may be to count: longer than it takes for news to reach all,
// and than the time between two pings without an answer.
const doubtKept = 1500 * time.Millisecond

// AnswerPing takes up what a ping tells, and returns what this daemon knows: the owners that it
// doubts, and all ownerships if the asker knows others.
func (m *Members) AnswerPing(ping *PingRequest) ([]Doubt, []ledger.Owner) {
	now := m.config.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hearDoubts(ping.Doubts, now)
	if ping.Owners == m.ownersDigest() {
		return m.doubted(now), nil
	}
	return m.doubted(now), m.knownOwners()
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

// doubted are the owners that don't answer, as far as this daemon knows.
func (m *Members) doubted(now time.Time) []Doubt {
	var out []Doubt
	for _, o := range m.owners {
		at := m.doubtedAt(o.Address)
		if now.Sub(at) >= doubtKept || slices.ContainsFunc(out, func(d Doubt) bool { return d.Address == o.Address }) {
			continue
		}
		out = append(out, Doubt{Address: o.Address, Age: now.Sub(at)})
	}
	return out
}

// doubtedAt is when the daemon at an address last left a ping without an answer, its own word
// before that of others; zero if nothing speaks against it.
func (m *Members) doubtedAt(address string) time.Time {
	c := m.contacts[address]
	if c == nil {
		return m.doubts[address]
	}
	if c.silentFrom.IsZero() {
		return time.Time{}
	}
	return c.failed
}

func (m *Members) hearDoubts(doubts []Doubt, now time.Time) {
	if m.doubts == nil {
		m.doubts = map[string]time.Time{}
	}
	for address, at := range m.doubts {
		if now.Sub(at) >= doubtKept {
			delete(m.doubts, address)
		}
	}
	for _, d := range doubts {
		at := now.Add(-d.Age)
		if d.Age < doubtKept && at.After(m.doubts[d.Address]) && m.ownsSomething(d.Address) {
			m.doubts[d.Address] = at
		}
	}
}

func (m *Members) ownsSomething(address string) bool {
	for _, o := range m.owners {
		if o.Address == address {
			return true
		}
	}
	return false
}

// silent tells whether the daemon at an address has left the last ping without an answer, by
// the word of this daemon or of others.
func (m *Members) silent(address string, now time.Time) bool {
	return now.Sub(m.doubtedAt(address)) < doubtKept
}

// watchesOwner tells whether this daemon is one of those that ping the owner of a pool: as many
// as ownerWatchers, those that would take it over first.
func (m *Members) watchesOwner(pool tw.PoolID) bool {
	if watches, known := m.watched[pool]; known {
		return watches
	}
	self := m.config.Self
	before := 0
	for id, l := range m.live {
		if id != self.Daemon && compareCapable(pool, l, self) < 0 {
			before++
		}
	}
	if m.watched == nil {
		m.watched = map[tw.PoolID]bool{}
	}
	m.watched[pool] = before < ownerWatchers
	return m.watched[pool]
}
