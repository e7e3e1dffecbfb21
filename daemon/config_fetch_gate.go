package daemon

import (
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// configFetchGate decides when to fetch a newer configuration, announced by peers, from
// one of them. Usually the store delivers it. A daemon whose calls the store rejects has
// only its peers, and must not use an old configuration for longer than the platform
// allows.
type configFetchGate struct {
	mu sync.Mutex
	// version is the one in effect when peers first announced a newer one, at since.
	version tw.Version
	since   time.Time
	// reading is set while a configuration is read from a peer.
	reading bool
}

// configFetchDelay is the time given to a store that answers to deliver a version that
// peers have announced, before a peer is asked for it. A large configuration takes 0.25 s
// on a link of 10 Mbit/s, and should not be transferred twice.
const configFetchDelay = 400 * time.Millisecond

// begin reports whether to read the newer version from a peer now. If so, the caller must
// call end after that read.
func (g *configFetchGate) begin(have, newer tw.Version, storeAnswers bool, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if newer <= have || g.reading {
		return false
	}
	if g.since.IsZero() || g.version != have {
		g.version, g.since = have, now
	}
	if storeAnswers && now.Sub(g.since) < configFetchDelay {
		return false
	}
	g.reading = true
	return true
}

func (g *configFetchGate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reading = false
}
