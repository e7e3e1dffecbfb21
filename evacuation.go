package tamarindworks

import "slices"

// Evacuations lists the data halls in which no work may be started, as of a revision of the
// metadata store. A value with a higher revision replaces one with a lower revision. It is
// immutable once in use; nil means unknown.
type Evacuations struct {
	Revision KVRevision `json:"revision"`
	Halls    []HallID   `json:"halls,omitempty"`
}

// Has reports whether a hall is evacuated.
func (e *Evacuations) Has(hall HallID) bool { return e != nil && slices.Contains(e.Halls, hall) }

// Any reports whether any hall is evacuated.
func (e *Evacuations) Any() bool { return e != nil && len(e.Halls) > 0 }

// NewerThan reports whether e is known and replaces other.
func (e *Evacuations) NewerThan(other *Evacuations) bool {
	return e != nil && (other == nil || e.Revision > other.Revision)
}
