package tamarindworks

import (
	"context"
	"fmt"
)

type (
	// TaskState is the state of a task.
	TaskState string

	// Task is an execution of a job on an instance under the platform's lease.
	Task struct {
		ID       TaskID     `json:"id"`
		Job      JobID      `json:"job"`
		Instance InstanceID `json:"instance"`
		State    TaskState  `json:"state"`
	}

	// Workers is the platform's interface for running tasks on instances. All
	// methods may fail with ErrUnavailable or ErrAmbiguous and are idempotent.
	Workers interface {
		// Tasks lists the tasks of a hall.
		Tasks(ctx context.Context, hall HallID) ([]Task, error)
		// Start starts a task; a task id starts at most once.
		Start(ctx context.Context, task Task) error
		// Stop ends a task. It does not fail if there is no such task.
		Stop(ctx context.Context, id TaskID) error
		// Reboot requests maintenance of an instance. It has an effect only if
		// Instance.Boots in the instance list equals boots; if Instance.Boots
		// is larger, the reboot has already happened.
		Reboot(ctx context.Context, id InstanceID, boots uint64) error
	}
)

// Task states.
const (
	TaskStarting TaskState = "starting"
	TaskRunning  TaskState = "running"
	TaskFailed   TaskState = "failed"
)

// NewTaskID returns the id of a job's task on an instance. It includes the
// generation that placed the job, so that a repeated start takes effect once
// and a delayed stop never ends a newer task.
func NewTaskID(job JobID, instance InstanceID, placed Generation) TaskID {
	return TaskID(fmt.Sprintf("%s.%s.%d", job, instance, placed))
}
