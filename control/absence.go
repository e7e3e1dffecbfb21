package control

import (
	"maps"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// absence notes since when every read of the platform's list has lacked the
// instance of a registered life of a daemon.
type absence struct {
	clock tw.Clock

	mu    sync.Mutex
	read  time.Time // when the list was last read, changed or not
	since map[tw.RosterMember]time.Time
}

// absentFor is how long an entry instance must be unlisted, and its daemon
// silent, until nobody waits for its acknowledgement any more. The list lags,
// also for instances that are new.
const absentFor = 30 * time.Second

func newAbsence(clock tw.Clock) *absence {
	return &absence{clock: clock, since: map[tw.RosterMember]time.Time{}}
}

// see takes in a read of the list. Every read counts, not only those that a
// handover looks at: an instance that was listed in between was not absent.
func (a *absence) see(list tw.InstanceSnapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.read = a.clock.Now()
	maps.DeleteFunc(a.since, func(m tw.RosterMember, _ time.Time) bool { return !lacks(list, m.Instance) })
}

// gone tells whether the instance of a life has been unlisted for long, since this
// life was first asked for, up to the last read of the list.
func (a *absence) gone(m tw.RosterMember, list tw.InstanceSnapshot) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !lacks(list, m.Instance) {
		delete(a.since, m)
		return false
	}
	since, ok := a.since[m]
	if !ok {
		since = a.clock.Now()
		a.since[m] = since
	}
	return a.read.Sub(since) >= absentFor
}

// lacks tells whether a list has entry instances, but not this one. A list without
// any says nothing of them.
func lacks(list tw.InstanceSnapshot, id tw.InstanceID) bool {
	entries := false
	for _, in := range list.Instances {
		if in.ID == id {
			return false
		}
		entries = entries || in.Role == tw.RoleEntry
	}
	return entries && id != ""
}
