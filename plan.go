package tamarindworks

type (
	// Plan assigns each instance of a hall its pool, state and jobs. Only the
	// holder of the planner lease writes it, by compare-and-swap.
	Plan struct {
		Hall       HallID       `json:"hall"`
		Generation Generation   `json:"generation"`
		Epoch      Epoch        `json:"epoch"`
		Revision   Revision     `json:"revision"` // of the configuration it implements
		Instances  []Assignment `json:"instances"`
		// Unplaced lists the jobs that cannot be placed, with the reason.
		Unplaced []UnplacedJob `json:"set_aside,omitempty"`
		// SparesNeeded is the number of spare instances the hall should have.
		SparesNeeded int `json:"spares_needed"`
	}

	// UnplacedJob is a job that cannot be placed in the hall.
	UnplacedJob struct {
		Job    JobID  `json:"job"`
		Reason Reason `json:"reason"`
	}
)

// Find returns the assignment of an instance, or nil.
func (p *Plan) Find(id InstanceID) *Assignment {
	for i := range p.Instances {
		if p.Instances[i].Instance == id {
			return &p.Instances[i]
		}
	}
	return nil
}

// NewerThan reports whether p is newer than q, a plan of the same hall.
func (p *Plan) NewerThan(q *Plan) bool {
	if p.Generation != q.Generation {
		return p.Generation > q.Generation
	}
	return p.Epoch > q.Epoch
}

// Clone returns a deep copy of the plan.
func (p *Plan) Clone() Plan {
	c := *p
	c.Instances = make([]Assignment, len(p.Instances))
	for i, a := range p.Instances {
		a.Jobs = append([]Placement(nil), a.Jobs...)
		a.Waves = append([]WaveID(nil), a.Waves...)
		c.Instances[i] = a
	}
	c.Unplaced = append([]UnplacedJob(nil), p.Unplaced...)
	return c
}
