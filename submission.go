package tamarindworks

import (
	"time"
)

type (
	// SubmissionID names a submission. The caller picks it, so that a
	// repeated request is recognised.
	SubmissionID string
	// RouteName names a route of the accepted configuration.
	RouteName string
	// RackLabel is the label that names a worker's rack.
	RackLabel string
	// Millicores counts thousandths of a processor core.
	Millicores int64

	// Resources is what a subtask needs of a worker, or what a worker has.
	Resources struct {
		CPU      Millicores `json:"cpu,omitempty"`
		MemoryMB int64      `json:"mem,omitempty"`
		GPU      int64      `json:"gpu,omitempty"`
	}

	// Step is a set of equal subtasks of a submission.
	Step struct {
		Count int       `json:"count"`
		Need  Resources `json:"need"`
		// Estimate is the caller's rough guess of a subtask's run time.
		Estimate time.Duration `json:"estimate,omitempty"`
		// After lists earlier steps that must be done before this one starts.
		After []int `json:"after,omitempty"`
		// Checkpoints says that a stopped subtask can go on where it was.
		Checkpoints bool `json:"checkpoints,omitempty"`
		// Gang subtasks work only while all of them run.
		Gang     bool `json:"gang,omitempty"`
		SameRack bool `json:"same_rack,omitempty"`
		// Label is a label that the worker must have; empty for none.
		Label string `json:"label,omitempty"`
		// PreferredRack is the rack on which subtasks run fast; empty for any.
		PreferredRack RackLabel `json:"near,omitempty"`
		// MaxPerWorker bounds the step's subtasks on one worker; 0 for no bound.
		MaxPerWorker int `json:"max_per_worker,omitempty"`
		// AllowCopies says that a subtask may run twice at the same time.
		AllowCopies bool `json:"copies,omitempty"`
		// LongRunning subtasks run until the submission is cancelled.
		LongRunning bool `json:"lasting,omitempty"`
		// Image names the program; subtasks of one image behave alike.
		Image string `json:"image,omitempty"`
		// TailTarget bounds the tail latency of a subtask that serves users
		// of its own; 0 if it serves none.
		TailTarget time.Duration `json:"tail_target,omitempty"`
		// Filler subtasks take whatever processor time the others leave.
		Filler bool `json:"filler,omitempty"`
		// MaxDisrupted bounds how many subtasks of a lasting step the system
		// itself may have interrupted at the same time.
		MaxDisrupted int `json:"max_away,omitempty"`
	}

	// Schedule says when the steps run. The zero value is once, at once.
	Schedule struct {
		Times    int           `json:"times,omitempty"`
		First    time.Time     `json:"first,omitzero"`
		Interval time.Duration `json:"interval,omitempty"`
	}

	// RoutePolicy is what the configuration in force at acceptance says of a
	// submission's route.
	RoutePolicy struct {
		Route RouteName `json:"route"`
		Pool  PoolID    `json:"pool"`
		// Attempts is how often a subtask may fail.
		Attempts int `json:"attempts"`
		// Priority is the rank of the route; 0 goes first.
		Priority int `json:"priority"`
		// Stretch times the longest chain plus Target is the latency objective.
		Stretch float64       `json:"stretch"`
		Target  time.Duration `json:"target"`
		Advice  AdvicePolicy  `json:"advice,omitzero"`
	}

	// AdvicePolicy says that only workers which the advice service names may
	// run a step. The zero value asks for no advice.
	AdvicePolicy struct {
		Decide time.Duration `json:"decide,omitempty"`
		Each   time.Duration `json:"each,omitempty"`
		Valid  time.Duration `json:"valid,omitempty"`
	}

	// Submission is a piece of work that a caller handed in.
	Submission struct {
		ID SubmissionID `json:"id"`
		// Organisation is who handed it in; empty is nobody. It does not change with
		// the key that was used.
		Organisation OrganisationID `json:"organisation,omitempty"`
		Policy       RoutePolicy    `json:"policy"`
		Spec         string         `json:"spec"`
		Steps        []Step         `json:"steps"`
		Schedule     Schedule       `json:"schedule,omitzero"`
		// Accepted is the accepting daemon's time of day.
		Accepted time.Time `json:"accepted"`
	}

	// SubmissionState is what callers are told of a submission.
	SubmissionState string
)

// States of a submission. The last three are final.
const (
	SubmissionWaiting   SubmissionState = "waiting"
	SubmissionStarted   SubmissionState = "started"
	SubmissionSucceeded SubmissionState = "succeeded"
	SubmissionFailed    SubmissionState = "failed"
	SubmissionCancelled SubmissionState = "cancelled"
)

// Bounds of a submission. The platform's pages bound only the spec; the
// others keep one submission from using up a daemon's memory.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 256
	MaxStepCount   = 10000
	MaxSubtasks    = 20000
	MaxRepetitions = 100000
)

// Final tells whether the state never changes again.
func (s SubmissionState) Final() bool {
	return s == SubmissionSucceeded || s == SubmissionFailed || s == SubmissionCancelled
}

// Required tells whether starts need a ticket of the advice service.
func (a AdvicePolicy) Required() bool { return a.Valid > 0 }

// Fits tells whether need can be taken out of r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemoryMB <= r.MemoryMB && need.GPU <= r.GPU
}

// Allows tells whether used is within the limit r, of which a resource that is zero has no
// limit.
func (r Resources) Allows(used Resources) bool {
	return (r.CPU == 0 || used.CPU <= r.CPU) && (r.MemoryMB == 0 || used.MemoryMB <= r.MemoryMB) &&
		(r.GPU == 0 || used.GPU <= r.GPU)
}

// Minus is r less other.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, MemoryMB: r.MemoryMB - other.MemoryMB, GPU: r.GPU - other.GPU}
}

// Plus is r and other together.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, MemoryMB: r.MemoryMB + other.MemoryMB, GPU: r.GPU + other.GPU}
}

// Times is n times the resources.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * Millicores(n), MemoryMB: r.MemoryMB * int64(n), GPU: r.GPU * int64(n)}
}

// Reservation is what one subtask of the step takes out of a worker's capacity. A
// filler takes memory only.
func (s *Step) Reservation() Resources {
	if s.Filler {
		return Resources{MemoryMB: s.Need.MemoryMB, GPU: s.Need.GPU}
	}
	return s.Need
}

// Repetitions is how often the steps run.
func (s *Submission) Repetitions() int { return max(1, s.Schedule.Times) }

// Scheduled tells whether the steps run at given times.
func (s *Submission) Scheduled() bool { return s.Schedule.Times > 0 }

// Due is when repetition k may start.
func (s *Submission) Due(k int) time.Time {
	if !s.Scheduled() {
		return s.Accepted
	}
	return s.Schedule.First.Add(time.Duration(k) * s.Schedule.Interval)
}

// Validate gathers all faults; the error is of type Faults.
func (s *Submission) Validate() error {
	var faults ValidationErrors
	if len(s.Spec) > MaxSpecBytes {
		faults.Add("spec", "has %d bytes, must have at most %d", len(s.Spec), MaxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		faults.Add("steps", "are %d, must be between 1 and %d", len(s.Steps), MaxSteps)
	}
	total := 0
	for i := range s.Steps {
		s.Steps[i].validate(i, &faults)
		total += s.Steps[i].Count
	}
	if total > MaxSubtasks {
		faults.Add("steps", "have %d subtasks, must have at most %d", total, MaxSubtasks)
	}
	if s.Schedule.Times < 0 || s.Schedule.Times > MaxRepetitions {
		faults.Add("schedule.times", "is %d, must be between 0 and %d", s.Schedule.Times, MaxRepetitions)
	}
	if s.Schedule.Interval < 0 {
		faults.Add("schedule.interval", "is negative")
	}
	return faults.Err()
}
