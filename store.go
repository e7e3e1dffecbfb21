package tamarindworks

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Key names a value in the platform's store.
	Key string

	// Item is a value with the version to swap it by.
	Item struct {
		Value   []byte
		Version Version
	}

	// LeaseRequest asks for a lease, or renews it when Holder has it already.
	LeaseRequest struct {
		Name   Key
		Holder string
		TTL    time.Duration
	}

	// Lease is a granted lease. Epoch grows with each new holder.
	Lease struct {
		Holder string
		Epoch  Epoch
	}

	// Store is the platform's key-value service. It takes about 100 writes
	// and 2,000 reads a second in all; a waiting watch counts as a call.
	//
	// Every method may fail with ErrUnavailable (surely not done) or
	// ErrUnclear (a write may have happened all the same).
	Store interface {
		// Get reads a key, or fails with ErrNotFound.
		Get(ctx context.Context, key Key) (Item, error)
		// Put writes value if the key's version is base (0: must not exist),
		// or fails with ErrConflict.
		Put(ctx context.Context, key Key, value []byte, base Version) (Version, error)
		// Watch waits until the key's version is not seen, and returns the
		// item; after wait it fails with ErrNoChange.
		Watch(ctx context.Context, key Key, seen Version, wait time.Duration) (Item, error)
		// Acquire takes or renews a lease, or fails with ErrHeld.
		Acquire(ctx context.Context, req LeaseRequest) (Lease, error)
		// Release gives a lease back; it is no error not to hold it.
		Release(ctx context.Context, req LeaseRequest) error
		// Holder tells who has a lease, or fails with ErrNotFound.
		Holder(ctx context.Context, name Key) (Lease, error)
	}
)

// What the platform's interfaces fail with.
var (
	ErrNotFound    = errors.New("not found")
	ErrConflict    = errors.New("version conflict")
	ErrNoChange    = errors.New("no change")
	ErrLeaseHeld   = errors.New("lease is held")
	ErrUnavailable = errors.New("unavailable")
	// ErrNotListening is a peer's address at which no process listens.
	ErrNotListening = errors.New("no process there")
	ErrAmbiguous    = errors.New("answer lost")
)

// Keys of the documents kept in the store.
const (
	ConfigKey Key = "config"
)

// PlanKey is where a hall's plan is kept.
func PlanKey(hall HallID) Key { return Key("plan/" + string(hall)) }

// RosterKey is where a hall's registered daemons are kept.
func RosterKey(hall HallID) Key { return Key("roster/" + string(hall)) }

// PlannerLease names the lease of a hall's planner.
func PlannerLease(hall HallID) Key { return Key("lease/planner/" + string(hall)) }

// BudgetKey is where the disruptions of a service are kept.
func BudgetKey(service ServiceID) Key { return Key("budget/" + string(service)) }
