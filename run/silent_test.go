package run_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// orderOutcome is the outcome of an order on a silent connection.
	orderOutcome int

	// silentOrders is a client whose connections to one worker go silent: neither calls in
	// flight nor later calls on them are answered.
	silentOrders struct {
		tw.WorkerOrders
		outcome orderOutcome
		// silenced has a channel per worker, closed when the connections to it go silent.
		silenced map[tw.WorkerID]chan struct{}

		mu     sync.Mutex
		silent tw.WorkerID // none if empty
		// left is the number of further calls that use silent connections.
		left int
		late []lateStart
		// unanswered are the subtasks whose start was not answered.
		unanswered []tw.SubtaskID
		// ordered are the subtasks of which a start was sent before the connections went silent,
		// or to the silent worker since. early are those of them that were started elsewhere
		// while that worker may still have run them.
		ordered map[tw.SubtaskID]bool
		early   []tw.SubtaskID
		// held is the time of the last hold sent to a worker.
		held map[tw.WorkerID]time.Time
		// zero is the time at which a worker's clock was zero, lapses the time at which the last
		// deadline that it was granted passes.
		zero, lapses map[tw.WorkerID]time.Time
	}

	// lateStart is an order in flight.
	lateStart struct {
		to    tw.WorkerRef
		order tw.StartOrder
	}
)

const (
	orderLost orderOutcome = iota
	orderDone              // carried out, but the answer is lost
	orderLate              // carried out when the test calls doLate
)

const (
	// orderTimeout is the answer timeout of the platform's client.
	orderTimeout = 800 * time.Millisecond
	// pooledConns is the number of connections that a client keeps to one worker.
	pooledConns = 2
	allCalls    = 1 << 30
)

func newSilentOrders(r *rig, outcome orderOutcome) *silentOrders {
	s := &silentOrders{
		WorkerOrders: r.fleet, outcome: outcome, silenced: map[tw.WorkerID]chan struct{}{}, ordered: map[tw.SubtaskID]bool{},
		held: map[tw.WorkerID]time.Time{}, zero: map[tw.WorkerID]time.Time{}, lapses: map[tw.WorkerID]time.Time{},
	}
	for id := range r.list {
		s.silenced[id] = make(chan struct{})
	}
	return s
}

// silence makes the connections to a worker silent. calls is the number of further calls that
// use them.
func (s *silentOrders) silence(id tw.WorkerID, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.left = id, calls
	close(s.silenced[id])
}

// usesSilent reports whether a call uses a silent connection, and counts it if so.
func (s *silentOrders) usesSilent(id tw.WorkerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != s.silent || s.left == 0 {
		return false
	}
	s.left--
	return true
}

// call makes a call, which gets no answer if its connection is silent by then.
func (s *silentOrders) call(ctx context.Context, to tw.WorkerRef, wait time.Duration, send func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout+wait)
	defer cancel()
	silent, silenced := s.usesSilent(to.ID), s.silenced[to.ID]
	select {
	case <-silenced:
		silenced = nil // the connections went silent before this call
	default:
	}
	if silent && s.outcome != orderDone {
		<-ctx.Done()
		return tw.ErrAmbiguous
	}
	result := make(chan error, 1)
	go func() { result <- send(ctx) }()
	if !silent {
		select {
		case err := <-result:
			return err
		case <-silenced:
		}
	}
	<-ctx.Done()
	return tw.ErrAmbiguous
}

func (s *silentOrders) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	s.noteGrant(to.ID, order.Deadline)
	s.noteHold(to.ID)
	reports := make(chan tw.HoldReport, 1)
	err := s.call(ctx, to, order.Wait, func(ctx context.Context) error {
		report, err := s.WorkerOrders.Hold(ctx, to, order)
		reports <- report
		return err
	})
	if err != nil {
		return tw.HoldReport{}, err
	}
	report := <-reports
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zero[to.ID] = time.Now().Add(-time.Duration(report.Clock) * time.Millisecond)
	return report, nil
}

func (s *silentOrders) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	s.noteGrant(to.ID, order.Deadline)
	s.noteStart(to, order)
	clocks := make(chan tw.WorkerTime, 1)
	err := s.call(ctx, to, 0, func(ctx context.Context) error {
		clock, err := s.WorkerOrders.Start(ctx, to, order)
		clocks <- clock
		return err
	})
	if err != nil {
		s.noteUnanswered(to, order)
		return 0, err
	}
	return <-clocks, nil
}

func (s *silentOrders) Stop(ctx context.Context, to tw.WorkerRef, order tw.StopOrder) (tw.WorkerTime, error) {
	clocks := make(chan tw.WorkerTime, 1)
	err := s.call(ctx, to, 0, func(ctx context.Context) error {
		clock, err := s.WorkerOrders.Stop(ctx, to, order)
		clocks <- clock
		return err
	})
	if err != nil {
		return 0, err
	}
	return <-clocks, nil
}

// noteGrant records the deadline that an order grants a worker.
func (s *silentOrders) noteGrant(id tw.WorkerID, deadline tw.WorkerTime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.zero[id].Add(time.Duration(deadline) * time.Millisecond)
	if deadline != 0 && until.After(s.lapses[id]) {
		s.lapses[id] = until
	}
}

func (s *silentOrders) noteHold(id tw.WorkerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[id] = time.Now()
}

// longHeldWorker returns the worker of the first subtask, once a hold has waited there for so long
// that the deadline of a start is much later than the last one granted.
func (s *silentOrders) longHeldWorker(r *rig) tw.WorkerID {
	id := r.fleet.RunningOn(subtask("s1", 0, 0))[0]
	r.Eventually(func() time.Duration {
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Since(s.held[id])
	}, maxHold).Should(BeNumerically(">", time.Second))
	return id
}

func (s *silentOrders) noteStart(to tw.WorkerRef, order tw.StartOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == "" || to.ID == s.silent {
		s.ordered[order.Subtask] = true
		return
	}
	if s.ordered[order.Subtask] && time.Now().Before(s.lapses[s.silent]) {
		s.early = append(s.early, order.Subtask)
	}
}

func (s *silentOrders) noteUnanswered(to tw.WorkerRef, order tw.StartOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = append(s.unanswered, order.Subtask)
	if s.outcome == orderLate {
		s.late = append(s.late, lateStart{to, order})
	}
}

// doLate carries out the starts in flight.
func (s *silentOrders) doLate(r *rig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.late {
		_, _ = r.fleet.Start(r.ctx, l.to, l.order) // the answer is lost
	}
	s.late = nil
}

// lapse returns when the last deadline granted to the silent worker passes.
func (s *silentOrders) lapse() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lapses[s.silent]
}

// results returns the unanswered starts, and those that came too early elsewhere.
func (s *silentOrders) results() (unanswered, early []tw.SubtaskID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.unanswered), slices.Clone(s.early)
}

// orderOutcomes are the possible outcomes of an order that gets no answer.
var orderOutcomes = map[string]orderOutcome{
	"orders are lost": orderLost, "orders are carried out": orderDone, "orders are carried out late": orderLate,
}

const (
	// silentFirst subtasks run on the worker when its connections go silent, and up to
	// silentMore are ordered then.
	silentFirst, silentMore = 2, 2
	// silentRunTime is the run time of a subtask, longer than any deadline that is granted.
	silentRunTime = 4 * maxHold
	// silenceAfter is how long after the takeover the connections go silent: late enough that the
	// wait for runs of the previous owner does not cover deadlines granted since.
	silenceAfter = 8 * time.Second
)

// silentCases cover an owner whose connections to a worker go silent, while the worker keeps
// running and answers on new connections.
var silentCases = map[string]struct {
	// calls is the number of calls that use the silent connections.
	calls int
	// more is the number of subtasks that are ordered when the connections go silent.
	more int
	do   func(r *rig, o *run.Owner, orders *silentOrders)
}{
	"for good: nothing is started elsewhere before the granted deadlines have passed": {
		calls: allCalls, do: waitForLapse,
	},
	"for good, with subtasks ordered as they went silent: nothing is started elsewhere before the granted deadlines have passed": {
		calls: allCalls, more: silentMore, do: waitForLapse,
	},
	"until they are replaced: nothing is started twice": {
		calls: pooledConns, more: silentMore,
		do: func(r *rig, o *run.Owner, orders *silentOrders) {
			r.drainWorker(o, orders.silent) // the subtasks must go elsewhere
			time.Sleep(4 * time.Second)
			orders.doLate(r)
			r.Expect(r.fleet.Starts()).To(Equal(silentFirst + silentMore))
		},
	},
	"for good, and another owner takes over: nothing is started twice": {
		calls: allCalls, more: silentMore,
		do: func(r *rig, _ *run.Owner, orders *silentOrders) {
			time.Sleep(time.Second)
			r.newOwner("b")
			time.Sleep(time.Second)
			orders.doLate(r)
			r.Expect(r.fleet.Starts()).To(Equal(silentFirst + silentMore))
		},
	},
}

// waitForLapse expects that nothing is started elsewhere until the deadlines granted to the
// silent worker have passed.
func waitForLapse(r *rig, _ *run.Owner, orders *silentOrders) {
	time.Sleep(time.Until(orders.lapse()) - 10*time.Millisecond)
	orders.doLate(r) // the last moment at which the worker accepts them
	time.Sleep(time.Second)
	_, early := orders.results()
	r.Expect(early).To(BeEmpty())
}

func TestSilentConnections(t *testing.T) {
	for name, c := range silentCases {
		for outcomeName, outcome := range orderOutcomes {
			t.Run(name+", "+outcomeName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRig(t, 4)
					defer r.end()
					orders := newSilentOrders(r, outcome)
					o := r.newOwnerWith("a", r.kv, orders)
					r.submit(o, longSubmission("s1", silentFirst))
					time.Sleep(silenceAfter)
					orders.silence(orders.longHeldWorker(r), c.calls)
					if c.more > 0 {
						r.submit(o, longSubmission("s2", c.more))
					}
					time.Sleep(300 * time.Millisecond)
					unanswered, _ := orders.results()
					r.Expect(len(unanswered) > 0).To(Equal(c.more > 0))
					c.do(r, o, orders)
					last := r.opened[len(r.opened)-1]
					r.eventually(last, "s1", tw.SubmissionSucceeded, 4*silentRunTime)
					if c.more > 0 {
						r.eventually(last, "s2", tw.SubmissionSucceeded, 4*silentRunTime)
					}
					r.expectNoViolations()
				})
			})
		}
	}
}

func longSubmission(id string, count int) tw.Submission {
	s := submission(id, count)
	s.Steps[0].Estimate = silentRunTime
	return s
}
