package control

import (
	"cmp"
	"slices"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// memberTable has the daemons known from heartbeats, gossip and rosters.
	memberTable struct {
		clock      tw.Clock
		hall       tw.HallID
		minTimeout time.Duration // shortest silence after which a daemon counts as down

		mu    sync.Mutex
		table map[tw.DaemonID]memberState
	}

	// memberState is a daemon's last heartbeat.
	memberState struct {
		tw.Member
		lastHeard time.Time // when update last accepted a heartbeat
		// learnedAt is when this daemon found the other one in the roster while
		// registering; zero after the other's first heartbeat.
		learnedAt time.Time
		// formerIncarnation is the highest incarnation of an earlier process, if the
		// current process has a lower one.
		formerIncarnation tw.Incarnation
	}
)

func newMemberTable(clock tw.Clock, hall tw.HallID, minTimeout time.Duration) *memberTable {
	return &memberTable{clock: clock, hall: hall, minTimeout: minTimeout, table: map[tw.DaemonID]memberState{}}
}

// update applies a heartbeat, received from the daemon itself (direct) or by gossip.
// An older beat is ignored; a report is kept until the same incarnation sends a new
// one. A lower incarnation is ignored unless it comes directly from a daemon whose
// known incarnation is down: incarnations come from the wall clock, which may have
// gone back across a restart.
func (t *memberTable) update(m tw.Member, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.table[m.ID]
	if known && m.Incarnation < old.Incarnation && !(direct && t.isDown(old)) {
		return
	}
	if !direct && m.Incarnation > old.Incarnation && m.Incarnation <= old.formerIncarnation {
		return // gossip from daemons that don't know yet that the former incarnation is down
	}
	sameIncarnation := known && m.Incarnation == old.Incarnation
	if sameIncarnation && (m.Beat < old.Beat || m.Beat == old.Beat && !direct) {
		return
	}
	next := memberState{Member: m, lastHeard: t.clock.Now()}
	if former := max(old.formerIncarnation, old.Incarnation); former > m.Incarnation {
		next.formerIncarnation = former
	}
	if !direct {
		next.Report = nil
	}
	if sameIncarnation && next.Report == nil {
		next.Report = old.Report
	}
	if sameIncarnation && len(next.Jobs) == 0 {
		next.Jobs = old.Jobs
	}
	t.table[m.ID] = next
}

// get returns the last heartbeat of an incarnation of a daemon.
func (t *memberTable) get(id tw.DaemonID, incarnation tw.Incarnation) (memberState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.table[id]
	return m, ok && m.Incarnation == incarnation
}

// mostRecent returns up to n live daemons, those with the latest heartbeats first.
func (t *memberTable) mostRecent(n int, filter func(tw.Member) bool) []tw.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.liveStates(filter)
	slices.SortFunc(all, func(a, b memberState) int {
		return cmp.Or(b.lastHeard.Compare(a.lastHeard), cmp.Compare(a.ID, b.ID))
	})
	var out []tw.Member
	for _, m := range all[:min(n, len(all))] {
		out = append(out, m.Member)
	}
	return out
}

// live returns the daemons that are not down, sorted by ID.
func (t *memberTable) live(filter func(tw.Member) bool) []tw.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []tw.Member
	for _, m := range t.liveStates(filter) {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b tw.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// claimCandidates returns the daemons that may store claims, in no order: the live
// ones, and those found in the roster when this one registered, until their first
// heartbeat or until they count as down. Without those from the roster, a newly
// registered daemon would grant keys that they have already granted.
func (t *memberTable) claimCandidates(filter func(tw.Member) bool) []tw.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []tw.Member
	for _, m := range t.liveStates(filter) {
		out = append(out, m.Member)
	}
	for _, m := range t.table {
		if !m.learnedAt.IsZero() && t.clock.Now().Sub(m.learnedAt) <= t.timeoutFor(m.Member) && filter(m.Member) {
			out = append(out, m.Member)
		}
	}
	return out
}

// liveStates returns the daemons that are not down, in no order, and removes those
// silent for longer than memberRetention. The caller must hold mu.
func (t *memberTable) liveStates(filter func(tw.Member) bool) []memberState {
	now := t.clock.Now()
	var out []memberState
	for id, m := range t.table {
		if now.Sub(m.lastHeard) > memberRetention {
			delete(t.table, id)
			continue
		}
		if !t.isDown(m) && filter(m.Member) {
			out = append(out, m)
		}
	}
	return out
}

// isDown reports whether a daemon has been silent for longer than its timeout. The
// caller must hold mu.
func (t *memberTable) isDown(m memberState) bool {
	return t.clock.Now().Sub(m.lastHeard) > t.timeoutFor(m.Member)
}

// timeoutFor returns the silence after which a daemon counts as down. It grows with
// the number of daemons, as gossip takes longer to spread. The caller must hold mu.
func (t *memberTable) timeoutFor(m tw.Member) time.Duration {
	timeout := t.minTimeout + time.Duration(float64(len(t.table))*timeoutPerMember*float64(t.minTimeout))
	if m.Hall != t.hall {
		return remoteTimeoutFactor * timeout
	}
	return timeout
}

// remoteTimeoutFactor multiplies the timeout for daemons of other halls: their
// heartbeats are rare, and a relay that fails is retried elsewhere.
const remoteTimeoutFactor = 10

// timeoutPerMember is what each known daemon adds to the timeout, as a fraction of
// the shortest one.
const timeoutPerMember = 0.1

// silentFor reports whether a daemon is unknown or has sent no heartbeat for d.
func (t *memberTable) silentFor(id tw.DaemonID, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.table[id]
	return !ok || t.clock.Now().Sub(m.lastHeard) > d
}

// memberRetention is the silence after which a daemon is removed from the table.
const memberRetention = 10 * time.Minute
