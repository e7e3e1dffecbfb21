package tamarindworks

type (
	// Plan is a hall's decision: for each of its instances the one pool, the
	// state and the jobs. Only the holder of the planner's lease writes it,
	// by compare-and-swap.
	Plan struct {
		Hall       HallID       `json:"hall"`
		Generation Generation   `json:"generation"`
		Epoch      Epoch        `json:"epoch"`
		Revision   Revision     `json:"revision"` // configuration it follows
		Instances  []Assignment `json:"instances"`
		// Unplaced lists the jobs that can run nowhere, with the reason.
		Unplaced []UnplacedJob `json:"set_aside,omitempty"`
		// SparesNeeded is how many spares the hall should hold.
		SparesNeeded int `json:"spares_needed"`
	}

	// UnplacedJob is a job that the hall cannot place.
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

// NewerThan tells whether the plan was written after another one of its hall.
func (p *Plan) NewerThan(q *Plan) bool {
	if p.Generation != q.Generation {
		return p.Generation > q.Generation
	}
	return p.Epoch > q.Epoch
}

// Clone copies the plan deeply.
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
