package member

import (
	"cmp"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// takeover is a pool that this daemon should take over.
	takeover struct {
		pool   tw.PoolID
		reason string
	}

	// handover is a request to another daemon to take over a pool of this one.
	handover struct {
		to tw.DaemonID
		at time.Time
	}
)

const (
	// refreshingCandidates is the number of candidates for the pool of an owner that does not answer that
	// read the records again, recordRefreshInterval the least time between two such reads. An owner that is
	// cut off from these daemons alone keeps its record, and the reads go on meanwhile.
	refreshingCandidates  = 2
	recordRefreshInterval = 2 * time.Second
)

// handoverMemory is how long a pool counts for the daemon that was asked to take it over. It is above
// the time that most takeovers take; a pool that is still here then counts as this daemon's again.
const handoverMemory = 2 * time.Second

// takeoversDue lists the pools that this daemon should take over now: those without a
// live owner for which it is the first candidate, or whose higher-ranked
// candidates have not taken them in time.
func (m *Members) takeoversDue(now time.Time) []takeover {
	answeringSince := m.watcher.AnsweringSince()
	if answeringSince.IsZero() {
		return nil
	}
	owned := m.config.OwnedPools()
	m.mu.Lock()
	defer m.mu.Unlock()
	poolCounts := m.poolCounts()
	var out []takeover
	pools := m.config.Pools()
	slices.Sort(pools)
	for _, pool := range pools {
		if slices.Contains(owned, pool) {
			continue
		}
		reason := m.orphanReason(pool, now, answeringSince)
		if reason == "" {
			delete(m.orphanedAt, pool)
			continue
		}
		if m.orphanedAt[pool].IsZero() {
			m.orphanedAt[pool] = now
		}
		candidates := m.candidates(pool, poolCounts, now)
		if len(candidates) > 0 {
			poolCounts[candidates[0]]++
		}
		rank := slices.Index(candidates, m.config.Self.Daemon)
		if rank < 0 || !m.isTurn(pool, rank, now) || now.Sub(m.poolLostAt[pool]) < retakeDelay {
			continue
		}
		out = append(out, takeover{pool: pool, reason: reason})
	}
	return out
}

// isTurn reports whether this daemon, the candidate with the given rank, should
// take over a pool without a live owner now. A daemon immediately retakes a pool that
// its former process owned, even before it knows the other daemons, because these
// do not consider the pool lost until they have detected the loss of that process.
// After a restart of all daemons, each therefore regains its pools without a storm
// of takeovers, and sooner than by rank.
func (m *Members) isTurn(pool tw.PoolID, rank int, now time.Time) bool {
	owner := m.owners[pool]
	if owner.Daemon == m.config.Self.Daemon {
		return true
	}
	if record, present := m.live[owner.Daemon]; present && record.Incarnation != owner.Incarnation {
		rank++ // the restarted owner goes first
	}
	return !m.inStartupGrace(now) && now.Sub(m.orphanedAt[pool]) >= time.Duration(rank)*candidateDelay
}

// inStartupGrace reports whether other daemons may still be announcing themselves.
func (m *Members) inStartupGrace(now time.Time) bool { return now.Sub(m.started) < startupGrace }

// orphanReason returns the reason why a pool has no live owner, or "" if it has one.
func (m *Members) orphanReason(pool tw.PoolID, now, answeringSince time.Time) string {
	o, found := m.owners[pool]
	if !found {
		return "it has no owner"
	}
	if o.Daemon == m.config.Self.Daemon {
		return "a former process of this daemon owned it"
	}
	live, present := m.live[o.Daemon]
	if present && live.Incarnation != o.Incarnation {
		return "its owner has restarted"
	}
	state := m.pingStates[o.Address]
	if state == nil {
		return ""
	}
	if state.refusedInRow >= refusalsUntilDown {
		return "its owner's process is gone"
	}
	if !present && now.Sub(answeringSince) > recordMissingTimeout && !state.failingSince.IsZero() && now.Sub(state.quietSince) > recordMissingTimeout {
		return "its owner does not answer and its record is gone"
	}
	return ""
}

// checkSilentOwners has the records read again if an owner does not answer whose record this daemon still
// has, and this daemon is one of those that would take its pool: the watch may have become silent before
// it told that the record is gone.
func (m *Members) checkSilentOwners(now time.Time) {
	if now.Sub(m.refreshedAt) < recordRefreshInterval || !m.candidateForSilentOwner(now) {
		return
	}
	m.refreshedAt = now
	m.watcher.Refresh()
}

// candidateForSilentOwner reports whether this daemon is among the first candidates for a pool whose owner
// does not answer and still has a record.
func (m *Members) candidateForSilentOwner(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for pool, o := range m.owners {
		state := m.pingStates[o.Address]
		if record, present := m.live[o.Daemon]; !present || record.Incarnation != o.Incarnation || state == nil {
			continue
		}
		if state.failingSince.IsZero() || now.Sub(state.quietSince) <= recordMissingTimeout {
			continue
		}
		rank := slices.Index(m.candidates(pool, m.poolCounts(), now), m.config.Self.Daemon)
		if 0 <= rank && rank < refreshingCandidates {
			return true
		}
	}
	return false
}

// poolCounts counts the pools of each live daemon. A pool of this daemon that another one was asked to
// take over a moment ago counts as that one's.
func (m *Members) poolCounts() map[tw.DaemonID]int {
	now := m.config.Clock.Now()
	poolCounts := map[tw.DaemonID]int{}
	for pool, o := range m.owners {
		daemon := o.Daemon
		if asked, found := m.handovers[pool]; found && daemon == m.config.Self.Daemon && now.Sub(asked.at) < handoverMemory {
			daemon = asked.to
		} else if record, present := m.live[daemon]; !present || record.Incarnation != o.Incarnation {
			continue
		}
		poolCounts[daemon]++
	}
	return poolCounts
}

// candidates lists the daemons that may take over a pool, the most suitable
// first: those with the fewest pools per processor core, with ties broken in an
// order that differs by pool. All daemons with the same view of the members
// compute the same list.
func (m *Members) candidates(pool tw.PoolID, poolCounts map[tw.DaemonID]int, now time.Time) []tw.DaemonID {
	var out []tw.DaemonID
	for id, record := range m.live {
		if id != m.config.Self.Daemon && m.unresponsiveCandidate(record.Address, now) {
			continue
		}
		if id == m.owners[pool].Daemon && id != m.config.Self.Daemon && record.Incarnation == m.owners[pool].Incarnation {
			continue
		}
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b tw.DaemonID) int { return m.compareByLoad(pool, a, b, poolCounts) })
	return out
}

// unresponsiveCandidate reports whether a daemon is excluded as a candidate because it does not
// answer pings.
func (m *Members) unresponsiveCandidate(address string, now time.Time) bool {
	state := m.pingStates[address]
	if state == nil {
		return m.unresponsive(address, now)
	}
	return !state.failingSince.IsZero() && now.Sub(state.quietSince) > pingTimeout
}

// compareByCapacity orders daemons as candidates for a pool by their number of cores, regardless
// of the pools that they own.
func compareByCapacity(pool tw.PoolID, a, b DaemonRecord) int {
	return cmp.Or(
		cmp.Compare(b.Cores, a.Cores),
		cmp.Compare(hashPair(string(pool), a.Daemon), hashPair(string(pool), b.Daemon)),
		cmp.Compare(a.Daemon, b.Daemon),
	)
}

// loadWith returns the number of pools per core that a daemon would have with one
// more pool.
func (m *Members) loadWith(id tw.DaemonID, poolCounts map[tw.DaemonID]int) float64 {
	cores := float64(m.lastKnown[id].Cores)
	if cores <= 0 {
		cores = 1
	}
	return float64(poolCounts[id]+1) / cores
}

// Successors lists the daemons to which this one should hand over a pool, the
// most suitable first.
func (m *Members) Successors(pool tw.PoolID) []DaemonRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.handovers, pool)
	now := m.config.Clock.Now()
	var out []DaemonRecord
	for _, id := range m.candidates(pool, m.poolCounts(), now) {
		if id != m.config.Self.Daemon {
			out = append(out, m.live[id])
		}
	}
	if len(out) > 0 {
		m.handovers[pool] = handover{to: out[0].Daemon, at: now}
	}
	return out
}

// ReachableSuccessor returns a daemon that can take over a pool when this one does not
// reach the metadata store: one that answers pings and reports that it reaches
// the store. attempt is the number of earlier requests. Each request goes to
// another daemon, because the last one may have lost the store too without
// having noticed it. The result is false if there is none.
func (m *Members) ReachableSuccessor(pool tw.PoolID, attempt int) (DaemonRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.handovers, pool)
	successors := m.reachableSuccessors(pool)
	if len(successors) == 0 {
		return DaemonRecord{}, false
	}
	successor := successors[attempt%len(successors)]
	m.handovers[pool] = handover{to: successor.Daemon, at: m.config.Clock.Now()}
	return successor, true
}

// FasterSuccessor returns a daemon to which this one should hand over a pool, because it has at
// least handoverFactor times the cores and the cores per pool; false if there is none. Without such
// handovers, pools stayed on small daemons after a loss of the larger ones, and the small ones could
// send only a third of the starts.
func (m *Members) FasterSuccessor(pool tw.PoolID) (DaemonRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.lastKnown[m.config.Self.Daemon]
	poolCounts := m.poolCounts()
	poolCounts[self.Daemon]--
	ownLoad := m.loadWith(self.Daemon, poolCounts)
	for _, record := range m.reachableSuccessors(pool) {
		if record.Cores >= handoverFactor*self.Cores && handoverFactor*m.loadWith(record.Daemon, poolCounts) <= ownLoad {
			return record, true
		}
	}
	return DaemonRecord{}, false
}

// RelayCandidates lists the addresses of daemons in a data hall that can relay orders for this
// one. Those that own no pool come first, then those with more cores. The order of equal ones
// differs between the daemons that compute it.
func (m *Members) RelayCandidates(hall tw.HallID) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	poolCounts := m.poolCounts()
	var relays []DaemonRecord
	for id, record := range m.live {
		if record.Hall == hall && id != m.config.Self.Daemon {
			relays = append(relays, record)
		}
	}
	self := string(m.config.Self.Daemon)
	slices.SortFunc(relays, func(a, b DaemonRecord) int {
		return cmp.Or(
			cmp.Compare(min(poolCounts[a.Daemon], 1), min(poolCounts[b.Daemon], 1)),
			cmp.Compare(b.Cores, a.Cores),
			cmp.Compare(hashPair(self, a.Daemon), hashPair(self, b.Daemon)),
		)
	})
	relays = relays[:min(len(relays), maxRelayCandidates)]
	out := make([]string, len(relays))
	for n, record := range relays {
		out[n] = record.Address
	}
	return out
}

// maxRelayCandidates is the maximum number of daemons of a data hall that relay orders for one
// other daemon.
const maxRelayCandidates = 6

// handoverFactor is the minimum ratio of another daemon's cores, and of its cores per pool, to those
// of this one for a handover. A handover interrupts the pool's starts for some tenths of a second.
const handoverFactor = 2

// reachableSuccessors lists the daemons that answer pings and report that they reach the
// store, in the order of compareByLoad. Ties are broken differently for each pool, so that
// one daemon does not get all pools of another.
func (m *Members) reachableSuccessors(pool tw.PoolID) []DaemonRecord {
	var out []DaemonRecord
	for id, record := range m.lastKnown {
		state := m.pingStates[record.Address]
		if id != m.config.Self.Daemon && state != nil && state.failingSince.IsZero() && state.storeReachable {
			out = append(out, record)
		}
	}
	poolCounts := m.poolCounts()
	slices.SortFunc(out, func(a, b DaemonRecord) int { return m.compareByLoad(pool, a.Daemon, b.Daemon, poolCounts) })
	return out
}

// compareByLoad orders daemons as candidates for a pool by their number of pools per
// core. Ties are broken in an order that differs by pool.
func (m *Members) compareByLoad(pool tw.PoolID, a, b tw.DaemonID, poolCounts map[tw.DaemonID]int) int {
	return cmp.Or(
		cmp.Compare(m.loadWith(a, poolCounts), m.loadWith(b, poolCounts)),
		cmp.Compare(hashPair(string(pool), a), hashPair(string(pool), b)),
		cmp.Compare(a, b),
	)
}

// hashPair hashes a text, such as a pool, together with a daemon.
func hashPair(subject string, daemon tw.DaemonID) uint64 {
	return fnv1a(fnv1a(fnv1a(fnvOffset, subject), "/"), string(daemon))
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// fnv1a continues the 64-bit FNV-1a hash h with s. Unlike hash/fnv it does not allocate; it is
// computed for every member.
func fnv1a(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}
