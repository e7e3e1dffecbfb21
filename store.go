package tamarindworks

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Key is a key in the platform's store.
	Key string

	// Item is a value with its version for compare-and-swap.
	Item struct {
		Value   []byte
		Version Version
	}

	// LeaseRequest requests a lease, or its renewal if Holder already has it.
	LeaseRequest struct {
		Name   Key
		Holder string
		TTL    time.Duration
	}

	// Lease is a granted lease. Epoch increases with each new holder.
	Lease struct {
		Holder string
		Epoch  Epoch
	}

	// Store is the platform's key-value service. It supports about 100 writes
	// and 2,000 reads per second in total; a waiting watch counts as a call.
	//
	// Every method may fail with ErrUnavailable (certainly not executed) or
	// ErrAmbiguous (a write may have been executed).
	Store interface {
		// Get reads a key, or fails with ErrNotFound.
		Get(ctx context.Context, key Key) (Item, error)
		// Put writes value if the key's version is base (0 means that the key
		// must not exist), or fails with ErrConflict.
		Put(ctx context.Context, key Key, value []byte, base Version) (Version, error)
		// Watch waits until the key's version differs from seen and returns
		// the item. After wait it fails with ErrNoChange.
		Watch(ctx context.Context, key Key, seen Version, wait time.Duration) (Item, error)
		// Acquire acquires or renews a lease, or fails with ErrLeaseHeld.
		Acquire(ctx context.Context, req LeaseRequest) (Lease, error)
		// Release releases a lease. It does not fail if the lease is not held.
		Release(ctx context.Context, req LeaseRequest) error
		// Holder returns the current holder of a lease, or fails with
		// ErrNotFound.
		Holder(ctx context.Context, name Key) (Lease, error)
	}
)

// Errors of the platform's interfaces.
var (
	ErrNotFound    = errors.New("not found")
	ErrConflict    = errors.New("version conflict")
	ErrNoChange    = errors.New("no change")
	ErrLeaseHeld   = errors.New("lease is held")
	ErrUnavailable = errors.New("unavailable")
	// ErrNotListening means that no process listens at a peer's address.
	ErrNotListening = errors.New("no process there")
	// ErrAmbiguous means that a call may or may not have been executed.
	ErrAmbiguous = errors.New("answer lost")
)

// Keys of the documents in the store.
const (
	ConfigKey Key = "config"
)

// PlanKey is the key of a hall's plan.
func PlanKey(hall HallID) Key { return Key("plan/" + string(hall)) }

// RosterKey is the key of a hall's roster.
func RosterKey(hall HallID) Key { return Key("roster/" + string(hall)) }

// PlannerLease is the name of the planner lease of a hall.
func PlannerLease(hall HallID) Key { return Key("lease/planner/" + string(hall)) }

// BudgetKey is the key of the planned disruptions of a service.
func BudgetKey(service ServiceID) Key { return Key("budget/" + string(service)) }
