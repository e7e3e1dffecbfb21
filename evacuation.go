package tamarindworks

import "slices"

// Evacuations are the data halls in which no work may be started, as the metadata store had
// them at a revision. Of two, the one of the higher revision holds. It is not changed once it
// is in use; nil stands for not known.
type Evacuations struct {
	Revision KVRevision `json:"revision"`
	Halls    []HallID   `json:"halls,omitempty"`
}

// Has tells whether a hall is evacuated.
func (e *Evacuations) Has(hall HallID) bool { return e != nil && slices.Contains(e.Halls, hall) }

// Any tells whether there is an evacuated hall.
func (e *Evacuations) Any() bool { return e != nil && len(e.Halls) > 0 }

// NewerThan tells whether e is known and replaces other.
func (e *Evacuations) NewerThan(other *Evacuations) bool {
	return e != nil && (other == nil || e.Revision > other.Revision)
}
