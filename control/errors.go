package control

import "github.com/cockroachdb/errors"

// Errors of this package, in addition to those of the root package.
var (
	// ErrLostLease means that this daemon no longer holds the planner's lease.
	ErrLostLease = errors.New("control: the planner's lease is lost")
	// ErrStoreBehind means that the store has an older configuration than the
	// daemons, as after it was restored from a backup.
	ErrStoreBehind = errors.New("the store is behind the daemons: a planner will restore the configuration, try again shortly")
)
