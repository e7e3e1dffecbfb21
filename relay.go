package tamarindworks

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// RelayedStart is an order to start that one daemon gives for another.
	RelayedStart struct {
		To    WorkerRef
		Order StartOrder
		// SpecCached: the order lacks its spec, which the relay was sent with an earlier
		// order of the submission.
		SpecCached bool
		// Limit is how long the order may take from when the relay has it.
		Limit time.Duration
	}

	// RelayedAnswer is what became of one order of a batch.
	RelayedAnswer struct {
		Index int // of the order in the batch
		Clock WorkerTime
		// Err is as for WorkerOrders, or ErrSpecUnknown.
		Err error
	}

	// Relays are other daemons that give orders to start for this one.
	Relays interface {
		// Candidates lists the addresses of some daemons in a data hall.
		Candidates(hall HallID) []string
		// Start has a daemon give orders to different workers. It hands over each answer
		// as it comes. After an error, orders without an answer are unclear, except after
		// ErrGone and ErrUnavailable, which prove that nothing was done.
		Start(ctx context.Context, address string, batch []RelayedStart, answer func(RelayedAnswer)) error
	}
)

// ErrSpecUnknown is the error of an order without its spec that the relay does not know: it
// was not given.
var ErrSpecUnknown = errors.New("spec unknown")
