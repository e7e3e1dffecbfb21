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
		dead  time.Duration // silence after which a daemon counts as down

		mu    sync.Mutex
		table map[tw.DaemonID]heardMember
	}

	// heardMember is a daemon's last heartbeat.
	heardMember struct {
		tw.Member
		heard  time.Time // when its beat last grew
		direct bool      // Loads are its own word
	}
)

func newMembers(clock tw.Clock, dead time.Duration) *members {
	return &members{clock: clock, dead: dead, table: map[tw.DaemonID]heardMember{}}
}

// hear takes in a heartbeat. An earlier life or an older beat changes nothing;
// hearsay changes no loads and no acknowledgement.
func (t *members) hear(m tw.Member, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.table[m.ID]
	if known && m.Incarnation < old.Incarnation {
		return
	}
	same := known && m.Incarnation == old.Incarnation
	if same && (m.Beat < old.Beat || m.Beat == old.Beat && !direct) {
		return
	}
	next := heardMember{Member: m, heard: t.clock.Now(), direct: direct}
	if !direct {
		next.Loads, next.Acked = nil, 0
		if same && old.direct {
			next.Loads, next.Acked, next.direct = old.Loads, old.Acked, true
		}
		next.Jobs = m.Jobs
		if same && len(m.Jobs) == 0 {
			next.Jobs = old.Jobs
		}
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

// live lists the daemons heard of late, by id.
func (t *members) live(keep func(tw.Member) bool) []tw.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []tw.Member
	for id, m := range t.table {
		age := now.Sub(m.heard)
		if age > forgetAfter {
			delete(t.table, id)
			continue
		}
		if age <= t.dead && keep(m.Member) {
			out = append(out, m.Member)
		}
	}
	slices.SortFunc(out, func(a, b tw.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// silent tells whether a daemon has not been heard for d.
func (t *members) silent(id tw.DaemonID, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.table[id]
	return !ok || t.clock.Now().Sub(m.heard) > d
}

// forgetAfter is when a silent daemon is dropped from the table.
const forgetAfter = 10 * time.Minute
