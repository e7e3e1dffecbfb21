package control

import (
	tw "github.com/tamarindworks/tamarindworks"
)

// Status is what a daemon knows, for operators.
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

// MemberInfo is a live daemon, as this one has heard of it.
type MemberInfo struct {
	ID       tw.DaemonID `json:"id"`
	Hall     tw.HallID   `json:"hall"`
	Revision tw.Revision `json:"revision"`
	Demand   int         `json:"demand"`
	Jobs     []tw.JobID  `json:"jobs,omitempty"`
}

// Status tells what the node knows now.
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
