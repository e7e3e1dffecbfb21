package tamarindworks

import "time"

// AcceptedConfig is a fleet configuration as it is stored. Source is the
// operator's original text, including comments.
type AcceptedConfig struct {
	Revision  Revision  `json:"revision"`
	Source    string    `json:"source"`
	Operator  string    `json:"operator,omitempty"`
	AppliedAt time.Time `json:"applied_at"` // informational; not used in decisions
}
