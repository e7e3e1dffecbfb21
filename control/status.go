package control

import (
	tw "github.com/tamarindworks/tamarindworks"
)

// Status is a daemon's state as shown to operators.
type Status struct {
	Self       tw.DaemonID  `json:"self"`
	Hall       tw.HallID    `json:"hall"`
	Registered bool         `json:"registered"`
	Planning   bool         `json:"planning"`
	Revision   tw.Revision  `json:"revision"`
	Acked      uint64       `json:"acked"`
	Plan       *tw.Plan     `json:"plan,omitempty"`
	Members    []MemberInfo `json:"members"`
}

// MemberInfo describes a live daemon according to its last heartbeat.
type MemberInfo struct {
	ID       tw.DaemonID `json:"id"`
	Hall     tw.HallID   `json:"hall"`
	Revision tw.Revision `json:"revision"`
	Demand   int         `json:"demand"`
	Jobs     []tw.JobID  `json:"jobs,omitempty"`
}

// Status returns the node's current state.
func (n *Node) Status() Status {
	view := n.state.view()
	s := Status{
		Self:       n.cfg.Self.ID,
		Hall:       n.cfg.Self.Hall,
		Registered: view.Registered,
		Planning:   n.planner.leaseHeld.Load(),
		Revision:   view.Revision,
		Acked:      n.acked.Load(),
		Plan:       view.Plan,
	}
	for _, m := range append(n.hallMembers(), n.remoteMembers()...) {
		s.Members = append(s.Members, MemberInfo{
			ID:       m.ID,
			Hall:     m.Hall,
			Revision: m.Revision,
			Demand:   m.Demand,
			Jobs:     m.Jobs,
		})
	}
	return s
}
