package tamarindworks

type (
	// InstancePhase is what the platform says of an instance.
	InstancePhase string

	// Role tells workers from entry instances in the platform's list.
	Role string

	// Instance is a borrowed machine as the platform's list shows it.
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
		// Connections bounds the TCP connections to the instance from its
		// whole hall.
		Connections int `json:"connections"`
	}

	// InstanceSnapshot is the platform's lagging list at one moment. A lower
	// version never replaces a higher one.
	InstanceSnapshot struct {
		Version   uint64     `json:"version"`
		Instances []Instance `json:"instances"`
	}
)

// Phases.
const (
	PhaseLive    InstancePhase = "live"
	PhaseLeaving InstancePhase = "leaving"
)

// Roles.
const (
	RoleWorker Role = "worker"
	RoleEntry  Role = "entry"
)
