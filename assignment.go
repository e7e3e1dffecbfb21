package tamarindworks

import "slices"

type (
	// InstanceState is the state of an instance within the plan.
	InstanceState string

	// Assignment assigns an instance to exactly one pool.
	Assignment struct {
		Instance InstanceID    `json:"instance"`
		Rack     RackID        `json:"rack"`
		Address  string        `json:"address"`
		Slots    Slots         `json:"slots"`
		Conns    int           `json:"conns"`
		Pool     PoolID        `json:"pool"`
		State    InstanceState `json:"state"`
		Jobs     []Placement   `json:"jobs,omitempty"`
		// NextPool is the pool that a draining instance joins afterwards.
		NextPool PoolID `json:"next,omitempty"`
		// Generation is the generation of the plan that set State.
		Generation Generation `json:"generation"`
		// Wave is the maintenance wave that the instance is draining or out for.
		Wave WaveID `json:"wave,omitempty"`
		// Waves lists the configured waves that have maintained the instance.
		Waves []WaveID `json:"waves,omitempty"`
		// Boots is the platform's boot count when the instance was taken out.
		Boots uint64 `json:"boots,omitempty"`
		// QuarantineCount is the number of times the instance was quarantined.
		QuarantineCount int    `json:"strikes,omitempty"`
		Reason          Reason `json:"reason"`
	}

	// PlacementState is the state of a job on an instance.
	PlacementState string

	// Placement is a job on an instance.
	Placement struct {
		Job   JobID          `json:"job"`
		State PlacementState `json:"state"`
		// Placed is the generation of the plan that placed the job here. It
		// is part of the task id.
		Placed Generation `json:"placed"`
		// Generation is the generation of the plan that set State.
		Generation Generation `json:"generation"`
	}
)

// States of an instance.
const (
	// InstanceJoining: assigned to its pool, its tasks are starting; no requests yet.
	InstanceJoining InstanceState = "joining"
	// InstanceServing: accepts requests for its running jobs.
	InstanceServing InstanceState = "serving"
	// InstanceDraining: no new requests; those in flight may finish.
	InstanceDraining InstanceState = "draining"
	// InstanceOut: in maintenance or reclaimed by the platform; runs no job.
	InstanceOut InstanceState = "out"
	// InstanceSpare: runs no job and can join a pool.
	InstanceSpare InstanceState = "spare"
	// InstanceQuarantined: failed all of its tasks or requests; gets no new work.
	InstanceQuarantined InstanceState = "quarantined"
)

// States of a placement.
const (
	PlacementStarting PlacementState = "starting"
	PlacementRunning  PlacementState = "running"
	PlacementStopping PlacementState = "stopping"
	// PlacementFailed: the task failed here and is tried on another instance.
	PlacementFailed PlacementState = "failed"
)

// Active reports whether the instance counts towards its pool's size.
func (a *Assignment) Active() bool { return a.State == InstanceJoining || a.State == InstanceServing }

// Serves reports whether requests for a job may be sent to the instance.
func (a *Assignment) Serves(job JobID) bool {
	if a.State != InstanceServing {
		return false
	}
	p := a.Placement(job)
	return p != nil && p.State == PlacementRunning
}

// Placement returns the placement of a job on the instance, or nil.
func (a *Assignment) Placement(job JobID) *Placement {
	for i := range a.Jobs {
		if a.Jobs[i].Job == job {
			return &a.Jobs[i]
		}
	}
	return nil
}

// Maintained reports whether a wave has maintained the instance.
func (a *Assignment) Maintained(wave WaveID) bool { return slices.Contains(a.Waves, wave) }
