package control

import (
	"cmp"
	"slices"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// memberTable is the table of daemons heard of.
	memberTable struct {
		clock      tw.Clock
		hall       tw.HallID
		minTimeout time.Duration // least silence after which a daemon counts as down

		mu    sync.Mutex
		table map[tw.DaemonID]memberState
	}

	// memberState is a daemon's last heartbeat.
	memberState struct {
		tw.Member
		lastHeard time.Time // when its beat last grew
		// learnedAt is when this daemon registered and found it in the roster;
		// zero once it was heard.
		learnedAt time.Time
		// formerIncarnation is the highest number of an earlier life, if this life has a lower one.
		formerIncarnation tw.Incarnation
	}
)

func newMemberTable(clock tw.Clock, hall tw.HallID, dead time.Duration) *memberTable {
	return &memberTable{clock: clock, hall: hall, minTimeout: dead, table: map[tw.DaemonID]memberState{}}
}

// update takes in a heartbeat, direct or by hearsay. An earlier life or an older
// beat changes nothing; a report stands until the same life sends a new one. Who
// speaks for itself while the other life is down is no earlier one: the wall clock,
// which lives are numbered by, went back over its restart.
func (t *memberTable) update(m tw.Member, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.table[m.ID]
	if known && m.Incarnation < old.Incarnation && !(direct && t.isDown(old)) {
		return
	}
	if !direct && m.Incarnation > old.Incarnation && m.Incarnation <= old.formerIncarnation {
		return // others may not know yet that it is down
	}
	same := known && m.Incarnation == old.Incarnation
	if same && (m.Beat < old.Beat || m.Beat == old.Beat && !direct) {
		return
	}
	next := memberState{Member: m, lastHeard: t.clock.Now()}
	if former := max(old.formerIncarnation, old.Incarnation); former > m.Incarnation {
		next.formerIncarnation = former
	}
	if !direct {
		next.Report = nil
	}
	if same && next.Report == nil {
		next.Report = old.Report
	}
	if same && len(next.Jobs) == 0 {
		next.Jobs = old.Jobs
	}
	t.table[m.ID] = next
}

// get returns the last heartbeat of a daemon in one of its lives.
func (t *memberTable) get(id tw.DaemonID, incarnation tw.Incarnation) (memberState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.table[id]
	return m, ok && m.Incarnation == incarnation
}

// mostRecent lists the daemons heard last, n at most.
func (t *memberTable) mostRecent(n int, keep func(tw.Member) bool) []tw.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.liveStates(keep)
	slices.SortFunc(all, func(a, b memberState) int {
		return cmp.Or(b.lastHeard.Compare(a.lastHeard), cmp.Compare(a.ID, b.ID))
	})
	var out []tw.Member
	for _, m := range all[:min(n, len(all))] {
		out = append(out, m.Member)
	}
	return out
}

// live lists the daemons heard of late, by id.
func (t *memberTable) live(keep func(tw.Member) bool) []tw.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []tw.Member
	for _, m := range t.liveStates(keep) {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b tw.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// claimCandidates lists the daemons that may hold claims, in no order: the live ones, and those
// found in the roster when this one registered, until they are heard or count as
// down. A daemon that did not ask these either granted keys that they held.
func (t *memberTable) claimCandidates(keep func(tw.Member) bool) []tw.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []tw.Member
	for _, m := range t.liveStates(keep) {
		out = append(out, m.Member)
	}
	for _, m := range t.table {
		if !m.learnedAt.IsZero() && t.clock.Now().Sub(m.learnedAt) <= t.timeoutFor(m.Member) && keep(m.Member) {
			out = append(out, m.Member)
		}
	}
	return out
}

// liveStates lists the daemons that are not down, in no order, and drops those
// silent for long. The lock is held.
func (t *memberTable) liveStates(keep func(tw.Member) bool) []memberState {
	now := t.clock.Now()
	var out []memberState
	for id, m := range t.table {
		if now.Sub(m.lastHeard) > memberRetention {
			delete(t.table, id)
			continue
		}
		if !t.isDown(m) && keep(m.Member) {
			out = append(out, m)
		}
	}
	return out
}

// isDown tells whether a daemon has been silent for too long. The lock is held.
func (t *memberTable) isDown(m memberState) bool {
	return t.clock.Now().Sub(m.lastHeard) > t.timeoutFor(m.Member)
}

// timeoutFor is the silence after which a daemon counts as down. The more
// there are, the longer news of one takes. The lock is held.
func (t *memberTable) timeoutFor(m tw.Member) time.Duration {
	patience := t.minTimeout + time.Duration(float64(len(t.table))*timeoutPerMember*float64(t.minTimeout))
	if m.Hall != t.hall {
		return remoteTimeoutFactor * patience
	}
	return patience
}

// remoteTimeoutFactor multiplies the patience with daemons of other halls: they are
// heard seldom, and a relay that fails is tried elsewhere.
const remoteTimeoutFactor = 10

// timeoutPerMember adds to patience, as a part of the least.
const timeoutPerMember = 0.1

// silentFor tells whether a daemon has not been heard for d.
func (t *memberTable) silentFor(id tw.DaemonID, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.table[id]
	return !ok || t.clock.Now().Sub(m.lastHeard) > d
}

// memberRetention is when a silent daemon is dropped from the table.
const memberRetention = 10 * time.Minute
