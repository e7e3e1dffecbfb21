package run

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// copyAnswer is the answer to one copy of an order.
	copyAnswer struct {
		after time.Duration
		err   error
		lost  bool // no answer
		// unsent: no connection is made until the timeout.
		unsent bool
	}

	// copyCase is an order, the answers to its copies and what must be concluded from them.
	copyCase struct {
		answers []copyAnswer
		// stop: the order is a stop, else a start. once: it must not be sent again.
		stop, once bool
		// withdrawn and expired: it is withdrawn, or the owner's permit expires, after it was
		// first sent.
		withdrawn, expired bool

		want       copyOutcome
		wantCopies int
		// answeredCopy is the copy that was answered first.
		answeredCopy int
		// unanswered: a copy may still be carried out.
		unanswered bool
	}

	// copyOutcome is what an owner may conclude about an order.
	copyOutcome int
)

const (
	copyDone copyOutcome = iota
	copyRefused
	copyUnclear
)

var (
	oldRun      = &tw.OrderRefusedError{Reason: tw.RefusedStaleRun}
	noRoom      = &tw.OrderRefusedError{Reason: tw.RefusedNoCapacity}
	unhealthy   = &tw.OrderRefusedError{Reason: tw.RefusedUnhealthy}
	otherOwner  = &tw.OrderRefusedError{Reason: tw.RefusedStaleFence}
	otherWorker = &tw.OrderRefusedError{Reason: tw.RefusedOtherIncarnation}
)

// copyCases. The hedge delay is 25 ms, and nothing was lost before.
var copyCases = map[string]copyCase{
	"answered": {answers: []copyAnswer{{after: 2 * time.Millisecond}}, wantCopies: 1, answeredCopy: 1},
	"refused":  {answers: []copyAnswer{{err: noRoom}}, want: copyRefused, wantCopies: 1, answeredCopy: 1},
	"the first one lost": {
		answers: []copyAnswer{{lost: true}, {}}, wantCopies: 2, answeredCopy: 2, unanswered: true,
	},
	"the first one slow": {
		answers: []copyAnswer{{after: 30 * time.Millisecond}, {after: 20 * time.Millisecond}}, wantCopies: 2, answeredCopy: 1, unanswered: true,
	},
	"all lost": {
		answers: []copyAnswer{{lost: true}, {lost: true}}, want: copyUnclear, wantCopies: 2, unanswered: true,
	},
	"the first one lost, the second one refused for an old run": {
		answers: []copyAnswer{{lost: true}, {err: oldRun}}, want: copyUnclear, wantCopies: 2, answeredCopy: 2, unanswered: true,
	},
	"the first one lost, the second one refused for lack of room": {
		answers: []copyAnswer{{lost: true}, {err: noRoom}}, want: copyUnclear, wantCopies: 2, answeredCopy: 2, unanswered: true,
	},
	"the first one lost, the second one refused by an unhealthy worker": {
		answers: []copyAnswer{{lost: true}, {err: unhealthy}}, want: copyUnclear, wantCopies: 2, answeredCopy: 2, unanswered: true,
	},
	"the first one slow, the second one refused for an old run": {
		answers: []copyAnswer{{after: 40 * time.Millisecond}, {err: oldRun}}, wantCopies: 2, answeredCopy: 1,
	},
	"both refused": {
		answers: []copyAnswer{{after: 40 * time.Millisecond, err: noRoom}, {err: noRoom}}, want: copyRefused, wantCopies: 2, answeredCopy: 1,
	},
	"a newer owner": {
		answers: []copyAnswer{{lost: true}, {err: otherOwner}}, want: copyRefused, wantCopies: 2, answeredCopy: 2, unanswered: true,
	},
	"another incarnation": {
		answers: []copyAnswer{{lost: true}, {err: otherWorker}}, want: copyRefused, wantCopies: 2, answeredCopy: 2, unanswered: true,
	},
	"connection closed": {
		answers: []copyAnswer{{after: 2 * time.Millisecond, err: tw.ErrAmbiguous}}, want: copyUnclear, wantCopies: 1, unanswered: true,
	},
	"not sent": {
		answers: []copyAnswer{{err: tw.ErrUnavailable}}, want: copyRefused, wantCopies: 1,
	},
	"none sent, which is known late": {
		answers: []copyAnswer{{unsent: true}, {unsent: true}}, want: copyRefused, wantCopies: 2,
	},
	"one refused, the other one not sent": {
		answers: []copyAnswer{{unsent: true}, {err: noRoom}}, want: copyUnclear, wantCopies: 2, answeredCopy: 2, unanswered: true,
	},
	"one lost, the other one not sent, which is known late": {
		answers: []copyAnswer{{lost: true}, {unsent: true}}, want: copyUnclear, wantCopies: 2, unanswered: true,
	},
	"the first one lost, the second one not sent": {
		answers: []copyAnswer{{lost: true}, {err: tw.ErrUnavailable}}, want: copyUnclear, wantCopies: 2, unanswered: true,
	},
	"lost and withdrawn": {
		answers: []copyAnswer{{lost: true}, {}}, withdrawn: true, want: copyUnclear, wantCopies: 1, unanswered: true,
	},
	"lost, and the permit has expired": {
		answers: []copyAnswer{{lost: true}, {}}, expired: true, want: copyUnclear, wantCopies: 1, unanswered: true,
	},
	"a suspect's start is lost": {
		answers: []copyAnswer{{lost: true}, {}}, once: true, want: copyUnclear, wantCopies: 1, unanswered: true,
	},
	"a stop, the first one lost, the second one too late": {
		answers: []copyAnswer{{lost: true}, {err: oldRun}}, stop: true, want: copyRefused, wantCopies: 2, answeredCopy: 2, unanswered: true,
	},
}

// TestCopies guards against conclusions about an order from the answer to one of its copies that
// do not hold for the others, and against copies that must not be sent.
func TestCopies(t *testing.T) {
	for name, c := range copyCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s, permit := newTestSession()
				defer s.late.Wait()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var withdrawn atomic.Bool
				var sent atomic.Int64
				result, err := sendAndWait(ctx, s, workOrder{
					isStart: !c.stop, repeatable: !c.once,
					stale: func(time.Time) bool { return withdrawn.Load() },
					send: func(ctx context.Context) (tw.WorkerTime, error) {
						answer := c.answers[sent.Add(1)-1]
						withdrawn.Store(c.withdrawn)
						if c.expired {
							permit.extend(time.Now())
						}
						return 1, answer.await(ctx)
					},
				})
				g.Expect(c.want.matches(err)).To(BeTrue(), "%v", err)
				g.Expect(result.copies).To(Equal(c.wantCopies))
				g.Expect(result.answeredCopy).To(Equal(c.answeredCopy))
				g.Expect(result.unanswered).To(Equal(c.unanswered))
			})
		})
	}
}

func newTestSession() (*session, *permit) {
	p := &permit{}
	p.extend(time.Now().Add(time.Hour))
	s := &session{
		clock: tw.SystemClock{}, permit: p, orderTimeout: &orderTimeout{}, hedge: &hedgeDelay{}, loss: &answerLoss{},
		copiesSent: metrics.NewSet().NewCounter("copies"),
	}
	s.noteAnswer(time.Now(), time.Now(), time.Millisecond, 0)
	return s, p
}

// sendAndWait sends an order and returns its outcome.
func sendAndWait(ctx context.Context, s *session, w workOrder) (orderResult, error) {
	type outcome struct {
		result orderResult
		err    error
	}
	outcomes := make(chan outcome, 1)
	go s.send(ctx, &openOrder{workOrder: w}, func(result orderResult, err error) {
		outcomes <- outcome{result: result, err: err}
	})
	o := <-outcomes
	return o.result, o.err
}

func (a copyAnswer) await(ctx context.Context) error {
	if a.lost {
		<-ctx.Done()
		return errors.Join(tw.ErrAmbiguous, ctx.Err())
	}
	if a.unsent {
		<-ctx.Done()
		return errors.Join(tw.ErrUnavailable, ctx.Err())
	}
	time.Sleep(a.after)
	return a.err
}

func (o copyOutcome) matches(err error) bool {
	switch o {
	case copyDone:
		return err == nil
	case copyRefused:
		return err != nil && (tw.Answered(err) || tw.NotApplied(err))
	}
	return err != nil && !tw.Answered(err) && !tw.NotApplied(err)
}

// TestOneOutcome checks that an order that is answered just as the hedge delay passes has one outcome,
// whichever goroutine handles the answer.
func TestOneOutcome(t *testing.T) {
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s, _ := newTestSession()
			var outcomes, failures atomic.Int64
			order := workOrder{isStart: true, repeatable: true, send: func(ctx context.Context) (tw.WorkerTime, error) {
				return 1, copyAnswer{after: minHedgeDelay}.await(ctx)
			}}
			s.send(t.Context(), &openOrder{workOrder: order}, func(_ orderResult, err error) {
				outcomes.Add(1)
				if err != nil {
					failures.Add(1)
				}
			})
			s.late.Wait()
			g.Expect(outcomes.Load()).To(BeEquivalentTo(1))
			g.Expect(failures.Load()).To(BeZero())
		})
	}
}

// TestSlowAnswersRaiseTimeout checks that an owner whose answers take longer than its timeout
// raises it, although it sends its orders again.
func TestSlowAnswersRaiseTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestSession()
		defer s.late.Wait()
		for range timeoutsToRaise {
			_, err := sendAndWait(t.Context(), s, workOrder{repeatable: true, send: func(ctx context.Context) (tw.WorkerTime, error) {
				return 1, copyAnswer{lost: true}.await(ctx)
			}})
			NewWithT(t).Expect(copyUnclear.matches(err)).To(BeTrue())
		}
		NewWithT(t).Expect(s.orderTimeout.current(time.Now())).To(Equal(2 * minOrderTimeout))
	})
}

// TestLostAnswersKeepTimeout checks that lost answers do not raise the timeout while other copies
// are answered.
func TestLostAnswersKeepTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestSession()
		defer s.late.Wait()
		for range 10 * timeoutsToRaise {
			var copies atomic.Int64
			_, err := sendAndWait(t.Context(), s, workOrder{repeatable: true, send: func(ctx context.Context) (tw.WorkerTime, error) {
				return 1, copyAnswer{lost: copies.Add(1) == 1}.await(ctx)
			}})
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
		}
		NewWithT(t).Expect(s.orderTimeout.current(time.Now())).To(Equal(minOrderTimeout))
		NewWithT(t).Expect(s.loss.share(time.Now())).To(BeNumerically("~", 0.4, 0.1)) // half, less assumed answers
	})
}

// TestOrdersBehindALostOne checks that orders behind one whose answer may be lost are sent
// soon, and in a pool that loses no answers not before it is known that the worker is alive.
func TestOrdersBehindALostOne(t *testing.T) {
	cases := map[string]struct {
		answered, lost int // calls in the pool before
		within         time.Duration
	}{
		"no answers are lost":    {answered: 100, within: minOrderTimeout},
		"some answers are lost":  {answered: 90, lost: 10, within: minHedgeDelay},
		"many answers are lost":  {answered: 40, lost: 60, within: minHedgeDelay},
		"a few answers are lost": {answered: 1000, lost: 15, within: minHedgeDelay},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s, _ := newTestSession()
				s.loss.note(time.Now(), c.answered, c.lost)
				s.work, s.events = make(chan workOrder, sessionQueueSize), make(chan func(), eventQueueSize)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					s.orderLoop(ctx)
				}()
				began := time.Now()
				sent := make(chan struct{})
				noResult := func(orderResult, error) {}
				s.enqueue(workOrder{subtask: tw.SubtaskID{Index: 1}, done: noResult, send: func(ctx context.Context) (tw.WorkerTime, error) {
					return 1, copyAnswer{lost: true}.await(ctx)
				}})
				s.enqueue(workOrder{subtask: tw.SubtaskID{Index: 2}, done: noResult, send: func(context.Context) (tw.WorkerTime, error) {
					close(sent)
					return 1, nil
				}})
				<-sent
				g.Expect(time.Since(began)).To(Equal(c.within))
				cancel()
				<-done
			})
		})
	}
}

// TestOrdersForOneSubtaskKeepOrder checks that a stop waits for its start, however long that takes.
func TestOrdersForOneSubtaskKeepOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, _ := newTestSession()
		s.loss.note(time.Now(), 40, 60)
		s.work, s.events = make(chan workOrder, sessionQueueSize), make(chan func(), eventQueueSize)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.orderLoop(ctx)
		}()
		began := time.Now()
		stopped := make(chan struct{})
		noResult := func(orderResult, error) {}
		s.enqueue(workOrder{isStart: true, done: noResult, send: func(ctx context.Context) (tw.WorkerTime, error) {
			return 1, copyAnswer{lost: true}.await(ctx)
		}})
		s.enqueue(workOrder{done: noResult, send: func(context.Context) (tw.WorkerTime, error) {
			close(stopped)
			return 1, nil
		}})
		<-stopped
		g.Expect(time.Since(began)).To(Equal(minOrderTimeout))
		cancel()
		<-done
	})
}

// TestRepeatable checks which starts may be sent again.
func TestRepeatable(t *testing.T) {
	cases := map[string]struct {
		suspect bool
		sameID  bool // the machine's next worker has the same ID
		lost    int  // of a hundred calls
		want    bool
	}{
		"a start":                                      {want: true},
		"a start while answers are lost":               {lost: 10, want: true},
		"a suspect":                                    {suspect: true},
		"a suspect while answers are lost":             {suspect: true, lost: 10},
		"workers that keep their ID":                   {sameID: true},
		"workers that keep their ID, answers are lost": {sameID: true, lost: 10, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := &Owner{now: time.Now()}
			o.loss.note(o.now, 100-c.lost, c.lost)
			w := &worker{}
			if c.sameID {
				w.startTime = 1
			}
			NewWithT(t).Expect(o.repeatable(&runState{w: w, trial: c.suspect})).To(Equal(c.want))
		})
	}
}
