package control

import (
	"cmp"
	"slices"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// members is the table of daemons heard of.
	members struct {
		clock tw.Clock
		hall  tw.HallID
		dead  time.Duration // least silence after which a daemon counts as down

		mu    sync.Mutex
		table map[tw.DaemonID]heardMember
	}

	// heardMember is a daemon's last heartbeat.
	heardMember struct {
		tw.Member
		heard time.Time // when its beat last grew
		// learned is when this daemon registered and found it in the roster;
		// zero once it was heard.
		learned time.Time
		// former is the highest number of an earlier life, if this life has a lower one.
		former tw.Incarnation
	}
)

func newMembers(clock tw.Clock, hall tw.HallID, dead time.Duration) *members {
	return &members{clock: clock, hall: hall, dead: dead, table: map[tw.DaemonID]heardMember{}}
}

// hear takes in a heartbeat, direct or by hearsay. An earlier life or an older
// beat changes nothing; a report stands until the same life sends a new one. Who
// speaks for itself while the other life is down is no earlier one: the wall clock,
// which lives are numbered by, went back over its restart.
func (t *members) hear(m tw.Member, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.table[m.ID]
	if known && m.Incarnation < old.Incarnation && !(direct && t.down(old)) {
		return
	}
	if !direct && m.Incarnation > old.Incarnation && m.Incarnation <= old.former {
		return // others may not know yet that it is down
	}
	same := known && m.Incarnation == old.Incarnation
	if same && (m.Beat < old.Beat || m.Beat == old.Beat && !direct) {
		return
	}
	next := heardMember{Member: m, heard: t.clock.Now()}
	if former := max(old.former, old.Incarnation); former > m.Incarnation {
		next.former = former
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
func (t *members) get(id tw.DaemonID, incarnation tw.Incarnation) (heardMember, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.table[id]
	return m, ok && m.Incarnation == incarnation
}

// freshest lists the daemons heard last, n at most.
func (t *members) freshest(n int, keep func(tw.Member) bool) []tw.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.heardOfLate(keep)
	slices.SortFunc(all, func(a, b heardMember) int {
		return cmp.Or(b.heard.Compare(a.heard), cmp.Compare(a.ID, b.ID))
	})
	var out []tw.Member
	for _, m := range all[:min(n, len(all))] {
		out = append(out, m.Member)
	}
	return out
}

// live lists the daemons heard of late, by id.
func (t *members) live(keep func(tw.Member) bool) []tw.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []tw.Member
	for _, m := range t.heardOfLate(keep) {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b tw.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// holders lists the daemons that may hold claims, in no order: the live ones, and those
// found in the roster when this one registered, until they are heard or count as
// down. A daemon that did not ask these either granted keys that they held.
func (t *members) holders(keep func(tw.Member) bool) []tw.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []tw.Member
	for _, m := range t.heardOfLate(keep) {
		out = append(out, m.Member)
	}
	for _, m := range t.table {
		if !m.learned.IsZero() && t.clock.Now().Sub(m.learned) <= t.patienceWith(m.Member) && keep(m.Member) {
			out = append(out, m.Member)
		}
	}
	return out
}

// heardOfLate lists the daemons that are not down, in no order, and drops those
// silent for long. The lock is held.
func (t *members) heardOfLate(keep func(tw.Member) bool) []heardMember {
	now := t.clock.Now()
	var out []heardMember
	for id, m := range t.table {
		if now.Sub(m.heard) > forgetAfter {
			delete(t.table, id)
			continue
		}
		if !t.down(m) && keep(m.Member) {
			out = append(out, m)
		}
	}
	return out
}

// down tells whether a daemon has been silent for too long. The lock is held.
func (t *members) down(m heardMember) bool {
	return t.clock.Now().Sub(m.heard) > t.patienceWith(m.Member)
}

// patienceWith is the silence after which a daemon counts as down. The more
// there are, the longer news of one takes. The lock is held.
func (t *members) patienceWith(m tw.Member) time.Duration {
	patience := t.dead + time.Duration(float64(len(t.table))*patiencePerMember*float64(t.dead))
	if m.Hall != t.hall {
		return remotePatience * patience
	}
	return patience
}

// remotePatience multiplies the patience with daemons of other halls: they are
// heard seldom, and a relay that fails is tried elsewhere.
const remotePatience = 10

// patiencePerMember adds to patience, as a part of the least.
const patiencePerMember = 0.1

// silent tells whether a daemon has not been heard for d.
func (t *members) silent(id tw.DaemonID, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.table[id]
	return !ok || t.clock.Now().Sub(m.heard) > d
}

// forgetAfter is when a silent daemon is dropped from the table.
const forgetAfter = 10 * time.Minute
