package member

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// isolatedAfter: a daemon that has heard nothing for so long from the store
	// and from other halls can't serve. Answers come each pingEvery, from a slow
	// store in 240 ms; the balancer takes 2 s more to send callers elsewhere. That
	// it refuses at once and is not ready then raised the mean worth of days on
	// which a hall is cut off from 0.510 to 0.528 (30 plays each).
	isolatedAfter = 600 * time.Millisecond
	// witnesses are the daemons of each hall that are pinged although they own
	// nothing, so that a hall that is cut off is noticed.
	witnesses = 2
)

// StoreAnswers tells whether this daemon reaches the metadata store.
func (m *Members) StoreAnswers() bool {
	silent := m.config.Clock.Now().Sub(m.config.Presence.Answered())
	return !m.watcher.Settled().IsZero() && silent < storeFresh
}

// Isolated tells whether this daemon reaches neither the store nor another hall
// (another daemon, if there is one hall): then it can keep nothing for callers.
func (m *Members) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated
}

// WhileConnected is a context that ends with ctx or when this daemon becomes
// isolated, whichever is first. The caller calls stop when it is done.
func (m *Members) WhileConnected(ctx context.Context) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connected == nil {
		return ctx, cancel // the duty does not run
	}
	detach := context.AfterFunc(m.connected, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}

// Silent tells whether the daemon at an address has left the last ping without
// an answer, so that a call would only wait.
func (m *Members) Silent(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.contacts[address]
	return c != nil && !c.silentFrom.IsZero()
}

// checkIsolation brings it up to date whether this daemon is isolated.
func (m *Members) checkIsolation(now time.Time) {
	store := m.config.Presence.Answered()
	m.mu.Lock()
	defer m.mu.Unlock()
	heard, others := m.heardOutside()
	if store.After(heard) {
		heard = store
	}
	if m.started.After(heard) {
		heard = m.started
	}
	isolated := others && now.Sub(heard) > isolatedAfter
	if isolated == m.isolated {
		return
	}
	m.isolated = isolated
	if isolated {
		m.config.Log.Warn("member: isolated, neither the store nor another hall answers", zap.Duration("silent", now.Sub(heard)))
		m.disconnect()
		return
	}
	m.config.Log.Info("member: no longer isolated")
	m.connected, m.disconnect = context.WithCancel(context.Background())
}

// heardOutside is when a daemon outside this one's hall last answered, and
// whether there is one. If all daemons are in one hall, it is any other daemon.
func (m *Members) heardOutside() (heard time.Time, others bool) {
	oneHall := true
	for _, l := range m.lastLive {
		oneHall = oneHall && l.Hall == m.config.Self.Hall
	}
	for id, l := range m.lastLive {
		if id == m.config.Self.Daemon || !oneHall && l.Hall == m.config.Self.Hall {
			continue
		}
		others = true
		if c := m.contacts[l.Address]; c != nil && c.heard.After(heard) {
			heard = c.heard
		}
	}
	return heard, others
}

// toPing lists the addresses to ping: the owners of pools, a few daemons of each
// hall, and while the store is silent all daemons, as one of them may reach
// it.
func (m *Members) toPing() map[string]bool {
	out := map[string]bool{}
	for _, o := range m.owners {
		if o.Daemon != m.config.Self.Daemon {
			out[o.Address] = true
		}
	}
	all := !m.StoreAnswers()
	for _, daemons := range m.byHall() {
		for i, l := range daemons {
			if all || i < witnesses {
				out[l.Address] = true
			}
		}
	}
	return out
}

// byHall lists the other daemons by hall, in an order that differs by daemon, so
// that they do not all ping the same ones.
func (m *Members) byHall() map[tw.HallID][]Live {
	out := map[tw.HallID][]Live{}
	for id, l := range m.lastLive {
		if id != m.config.Self.Daemon {
			out[l.Hall] = append(out[l.Hall], l)
		}
	}
	for _, daemons := range out {
		slices.SortFunc(daemons, func(a, b Live) int {
			return cmp.Or(cmp.Compare(m.pingOrder(a), m.pingOrder(b)), cmp.Compare(a.Daemon, b.Daemon))
		})
	}
	return out
}

// pingOrder sorts daemons that live before those that do not, else in an order
// that only this daemon has.
func (m *Members) pingOrder(l Live) uint64 {
	const gone = 1 << 63
	order := mix(string(m.config.Self.Daemon), l.Daemon) &^ gone
	if _, lives := m.live[l.Daemon]; !lives {
		order |= gone
	}
	return order
}
