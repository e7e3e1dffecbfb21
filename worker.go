package tamarindworks

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// WorkerID identifies a worker. After a crash or a move, the worker on the
	// same machine normally has a new id.
	WorkerID string

	// WorkerStartTime is the start time of a worker's incarnation in Unix milliseconds,
	// zero if the worker does not report it. A worker may restart under its previous
	// id. It then reports another start time, runs nothing, and its sequence numbers
	// and clock start again.
	WorkerStartTime int64

	// WorkerEntry is the record that a worker publishes about itself.
	WorkerEntry struct {
		ID        WorkerID
		StartTime WorkerStartTime
		Pool      PoolID
		Address   string
		Hall      HallID
		Instance  InstanceID
		Draining  bool
		// Remaining is the minimum time until a draining worker ends; zero if
		// the worker did not report it.
		Remaining time.Duration
		Capacity  Resources
		Labels    []string
	}

	// WorkerTime is a time on a worker's monotonic clock, in milliseconds.
	WorkerTime int64

	// WorkerRef identifies a worker and says where it can be reached.
	WorkerRef struct {
		ID      WorkerID
		Address string
		Hall    HallID
	}

	// StartOrder orders a worker to start a run.
	StartOrder struct {
		Subtask    SubtaskID
		Run        RunNumber
		Spec       string
		Checkpoint Checkpoint
		Ticket     string
		// Deadline applies to everything that runs on the worker. It is only
		// ever extended.
		Deadline WorkerTime
		Fence    FencingToken
	}

	// StopOrder orders a worker to stop a run, or not to start it later.
	StopOrder struct {
		Subtask SubtaskID
		Run     RunNumber
		Fence   FencingToken
	}

	// HoldOrder extends the deadline of the runs on a worker and requests a
	// report of the running and ended ones.
	HoldOrder struct {
		Fence FencingToken
		// AckedSequence acknowledges the ends up to this sequence number; the worker
		// drops them.
		AckedSequence int64
		// Deadline is the new deadline of all runs on the worker; zero leaves
		// it unchanged.
		Deadline WorkerTime
		// Wait is how long the worker may wait for an end to report.
		Wait time.Duration
	}

	// PaceOrder sets the speed of a subtask as a percentage of full speed.
	PaceOrder struct {
		Subtask SubtaskID
		Run     RunNumber
		Percent int
		Fence   FencingToken
	}

	// HoldReport is a worker's response to a HoldOrder.
	HoldReport struct {
		StartTime WorkerStartTime
		Clock     WorkerTime
		Running   []RunningSubtask
		Ended     []EndedSubtask
	}

	// RefusalReason is the reason why a worker refused an order.
	RefusalReason string

	// OrderRefusedError is the error of an order that a worker refused; it was
	// certainly not executed.
	OrderRefusedError struct {
		Reason RefusalReason
		// Clock is the worker's time, zero if the worker did not report it.
		Clock WorkerTime
	}

	// WorkerOrders sends orders to workers. Calls fail with
	// *OrderRefusedError, ErrAmbiguous (the order may have been executed, or
	// may be executed later) or ErrUnavailable (certainly not executed).
	WorkerOrders interface {
		Start(ctx context.Context, to WorkerRef, order StartOrder) (WorkerTime, error)
		Stop(ctx context.Context, to WorkerRef, order StopOrder) (WorkerTime, error)
		Hold(ctx context.Context, to WorkerRef, order HoldOrder) (HoldReport, error)
		Pace(ctx context.Context, to WorkerRef, order PaceOrder) (WorkerTime, error)
	}

	// ParallelStarter is implemented by a WorkerOrders that accepts several concurrent
	// starts for one worker.
	ParallelStarter interface {
		// MaxParallelStarts returns how many it currently accepts.
		MaxParallelStarts() int
	}

	// Advice is the response of the advice service for a step.
	Advice struct {
		Tickets map[WorkerID]string
		Valid   time.Duration
	}

	// Advisor determines the workers that may run a step.
	Advisor interface {
		Advise(ctx context.Context, step SubtaskID, workers []WorkerID) (Advice, error)
	}
)

// MaxEndsListed is the maximum number of ends in one HoldReport. Further ends follow
// once these are acknowledged.
const MaxEndsListed = 500

// Reasons of refused orders.
const (
	// RefusedStaleFence: an owner with a higher fencing token has sent orders.
	RefusedStaleFence RefusalReason = "fence"
	// RefusedStaleRun: the run number is not above that of a run that was
	// stopped or ended.
	RefusedStaleRun RefusalReason = "old-run"
	// RefusedDeadlinePassed: the order's deadline has passed.
	RefusedDeadlinePassed RefusalReason = "late"
	// RefusedNoCapacity: the worker has not enough free capacity.
	RefusedNoCapacity RefusalReason = "room"
	// RefusedTicket: the ticket is missing or has expired.
	RefusedTicket RefusalReason = "ticket"
	// RefusedOtherIncarnation: another worker, or another incarnation of the worker,
	// listens at the address.
	RefusedOtherIncarnation RefusalReason = "other-life"
	// RefusedUnhealthy: the worker currently accepts no orders.
	RefusedUnhealthy RefusalReason = "unhealthy"
	// RefusedInvalid: the worker does not understand the order.
	RefusedInvalid RefusalReason = "invalid"
)

// Error implements error.
func (r *OrderRefusedError) Error() string { return "worker refused the order: " + string(r.Reason) }

// RefusedFor reports whether an order was refused for a reason.
func RefusedFor(err error, reason RefusalReason) bool {
	var refused *OrderRefusedError
	return errors.As(err, &refused) && refused.Reason == reason
}

// Answered reports whether a worker responded to an order, including with a refusal.
func Answered(err error) bool {
	if err == nil {
		return true
	}
	var refused *OrderRefusedError
	return errors.As(err, &refused)
}

// Add returns c plus d.
func (c WorkerTime) Add(d time.Duration) WorkerTime { return c + WorkerTime(d.Milliseconds()) }

// Rack returns the label of the worker's rack; see RackOf.
func (w *WorkerEntry) Rack() RackLabel { return RackOf(w.Labels) }

// HasLabel reports whether the worker has a label; see the function HasLabel.
func (w *WorkerEntry) HasLabel(label string) bool { return HasLabel(w.Labels, label) }

// HasLabel reports whether labels contains label. It is true for the empty label.
func HasLabel(labels []string, label string) bool {
	return label == "" || slices.Contains(labels, label)
}

// Ref returns the reference to the worker.
func (w *WorkerEntry) Ref() WorkerRef {
	return WorkerRef{ID: w.ID, Address: w.Address, Hall: w.Hall}
}

// RackOf returns the rack label among a worker's labels, which are its kind and
// its rack, in this order; empty if there is none.
func RackOf(labels []string) RackLabel {
	if len(labels) < 2 {
		return ""
	}
	return RackLabel(labels[len(labels)-1])
}
