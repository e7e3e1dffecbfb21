package tamarindworks

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// WorkerID names one life of a worker; after a crash or a move the same
	// machine has another one.
	WorkerID string

	// WorkerStartTime is when a life of a worker began, in Unix milliseconds; zero if it
	// does not say. A worker may start again under the id that it had, and then has
	// another one: nothing runs there, and its counts and its clock start anew.
	WorkerStartTime int64

	// WorkerEntry is a worker's own account of itself.
	WorkerEntry struct {
		ID        WorkerID
		StartTime WorkerStartTime
		Pool      PoolID
		Address   string
		Hall      HallID
		Instance  InstanceID
		Draining  bool
		// Remaining is the least time until a draining worker ends; zero if
		// it did not say.
		Remaining time.Duration
		Capacity  Resources
		Labels    []string
	}

	// WorkerTime is a time on a worker's own steady clock.
	WorkerTime int64

	// WorkerRef addresses one life of a worker.
	WorkerRef struct {
		ID      WorkerID
		Address string
		Hall    HallID
	}

	// StartOrder tells a worker to start a run.
	StartOrder struct {
		Subtask    SubtaskID
		Run        RunNumber
		Spec       string
		Checkpoint Checkpoint
		Ticket     string
		// Deadline covers everything that runs on the worker; it never
		// shortens.
		Deadline WorkerTime
		Fence    FencingToken
	}

	// StopOrder tells a worker to stop a run, or never to start it.
	StopOrder struct {
		Subtask SubtaskID
		Run     RunNumber
		Fence   FencingToken
	}

	// HoldOrder prolongs what runs on a worker and asks what runs and ended.
	HoldOrder struct {
		Fence FencingToken
		// AckedSequence confirms ends up to a sequence; the worker forgets them.
		AckedSequence int64
		// Deadline prolongs everything on the worker; zero leaves it.
		Deadline WorkerTime
		// Wait is how long the worker may wait for an end to report.
		Wait time.Duration
	}

	// PaceOrder sets the share at which a subtask works.
	PaceOrder struct {
		Subtask SubtaskID
		Run     RunNumber
		Percent int
		Fence   FencingToken
	}

	// HoldReport is a worker's answer to a HoldOrder.
	HoldReport struct {
		StartTime WorkerStartTime
		Clock     WorkerTime
		Running   []RunningSubtask
		Ended     []EndedSubtask
	}

	// RefusalReason says why a worker refused an order.
	RefusalReason string

	// OrderRefusedError is the error of an order that a worker surely did not do.
	OrderRefusedError struct {
		Reason RefusalReason
		// Clock is the worker's clock, zero if it did not say.
		Clock WorkerTime
	}

	// WorkerOrders gives orders to workers. Calls fail with *OrderRefused,
	// ErrUnclear (the order may have been done, or may be done later), or
	// ErrUnavailable (surely not done).
	WorkerOrders interface {
		Start(ctx context.Context, to WorkerRef, order StartOrder) (WorkerTime, error)
		Stop(ctx context.Context, to WorkerRef, order StopOrder) (WorkerTime, error)
		Hold(ctx context.Context, to WorkerRef, order HoldOrder) (HoldReport, error)
		Pace(ctx context.Context, to WorkerRef, order PaceOrder) (WorkerTime, error)
	}

	// ParallelStarter is a WorkerOrders that may take several starts to one worker at once.
	ParallelStarter interface {
		// MaxParallelStarts is how many it takes at present.
		MaxParallelStarts() int
	}

	// Advice is the answer of the advice service for a step.
	Advice struct {
		Tickets map[WorkerID]string
		Valid   time.Duration
	}

	// Advisor names the workers that may run a step.
	Advisor interface {
		Advise(ctx context.Context, step SubtaskID, workers []WorkerID) (Advice, error)
	}
)

// MaxEndsListed is how many ends a worker lists in one answer; further ones come
// once these are confirmed.
const MaxEndsListed = 500

// Reasons of refused orders.
const (
	// RefusedStaleFence: a newer owner has given orders.
	RefusedStaleFence RefusalReason = "fence"
	// RefusedStaleRun: the run is not above one that was stopped or ended.
	RefusedStaleRun RefusalReason = "old-run"
	// RefusedDeadlinePassed: the order's deadline has passed.
	RefusedDeadlinePassed RefusalReason = "late"
	// RefusedNoCapacity: the worker has no room.
	RefusedNoCapacity RefusalReason = "room"
	// RefusedTicket: the ticket is missing or has expired.
	RefusedTicket RefusalReason = "ticket"
	// RefusedOtherIncarnation: another life of a worker listens at the address.
	RefusedOtherIncarnation RefusalReason = "other-life"
	// RefusedUnhealthy: the worker takes no orders at present.
	RefusedUnhealthy RefusalReason = "unhealthy"
	// RefusedInvalid: the worker does not understand the order.
	RefusedInvalid RefusalReason = "invalid"
)

// Error implements error.
func (r *OrderRefusedError) Error() string { return "worker refused the order: " + string(r.Reason) }

// RefusedFor tells whether an order was refused for a reason.
func RefusedFor(err error, reason RefusalReason) bool {
	var refused *OrderRefusedError
	return errors.As(err, &refused) && refused.Reason == reason
}

// Answered tells whether a worker has answered an order, if only to refuse it.
func Answered(err error) bool {
	var refused *OrderRefusedError
	return err == nil || errors.As(err, &refused)
}

// Add is c moved by d.
func (c WorkerTime) Add(d time.Duration) WorkerTime { return c + WorkerTime(d.Milliseconds()) }

// Rack is the label that names the worker's rack; see RackOf.
func (w *WorkerEntry) Rack() RackLabel { return RackOf(w.Labels) }

// HasLabel tells whether the worker has a label; see the function HasLabel.
func (w *WorkerEntry) HasLabel(label string) bool { return HasLabel(w.Labels, label) }

// HasLabel tells whether a label is among those of a worker; every worker has
// the empty one.
func HasLabel(labels []string, label string) bool {
	return label == "" || slices.Contains(labels, label)
}

// Ref addresses the worker.
func (w *WorkerEntry) Ref() WorkerRef {
	return WorkerRef{ID: w.ID, Address: w.Address, Hall: w.Hall}
}

// RackOf finds the rack among a worker's labels, which are its kind and its
// rack, in this order.
func RackOf(labels []string) RackLabel {
	if len(labels) < 2 {
		return ""
	}
	return RackLabel(labels[len(labels)-1])
}
