package tamarindworks

import (
	"context"
	"time"
)

type (
	// MachineState is what the platform says of a machine.
	MachineState string

	// Machine is a borrowed instance as the platform's machine interface
	// lists it.
	Machine struct {
		ID       InstanceID
		Pool     PoolID
		State    MachineState
		Hall     HallID
		Labels   []string
		Capacity Resources
		// Worker is the life that runs there; empty if none does.
		Worker WorkerID
	}

	// MaintenanceWave asks for maintenance of machines.
	MaintenanceWave struct {
		Number   int64
		Machines []InstanceID
		// NoticePeriod is the time from its announcement until it is due.
		NoticePeriod time.Duration
		// MaxConcurrent bounds the machines that are down for it at the same time.
		MaxConcurrent int
	}

	// MachineHolder identifies who orders changes of machines.
	MachineHolder struct {
		Name  string
		Fence FencingToken
	}

	// MachineRefusalReason says why the platform refused a change of a machine.
	MachineRefusalReason string

	// MachineRefusedError is the error of a change that was surely not done.
	MachineRefusedError struct{ Reason MachineRefusalReason }

	// Machines lists and changes machines. Calls fail with *MachineRefused,
	// ErrUnavailable, ErrRateLimited (both surely not done) or ErrUnclear.
	Machines interface {
		List(ctx context.Context) ([]Machine, error)
		// Move puts a machine into another pool; all that runs there dies.
		Move(ctx context.Context, by MachineHolder, machine InstanceID, pool PoolID) error
		// Maintain takes a machine down for a wave; all that runs there dies.
		Maintain(ctx context.Context, by MachineHolder, machine InstanceID, wave int64) error
	}
)

// States of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "maintenance"
	MachineDown        MachineState = "down"
)

// Reasons of refused changes.
const (
	// MachineRefusedFence: a newer holder has ordered a change.
	MachineRefusedFence MachineRefusalReason = "fence"
	// MachineRefusedBusy: the machine is not up, or it is leaving.
	MachineRefusedBusy MachineRefusalReason = "busy"
	// MachineRefusedNotInWave: the wave does not name the machine.
	MachineRefusedNotInWave MachineRefusalReason = "wave"
	// MachineRefusedUnknown: there is no such machine, or the pool takes others.
	MachineRefusedUnknown MachineRefusalReason = "unknown"
)

// Error implements error.
func (r *MachineRefusedError) Error() string {
	return "change of a machine refused: " + string(r.Reason)
}
