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
		o       *Owner
		service tw.Advisor
		asks    chan adviceAsk
		done    chan struct{}
	}

	// stepAdvice is what is known of a step; it belongs to the loop.
	stepAdvice struct {
		asking  bool
		askedAt time.Time
		tickets map[tw.WorkerID]ticket
		// asked are the workers about which there is an answer.
		asked map[tw.WorkerID]time.Time
	}

	ticket struct {
		text  string
		until time.Time
	}

	adviceAsk struct {
		st      *step
		id      tw.SubtaskID
		workers []tw.WorkerID
	}
)

const (
	// adviceQueue is below the 32 calls that the service lets wait.
	adviceQueue = 16
	// adviceWorkers bounds the workers of one call: each costs time.
	adviceWorkers = 30
	// adviceMargin is left of a ticket's time when it is used.
	adviceMargin = 250 * time.Millisecond
	adviceRetry  = 300 * time.Millisecond
)

func newAdviser(o *Owner, service tw.Advisor) *adviser {
	a := &adviser{o: o, service: service, asks: make(chan adviceAsk, adviceQueue), done: make(chan struct{})}
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
		case ask := <-a.asks:
			sent := a.o.clock.Now()
			advice, err := a.service.Advise(a.o.ctx, ask.id, ask.workers)
			a.o.post(a.o.ctx, func() { a.answered(ask, sent, advice, err) })
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
		st.advice = &stepAdvice{tickets: map[tw.WorkerID]ticket{}, asked: map[tw.WorkerID]time.Time{}}
	}
	now := a.o.now
	allowed = map[tw.WorkerID]bool{}
	for id, t := range st.advice.tickets {
		if now.Add(adviceMargin).Before(t.until) {
			allowed[id] = true
		}
	}
	a.ask(st)
	return allowed, len(allowed) > 0
}

// ask asks about the usable workers of which nothing valid is known.
func (a *adviser) ask(st *step) {
	now := a.o.now
	valid := st.rep.sub.Policy.Advice.Valid
	if st.advice.asking || now.Sub(st.advice.askedAt) < adviceRetry {
		return
	}
	var unasked []*worker
	for id, w := range a.o.workers {
		at, asked := st.advice.asked[id]
		if w.usable(now) && (!asked || now.Sub(at) > valid-adviceMargin) {
			unasked = append(unasked, w)
		}
	}
	if len(unasked) == 0 {
		return
	}
	slices.SortFunc(unasked, func(x, y *worker) int { return int(y.free().CPU - x.free().CPU) })
	var ids []tw.WorkerID
	for _, w := range unasked[:min(len(unasked), adviceWorkers)] {
		ids = append(ids, w.entry.ID)
	}
	id := st.tasks[0].id
	select {
	case a.asks <- adviceAsk{st: st, id: id, workers: ids}:
		st.advice.asking = true
		st.advice.askedAt = now
	default: // asked again by the next placement pass
	}
}

func (a *adviser) answered(ask adviceAsk, sent time.Time, advice tw.Advice, err error) {
	known := ask.st.advice
	known.asking = false
	if err != nil {
		a.o.log.Warn("advice: not answered", zap.Stringer("step", ask.id), logsink.Err(err))
		return
	}
	for _, id := range ask.workers {
		known.asked[id] = sent
		delete(known.tickets, id)
	}
	for id, text := range advice.Tickets {
		known.tickets[id] = ticket{text: text, until: sent.Add(advice.Valid)}
	}
	a.o.log.Info("advice: answered", zap.Stringer("step", ask.id), zap.Int("asked", len(ask.workers)),
		zap.Int("allowed", len(advice.Tickets)), zap.Duration("took", a.o.now.Sub(sent)))
	a.o.placeSoon = true
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
		clear(st.advice.asked)
	}
}
