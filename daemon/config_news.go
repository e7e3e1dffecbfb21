package daemon

import (
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// configFetchGate decides when a newer configuration, of which peers tell, is read from one
// of them. The store brings it in most cases; who is turned away by the store has only
// its peers, and must not serve by an old configuration for longer than the platform
// allows.
type configFetchGate struct {
	mu sync.Mutex
	// version is the version in force when peers first told of a newer one, at from.
	version tw.Version
	since   time.Time
	// reading: a configuration is being read from a peer.
	reading bool
}

// configFetchDelay is the time that a store which answers has to bring a version that peers
// know of: a link of 10 Mbit/s takes 0.25 s for a large one, which is not to be
// brought twice.
const configFetchDelay = 400 * time.Millisecond

// begin tells whether the newer version is to be read from a peer now. Then end is to be
// called after it.
func (n *configFetchGate) begin(have, newer tw.Version, storeAnswers bool, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if newer <= have || n.reading {
		return false
	}
	if n.since.IsZero() || n.version != have {
		n.version, n.since = have, now
	}
	if storeAnswers && now.Sub(n.since) < configFetchDelay {
		return false
	}
	n.reading = true
	return true
}

func (n *configFetchGate) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reading = false
}
