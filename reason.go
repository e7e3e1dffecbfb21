package tamarindworks

type (
	// ReasonCode is the stable name of why a decision was made.
	ReasonCode string

	// Reason explains a decision to an operator.
	Reason struct {
		Code   ReasonCode `json:"code"`
		Detail string     `json:"detail,omitempty"`
	}
)

// Why an instance or a job is where it is.
const (
	ReasonNew          ReasonCode = "new"           // first seen in the platform's list
	ReasonNeeded       ReasonCode = "needed"        // its pool was short of instances
	ReasonTasksRunning ReasonCode = "tasks-running" // its tasks run
	ReasonLost         ReasonCode = "lost"          // the platform no longer lists it
	ReasonLeaving      ReasonCode = "leaving"       // the platform reclaims it
	ReasonLabels       ReasonCode = "labels"        // its labels no longer match its pool
	ReasonPoolGone     ReasonCode = "pool-gone"     // its pool was taken from the configuration
	ReasonSurplus      ReasonCode = "surplus"       // its pool has more than it needs
	ReasonTaken        ReasonCode = "taken"         // another pool is short and no spare fits
	ReasonWave         ReasonCode = "wave"          // maintenance
	ReasonDrained      ReasonCode = "drained"       // all daemons acknowledged, work ended
	ReasonMaintained   ReasonCode = "maintained"    // back from maintenance
	ReasonFailing      ReasonCode = "failing"       // fails everything it is given
	ReasonNoPool       ReasonCode = "no-pool"       // no pool's selector matches the job
	ReasonTooLarge     ReasonCode = "too-large"     // no instance could hold the job
	ReasonNoInstance   ReasonCode = "no-instance"   // no instance is left for the job
)

// String is "code: detail".
func (r Reason) String() string {
	if r.Detail == "" {
		return string(r.Code)
	}
	return string(r.Code) + ": " + r.Detail
}
