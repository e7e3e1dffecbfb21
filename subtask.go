package tamarindworks

import (
	"strconv"
	"time"
)

type (
	// SubtaskID identifies one subtask of one repetition of a submission.
	SubtaskID struct {
		Submission SubmissionID
		Repetition int
		Step       int
		Index      int
	}

	// RunNumber numbers the runs of a subtask in the order of their starts.
	RunNumber int64

	// FencingToken is the number by which workers and the platform distinguish a
	// newer owner from an older one, and reject orders of the older one.
	FencingToken int64

	// Checkpoint is the saved progress of a subtask; empty means none.
	Checkpoint string

	// EndKind says how a run ended.
	EndKind string

	// RunningSubtask is a run that a worker reports as running.
	RunningSubtask struct {
		Subtask    SubtaskID
		Run        RunNumber
		Checkpoint Checkpoint
		// Percent is the progress of the work or, for a long-running subtask,
		// the share of full speed at which it works.
		Percent int
		// TailLatency is the measured tail latency of a subtask that serves users. It is
		// meaningless for other subtasks.
		TailLatency time.Duration
		// Usage is the measured processor usage of a subtask that does not serve users. It
		// is meaningless for one that does.
		Usage Millicores
	}

	// EndedSubtask is the end of a run that a worker reports.
	EndedSubtask struct {
		// Sequence numbers the ends reported by one incarnation of a worker,
		// in steps of one.
		Sequence   int64
		Subtask    SubtaskID
		Run        RunNumber
		Kind       EndKind
		Checkpoint Checkpoint
	}
)

// Kinds of ends.
const (
	// EndDone: the run succeeded.
	EndDone EndKind = "done"
	// EndFailed: the subtask or its worker failed.
	EndFailed EndKind = "failed"
	// EndStopped: the run was stopped by an order.
	EndStopped EndKind = "stopped"
	// EndExpired: the deadline of the run passed.
	EndExpired EndKind = "lapsed"
	// EndGangBroken: another subtask of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangTimeout: the other subtasks of the gang did not start in time.
	EndGangTimeout EndKind = "alone"
)

// String formats the id for logs and for the orders to workers.
func (s SubtaskID) String() string {
	const numbersSize = 16 // bytes, enough for most
	out := make([]byte, 0, len(s.Submission)+numbersSize)
	out = append(out, s.Submission...)
	for _, n := range [...]int{s.Repetition, s.Step, s.Index} {
		out = append(out, '.')
		out = strconv.AppendInt(out, int64(n), 10)
	}
	return string(out)
}
