package control

import (
	tw "github.com/tamarindworks/tamarindworks"
)

// self is this daemon's heartbeat.
func (n *Node) self() tw.Member {
	m := n.cfg.Self
	m.Incarnation = tw.Incarnation(n.incarnation.Load())
	m.Beat = n.beat.Load()
	m.Revision = n.state.currentRevision()
	m.Demand = n.cfg.Dispatcher.Demand()
	m.Planning = n.planner.leaseHeld.Load()
	return m
}

// report tells how far this daemon is. The acknowledgement is read before the
// loads: requests given out before it was made are counted in them.
func (n *Node) report() *tw.Report {
	acked := tw.Generation(n.acked.Load())
	return &tw.Report{Acked: acked, Loads: n.cfg.Dispatcher.Loads()}
}

// hallMembers lists the hall's live daemons, this one included.
func (n *Node) hallMembers() []tw.Member {
	n.beat.Add(1)
	n.members.update(n.self(), true)
	return n.members.live(func(m tw.Member) bool { return m.Hall == n.cfg.Self.Hall })
}

// claimCandidates lists the hall's daemons that may hold claims, this one included.
func (n *Node) claimCandidates() []tw.Member {
	n.hallMembers() // hears this daemon itself
	return n.members.claimCandidates(func(m tw.Member) bool { return m.Hall == n.cfg.Self.Hall })
}

// remoteMembers lists the live daemons of other halls.
func (n *Node) remoteMembers() []tw.Member {
	return n.members.live(func(m tw.Member) bool { return m.Hall != n.cfg.Self.Hall })
}
