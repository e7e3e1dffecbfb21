package control

import (
	tw "github.com/tamarindworks/tamarindworks"
)

// self returns this daemon's heartbeat.
func (n *Node) self() tw.Member {
	m := n.cfg.Self
	m.Incarnation = tw.Incarnation(n.incarnation.Load())
	m.Beat = n.beat.Load()
	m.Revision = n.state.currentRevision()
	m.Demand = n.cfg.Dispatcher.Demand()
	m.Planning = n.planner.leaseHeld.Load()
	return m
}

// report returns this daemon's report. The acknowledged generation is read before the
// loads, so that they include all requests sent under earlier plans.
func (n *Node) report() *tw.Report {
	acked := tw.Generation(n.acked.Load())
	return &tw.Report{Acked: acked, Loads: n.cfg.Dispatcher.Loads()}
}

// hallMembers returns the hall's live daemons, including this one.
func (n *Node) hallMembers() []tw.Member {
	n.beat.Add(1)
	n.members.update(n.self(), true)
	return n.members.live(func(m tw.Member) bool { return m.Hall == n.cfg.Self.Hall })
}

// claimCandidates returns the hall's daemons that may store claims, including this one.
func (n *Node) claimCandidates() []tw.Member {
	n.hallMembers() // refreshes this daemon's own entry
	return n.members.claimCandidates(func(m tw.Member) bool { return m.Hall == n.cfg.Self.Hall })
}

// remoteMembers returns the live daemons of other halls.
func (n *Node) remoteMembers() []tw.Member {
	return n.members.live(func(m tw.Member) bool { return m.Hall != n.cfg.Self.Hall })
}
