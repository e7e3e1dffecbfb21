package tamarindworks

type (
	// ReasonCode is a stable identifier of the reason for a decision.
	ReasonCode string

	// Reason explains a decision to an operator.
	Reason struct {
		Code   ReasonCode `json:"code"`
		Detail string     `json:"detail,omitempty"`
	}
)

// Reasons for the state of an instance or a job.
const (
	ReasonNew          ReasonCode = "new"           // first listed by the platform
	ReasonNeeded       ReasonCode = "needed"        // its pool was short of instances
	ReasonTasksRunning ReasonCode = "tasks-running" // its tasks are running
	ReasonLost         ReasonCode = "lost"          // the platform no longer lists it
	ReasonLeaving      ReasonCode = "leaving"       // the platform is reclaiming it
	ReasonLabels       ReasonCode = "labels"        // its labels no longer match its pool
	ReasonPoolGone     ReasonCode = "pool-gone"     // its pool was removed from the configuration
	ReasonSurplus      ReasonCode = "surplus"       // its pool has more instances than it needs
	ReasonTaken        ReasonCode = "taken"         // another pool is short of instances and no spare fits
	ReasonWave         ReasonCode = "wave"          // maintenance wave
	ReasonDrained      ReasonCode = "drained"       // all daemons acknowledged the drain and work has ended
	ReasonMaintained   ReasonCode = "maintained"    // back from maintenance
	ReasonFailing      ReasonCode = "failing"       // all of its tasks or requests fail
	ReasonNoPool       ReasonCode = "no-pool"       // no pool's selector matches the job
	ReasonTooLarge     ReasonCode = "too-large"     // the job exceeds the capacity of every instance
	ReasonNoInstance   ReasonCode = "no-instance"   // no instance is left for the job
)

// String formats the reason as "code: detail".
func (r Reason) String() string {
	if r.Detail == "" {
		return string(r.Code)
	}
	return string(r.Code) + ": " + r.Detail
}
