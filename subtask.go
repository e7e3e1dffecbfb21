package tamarindworks

import (
	"fmt"
	"time"
)

type (
	// SubtaskID names one subtask of one repetition of a submission.
	SubtaskID struct {
		Submission SubmissionID
		Repetition int
		Step       int
		Index      int
	}

	// RunNumber counts the starts of a subtask; a higher one is newer.
	RunNumber int64

	// FencingToken is the number by which workers and the platform tell a newer
	// owner from an older one.
	FencingToken int64

	// Checkpoint is saved progress of a subtask; empty for none.
	Checkpoint string

	// EndKind says how a run ended.
	EndKind string

	// RunningSubtask is a run that a worker lists as running.
	RunningSubtask struct {
		Subtask    SubtaskID
		Run        RunNumber
		Checkpoint Checkpoint
		// Percent is the progress of the work or, for a lasting subtask, the
		// pace at which it works.
		Percent int
		// TailLatency is the measured tail latency of a subtask that serves users.
		TailLatency time.Duration
		// Usage is the measured processor use of any other subtask.
		Usage Millicores
	}

	// EndedSubtask is the end of a run that a worker lists.
	EndedSubtask struct {
		// Sequence rises by one with each end in a worker's life.
		Sequence   int64
		Subtask    SubtaskID
		Run        RunNumber
		Kind       EndKind
		Checkpoint Checkpoint
	}
)

// Kinds of ends.
const (
	// EndDone is success.
	EndDone EndKind = "done"
	// EndFailed is a failure of the subtask or of its worker.
	EndFailed EndKind = "failed"
	// EndStopped follows a stop order.
	EndStopped EndKind = "stopped"
	// EndExpired is the end of a run whose deadline passed.
	EndExpired EndKind = "lapsed"
	// EndGangBroken is the end of a gang's member because another one ended.
	EndGangBroken EndKind = "broken"
	// EndGangTimeout is the end of a gang's member that waited for the others in vain.
	EndGangTimeout EndKind = "alone"
)

// String is for logs.
func (s SubtaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", s.Submission, s.Repetition, s.Step, s.Index)
}
