package run

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

type (
	// advisorClient asks the advice service which workers may run a step. The service accepts one
	// call at a time from each daemon, so a single goroutine makes the owner's calls.
	advisorClient struct {
		o        *Owner
		service  tw.Advisor
		requests chan adviceRequest
		done     chan struct{}
	}

	// stepAdvice is the advice received for a step. Only the loop uses it.
	stepAdvice struct {
		inFlight    bool
		requestedAt time.Time
		tickets     map[tw.WorkerID]ticket
		// answered holds, for each worker, the last answered request that named it.
		answered map[tw.WorkerID]answeredAdvice
	}

	// ticket permits starts of the step on one incarnation of a worker until it expires.
	ticket struct {
		text      string
		startTime tw.WorkerStartTime
		expiresAt time.Time
	}

	// answeredAdvice is when advice on a worker was requested, and on which incarnation.
	answeredAdvice struct {
		sentAt    time.Time
		startTime tw.WorkerStartTime
	}

	adviceRequest struct {
		st      *step
		id      tw.SubtaskID
		workers []tw.WorkerID
		// startTimes are those of the workers, in the same order.
		startTimes []tw.WorkerStartTime
		// timeout is the time within which the service answers.
		timeout time.Duration
	}
)

const (
	// adviceQueueSize is below the 32 queued calls that the service accepts.
	adviceQueueSize = 16
	// maxAdviceWorkers bounds the workers in one call, as each adds to the time it takes.
	maxAdviceWorkers = 30
	// ticketMargin is the remaining validity that a ticket must have to be used.
	ticketMargin = 250 * time.Millisecond
	// adviceRetry is the minimum time between two requests for a step, and the pause after a
	// call that failed.
	adviceRetry = 300 * time.Millisecond
	// adviceMargin is added to the time that the service takes for a call. It covers the calls of this
	// daemon's other owners, which the service handles one after the other.
	adviceMargin = time.Second
)

func newAdvisorClient(o *Owner, service tw.Advisor) *advisorClient {
	a := &advisorClient{o: o, service: service, requests: make(chan adviceRequest, adviceQueueSize), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		a.serve()
	}()
	return a
}

func (a *advisorClient) close() { <-a.done }

func (a *advisorClient) serve() {
	for {
		select {
		case <-a.o.ctx.Done():
			return
		case request := <-a.requests:
			sent := a.o.clock.Now()
			ctx, cancel := context.WithTimeout(a.o.ctx, request.timeout)
			advice, err := a.service.Advise(ctx, request.id, request.workers)
			cancel()
			a.o.post(a.o.ctx, func() { a.handleAnswer(request, sent, advice, err) })
			if err != nil {
				select {
				case <-a.o.ctx.Done():
				case <-a.o.clock.After(adviceRetry):
				}
			}
		}
	}
}

// allowed returns the workers with a valid ticket, and requests advice on the workers for which
// there is no valid answer. known is false while no worker has a valid ticket.
func (a *advisorClient) allowed(st *step) (allowed map[tw.WorkerID]bool, known bool) {
	if st.advice == nil {
		st.advice = &stepAdvice{tickets: map[tw.WorkerID]ticket{}, answered: map[tw.WorkerID]answeredAdvice{}}
	}
	now := a.o.now
	allowed = map[tw.WorkerID]bool{}
	for id, t := range st.advice.tickets {
		w := a.o.workers[id]
		if w != nil && w.startTime == t.startTime && now.Add(ticketMargin).Before(t.expiresAt) {
			allowed[id] = true
		}
	}
	a.request(st)
	return allowed, len(allowed) > 0
}

// request asks for advice on the usable workers for which there is no valid answer.
func (a *advisorClient) request(st *step) {
	now := a.o.now
	policy := st.rep.sub.Policy.Advice
	valid := policy.Valid
	if st.advice.inFlight || now.Sub(st.advice.requestedAt) < adviceRetry {
		return
	}
	var uncovered []*worker
	for id, w := range a.o.workers {
		last, answered := st.advice.answered[id]
		covered := answered && last.startTime == w.startTime && now.Sub(last.sentAt) <= valid-ticketMargin
		if w.usable(now) && !covered {
			uncovered = append(uncovered, w)
		}
	}
	if len(uncovered) == 0 {
		return
	}
	slices.SortFunc(uncovered, func(x, y *worker) int { return int(y.free().CPU - x.free().CPU) })
	var ids []tw.WorkerID
	var startTimes []tw.WorkerStartTime
	for _, w := range uncovered[:min(len(uncovered), maxAdviceWorkers)] {
		ids, startTimes = append(ids, w.entry.ID), append(startTimes, w.startTime)
	}
	id := st.tasks[0].id
	timeout := policy.Decide + time.Duration(len(ids))*policy.Each + adviceMargin
	select {
	case a.requests <- adviceRequest{st: st, id: id, workers: ids, startTimes: startTimes, timeout: timeout}:
		st.advice.inFlight = true
		st.advice.requestedAt = now
	default: // the next placement pass requests it again
	}
}

func (a *advisorClient) handleAnswer(request adviceRequest, sent time.Time, advice tw.Advice, err error) {
	state := request.st.advice
	state.inFlight = false
	if err != nil {
		a.o.log.Warn("advice: request failed", zap.Stringer("step", request.id), logsink.Err(err))
		return
	}
	for n, id := range request.workers {
		state.answered[id] = answeredAdvice{sentAt: sent, startTime: request.startTimes[n]}
		delete(state.tickets, id)
		if text, allowed := advice.Tickets[id]; allowed {
			state.tickets[id] = ticket{text: text, startTime: request.startTimes[n], expiresAt: sent.Add(advice.Valid)}
		}
	}
	a.o.log.Info("advice: received", zap.Stringer("step", request.id), zap.Int("asked", len(request.workers)),
		zap.Int("allowed", len(advice.Tickets)), zap.Duration("took", a.o.now.Sub(sent)))
	a.o.placeRequested = true
}

// ticket is the ticket that a start of the step on a worker must carry; empty for none.
func (a *advisorClient) ticket(st *step, id tw.WorkerID) string {
	if st.advice == nil {
		return ""
	}
	return st.advice.tickets[id].text
}

// invalidate drops all advice for a step after a worker has refused one of its tickets.
func (a *advisorClient) invalidate(st *step) {
	if st.advice != nil {
		clear(st.advice.tickets)
		clear(st.advice.answered)
	}
}
