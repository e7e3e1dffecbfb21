package tamarindworks

import "context"

// InstanceList is the platform's lagging list of live and leaving instances.
// An instance that is gone is not listed.
type InstanceList interface {
	// List returns the instances of one hall, entry instances included.
	// It fails with ErrUnavailable.
	List(ctx context.Context, hall HallID) (InstanceSnapshot, error)
}
