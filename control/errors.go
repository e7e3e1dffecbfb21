package control

import "github.com/cockroachdb/errors"

// What this package fails with, beside the errors of the root package.
var (
	// ErrLostLease means that another daemon plans for the hall now.
	ErrLostLease = errors.New("control: the planner's lease is lost")
	// ErrStoreBehind means that the store has come back with an older
	// configuration than the daemons have.
	ErrStoreBehind = errors.New("the store is behind the daemons: it is put right by a planner, try again soon")
)
