package run

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// sendCases tell which orders a session sends.
var sendCases = map[string]struct {
	stale   bool // the order is outdated
	silent  bool // the worker did not answer the last order
	expired bool // the owner's permit has expired
	sent    bool
}{
	"a fresh order":                         {sent: true},
	"an outdated order":                     {stale: true},
	"a start to a silent worker":            {silent: true},
	"an order after the permit has expired": {expired: true},
}

// TestSessionSend guards against orders that are sent although they are outdated or the owner may no
// longer give orders, and against starts that are sent to a silent worker.
func TestSessionSend(t *testing.T) {
	for name, c := range sendCases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := &permit{}
			if !c.expired {
				p.extend(time.Now().Add(time.Hour))
			}
			s := &session{
				clock: tw.SystemClock{}, permit: p, orderTimeout: &orderTimeout{}, hedge: &hedgeDelay{}, loss: &answerLoss{},
			}
			s.silence.silent = c.silent
			sent := false
			_, err := sendAndWait(t.Context(), s, workOrder{
				stale: func(time.Time) bool { return c.stale },
				send: func(context.Context) (tw.WorkerTime, error) {
					sent = true
					return 1, nil
				},
			})
			g.Expect(sent).To(Equal(c.sent))
			if !c.sent {
				g.Expect(err).To(MatchError(errNotSent))
			}
		})
	}
}

// parallelOrders takes three starts in parallel.
type parallelOrders struct{ tw.WorkerOrders }

func (parallelOrders) MaxParallelStarts() int { return 3 }

// TestSessionStartsInParallel checks that starts overlap if the client takes several in
// parallel, and that a stop waits for the starts before it.
func TestSessionStartsInParallel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const count, duration = 6, 100 * time.Millisecond
		p := &permit{}
		p.extend(time.Now().Add(time.Hour))
		events := make(chan func(), eventQueueSize)
		s := &session{
			orders: parallelOrders{}, clock: tw.SystemClock{}, permit: p, orderTimeout: &orderTimeout{}, hedge: &hedgeDelay{}, loss: &answerLoss{},
			work: make(chan workOrder, sessionQueueSize), events: events,
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.orderLoop(ctx)
		}()
		began := time.Now()
		var started atomic.Int64
		stopped := make(chan int64, 1)
		for n := range count {
			s.enqueue(workOrder{subtask: tw.SubtaskID{Index: n}, isStart: true, done: func(orderResult, error) {}, send: func(context.Context) (tw.WorkerTime, error) {
				time.Sleep(duration)
				started.Add(1)
				return 1, nil
			}})
		}
		s.enqueue(workOrder{subtask: tw.SubtaskID{Index: count}, done: func(orderResult, error) {}, send: func(context.Context) (tw.WorkerTime, error) {
			stopped <- started.Load()
			return 1, nil
		}})
		g.Expect(<-stopped).To(BeEquivalentTo(count))
		g.Expect(time.Since(began)).To(Equal(count / 3 * duration))
		cancel()
		<-done
	})
}

// hungOrders are orders to a worker that answers polls and none of these.
var hungOrders = map[string]struct {
	isStop bool
	within time.Duration
}{
	"changes of pace": {within: 0},
	"stops":           {isStop: true, within: time.Second},
}

// TestHungOrdersHoldUpNoStop guards against runs that go on after a cancel because their stops wait behind
// other orders to the worker, each until its timeout.
func TestHungOrdersHoldUpNoStop(t *testing.T) {
	for name, c := range hungOrders {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s, _ := newTestSession()
				s.loss.note(time.Now(), 100, 0)
				s.work, s.stops = make(chan workOrder, sessionQueueSize), make(chan workOrder, sessionQueueSize)
				s.events = make(chan func(), eventQueueSize)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					s.orderLoop(ctx)
				}()
				began := time.Now()
				stopped := make(chan struct{})
				noResult := func(orderResult, error) {}
				for n := range 12 {
					s.enqueue(workOrder{subtask: tw.SubtaskID{Index: n}, isStop: c.isStop, done: noResult, send: func(ctx context.Context) (tw.WorkerTime, error) {
						return 1, copyAnswer{lost: true}.await(ctx)
					}})
				}
				s.enqueue(workOrder{subtask: tw.SubtaskID{Index: 12}, isStop: true, done: noResult, send: func(context.Context) (tw.WorkerTime, error) {
					close(stopped)
					return 1, nil
				}})
				<-stopped
				g.Expect(time.Since(began)).To(BeNumerically("<=", c.within))
				cancel()
				<-done
			})
		})
	}
}

// TestAllocationsPerOrder bounds what a session adds to an order that is answered at once, as an
// owner sends thousands a second.
func TestAllocationsPerOrder(t *testing.T) {
	const startAllocations, pollAllocations = 12, 2
	g := NewWithT(t)
	s, events := runTestSession(t)
	n := 0
	g.Expect(testing.AllocsPerRun(1000, func() {
		n++
		sendStart(s, events, tw.SubtaskID{Submission: "5c0e7a21d94b36f8", Index: n})
	})).To(BeNumerically("<=", startAllocations))
	g.Expect(testing.AllocsPerRun(1000, func() { sendPoll(s, events) })).To(BeNumerically("<=", pollAllocations))
}
