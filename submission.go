package tamarindworks

import (
	"math"
	"time"
)

type (
	// SubmissionID identifies a submission. The caller chooses it, so that
	// repeated requests are recognised.
	SubmissionID string
	// RouteName identifies a route of the accepted configuration.
	RouteName string
	// RackLabel is the label that identifies a worker's rack.
	RackLabel string
	// Millicores counts thousandths of a processor core.
	Millicores int64

	// Resources are the resources that a subtask needs or a worker has.
	Resources struct {
		CPU      Millicores `json:"cpu,omitempty"`
		MemoryMB int64      `json:"mem,omitempty"`
		GPU      int64      `json:"gpu,omitempty"`
	}

	// Step is a set of identical subtasks of a submission.
	Step struct {
		Count int       `json:"count"`
		Need  Resources `json:"need"`
		// Estimate is the caller's estimate of a subtask's run time.
		Estimate time.Duration `json:"estimate,omitempty"`
		// After lists the indexes of earlier steps that must be done before
		// this one starts.
		After []int `json:"after,omitempty"`
		// Checkpoints means that a stopped subtask can resume from a
		// checkpoint.
		Checkpoints bool `json:"checkpoints,omitempty"`
		// Gang subtasks make progress only while all of them are running.
		Gang bool `json:"gang,omitempty"`
		// SameRack means that a gang is placed on the workers of one rack if
		// it fits there.
		SameRack bool `json:"same_rack,omitempty"`
		// Label is a label that the worker must have; empty means none.
		Label string `json:"label,omitempty"`
		// PreferredRack is the rack on which subtasks run faster; empty means none.
		PreferredRack RackLabel `json:"near,omitempty"`
		// MaxPerWorker limits the step's subtasks on one worker; 0 means no
		// limit.
		MaxPerWorker int `json:"max_per_worker,omitempty"`
		// AllowCopies allows a subtask to have two runs at the same time.
		AllowCopies bool `json:"copies,omitempty"`
		// LongRunning subtasks run until the submission is cancelled.
		LongRunning bool `json:"lasting,omitempty"`
		// Image is the name of the program; subtasks with the same image
		// behave alike.
		Image string `json:"image,omitempty"`
		// TailTarget is the maximum tail latency of a subtask that serves
		// users; 0 if it serves none.
		TailTarget time.Duration `json:"tail_target,omitempty"`
		// Filler subtasks use the processor time that other subtasks leave
		// free.
		Filler bool `json:"filler,omitempty"`
		// MaxDisrupted is the maximum number of subtasks of a long-running step
		// that the system itself may interrupt at the same time.
		MaxDisrupted int `json:"max_away,omitempty"`
	}

	// Schedule configures repetitions of the steps. The zero value runs them
	// once, immediately.
	Schedule struct {
		Times    int           `json:"times,omitempty"`
		First    time.Time     `json:"first,omitzero"`
		Interval time.Duration `json:"interval,omitempty"`
	}

	// RoutePolicy is the configuration of a submission's route that was
	// active when the submission was accepted.
	RoutePolicy struct {
		Route RouteName `json:"route"`
		Pool  PoolID    `json:"pool"`
		// Attempts is the number of failures of one subtask at which its submission
		// fails.
		Attempts int `json:"attempts"`
		// Priority is the priority of the route; 0 is the highest.
		Priority int `json:"priority"`
		// Stretch times the run time of the longest chain of steps, plus
		// Target, is the latency objective.
		Stretch float64       `json:"stretch"`
		Target  time.Duration `json:"target"`
		Advice  AdvicePolicy  `json:"advice,omitzero"`
	}

	// AdvicePolicy restricts the workers of a step to those for which the
	// advice service has issued a ticket. The zero value means no restriction.
	AdvicePolicy struct {
		// Decide and Each are the platform's decide_ms and each_ms. They are
		// stored but not used.
		Decide time.Duration `json:"decide,omitempty"`
		Each   time.Duration `json:"each,omitempty"`
		// Valid is how long a ticket is valid.
		Valid time.Duration `json:"valid,omitempty"`
	}

	// Submission is work submitted by a caller.
	Submission struct {
		ID SubmissionID `json:"id"`
		// Organisation is the submitting organisation; empty if there is none. It is
		// the same for all keys of the organisation.
		Organisation OrganisationID `json:"organisation,omitempty"`
		Policy       RoutePolicy    `json:"policy"`
		Spec         string         `json:"spec"`
		Steps        []Step         `json:"steps"`
		Schedule     Schedule       `json:"schedule,omitzero"`
		// Accepted is the wall-clock time at which a daemon accepted it.
		Accepted time.Time `json:"accepted"`
	}

	// SubmissionState is the state of a submission as reported to callers.
	SubmissionState string
)

// Submission states. The last three are final.
const (
	SubmissionWaiting   SubmissionState = "waiting"
	SubmissionStarted   SubmissionState = "started"
	SubmissionSucceeded SubmissionState = "succeeded"
	SubmissionFailed    SubmissionState = "failed"
	SubmissionCancelled SubmissionState = "cancelled"
)

// Limits of a submission; all but MaxSpecBytes are counts. The platform's
// documentation limits only the spec; the others keep a single submission from
// exhausting a daemon's memory.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 256
	MaxStepCount   = 10000
	MaxSubtasks    = 20000
	MaxRepetitions = 100000
)

// Final reports whether the state never changes again.
func (s SubmissionState) Final() bool {
	return s == SubmissionSucceeded || s == SubmissionFailed || s == SubmissionCancelled
}

// Required reports whether starts require a ticket from the advice service.
func (a AdvicePolicy) Required() bool { return a.Valid > 0 }

// Fits reports whether need is at most r in every resource.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemoryMB <= r.MemoryMB && need.GPU <= r.GPU
}

// Allows reports whether used is within the limit r. A resource that is zero in r has no
// limit.
func (r Resources) Allows(used Resources) bool {
	return (r.CPU == 0 || used.CPU <= r.CPU) && (r.MemoryMB == 0 || used.MemoryMB <= r.MemoryMB) &&
		(r.GPU == 0 || used.GPU <= r.GPU)
}

// Minus returns r minus other.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, MemoryMB: r.MemoryMB - other.MemoryMB, GPU: r.GPU - other.GPU}
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, MemoryMB: r.MemoryMB + other.MemoryMB, GPU: r.GPU + other.GPU}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * Millicores(n), MemoryMB: r.MemoryMB * int64(n), GPU: r.GPU * int64(n)}
}

// Reservation returns the share of a worker's capacity that one subtask of the step
// reserves. Fillers reserve no processor.
func (s *Step) Reservation() Resources {
	if s.Filler {
		return Resources{MemoryMB: s.Need.MemoryMB, GPU: s.Need.GPU}
	}
	return s.Need
}

// Repetitions returns how many times the steps run.
func (s *Submission) Repetitions() int { return max(1, s.Schedule.Times) }

// Scheduled reports whether the steps run at scheduled times.
func (s *Submission) Scheduled() bool { return s.Schedule.Times > 0 }

// Due returns the earliest start time of repetition k. One that is centuries after the first is due at
// the end of the time that a time.Duration can hold.
func (s *Submission) Due(k int) time.Time {
	if !s.Scheduled() {
		return s.Accepted
	}
	if k > 0 && s.Schedule.Interval > math.MaxInt64/time.Duration(k) {
		return s.Schedule.First.Add(math.MaxInt64)
	}
	return s.Schedule.First.Add(time.Duration(k) * s.Schedule.Interval)
}

// Validate returns all errors as ValidationErrors, or nil.
func (s *Submission) Validate() error {
	var errs ValidationErrors
	if len(s.Spec) > MaxSpecBytes {
		errs.Add("spec", "has %d bytes, must have at most %d", len(s.Spec), MaxSpecBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		errs.Add("steps", "are %d, must be between 1 and %d", len(s.Steps), MaxSteps)
	}
	total := 0
	for i := range s.Steps {
		s.Steps[i].validate(i, &errs)
		total += s.Steps[i].Count
	}
	if total > MaxSubtasks {
		errs.Add("steps", "have %d subtasks, must have at most %d", total, MaxSubtasks)
	}
	if s.Schedule.Times < 0 || s.Schedule.Times > MaxRepetitions {
		errs.Add("schedule.times", "is %d, must be between 0 and %d", s.Schedule.Times, MaxRepetitions)
	}
	if s.Schedule.Interval < 0 {
		errs.Add("schedule.interval", "is negative")
	}
	return errs.Err()
}
