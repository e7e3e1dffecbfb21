package control

import (
	tw "github.com/tamarindworks/tamarindworks"
)

// self is this daemon's heartbeat. The acknowledgement is read before the
// loads: requests given out before it was made are counted in them.
func (n *Node) self() tw.Member {
	m := n.cfg.Self
	m.Incarnation = tw.Incarnation(n.life.Load())
	m.Acked = tw.Generation(n.acked.Load())
	m.Beat = n.beat.Load()
	m.Revision = n.know.revisionNow()
	m.Loads = n.cfg.Dispatcher.Loads()
	m.Demand = n.cfg.Dispatcher.Demand()
	m.Jobs = n.cfg.Dispatcher.Jobs()
	return m
}

// hallMembers lists the hall's live daemons, this one included.
func (n *Node) hallMembers() []tw.Member {
	n.members.hear(n.brief(), true)
	return n.members.live(func(m tw.Member) bool { return m.Hall == n.cfg.Self.Hall })
}

// brief is this daemon's heartbeat without what takes long to gather.
func (n *Node) brief() tw.Member {
	m := n.cfg.Self
	m.Incarnation = tw.Incarnation(n.life.Load())
	m.Beat = n.beat.Add(1)
	m.Revision = n.know.revisionNow()
	m.Demand = n.cfg.Dispatcher.Demand()
	return m
}

// remoteMembers lists the live daemons of other halls.
func (n *Node) remoteMembers() []tw.Member {
	return n.members.live(func(m tw.Member) bool { return m.Hall != n.cfg.Self.Hall })
}
