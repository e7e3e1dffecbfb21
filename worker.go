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

	// WorkerBirth is when a life of a worker began, in Unix milliseconds; zero if it
	// does not say. A worker may start again under the id that it had, and then has
	// another one: nothing runs there, and its counts and its clock start anew.
	WorkerBirth int64

	// WorkerEntry is a worker's own account of itself.
	WorkerEntry struct {
		ID       WorkerID
		Born     WorkerBirth
		Pool     PoolID
		Address  string
		Hall     HallID
		Instance InstanceID
		Draining bool
		// Remaining is the least time until a draining worker ends; zero if
		// it did not say.
		Remaining time.Duration
		Capacity  Resources
		Labels    []string
	}

	// WorkerClock is a time on a worker's own steady clock.
	WorkerClock int64

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
		Deadline WorkerClock
		Fence    Fence
	}

	// StopOrder tells a worker to stop a run, or never to start it.
	StopOrder struct {
		Subtask SubtaskID
		Run     RunNumber
		Fence   Fence
	}

	// HoldOrder prolongs what runs on a worker and asks what runs and ended.
	HoldOrder struct {
		Fence Fence
		// Seen confirms ends up to a sequence; the worker forgets them.
		Seen int64
		// Deadline prolongs everything on the worker; zero leaves it.
		Deadline WorkerClock
		// Wait is how long the worker may wait for an end to report.
		Wait time.Duration
	}

	// PaceOrder sets the share at which a subtask works.
	PaceOrder struct {
		Subtask SubtaskID
		Run     RunNumber
		Percent int
		Fence   Fence
	}

	// HoldReport is a worker's answer to a HoldOrder.
	HoldReport struct {
		Born    WorkerBirth
		Clock   WorkerClock
		Running []RunningSubtask
		Ended   []EndedSubtask
	}

	// RefusalReason says why a worker refused an order.
	RefusalReason string

	// OrderRefused is the error of an order that a worker surely did not do.
	OrderRefused struct {
		Reason RefusalReason
		// Clock is the worker's clock, zero if it did not say.
		Clock WorkerClock
	}

	// WorkerOrders gives orders to workers. Calls fail with *OrderRefused,
	// ErrUnclear (the order may have been done, or may be done later), or
	// ErrUnavailable (surely not done).
	WorkerOrders interface {
		Start(ctx context.Context, to WorkerRef, order StartOrder) (WorkerClock, error)
		Stop(ctx context.Context, to WorkerRef, order StopOrder) (WorkerClock, error)
		Hold(ctx context.Context, to WorkerRef, order HoldOrder) (HoldReport, error)
		Pace(ctx context.Context, to WorkerRef, order PaceOrder) (WorkerClock, error)
	}

	// ParallelStarts is a WorkerOrders that may take several starts to one worker at once.
	ParallelStarts interface {
		// StartsAtOnce is how many it takes at present.
		StartsAtOnce() int
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
	// RefusedFence: a newer owner has given orders.
	RefusedFence RefusalReason = "fence"
	// RefusedOldRun: the run is not above one that was stopped or ended.
	RefusedOldRun RefusalReason = "old-run"
	// RefusedLate: the order's deadline has passed.
	RefusedLate RefusalReason = "late"
	// RefusedRoom: the worker has no room.
	RefusedRoom RefusalReason = "room"
	// RefusedTicket: the ticket is missing or has expired.
	RefusedTicket RefusalReason = "ticket"
	// RefusedLife: another life of a worker listens at the address.
	RefusedLife RefusalReason = "other-life"
	// RefusedUnhealthy: the worker takes no orders at present.
	RefusedUnhealthy RefusalReason = "unhealthy"
	// RefusedInvalid: the worker does not understand the order.
	RefusedInvalid RefusalReason = "invalid"
)

// Error implements error.
func (r *OrderRefused) Error() string { return "worker refused the order: " + string(r.Reason) }

// RefusedFor tells whether an order was refused for a reason.
func RefusedFor(err error, reason RefusalReason) bool {
	var refused *OrderRefused
	return errors.As(err, &refused) && refused.Reason == reason
}

// Answered tells whether a worker has answered an order, if only to refuse it.
func Answered(err error) bool {
	var refused *OrderRefused
	return err == nil || errors.As(err, &refused)
}

// Add is c moved by d.
func (c WorkerClock) Add(d time.Duration) WorkerClock { return c + WorkerClock(d.Milliseconds()) }

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
