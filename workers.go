package tamarindworks

import (
	"context"
	"fmt"
)

type (
	// TaskState is where a task is in its life.
	TaskState string

	// Task is a job running on an instance under the platform's lease.
	Task struct {
		ID       TaskID     `json:"id"`
		Job      JobID      `json:"job"`
		Instance InstanceID `json:"instance"`
		State    TaskState  `json:"state"`
	}

	// Workers is the platform's way to run tasks on instances. All methods
	// may fail with ErrUnavailable or ErrUnclear; all may be told twice.
	Workers interface {
		// Tasks lists the tasks of a hall.
		Tasks(ctx context.Context, hall HallID) ([]Task, error)
		// Start starts a task; a task id starts at most once.
		Start(ctx context.Context, task Task) error
		// Stop ends a task; it is no error if there is none.
		Stop(ctx context.Context, id TaskID) error
		// Reboot asks for maintenance of an instance: the count Boots
		// in the instance list must be boots; if it is larger, the reboot
		// has been done already.
		Reboot(ctx context.Context, id InstanceID, boots uint64) error
	}
)

// Task states.
const (
	TaskStarting TaskState = "starting"
	TaskRunning  TaskState = "running"
	TaskFailed   TaskState = "failed"
)

// NewTaskID makes the id of a job's task on an instance. The generation that
// placed it is part of it, so that a start told twice starts once and a late
// stop never ends a newer task.
func NewTaskID(job JobID, instance InstanceID, placed Generation) TaskID {
	return TaskID(fmt.Sprintf("%s.%s.%d", job, instance, placed))
}
