package control

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// absence notes since when the platform has not listed an entry instance.
type absence struct {
	clock tw.Clock
	since map[tw.InstanceID]time.Time
}

// absentFor is how long an entry instance must be unlisted, and its daemon
// silent, until nobody waits for its acknowledgement any more. The list lags,
// also for instances that are new.
const absentFor = 30 * time.Second

func newAbsence(clock tw.Clock) *absence {
	return &absence{clock: clock, since: map[tw.InstanceID]time.Time{}}
}

// gone tells whether an entry instance has been unlisted for long. A list
// without any entry instance says nothing of them.
func (a *absence) gone(id tw.InstanceID, list tw.InstanceSnapshot) bool {
	entries, listed := false, false
	for _, in := range list.Instances {
		entries = entries || in.Role == tw.Entry
		listed = listed || in.ID == id
	}
	if listed || !entries || id == "" {
		delete(a.since, id)
		return false
	}
	since, ok := a.since[id]
	if !ok {
		since = a.clock.Now()
		a.since[id] = since
	}
	return a.clock.Now().Sub(since) >= absentFor
}
