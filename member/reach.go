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
	// probesPerHall are the daemons of each hall that are pinged although they own
	// nothing, so that a hall that is cut off is noticed.
	probesPerHall = 2
	// pingersPerOwner ping an owner, however many daemons there are. Those that would take its
	// pool over first are among them.
	pingersPerOwner = 40
	// maxSearchPings others are pinged at a time by an owner that the store doesn't answer.
	maxSearchPings = 40
)

// StoreReachable tells whether this daemon reaches the metadata store.
func (m *Members) StoreReachable() bool {
	silent := m.config.Clock.Now().Sub(m.config.Presence.LastAnswer())
	return !m.watcher.AnsweringSince().IsZero() && silent < storeAnswerTimeout
}

// Isolated tells whether this daemon reaches neither the store nor another hall
// (another daemon, if there is one hall): then it can keep nothing for callers.
func (m *Members) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated
}

// ContextUntilIsolated is a context that ends with ctx or when this daemon becomes
// isolated, whichever is first. The caller calls stop when it is done.
func (m *Members) ContextUntilIsolated(ctx context.Context) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connectedCtx == nil {
		return ctx, cancel // the duty does not run
	}
	detach := context.AfterFunc(m.connectedCtx, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}

// Unresponsive tells whether the daemon at an address has left the last ping without
// an answer, so that a call would only wait.
func (m *Members) Unresponsive(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unresponsive(address, m.config.Clock.Now())
}

// checkIsolation brings it up to date whether this daemon is isolated.
func (m *Members) checkIsolation(now time.Time) {
	store := m.config.Presence.LastAnswer()
	m.mu.Lock()
	defer m.mu.Unlock()
	heard, others := m.lastAnswerOutsideHall()
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
		m.cancelConnected()
		return
	}
	m.config.Log.Info("member: no longer isolated")
	m.connectedCtx, m.cancelConnected = context.WithCancel(context.Background())
}

// lastAnswerOutsideHall is when a daemon outside this one's hall last answered, and
// whether there is one. If all daemons are in one hall, it is any other daemon.
func (m *Members) lastAnswerOutsideHall() (heard time.Time, others bool) {
	oneHall := true
	for _, l := range m.lastKnown {
		oneHall = oneHall && l.Hall == m.config.Self.Hall
	}
	for id, l := range m.lastKnown {
		if id == m.config.Self.Daemon || !oneHall && l.Hall == m.config.Self.Hall {
			continue
		}
		others = true
		if c := m.pingStates[l.Address]; c != nil && c.lastAnswer.After(heard) {
			heard = c.lastAnswer
		}
	}
	return heard, others
}

// pingTargets lists the addresses to ping: the owners that this daemon watches, a few daemons of
// each hall, and some others in turn to search for one that reaches the store.
func (m *Members) pingTargets(search bool) map[string]bool {
	out := map[string]bool{}
	for _, o := range m.owners {
		if o.Daemon != m.config.Self.Daemon && m.pingsOwner(o.Pool) {
			out[o.Address] = true
		}
	}
	if m.hallProbes == nil {
		m.chooseHallProbes()
	}
	for _, address := range m.hallProbes {
		out[address] = true
	}
	if !search {
		return out
	}
	if m.searchOrder == nil {
		m.buildSearchOrder()
	}
	for range min(maxSearchPings, len(m.searchOrder)) {
		out[m.searchOrder[m.searchNext%len(m.searchOrder)]] = true
		m.searchNext++
	}
	return out
}

// chooseHallProbes picks the daemons of each hall that come first in this one's order.
func (m *Members) chooseHallProbes() {
	type candidate struct {
		order   uint64
		address string
	}
	first := map[tw.HallID][]candidate{}
	for id, l := range m.lastKnown {
		if id == m.config.Self.Daemon {
			continue
		}
		chosen := append(first[l.Hall], candidate{order: m.pingOrder(l), address: l.Address})
		slices.SortFunc(chosen, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.address, b.address))
		})
		first[l.Hall] = chosen[:min(len(chosen), probesPerHall)]
	}
	m.hallProbes = []string{}
	for _, chosen := range first {
		for _, c := range chosen {
			m.hallProbes = append(m.hallProbes, c.address)
		}
	}
}

// buildSearchOrder works out in which order the other daemons are searched. It differs by daemon, so
// that they do not all ping the same ones.
func (m *Members) buildSearchOrder() {
	order := make(map[string]uint64, len(m.lastKnown))
	m.searchOrder = make([]string, 0, len(m.lastKnown))
	for id, l := range m.lastKnown {
		if id != m.config.Self.Daemon {
			m.searchOrder = append(m.searchOrder, l.Address)
			order[l.Address] = m.pingOrder(l)
		}
	}
	slices.SortFunc(m.searchOrder, func(a, b string) int { return cmp.Or(cmp.Compare(order[a], order[b]), cmp.Compare(a, b)) })
}

// pingOrder sorts daemons that live before those that do not, else in an order
// that only this daemon has.
func (m *Members) pingOrder(l DaemonRecord) uint64 {
	const gone = 1 << 63
	order := hashPair(string(m.config.Self.Daemon), l.Daemon) &^ gone
	if _, lives := m.live[l.Daemon]; !lives {
		order |= gone
	}
	return order
}
