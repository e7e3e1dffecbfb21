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
	// orderFate is what becomes of orders on a connection that is silent.
	orderFate int

	// silentOrders gives orders over connections of which those to one worker fall
	// silent: what waits for an answer, and what is sent on them, gets none.
	silentOrders struct {
		tw.WorkerOrders
		fate orderFate
		// fallen are closed when the connections to a worker fall silent.
		fallen map[tw.WorkerID]chan struct{}

		mu     sync.Mutex
		silent tw.WorkerID // none if empty
		// left is how many calls still use silent connections.
		left int
		late []lateStart
		// unanswered are the subtasks whose start got no answer.
		unanswered []tw.SubtaskID
		// ordered are the subtasks of which the silent worker was sent a start,
		// early those that were started elsewhere although it may have run them.
		ordered map[tw.SubtaskID]bool
		early   []tw.SubtaskID
		// held is when a worker was last sent a hold.
		held map[tw.WorkerID]time.Time
		// zero is when a worker's clock was zero, lapses when all that it was
		// granted has lapsed.
		zero, lapses map[tw.WorkerID]time.Time
	}

	// lateStart is an order that is still under way.
	lateStart struct {
		to    tw.WorkerRef
		order tw.StartOrder
	}
)

const (
	orderLost orderFate = iota
	orderDone           // its answer is lost
	orderLate           // it is done when the test says so
)

const (
	// orderTimeout is how long the platform's client waits for an answer.
	orderTimeout = 800 * time.Millisecond
	// pooledConns are the connections that a client keeps to one worker.
	pooledConns = 2
	allCalls    = 1 << 30
)

func newSilentOrders(r *rig, fate orderFate) *silentOrders {
	s := &silentOrders{
		WorkerOrders: r.fleet, fate: fate, fallen: map[tw.WorkerID]chan struct{}{}, ordered: map[tw.SubtaskID]bool{},
		held: map[tw.WorkerID]time.Time{}, zero: map[tw.WorkerID]time.Time{}, lapses: map[tw.WorkerID]time.Time{},
	}
	for id := range r.list {
		s.fallen[id] = make(chan struct{})
	}
	return s
}

// silence makes the connections to a worker silent; so many calls still use them.
func (s *silentOrders) silence(id tw.WorkerID, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.left = id, calls
	close(s.fallen[id])
}

// takes tells whether a call uses a silent connection.
func (s *silentOrders) takes(id tw.WorkerID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != s.silent || s.left == 0 {
		return false
	}
	s.left--
	return true
}

// call makes a call, of which no answer comes if its connection is silent by then.
func (s *silentOrders) call(ctx context.Context, to tw.WorkerRef, wait time.Duration, send func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout+wait)
	defer cancel()
	silent, fallen := s.takes(to.ID), s.fallen[to.ID]
	select {
	case <-fallen:
		fallen = nil // this call is made later
	default:
	}
	if silent && s.fate != orderDone {
		<-ctx.Done()
		return tw.ErrAmbiguous
	}
	result := make(chan error, 1)
	go func() { result <- send(ctx) }()
	if !silent {
		select {
		case err := <-result:
			return err
		case <-fallen:
		}
	}
	<-ctx.Done()
	return tw.ErrAmbiguous
}

func (s *silentOrders) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	s.granted(to.ID, order.Deadline)
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
	s.granted(to.ID, order.Deadline)
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

// granted notes until when an order that was sent lets a worker run what it has.
func (s *silentOrders) granted(id tw.WorkerID, deadline tw.WorkerTime) {
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

// longHeld is the worker of the first subtask, once a hold has waited there so long
// that a start grants it much more.
func (s *silentOrders) longHeld(r *rig) tw.WorkerID {
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
	if s.fate == orderLate {
		s.late = append(s.late, lateStart{to, order})
	}
}

// doLate has the worker carry out the starts that are under way.
func (s *silentOrders) doLate(r *rig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.late {
		_, _ = r.fleet.Start(r.ctx, l.to, l.order) // nobody waits for the answer
	}
	s.late = nil
}

// lapse is when all that the silent worker was granted has lapsed.
func (s *silentOrders) lapse() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lapses[s.silent]
}

// noted are the starts without an answer, and those that came too early elsewhere.
func (s *silentOrders) noted() (unanswered, early []tw.SubtaskID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.unanswered), slices.Clone(s.early)
}

// orderFates are what may become of an order that gets no answer.
var orderFates = map[string]orderFate{
	"orders are lost": orderLost, "orders are done": orderDone, "orders are done late": orderLate,
}

const (
	// silentFirst subtasks run on the worker when its connections fall silent, and
	// up to silentMore are ordered then.
	silentFirst, silentMore = 2, 2
	// silentTook is longer than anything that is granted.
	silentTook = 4 * maxHold
	// silentFrom is late enough that the doubts of the takeover do not cover what was
	// granted since.
	silentFrom = 8 * time.Second
)

// silentCases are what an owner does whose connections to a worker fall silent,
// while the worker runs on and answers on new ones.
var silentCases = map[string]struct {
	// calls still use the silent connections.
	calls int
	// more subtasks are ordered when they fall silent.
	more int
	do   func(r *rig, o *run.Owner, orders *silentOrders)
}{
	"for good: nothing is started elsewhere before all that was granted has lapsed": {
		calls: allCalls, do: waitForLapse,
	},
	"for good: so with what was ordered as they fell silent": {
		calls: allCalls, more: silentMore, do: waitForLapse,
	},
	"as long as they are kept: nothing is started twice": {
		calls: pooledConns, more: silentMore,
		do: func(r *rig, o *run.Owner, orders *silentOrders) {
			r.drainWorker(o, orders.silent) // so that it goes elsewhere
			time.Sleep(4 * time.Second)
			orders.doLate(r)
			r.Expect(r.fleet.Starts()).To(Equal(silentFirst + silentMore))
		},
	},
	"for good, and another owner takes over: nothing is started twice": {
		calls: allCalls, more: silentMore,
		do: func(r *rig, _ *run.Owner, orders *silentOrders) {
			time.Sleep(time.Second)
			r.take("b")
			time.Sleep(time.Second)
			orders.doLate(r)
			r.Expect(r.fleet.Starts()).To(Equal(silentFirst + silentMore))
		},
	},
}

// waitForLapse expects that nothing is started elsewhere until a silent worker's
// grants have lapsed.
func waitForLapse(r *rig, _ *run.Owner, orders *silentOrders) {
	time.Sleep(time.Until(orders.lapse()) - 10*time.Millisecond)
	orders.doLate(r) // the last moment at which the worker takes them
	time.Sleep(time.Second)
	_, early := orders.noted()
	r.Expect(early).To(BeEmpty())
}

func TestConnectionsFallSilent(t *testing.T) {
	for name, c := range silentCases {
		for fateName, fate := range orderFates {
			t.Run(name+", "+fateName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRig(t, 4)
					defer r.end()
					orders := newSilentOrders(r, fate)
					o := r.open("a", r.kv, orders)
					r.submit(o, longSubmission("s1", silentFirst))
					time.Sleep(silentFrom)
					orders.silence(orders.longHeld(r), c.calls)
					if c.more > 0 {
						r.submit(o, longSubmission("s2", c.more))
					}
					time.Sleep(300 * time.Millisecond)
					unanswered, _ := orders.noted()
					r.Expect(len(unanswered) > 0).To(Equal(c.more > 0))
					c.do(r, o, orders)
					last := r.opened[len(r.opened)-1]
					r.eventually(last, "s1", tw.SubmissionSucceeded, 4*silentTook)
					if c.more > 0 {
						r.eventually(last, "s2", tw.SubmissionSucceeded, 4*silentTook)
					}
					r.kept()
				})
			})
		}
	}
}

func longSubmission(id string, count int) tw.Submission {
	s := submission(id, count)
	s.Steps[0].Estimate = silentTook
	return s
}
