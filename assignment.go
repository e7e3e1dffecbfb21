package tamarindworks

import "slices"

type (
	// InstanceState is where an instance is between pools.
	InstanceState string

	// Assignment says which one pool an instance is in.
	Assignment struct {
		Instance InstanceID    `json:"instance"`
		Rack     RackID        `json:"rack"`
		Address  string        `json:"address"`
		Slots    Slots         `json:"slots"`
		Conns    int           `json:"conns"`
		Pool     PoolID        `json:"pool"`
		State    InstanceState `json:"state"`
		Jobs     []Placement   `json:"jobs,omitempty"`
		// NextPool is the pool that a draining instance goes to.
		NextPool PoolID `json:"next,omitempty"`
		// Generation of the plan that set State.
		Generation Generation `json:"generation"`
		// Wave that the instance is draining or out for.
		Wave WaveID `json:"wave,omitempty"`
		// Waves lists the configured waves that have maintained it.
		Waves []WaveID `json:"waves,omitempty"`
		// Boots is the platform's count when the instance went out.
		Boots uint64 `json:"boots,omitempty"`
		// QuarantineCount counts the times that the instance was quarantined.
		QuarantineCount int    `json:"strikes,omitempty"`
		Reason          Reason `json:"reason"`
	}

	// PlacementState is where a job is on an instance.
	PlacementState string

	// Placement is a job on an instance.
	Placement struct {
		Job   JobID          `json:"job"`
		State PlacementState `json:"state"`
		// Placed is the generation that put the job here; the task id is
		// made from it.
		Placed Generation `json:"placed"`
		// Generation of the plan that set State.
		Generation Generation `json:"generation"`
	}
)

// States of an instance.
const (
	// InstanceJoining: in its pool, its tasks are being started; no requests yet.
	InstanceJoining InstanceState = "joining"
	// InstanceServing: takes requests for its running jobs.
	InstanceServing InstanceState = "serving"
	// InstanceDraining: no new requests; what runs is let finish.
	InstanceDraining InstanceState = "draining"
	// InstanceOut: away for maintenance or reclaimed; carries nothing.
	InstanceOut InstanceState = "out"
	// InstanceSpare: carries nothing, ready to join a pool.
	InstanceSpare InstanceState = "spare"
	// InstanceQuarantined: failed everything it was given; carries nothing new.
	InstanceQuarantined InstanceState = "quarantined"
)

// States of a placement.
const (
	PlacementStarting PlacementState = "starting"
	PlacementRunning  PlacementState = "running"
	PlacementStopping PlacementState = "stopping"
	// PlacementFailed: the task failed here; tried elsewhere.
	PlacementFailed PlacementState = "failed"
)

// Active tells whether the instance counts towards its pool's size.
func (a *Assignment) Active() bool { return a.State == InstanceJoining || a.State == InstanceServing }

// Serves tells whether requests for a job may be sent to the instance.
func (a *Assignment) Serves(job JobID) bool {
	if a.State != InstanceServing {
		return false
	}
	p := a.Placement(job)
	return p != nil && p.State == PlacementRunning
}

// Placement finds a job on the instance, or nil.
func (a *Assignment) Placement(job JobID) *Placement {
	for i := range a.Jobs {
		if a.Jobs[i].Job == job {
			return &a.Jobs[i]
		}
	}
	return nil
}

// Maintained tells whether a wave has maintained the instance.
func (a *Assignment) Maintained(wave WaveID) bool { return slices.Contains(a.Waves, wave) }
