package member

import (
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// LooksRequest asks a daemon to look at workers, and for what it has found. It is
	// sent some tens of times a second by a busy owner, so names are short.
	LooksRequest struct {
		From tw.DaemonID `json:"from"`
		// Session tells links apart that follow each other.
		Session int64 `json:"session"`
		// Call counts the calls of the session before this one. A daemon that has
		// started anew so notices that it does not know what the others asked for.
		Call  int         `json:"call"`
		Begin []LookBegin `json:"begin,omitempty"`
	}

	// LookBegin is a look that is to begin.
	LookBegin struct {
		Look     int64          `json:"n"`
		Worker   tw.WorkerID    `json:"id"`
		Address  string         `json:"at"`
		Fence    tw.Fence       `json:"f"`
		Seen     int64          `json:"seen,omitempty"`
		Deadline tw.WorkerClock `json:"d,omitempty"`
		Wait     time.Duration  `json:"w,omitempty"`
	}

	// LooksResponse is what was found since the last one.
	LooksResponse struct {
		Found []LookFound `json:"found,omitempty"`
	}

	// LookFound is the outcome of a look.
	LookFound struct {
		Look    int64             `json:"n"`
		Outcome StartOutcome      `json:"o"`
		Running []FoundRunning    `json:"run,omitempty"`
		Ended   []FoundEnded      `json:"end,omitempty"`
		IDs     []tw.SubmissionID `json:"ids,omitempty"`
	}

	// FoundSubtask is a subtask of the submission at Submission of the ids.
	FoundSubtask struct {
		Submission int `json:"n,omitempty"`
		Repetition int `json:"k,omitempty"`
		Step       int `json:"s,omitempty"`
		Index      int `json:"i,omitempty"`
	}

	// FoundRunning is a run that is there.
	FoundRunning struct {
		FoundSubtask
		Run     tw.RunNumber  `json:"r"`
		Saved   tw.Checkpoint `json:"c,omitempty"`
		Percent int           `json:"p,omitempty"`
		Tail    time.Duration `json:"t,omitempty"`
	}

	// FoundEnded is a run that has ended.
	FoundEnded struct {
		FoundSubtask
		Sequence int64         `json:"q"`
		Run      tw.RunNumber  `json:"r"`
		Kind     tw.EndKind    `json:"e"`
		Saved    tw.Checkpoint `json:"c,omitempty"`
	}
)

// lookFound is the outcome of a look as it is sent.
func lookFound(look int64, report tw.HoldReport, err error) LookFound {
	out := LookFound{Look: look, Outcome: outcomeOf(tw.StartResult{Clock: report.Clock, Err: err})}
	places := map[tw.SubmissionID]int{}
	name := func(id tw.SubtaskID) FoundSubtask {
		place, known := places[id.Submission]
		if !known {
			place = len(out.IDs)
			places[id.Submission] = place
			out.IDs = append(out.IDs, id.Submission)
		}
		return FoundSubtask{Submission: place, Repetition: id.Repetition, Step: id.Step, Index: id.Index}
	}
	for _, r := range report.Running {
		out.Running = append(out.Running, FoundRunning{
			FoundSubtask: name(r.Subtask), Run: r.Run, Saved: r.Saved, Percent: r.Percent, Tail: r.Tail,
		})
	}
	for _, e := range report.Ended {
		out.Ended = append(out.Ended, FoundEnded{
			FoundSubtask: name(e.Subtask), Sequence: e.Sequence, Run: e.Run, Kind: e.Kind, Saved: e.Saved,
		})
	}
	return out
}

// report is what was found, or why nothing was.
func (f *LookFound) report() (tw.HoldReport, error) {
	result := f.Outcome.result()
	if result.Err != nil {
		return tw.HoldReport{}, result.Err
	}
	report := tw.HoldReport{Clock: result.Clock}
	for _, r := range f.Running {
		id, err := f.subtask(r.FoundSubtask)
		if err != nil {
			return tw.HoldReport{}, err
		}
		report.Running = append(report.Running, tw.RunningSubtask{
			Subtask: id, Run: r.Run, Saved: r.Saved, Percent: r.Percent, Tail: r.Tail,
		})
	}
	for _, e := range f.Ended {
		id, err := f.subtask(e.FoundSubtask)
		if err != nil {
			return tw.HoldReport{}, err
		}
		report.Ended = append(report.Ended, tw.EndedSubtask{Sequence: e.Sequence, Subtask: id, Run: e.Run, Kind: e.Kind, Saved: e.Saved})
	}
	return report, nil
}

func (f *LookFound) subtask(s FoundSubtask) (tw.SubtaskID, error) {
	if s.Submission < 0 || s.Submission >= len(f.IDs) {
		return tw.SubtaskID{}, errors.Wrap(tw.ErrUnclear, "member: malformed finding of a look")
	}
	return tw.SubtaskID{Submission: f.IDs[s.Submission], Repetition: s.Repetition, Step: s.Step, Index: s.Index}, nil
}
