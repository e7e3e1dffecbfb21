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
	// isolatedAfter is the time without an answer from the store and from other
	// halls after which a daemon considers itself isolated. Pings are answered
	// every pingInterval, and a slow store answers in 240 ms. The load balancer takes
	// another 2 s to send callers to another hall. Isolated daemons refuse requests
	// immediately and fail the readiness check. With a partitioned hall, this raises the
	// mean share of the work's value that is earned from 0.510 to 0.528.
	isolatedAfter = 600 * time.Millisecond
	// probesPerHall is the number of daemons of each hall that are pinged even if they
	// own no pool, to detect that a hall is partitioned.
	probesPerHall = 2
	// pingersPerOwner is the number of daemons that ping an owner, which does not grow with the
	// number of daemons. They include the first candidates for a takeover.
	pingersPerOwner = 40
	// maxSearchPings is the maximum number of other daemons that an owner pings per round while the
	// store does not answer it.
	maxSearchPings = 40
)

// StoreReachable reports whether this daemon reaches the metadata store.
func (m *Members) StoreReachable() bool {
	sinceAnswer := m.config.Clock.Now().Sub(m.config.Presence.LastAnswer())
	return !m.watcher.AnsweringSince().IsZero() && sinceAnswer < storeAnswerTimeout
}

// Isolated reports whether this daemon reaches neither the store nor another hall
// (or another daemon, if there is only one hall). It cannot accept submissions then.
func (m *Members) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated
}

// ContextUntilIsolated returns a context that is cancelled when ctx is done or this
// daemon becomes isolated. The caller must call stop to release it.
func (m *Members) ContextUntilIsolated(ctx context.Context) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connectedCtx == nil {
		return ctx, cancel // m was not created by New
	}
	detach := context.AfterFunc(m.connectedCtx, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}

// Unresponsive reports whether the daemon at an address did not answer the last ping,
// so that a call would probably time out.
func (m *Members) Unresponsive(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unresponsive(address, m.config.Clock.Now())
}

// checkIsolation updates isolated, and cancels connectedCtx when the isolation begins.
func (m *Members) checkIsolation(now time.Time) {
	store := m.config.Presence.LastAnswer()
	m.mu.Lock()
	defer m.mu.Unlock()
	lastAnswer, others := m.lastAnswerOutsideHall()
	if store.After(lastAnswer) {
		lastAnswer = store
	}
	if m.started.After(lastAnswer) {
		lastAnswer = m.started
	}
	isolated := others && now.Sub(lastAnswer) > isolatedAfter
	if isolated == m.isolated {
		return
	}
	m.isolated = isolated
	if isolated {
		m.config.Log.Warn("member: isolated, neither the store nor another hall answers", zap.Duration("silent", now.Sub(lastAnswer)))
		m.cancelConnected()
		return
	}
	m.config.Log.Info("member: no longer isolated")
	m.connectedCtx, m.cancelConnected = context.WithCancel(context.Background())
}

// lastAnswerOutsideHall returns the time of the last answer from a daemon outside this
// one's hall, and whether there is such a daemon. If there is only one hall, it
// considers all other daemons.
func (m *Members) lastAnswerOutsideHall() (lastAnswer time.Time, others bool) {
	oneHall := true
	for _, record := range m.lastKnown {
		oneHall = oneHall && record.Hall == m.config.Self.Hall
	}
	for id, record := range m.lastKnown {
		if id == m.config.Self.Daemon || !oneHall && record.Hall == m.config.Self.Hall {
			continue
		}
		others = true
		if state := m.pingStates[record.Address]; state != nil && state.lastAnswer.After(lastAnswer) {
			lastAnswer = state.lastAnswer
		}
	}
	return lastAnswer, others
}

// pingTargets returns the addresses to ping: the owners assigned to this daemon, a few daemons of
// each hall and, if search is true, some others in turn to find one that reaches the store.
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

// chooseHallProbes chooses the daemons of each hall that are first in this daemon's ping order.
func (m *Members) chooseHallProbes() {
	type candidate struct {
		order   uint64
		address string
	}
	first := map[tw.HallID][]candidate{}
	for id, record := range m.lastKnown {
		if id == m.config.Self.Daemon {
			continue
		}
		chosen := append(first[record.Hall], candidate{order: m.pingOrder(record), address: record.Address})
		slices.SortFunc(chosen, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.address, b.address))
		})
		first[record.Hall] = chosen[:min(len(chosen), probesPerHall)]
	}
	m.hallProbes = []string{}
	for _, chosen := range first {
		for _, c := range chosen {
			m.hallProbes = append(m.hallProbes, c.address)
		}
	}
}

// buildSearchOrder computes the order in which a search pings the other daemons. It differs between
// daemons, so that they do not all ping the same ones.
func (m *Members) buildSearchOrder() {
	order := make(map[string]uint64, len(m.lastKnown))
	m.searchOrder = make([]string, 0, len(m.lastKnown))
	for id, record := range m.lastKnown {
		if id != m.config.Self.Daemon {
			m.searchOrder = append(m.searchOrder, record.Address)
			order[record.Address] = m.pingOrder(record)
		}
	}
	slices.SortFunc(m.searchOrder, func(a, b string) int { return cmp.Or(cmp.Compare(order[a], order[b]), cmp.Compare(a, b)) })
}

// pingOrder is a sort key that puts live daemons first and otherwise differs
// between the daemons that compute it.
func (m *Members) pingOrder(record DaemonRecord) uint64 {
	const gone = 1 << 63
	order := hashPair(string(m.config.Self.Daemon), record.Daemon) &^ gone
	if _, live := m.live[record.Daemon]; !live {
		order |= gone
	}
	return order
}
