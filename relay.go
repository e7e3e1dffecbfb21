package tamarindworks

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// RelayedStart is a start order that one daemon sends on behalf of another.
	RelayedStart struct {
		To    WorkerRef
		Order StartOrder
		// SpecCached means that the order omits its spec, because the relay received it
		// with an earlier order of the submission.
		SpecCached bool
		// Limit is the time allowed for the order, from its receipt by the relay.
		Limit time.Duration
	}

	// RelayedAnswer is the result of one order of a batch.
	RelayedAnswer struct {
		Index int // of the order in the batch
		Clock WorkerTime
		// Err is an error as for WorkerOrders, or ErrSpecUnknown.
		Err error
	}

	// Relays sends start orders through other daemons.
	Relays interface {
		// Candidates lists the addresses of some daemons in a data hall.
		Candidates(hall HallID) []string
		// Start has a daemon send a batch of orders to workers. It calls answer with each
		// result as it arrives. After an error, the outcome of orders without a result is
		// unknown, except after ErrNotListening and ErrUnavailable, which prove that no
		// order was sent.
		Start(ctx context.Context, address string, batch []RelayedStart, answer func(RelayedAnswer)) error
	}
)

// ErrSpecUnknown is the error of an order that omits its spec when the relay does not have the
// spec; the order was not sent.
var ErrSpecUnknown = errors.New("spec unknown")
