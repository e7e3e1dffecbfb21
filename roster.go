package tamarindworks

type (
	// Roster lists the registered daemons of a hall. A daemon registers
	// before it first reads the plan. A daemon that is missing from a roster
	// read after a plan was written therefore cannot hold an older plan.
	Roster struct {
		Members []RosterMember `json:"members"`
	}

	// RosterMember is one registered daemon.
	RosterMember struct {
		ID          DaemonID    `json:"id"`
		Instance    InstanceID  `json:"instance"` // entry instance it runs on
		Incarnation Incarnation `json:"incarnation"`
		Address     string      `json:"address"` // IP:port of the peer service
		Gateway     string      `json:"gateway"` // IP:port that accepts requests
	}
)

// With returns a copy with m, replacing any earlier incarnation of it.
func (r Roster) With(m RosterMember) Roster {
	next := r.Without(m.ID)
	next.Members = append(next.Members, m)
	return next
}

// Without returns a copy without a daemon.
func (r Roster) Without(id DaemonID) Roster {
	var next Roster
	for _, m := range r.Members {
		if m.ID != id {
			next.Members = append(next.Members, m)
		}
	}
	return next
}
