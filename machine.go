package tamarindworks

import (
	"context"
	"time"
)

type (
	// MachineState is the state of a machine reported by the platform.
	MachineState string

	// Machine is a borrowed instance as listed by Machines, in one of the
	// pools of QueueConfig.
	Machine struct {
		ID       InstanceID
		Pool     PoolID
		State    MachineState
		Hall     HallID
		Labels   []string
		Capacity Resources
		// Worker is the worker that runs on the machine; empty if there is none.
		Worker WorkerID
	}

	// MaintenanceWave is the operators' request to maintain machines.
	MaintenanceWave struct {
		Number   int64
		Machines []InstanceID
		// TimeLimit is the time from the announcement of the wave to its deadline.
		TimeLimit time.Duration
		// MaxConcurrent limits the machines that are down for the wave at the same
		// time.
		MaxConcurrent int
	}

	// MachineHolder identifies the daemon that orders changes of machines.
	MachineHolder struct {
		Name  string
		Fence FencingToken
	}

	// MachineRefusalReason is the reason why the platform refused a change of a
	// machine.
	MachineRefusalReason string

	// MachineRefusedError is the error of a change that the platform refused; it
	// was certainly not made.
	MachineRefusedError struct{ Reason MachineRefusalReason }

	// Machines lists and changes machines. Calls fail with
	// *MachineRefusedError, ErrUnavailable, ErrRateLimited (both certainly not
	// executed) or ErrAmbiguous.
	Machines interface {
		List(ctx context.Context) ([]Machine, error)
		// Move moves a machine to another pool, which kills everything that
		// runs on it.
		Move(ctx context.Context, by MachineHolder, machine InstanceID, pool PoolID) error
		// Maintain takes a machine down for a wave, which kills everything
		// that runs on it.
		Maintain(ctx context.Context, by MachineHolder, machine InstanceID, wave int64) error
	}
)

// Machine states.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "maintenance"
	MachineDown        MachineState = "down"
)

// Reasons of refused machine changes.
const (
	// MachineRefusedFence: a holder with a higher fencing token has ordered a change.
	MachineRefusedFence MachineRefusalReason = "fence"
	// MachineRefusedBusy: the machine is not up, or the platform is reclaiming it.
	MachineRefusedBusy MachineRefusalReason = "busy"
	// MachineRefusedNotInWave: the wave does not list the machine.
	MachineRefusedNotInWave MachineRefusalReason = "wave"
	// MachineRefusedUnknown: the machine does not exist, or the pool does not accept
	// machines of its kind.
	MachineRefusedUnknown MachineRefusalReason = "unknown"
)

// Error implements error.
func (r *MachineRefusedError) Error() string {
	return "change of a machine refused: " + string(r.Reason)
}
