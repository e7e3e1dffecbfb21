package tamarindworks

import "time"

type (
	// ServiceDisruptions lists the planned disruptions of a service now allowed, over
	// all halls.
	ServiceDisruptions struct {
		Disruptions []Disruption `json:"disruptions"`
	}

	// Disruption is one instance that planned work has taken or will take
	// from a service.
	Disruption struct {
		Instance InstanceID `json:"instance"`
		Hall     HallID     `json:"hall"`
		Since    time.Time  `json:"since"` // for people; decides nothing
	}
)

// Has tells whether an instance is in the ledger.
func (l ServiceDisruptions) Has(id InstanceID) bool {
	for _, d := range l.Disruptions {
		if d.Instance == id {
			return true
		}
	}
	return false
}

// With returns the ledger with d added, once.
func (l ServiceDisruptions) With(d Disruption) ServiceDisruptions {
	next := l.Without(d.Instance)
	next.Disruptions = append(next.Disruptions, d)
	return next
}

// Without returns the ledger without an instance.
func (l ServiceDisruptions) Without(id InstanceID) ServiceDisruptions {
	var next ServiceDisruptions
	for _, d := range l.Disruptions {
		if d.Instance != id {
			next.Disruptions = append(next.Disruptions, d)
		}
	}
	return next
}
