package control

import (
	"maps"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// absenceTracker records, for each incarnation of a registered daemon, since when every
// read of the platform's instance list has lacked its instance.
type absenceTracker struct {
	clock tw.Clock

	mu       sync.Mutex
	lastRead time.Time // last read of the list, changed or not
	since    map[tw.RosterMember]time.Time
}

// absenceTimeout is how long an entry instance (one that runs a daemon) must be
// unlisted, and its daemon silent, until handovers stop waiting for the daemon's
// acknowledgement. They wait this long because the list may be out of date, and may
// lack new instances.
const absenceTimeout = 30 * time.Second

func newAbsenceTracker(clock tw.Clock) *absenceTracker {
	return &absenceTracker{clock: clock, since: map[tw.RosterMember]time.Time{}}
}

// observeList records a read of the list. It must get every read, not only those
// during a handover, as an instance that was listed in between was not absent.
func (a *absenceTracker) observeList(list tw.InstanceSnapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastRead = a.clock.Now()
	maps.DeleteFunc(a.since, func(m tw.RosterMember, _ time.Time) bool { return !isMissing(list, m.Instance) })
}

// absentTooLong reports whether the instance of a daemon has been unlisted for at
// least absenceTimeout, counted from the first call for this incarnation to the
// last read of the list.
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

// isMissing reports whether a list has entry instances but not this one. A list
// without any entry instance is inconclusive.
func isMissing(list tw.InstanceSnapshot, id tw.InstanceID) bool {
	hasEntries := false
	for _, in := range list.Instances {
		if in.ID == id {
			return false
		}
		hasEntries = hasEntries || in.Role == tw.RoleEntry
	}
	return hasEntries && id != ""
}
