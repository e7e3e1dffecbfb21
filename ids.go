package tamarindworks

// Ids name things; they are compared, never parsed.
type (
	// InstanceID names a borrowed machine, as the platform lists it.
	InstanceID string
	// HallID names a data hall, the failure domain that owns its instances.
	HallID string
	// RackID names a rack within a data hall.
	RackID string
	// PoolID names a pool of instances.
	PoolID string
	// JobID names a job that pools carry.
	JobID string
	// ServiceID names a service: routes and an availability budget.
	ServiceID string
	// TeamID names a team of callers with a quota.
	TeamID string
	// DaemonID names an entry daemon.
	DaemonID string
	// TaskID names a task on a worker; see NewTaskID.
	TaskID string
	// WaveID names a maintenance wave.
	WaveID string
	// ChangeID marks one write, so that a write whose answer was lost can be
	// recognised when it is read back.
	ChangeID string
)

// Counters that only grow. An older value never replaces a newer one.
type (
	// Revision counts accepted configurations.
	Revision uint64
	// Generation counts the plans of one data hall.
	Generation uint64
	// Epoch counts the holders of a lease; a higher epoch fences a lower one.
	Epoch uint64
	// Incarnation tells two lives of one daemon apart.
	Incarnation uint64
	// Version is the store's own counter for compare-and-swap. Zero means
	// that the key does not exist.
	Version uint64
)

// SparePool is the pool of instances that carry no job. Its name is reserved.
const SparePool PoolID = "spare"
