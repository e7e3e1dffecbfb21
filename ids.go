package tamarindworks

// Identifiers. They are compared, never parsed.
type (
	// InstanceID identifies a borrowed machine in the platform's list.
	InstanceID string
	// HallID identifies a data hall, a failure domain with its own instances.
	HallID string
	// RackID identifies a rack within a data hall.
	RackID string
	// PoolID identifies a pool of instances.
	PoolID string
	// JobID identifies a job that pools run.
	JobID string
	// ServiceID identifies a service: routes and an availability budget.
	ServiceID string
	// TeamID identifies a team of callers with a quota.
	TeamID string
	// DaemonID identifies a daemon.
	DaemonID string
	// TaskID identifies a task on an instance; see NewTaskID.
	TaskID string
	// WaveID identifies a maintenance wave.
	WaveID string
	// ChangeID identifies one write, so that a write whose response was lost
	// can be recognised when it is read back.
	ChangeID string
)

// Monotonic counters. A lower value never replaces a higher one.
type (
	// Revision counts accepted configurations.
	Revision uint64
	// Generation counts the plans of one data hall.
	Generation uint64
	// Epoch counts the holders of a lease; a higher epoch fences a lower one.
	Epoch uint64
	// Incarnation distinguishes successive processes of one daemon.
	Incarnation uint64
	// Version is the store's counter for compare-and-swap; zero means that
	// the key does not exist. QueueConfig.Version is not that counter but
	// a field of the stored configuration.
	Version uint64
)

// SparePool is the reserved name of the pool of instances that run no job.
const SparePool PoolID = "spare"
