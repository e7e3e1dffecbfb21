package tamarindworks

import "context"

// InstanceList is the platform's list of live and leaving instances, which
// may be stale. Instances that are gone are not listed.
type InstanceList interface {
	// List returns the instances of one hall, including entry instances. It
	// fails with ErrNoChange if the list's version still equals seen, which
	// makes frequent polling cheap, or with ErrUnavailable.
	List(ctx context.Context, hall HallID, seen uint64) (InstanceSnapshot, error)
}
