package run

import (
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

type (
	// adviser asks the advice service which workers may run a step. The
	// service takes one call at a time of each daemon, so one goroutine asks.
	adviser struct {
		o        *Owner
		service  tw.Advisor
		requests chan adviceRequest
		done     chan struct{}
	}

	// stepAdvice is what is known of a step; it belongs to the loop.
	stepAdvice struct {
		inFlight    bool
		requestedAt time.Time
		tickets     map[tw.WorkerID]ticket
		// answered are the workers about which there is an answer.
		answered map[tw.WorkerID]time.Time
	}

	ticket struct {
		text      string
		expiresAt time.Time
	}

	adviceRequest struct {
		st      *step
		id      tw.SubtaskID
		workers []tw.WorkerID
	}
)

const (
	// adviceQueueSize is below the 32 calls that the service lets wait.
	adviceQueueSize = 16
	// maxAdviceWorkers bounds the workers of one call: each costs time.
	maxAdviceWorkers = 30
	// ticketMargin is left of a ticket's time when it is used.
	ticketMargin = 250 * time.Millisecond
	adviceRetry  = 300 * time.Millisecond
)

func newAdviser(o *Owner, service tw.Advisor) *adviser {
	a := &adviser{o: o, service: service, requests: make(chan adviceRequest, adviceQueueSize), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		a.serve()
	}()
	return a
}

func (a *adviser) close() { <-a.done }

func (a *adviser) serve() {
	for {
		select {
		case <-a.o.ctx.Done():
			return
		case ask := <-a.requests:
			sent := a.o.clock.Now()
			advice, err := a.service.Advise(a.o.ctx, ask.id, ask.workers)
			a.o.post(a.o.ctx, func() { a.handleAnswer(ask, sent, advice, err) })
			if err != nil {
				select {
				case <-a.o.ctx.Done():
				case <-a.o.clock.After(adviceRetry):
				}
			}
		}
	}
}

// allowed are the workers with a valid ticket. If there are none, or few for
// what waits, the service is asked; known is false until it has answered.
func (a *adviser) allowed(st *step) (allowed map[tw.WorkerID]bool, known bool) {
	if st.advice == nil {
		st.advice = &stepAdvice{tickets: map[tw.WorkerID]ticket{}, answered: map[tw.WorkerID]time.Time{}}
	}
	now := a.o.now
	allowed = map[tw.WorkerID]bool{}
	for id, t := range st.advice.tickets {
		if now.Add(ticketMargin).Before(t.expiresAt) {
			allowed[id] = true
		}
	}
	a.request(st)
	return allowed, len(allowed) > 0
}

// request asks about the usable workers of which nothing valid is known.
func (a *adviser) request(st *step) {
	now := a.o.now
	valid := st.rep.sub.Policy.Advice.Valid
	if st.advice.inFlight || now.Sub(st.advice.requestedAt) < adviceRetry {
		return
	}
	var unasked []*worker
	for id, w := range a.o.workers {
		at, asked := st.advice.answered[id]
		if w.usable(now) && (!asked || now.Sub(at) > valid-ticketMargin) {
			unasked = append(unasked, w)
		}
	}
	if len(unasked) == 0 {
		return
	}
	slices.SortFunc(unasked, func(x, y *worker) int { return int(y.free().CPU - x.free().CPU) })
	var ids []tw.WorkerID
	for _, w := range unasked[:min(len(unasked), maxAdviceWorkers)] {
		ids = append(ids, w.entry.ID)
	}
	id := st.tasks[0].id
	select {
	case a.requests <- adviceRequest{st: st, id: id, workers: ids}:
		st.advice.inFlight = true
		st.advice.requestedAt = now
	default: // asked again by the next placement pass
	}
}

func (a *adviser) handleAnswer(ask adviceRequest, sent time.Time, advice tw.Advice, err error) {
	known := ask.st.advice
	known.inFlight = false
	if err != nil {
		a.o.log.Warn("advice: not answered", zap.Stringer("step", ask.id), logsink.Err(err))
		return
	}
	for _, id := range ask.workers {
		known.answered[id] = sent
		delete(known.tickets, id)
	}
	for id, text := range advice.Tickets {
		known.tickets[id] = ticket{text: text, expiresAt: sent.Add(advice.Valid)}
	}
	a.o.log.Info("advice: answered", zap.Stringer("step", ask.id), zap.Int("asked", len(ask.workers)),
		zap.Int("allowed", len(advice.Tickets)), zap.Duration("took", a.o.now.Sub(sent)))
	a.o.placeRequested = true
}

// ticket is what a start on a worker must bring; empty for none.
func (a *adviser) ticket(st *step, id tw.WorkerID) string {
	if st.advice == nil {
		return ""
	}
	return st.advice.tickets[id].text
}

// invalidate drops the tickets of a step after one was refused.
func (a *adviser) invalidate(st *step) {
	if st.advice != nil {
		clear(st.advice.tickets)
		clear(st.advice.answered)
	}
}
