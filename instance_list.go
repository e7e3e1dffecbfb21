package tamarindworks

import "context"

// InstanceList is the platform's lagging list of live and leaving instances.
// An instance that is gone is not listed.
type InstanceList interface {
	// List returns the instances of one hall, entry instances included. It
	// fails with ErrNoChange if the list's version is the one seen, so that
	// asking often costs little, or with ErrUnavailable.
	List(ctx context.Context, hall HallID, seen uint64) (InstanceSnapshot, error)
}
