package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// fullPercent is the full pace of a long-running subtask and the full progress of any
	// other.
	fullPercent = 100
	// noAnswerTimeout is how long a call to a silent or dead worker waits before it fails.
	noAnswerTimeout = time.Second
)

var _ tw.WorkerOrders = (*Fleet)(nil)

// Start implements tw.WorkerOrders.
func (f *Fleet) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	w, err := f.connect(ctx, to)
	if err != nil {
		return 0, err
	}
	defer f.mu.Unlock()
	if w.LateStarts > 0 {
		w.LateStarts--
		w.lateOrders = append(w.lateOrders, order)
		return 0, errors.Wrap(tw.ErrAmbiguous, "standin: late start")
	}
	if f.lose(w, func(at *SimWorker) { _, _ = f.start(at, order, true) }) {
		f.mu.Unlock()
		err := awaitTimeout(ctx)
		f.mu.Lock()
		return 0, err
	}
	return f.start(w, order, false)
}

// start executes an order; late is set if the order was withheld by LateStarts.
func (f *Fleet) start(w *SimWorker, order tw.StartOrder, late bool) (tw.WorkerTime, error) {
	f.advance(w)
	if refused := w.admit(f, order.Fence, order.Deadline); refused != nil {
		return 0, refused
	}
	now := w.clock(f.config.Clock.Now())
	if current := w.runs[order.Subtask]; current != nil && current.run == order.Run {
		return now, nil
	}
	if order.Run <= w.closedRuns[order.Subtask] || w.runs[order.Subtask] != nil {
		return now, &tw.OrderRefusedError{Reason: tw.RefusedStaleRun, Clock: now}
	}
	profile, known := f.profiles[order.Subtask]
	if !known {
		f.addViolation("UNASKED: %s", order.Subtask)
		return now, nil
	}
	f.checkStart(w, order, profile)
	since, evacuated := f.evacuated[w.Entry.Hall]
	if evacuated && !late && f.config.Clock.Now().Sub(since) > f.config.EvacuationGrace {
		f.addViolation("EVAC: %s on %s", order.Subtask, w.Entry.ID)
	}
	if !late {
		f.checkCancelled(order.Subtask)
	}
	w.runs[order.Subtask] = &simRun{run: order.Run, started: f.config.Clock.Now(), profile: profile, pace: fullPercent}
	f.starts++
	f.everStarted[order.Subtask.Submission] = true
	w.notifyChanged()
	if profile.Crashes {
		f.scheduleCrash(w, order.Subtask)
	}
	return now, nil
}

// checkStart records the invariants that a start violates.
func (f *Fleet) checkStart(w *SimWorker, order tw.StartOrder, p Profile) {
	free := w.Entry.Capacity
	if f.config.Clock.Now().Before(w.previousCapacityUntil) {
		free = w.previousCapacity
	}
	for _, r := range w.runs {
		free = free.Minus(r.profile.Need)
	}
	if !free.Fits(p.Need) {
		f.addViolation("LIMIT: %s on %s", order.Subtask, w.Entry.ID)
	}
	if limit := f.caps[p.Organisation]; !limit.Allows(f.usage(p.Organisation).Plus(p.Need)) {
		f.addViolation("QUOTA: %s of %s", order.Subtask, p.Organisation)
	}
	if !p.AllowCopies && f.running(order.Subtask) > 0 {
		f.addViolation("TWICE: %s runs elsewhere", order.Subtask)
	}
	if !p.AllowCopies && f.acked[order.Subtask] {
		f.addViolation("TWICE: %s was done", order.Subtask)
	}
	f.markRestarted(order.Subtask)
	for _, earlier := range p.After {
		if !f.done[earlier] {
			f.addViolation("ORDER: %s before %s", order.Subtask, earlier)
		}
	}
	if p.MaxAttempts > 0 && f.failures[order.Subtask] >= p.MaxAttempts {
		f.addViolation("BUDGET: %s", order.Subtask)
	}
}

// markRestarted records that a subtask is started again after each of its unacknowledged
// ends with tw.EndDone. If the caller acknowledges such an end later, the work was done
// twice.
func (f *Fleet) markRestarted(id tw.SubtaskID) {
	for _, w := range f.workers {
		for _, e := range w.ended {
			if e.Subtask == id && e.Kind == tw.EndDone {
				w.restartedAfter[e.Sequence] = true
			}
		}
	}
}

func (f *Fleet) running(id tw.SubtaskID) int {
	n := 0
	for _, w := range f.workers {
		f.advance(w)
		if w.runs[id] != nil {
			n++
		}
	}
	return n
}

func (f *Fleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// Stop implements tw.WorkerOrders.
func (f *Fleet) Stop(ctx context.Context, to tw.WorkerRef, order tw.StopOrder) (tw.WorkerTime, error) {
	w, err := f.connect(ctx, to)
	if err != nil {
		return 0, err
	}
	defer f.mu.Unlock()
	if f.lose(w, func(at *SimWorker) { _, _ = f.stop(at, order) }) {
		f.mu.Unlock()
		err := awaitTimeout(ctx)
		f.mu.Lock()
		return 0, err
	}
	return f.stop(w, order)
}

func (f *Fleet) stop(w *SimWorker, order tw.StopOrder) (tw.WorkerTime, error) {
	f.advance(w)
	if refused := w.admit(f, order.Fence, 0); refused != nil {
		return 0, refused
	}
	now := f.config.Clock.Now()
	w.closedRuns[order.Subtask] = max(w.closedRuns[order.Subtask], order.Run)
	if r := w.runs[order.Subtask]; r != nil && r.run <= order.Run && r.stopAt.IsZero() {
		r.stopAt = now.Add(f.config.StopTime)
		w.notifyChanged()
	}
	return w.clock(now), nil
}

// Pace implements tw.WorkerOrders.
func (f *Fleet) Pace(ctx context.Context, to tw.WorkerRef, order tw.PaceOrder) (tw.WorkerTime, error) {
	w, err := f.connect(ctx, to)
	if err != nil {
		return 0, err
	}
	defer f.mu.Unlock()
	if refused := w.admit(f, order.Fence, 0); refused != nil {
		return 0, refused
	}
	if r := w.runs[order.Subtask]; r != nil {
		r.pace = order.Percent
	}
	return w.clock(f.config.Clock.Now()), nil
}

// Hold implements tw.WorkerOrders.
func (f *Fleet) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	until := f.config.Clock.Now().Add(order.Wait)
	var connected *SimWorker
	for {
		w, err := f.connect(ctx, to)
		if err != nil {
			return tw.HoldReport{}, err
		}
		if connected != nil && w != connected {
			f.mu.Unlock()
			return tw.HoldReport{}, errors.Wrap(tw.ErrAmbiguous, "standin: the worker has started again")
		}
		if connected == nil && f.lose(w, func(at *SimWorker) { _ = f.extend(at, order) }) {
			f.mu.Unlock()
			return tw.HoldReport{}, awaitTimeout(ctx)
		}
		connected = w
		if refused := f.extend(w, order); refused != nil {
			f.mu.Unlock()
			return tw.HoldReport{}, refused
		}
		now := f.config.Clock.Now()
		if len(w.ended) > 0 || !now.Before(until) {
			report := w.report(f)
			f.mu.Unlock()
			return report, nil
		}
		changed := w.changed
		next := w.nextChange(now, until)
		f.mu.Unlock()
		select {
		case <-changed:
		case <-f.config.Clock.After(next.Sub(now)):
		case <-ctx.Done():
			return tw.HoldReport{}, errors.Wrap(tw.ErrAmbiguous, "standin: call cancelled")
		}
	}
}

// extend executes a hold without its report.
func (f *Fleet) extend(w *SimWorker, order tw.HoldOrder) error {
	f.advance(w)
	if refused := w.admit(f, order.Fence, order.Deadline); refused != nil {
		return refused
	}
	f.acknowledge(w, order.AckedSequence)
	return nil
}

// connect returns the worker that a reference identifies, or the error that a call over the
// network would get. If it succeeds, f.mu is held.
func (f *Fleet) connect(ctx context.Context, to tw.WorkerRef) (*SimWorker, error) {
	if f.config.Latency > 0 {
		select {
		case <-f.config.Clock.After(f.config.Latency):
		case <-ctx.Done():
			return nil, errors.Wrap(tw.ErrAmbiguous, "standin: call cancelled")
		}
	}
	f.mu.Lock()
	w := f.workers[to.ID]
	if w == nil {
		f.mu.Unlock()
		return nil, &tw.OrderRefusedError{Reason: tw.RefusedOtherIncarnation}
	}
	if to.Address != w.Entry.Address {
		taken := f.hasLiveWorkerAt(to.Address)
		f.mu.Unlock()
		if taken {
			return nil, &tw.OrderRefusedError{Reason: tw.RefusedOtherIncarnation}
		}
		return nil, errors.Wrap(tw.ErrUnavailable, "standin: no worker listens at this address")
	}
	if w.dead && f.hasLiveWorkerAt(w.Entry.Address) {
		f.mu.Unlock()
		return nil, &tw.OrderRefusedError{Reason: tw.RefusedOtherIncarnation}
	}
	if !w.Silent && !w.dead {
		return w, nil
	}
	reset := w.connReset
	f.mu.Unlock()
	if reset {
		return nil, errors.Wrap(tw.ErrAmbiguous, "standin: connection reset")
	}
	select {
	case <-f.config.Clock.After(noAnswerTimeout):
	case <-ctx.Done():
	}
	return nil, errors.Wrap(tw.ErrAmbiguous, "standin: no answer")
}
