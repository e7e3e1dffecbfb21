package tamarindworks

import "time"

type (
	// ServiceDisruptions lists the planned disruptions of a service that are currently
	// allowed, across all halls.
	ServiceDisruptions struct {
		Disruptions []Disruption `json:"disruptions"`
	}

	// Disruption is an instance that planned work makes, or will make,
	// unavailable to a service.
	Disruption struct {
		Instance InstanceID `json:"instance"`
		Hall     HallID     `json:"hall"`
		Since    time.Time  `json:"since"` // informational; not used in decisions
	}
)

// Has reports whether an instance is listed.
func (l ServiceDisruptions) Has(id InstanceID) bool {
	for _, d := range l.Disruptions {
		if d.Instance == id {
			return true
		}
	}
	return false
}

// With returns a copy with d added, replacing any entry of the same instance.
func (l ServiceDisruptions) With(d Disruption) ServiceDisruptions {
	next := l.Without(d.Instance)
	next.Disruptions = append(next.Disruptions, d)
	return next
}

// Without returns a copy without an instance.
func (l ServiceDisruptions) Without(id InstanceID) ServiceDisruptions {
	var next ServiceDisruptions
	for _, d := range l.Disruptions {
		if d.Instance != id {
			next.Disruptions = append(next.Disruptions, d)
		}
	}
	return next
}
