package tamarindworks

import "time"

// AcceptedConfig is a fleet configuration as the store keeps it. The source
// is kept as the operator wrote it, comments included.
type AcceptedConfig struct {
	Revision  Revision  `json:"revision"`
	Source    string    `json:"source"`
	Operator  string    `json:"operator,omitempty"`
	AppliedAt time.Time `json:"applied_at"` // for people; decides nothing
}
