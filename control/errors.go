package control

import "github.com/cockroachdb/errors"

// ErrLostLease means that another daemon plans for the hall now. Beside it,
// this package fails with the errors of the root package.
var ErrLostLease = errors.New("control: the planner's lease is lost")
