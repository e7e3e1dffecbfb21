package tamarindworks

type (
	// InstancePhase is the lifecycle phase of an instance reported by the platform.
	InstancePhase string

	// Role distinguishes worker and entry instances in the platform's list.
	Role string

	// Instance is a borrowed machine as listed by InstanceList.
	Instance struct {
		ID      InstanceID        `json:"id"`
		Role    Role              `json:"role"`
		Hall    HallID            `json:"hall"`
		Rack    RackID            `json:"rack"`
		Address string            `json:"address"` // IP:port that serves requests
		Labels  map[string]string `json:"labels,omitempty"`
		Phase   InstancePhase     `json:"phase"`
		Boots   uint64            `json:"boots"` // grows with each reboot
		Cores   Cores             `json:"cores"`
		Memory  Megabytes         `json:"memory_mb"`
		Slots   Slots             `json:"slots"`
		// Connections is the maximum number of TCP connections to the
		// instance from all daemons of its hall together.
		Connections int `json:"connections"`
	}

	// InstanceSnapshot is one version of the platform's instance list, which
	// may be stale. A lower version never replaces a higher one.
	InstanceSnapshot struct {
		Version   uint64     `json:"version"`
		Instances []Instance `json:"instances"`
	}
)

// Instance phases.
const (
	PhaseLive    InstancePhase = "live"
	PhaseLeaving InstancePhase = "leaving"
)

// Instance roles.
const (
	RoleWorker Role = "worker"
	RoleEntry  Role = "entry"
)
