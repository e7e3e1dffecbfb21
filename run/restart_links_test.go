package run_test

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

// restartLink is an owner's connection to the workers.
type restartLink struct {
	tw.WorkerOrders
	p *restartPlay
}

const (
	// unansweredMoment is how long after an order without an answer the moment of an answer is taken to be.
	unansweredMoment = 50 * time.Millisecond
	// stopInAdvanceTime is the time in which an owner that learns of an incarnation can stop runs there.
	stopInAdvanceTime = 20 * time.Millisecond
)

// reach makes the worker restart if the moment is the wanted one, and waits for that.
func (p *restartPlay) reach(moment restartMoment) {
	if moment == p.order.moment {
		p.reachOnce.Do(func() { close(p.reached) })
		<-p.resumed
	}
}

// Start implements tw.WorkerOrders. It strikes the first start of s2.
func (l restartLink) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	p := l.p
	watched, copies := p.watch(to, order)
	if !watched {
		return l.WorkerOrders.Start(ctx, to, order)
	}
	fate := p.order.fate
	if copies > 1 && !fate.allCopies {
		fate = startFate{}
	}
	if copies == 1 {
		p.reach(beforeStart)
		if fate.call != callDone {
			time.AfterFunc(unansweredMoment, func() { p.reach(onceAnswered) })
		}
	}
	switch fate.call {
	case callLate:
		if fate.late > 0 {
			time.AfterFunc(fate.late, func() { p.deliver(order) })
		}
		fallthrough
	case callLost:
		if fate.reset {
			return 0, errors.Wrap(tw.ErrAmbiguous, "connection reset")
		}
		return 0, noAnswer(ctx)
	}
	clock, err := l.WorkerOrders.Start(ctx, to, order)
	p.reach(onceCarriedOut)
	p.answerSlowly(to.ID)
	if fate.call == callUnanswered {
		return 0, noAnswer(ctx)
	}
	if err == nil {
		p.noteStarted()
		time.AfterFunc(time.Millisecond, func() { p.reach(onceAnswered) })
	}
	return clock, err
}

// watch reports whether an order is the watched one, and how often that was sent.
func (p *restartPlay) watch(to tw.WorkerRef, order tw.StartOrder) (watched bool, copies int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls == 0 && order.Subtask.Submission == "s2" {
		p.start, p.to, p.entry = order, to.ID, p.list[to.ID]
	}
	if order.Subtask != p.start.Subtask || p.to == "" {
		return false, 0
	}
	if order.Run != p.start.Run || to.ID != p.to {
		p.movedOn = true
		return false, 0
	}
	p.calls++
	return true, p.calls
}

// Hold implements tw.WorkerOrders.
func (l restartLink) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	p := l.p
	ordered, late := p.noteHold(to, order)
	if late {
		time.AfterFunc(p.order.hold, func() { p.fleet.DeliverLateHold(to.ID, order) })
		return tw.HoldReport{}, noAnswer(ctx)
	}
	fate := p.takeFate(to.ID, &p.poll)
	if fate == callLost {
		return tw.HoldReport{}, noAnswer(ctx)
	}
	report, err := l.WorkerOrders.Hold(ctx, to, order)
	p.answerSlowly(to.ID)
	if fate == callUnanswered {
		return tw.HoldReport{}, noAnswer(ctx)
	}
	if err == nil && ordered {
		p.noteReport(order.Fence, report)
		time.AfterFunc(time.Millisecond, func() { p.reach(oncePolled) })
	}
	return report, err
}

// noteHold reports whether the worker was ordered to start the watched run, and whether this hold is to be
// carried out late.
func (p *restartPlay) noteHold(to tw.WorkerRef, order tw.HoldOrder) (ordered, late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls == 0 || to.ID != p.to || !p.answered && p.order.fate.call == callDone {
		return false, false
	}
	late = p.order.hold > 0 && !p.holdStruck && order.Deadline != 0
	p.holdStruck = p.holdStruck || late
	return true, late
}

// Stop implements tw.WorkerOrders.
func (l restartLink) Stop(ctx context.Context, to tw.WorkerRef, order tw.StopOrder) (tw.WorkerTime, error) {
	p := l.p
	fate := p.takeFate(to.ID, &p.stop)
	if fate == callLost {
		return 0, noAnswer(ctx)
	}
	clock, err := l.WorkerOrders.Stop(ctx, to, order)
	p.answerSlowly(to.ID)
	if fate == callUnanswered {
		return 0, noAnswer(ctx)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && to.ID == p.to && order.Subtask == p.start.Subtask && order.Run >= p.start.Run {
		p.proven = true
	}
	return clock, err
}

// takeFate returns the fate of a call to the worker, and clears it if the worker has restarted: the next call of that
// kind is answered.
func (p *restartPlay) takeFate(to tw.WorkerID, fate *callFault) callFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if to != p.to || !p.restarted {
		return callDone
	}
	taken := *fate
	*fate = callDone
	return taken
}

// answerSlowly waits as long as an answer of the worker takes.
func (p *restartPlay) answerSlowly(to tw.WorkerID) {
	p.mu.Lock()
	slow := to == p.to
	p.mu.Unlock()
	if slow {
		time.Sleep(p.order.slow)
	}
}

// noteStarted notes that the start was answered.
func (p *restartPlay) noteStarted() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered, p.seenOn = true, p.entry.StartTime
}

// noteReport notes what a report to an owner tells of the watched run. A worker that has answered a later owner than the
// one that sent the order does not carry it out any more.
func (p *restartPlay) noteReport(fence tw.FencingToken, report tw.HoldReport) {
	time.AfterFunc(stopInAdvanceTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if report.StartTime == p.entry.StartTime && !p.unreachable {
			p.stoppable[report.StartTime] = true
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range report.Ended {
		p.proven = p.proven || e.Subtask == p.start.Subtask && e.Run == p.start.Run
	}
	runs := slices.ContainsFunc(report.Running, func(r tw.RunningSubtask) bool { return r.Subtask == p.start.Subtask && r.Run == p.start.Run })
	switch {
	case runs:
		p.seenOn = report.StartTime
	case fence > p.start.Fence, p.seenOn != 0 && report.StartTime > p.seenOn:
		p.proven = true
	}
}

// deliver carries out the watched order late.
func (p *restartPlay) deliver(order tw.StartOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.fleet.Violations())
	p.fleet.DeliverLate(p.to, order)
	if p.late == nil && slices.Contains(p.fleet.RunningOn(order.Subtask), p.to) {
		p.late = &lateRun{stoppable: p.stoppable[p.entry.StartTime], proven: p.proven, former: p.replaced, violations: before}
	}
}
