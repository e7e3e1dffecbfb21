package control

import (
	"maps"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// absenceTracker notes since when every read of the platform's list has lacked the
// instance of a registered life of a daemon.
type absenceTracker struct {
	clock tw.Clock

	mu       sync.Mutex
	lastRead time.Time // when the list was last read, changed or not
	since    map[tw.RosterMember]time.Time
}

// absenceTimeout is how long an entry instance must be unlisted, and its daemon
// silent, until nobody waits for its acknowledgement any more. The list lags,
// also for instances that are new.
const absenceTimeout = 30 * time.Second

func newAbsenceTracker(clock tw.Clock) *absenceTracker {
	return &absenceTracker{clock: clock, since: map[tw.RosterMember]time.Time{}}
}

// observeList takes in a read of the list. Every read counts, not only those that a
// handover looks at: an instance that was listed in between was not absent.
func (a *absenceTracker) observeList(list tw.InstanceSnapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastRead = a.clock.Now()
	maps.DeleteFunc(a.since, func(m tw.RosterMember, _ time.Time) bool { return !isMissing(list, m.Instance) })
}

// absentTooLong tells whether the instance of a life has been unlisted for long, since this
// life was first asked for, up to the last read of the list.
func (a *absenceTracker) absentTooLong(m tw.RosterMember, list tw.InstanceSnapshot) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !isMissing(list, m.Instance) {
		delete(a.since, m)
		return false
	}
	since, ok := a.since[m]
	if !ok {
		since = a.clock.Now()
		a.since[m] = since
	}
	return a.lastRead.Sub(since) >= absenceTimeout
}

// isMissing tells whether a list has entry instances, but not this one. A list without
// any says nothing of them.
func isMissing(list tw.InstanceSnapshot, id tw.InstanceID) bool {
	entries := false
	for _, in := range list.Instances {
		if in.ID == id {
			return false
		}
		entries = entries || in.Role == tw.RoleEntry
	}
	return entries && id != ""
}
