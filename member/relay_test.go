package member_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/run"
)

const relayHall tw.HallID = "hall-a"

// relayServer is a daemon that only gives starts for others.
type relayServer struct {
	member.Handler
	orders tw.WorkerOrders
	looks  *member.Looks

	mu       sync.Mutex
	requests []member.StartsRequest
	// asked counts the calls for looks.
	asked int
}

func (s *relayServer) Start(ctx context.Context, m *member.StartsRequest, send func(member.StartsResponse) error) error {
	s.mu.Lock()
	s.requests = append(s.requests, *m)
	s.mu.Unlock()
	return member.GiveStarts(ctx, s.orders, tw.SystemClock{}, m, send)
}

func (s *relayServer) Look(ctx context.Context, m *member.LooksRequest) (*member.LooksResponse, error) {
	s.mu.Lock()
	s.asked++
	looks := s.looks
	s.mu.Unlock()
	return looks.Look(ctx, m)
}

// restart forgets what the daemon was asked for.
func (s *relayServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.looks = member.LooksConfig{Orders: s.orders, Clock: tw.SystemClock{}}.New()
}

func (s *relayServer) lookCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

func (s *relayServer) seen() []member.StartsRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// relayCase is a daemon with another one in the hall of four workers.
type relayCase struct {
	*WithT
	ctx    context.Context
	fleet  *standin.Fleet
	server *relayServer
	live   member.Live
	relay  *member.Relay
	refs   []tw.WorkerRef
}

func newRelayCase(t *testing.T, busy float64) *relayCase {
	c := &relayCase{WithT: NewWithT(t), ctx: t.Context(), fleet: standin.FleetConfig{MaxHold: time.Minute}.New()}
	for n := range 4 {
		entry := tw.WorkerEntry{
			ID: tw.WorkerID(fmt.Sprintf("w%d", n)), Address: fmt.Sprintf("10.0.0.%d:1", n), Hall: relayHall,
			Capacity: tw.Resources{CPU: 16000, MemoryMB: 64000},
		}
		c.fleet.Add(entry)
		c.refs = append(c.refs, entry.Ref())
	}
	c.server = &relayServer{orders: c.fleet}
	c.server.restart()
	at, err := net.Listen("tcp", "127.0.0.1:0")
	c.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: member.NewHandler(c.server), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(at) }()
	t.Cleanup(func() { _ = server.Close() })
	c.live = member.Live{Daemon: "b", Hall: relayHall, Address: at.Addr().String()}
	c.relay = member.RelayConfig{
		Relays: func(hall tw.HallID) []member.Live {
			if hall != relayHall {
				return nil
			}
			return []member.Live{c.live}
		},
		Self: "a", Peers: member.NewPeers(), Direct: c.fleet, Clock: tw.SystemClock{}, Busy: busy - 1, // at 0 always
	}.New()
	return c
}

// orders are starts of a step's subtasks, of which the simulated workers know.
func (c *relayCase) orders(id string, from, count int) []tw.StartOrder {
	s := tw.Submission{ID: tw.SubmissionID(id), Steps: []tw.Step{{Count: from + count, Estimate: time.Minute, Need: tw.Resources{CPU: 100}}}}
	c.fleet.Expect(&s, nil)
	var out []tw.StartOrder
	for n := range count {
		out = append(out, tw.StartOrder{
			Subtask: tw.SubtaskID{Submission: s.ID, Index: from + n}, Run: 7, Spec: "the spec of " + id, Deadline: 50_000, Fence: 3,
		})
	}
	return out
}

const eachStart = 400 * time.Millisecond

// startOnAll gives two starts to each worker at the same time and returns how long
// each took, and the outcomes.
func (c *relayCase) startOnAll() (took []time.Duration, results [][]tw.StartResult) {
	took = make([]time.Duration, len(c.refs))
	results = make([][]tw.StartResult, len(c.refs))
	began := time.Now()
	var wg sync.WaitGroup
	for n, ref := range c.refs {
		orders := c.orders("00000000000000aa", 2*n, 2)
		wg.Go(func() {
			results[n] = c.relay.StartAll(c.ctx, ref, eachStart, orders)
			took[n] = time.Since(began)
		})
	}
	wg.Wait()
	return took, results
}

// look looks at a worker through the relay.
func (c *relayCase) look(n int, wait time.Duration) (tw.HoldReport, error) {
	return c.relay.Hold(c.ctx, c.refs[n], tw.HoldOrder{Fence: 3, Deadline: 50_000, Wait: wait})
}

func (c *relayCase) running(n int) int {
	report, err := c.fleet.Hold(c.ctx, c.refs[n], tw.HoldOrder{Fence: 3})
	c.Expect(err).NotTo(HaveOccurred())
	return len(report.Running)
}

var relayCases = map[string]struct {
	busy float64
	do   func(c *relayCase)
}{
	"gives the starts of all workers with one call that has the spec once": {do: func(c *relayCase) {
		_, results := c.startOnAll()
		for n := range c.refs {
			c.Expect(results[n]).To(HaveLen(2))
			for _, r := range results[n] {
				c.Expect(r.Err).NotTo(HaveOccurred())
				c.Expect(r.Clock).NotTo(BeZero())
			}
			c.Expect(c.running(n)).To(Equal(2))
		}
		requests := c.server.seen()
		c.Expect(requests).To(HaveLen(1))
		c.Expect(requests[0].Workers).To(HaveLen(4))
		c.Expect(requests[0].Specs).To(Equal([]member.StartsSpec{{ID: "00000000000000aa", Spec: "the spec of 00000000000000aa"}}))
	}},
	"a silent worker holds up no other, and gets no second start": {do: func(c *relayCase) {
		c.fleet.Set("w2", func(w *standin.SimWorker) { w.Silent = true })
		took, results := c.startOnAll()
		for _, n := range []int{0, 1, 3} {
			c.Expect(results[n][1].Err).NotTo(HaveOccurred())
			c.Expect(took[n]).To(BeNumerically("<", eachStart/2))
		}
		c.Expect(results[2][0].Err).To(MatchError(tw.ErrUnclear))
		c.Expect(results[2][1].Err).To(MatchError(run.ErrNotSent))
	}},
	"tells why a worker refused": {do: func(c *relayCase) {
		_, err := c.fleet.Hold(c.ctx, c.refs[1], tw.HoldOrder{Fence: 9})
		c.Expect(err).NotTo(HaveOccurred())
		_, results := c.startOnAll()
		c.Expect(tw.RefusedFor(results[1][0].Err, tw.RefusedFence)).To(BeTrue())
		c.Expect(results[0][0].Err).NotTo(HaveOccurred())
	}},
	"gives them itself where no daemon listens": {do: func(c *relayCase) {
		at, err := net.Listen("tcp", "127.0.0.1:0")
		c.Expect(err).NotTo(HaveOccurred())
		c.live.Address = at.Addr().String()
		c.Expect(at.Close()).To(Succeed())
		_, results := c.startOnAll()
		c.Expect(results[3][1].Err).NotTo(HaveOccurred())
		c.Expect(c.running(3)).To(Equal(2))
	}},
	"what a silent daemon was asked for is unclear": {do: func(c *relayCase) {
		at, err := net.Listen("tcp", "127.0.0.1:0") // nobody accepts
		c.Expect(err).NotTo(HaveOccurred())
		defer at.Close()
		c.live.Address = at.Addr().String()
		_, results := c.startOnAll()
		c.Expect(results[0][0].Err).To(MatchError(tw.ErrUnclear))
	}},
	"gives few starts itself": {busy: 1000, do: func(c *relayCase) {
		_, results := c.startOnAll()
		c.Expect(results[0][0].Err).NotTo(HaveOccurred())
		c.Expect(c.server.seen()).To(BeEmpty())
	}},
	"looks at workers, of which one tells of an end": {do: func(c *relayCase) {
		c.startOnAll()
		c.fleet.Set("w1", func(w *standin.SimWorker) { w.FailAll = false })
		_, err := c.fleet.Stop(c.ctx, c.refs[1], tw.StopOrder{Subtask: tw.SubtaskID{Submission: "00000000000000aa", Index: 2}, Run: 7, Fence: 3})
		c.Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		var wg sync.WaitGroup
		var told, quiet tw.HoldReport
		wg.Go(func() { told, _ = c.look(1, time.Second) })
		wg.Go(func() { quiet, _ = c.look(0, 300*time.Millisecond) })
		wg.Wait()
		c.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		c.Expect(told.Clock).NotTo(BeZero())
		c.Expect(told.Ended).To(ConsistOf(And(HaveField("Kind", tw.EndStopped), HaveField("Run", tw.RunNumber(7)),
			HaveField("Subtask", tw.SubtaskID{Submission: "00000000000000aa", Index: 2}))))
		c.Expect(told.Running).To(ConsistOf(HaveField("Subtask", tw.SubtaskID{Submission: "00000000000000aa", Index: 3})))
		c.Expect(quiet.Running).To(HaveLen(2))
		c.Expect(c.server.lookCalls()).To(BeNumerically("<", 12))
	}},
	"tells of a worker that does not answer a look": {do: func(c *relayCase) {
		c.fleet.Set("w2", func(w *standin.SimWorker) { w.Silent = true })
		_, err := c.look(2, 0)
		c.Expect(err).To(MatchError(tw.ErrUnclear))
	}},
	"gives looks up at once that another life of the relay was asked for": {do: func(c *relayCase) {
		time.AfterFunc(100*time.Millisecond, c.server.restart)
		began := time.Now()
		_, err := c.look(0, 5*time.Second)
		c.Expect(err).To(MatchError(run.ErrNotSent))
		c.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		before := c.server.lookCalls()
		_, err = c.look(0, 0) // it looks itself for a while
		c.Expect(err).NotTo(HaveOccurred())
		c.Expect(c.server.lookCalls()).To(Equal(before))
	}},
	"gives looks up that a silent relay was asked for": {do: func(c *relayCase) {
		at, err := net.Listen("tcp", "127.0.0.1:0") // nobody accepts
		c.Expect(err).NotTo(HaveOccurred())
		defer at.Close()
		c.live.Address = at.Addr().String()
		_, err = c.look(0, 5*time.Second)
		c.Expect(err).To(MatchError(run.ErrNotSent))
	}},
	"gives them itself in a hall without other daemons": {do: func(c *relayCase) {
		ref := c.refs[0]
		ref.Hall = "hall-b"
		results := c.relay.StartAll(c.ctx, ref, eachStart, c.orders("00000000000000ab", 0, 3))
		c.Expect(results[2].Err).NotTo(HaveOccurred())
		c.Expect(c.server.seen()).To(BeEmpty())
	}},
}

func TestRelay(t *testing.T) {
	for name, c := range relayCases {
		t.Run(name, func(t *testing.T) { c.do(newRelayCase(t, c.busy)) })
	}
}

// A daemon that was paused with a request sends nothing of it when it wakes.
func TestRelaySendsNothingOld(t *testing.T) {
	c := newRelayCase(t, 0)
	order := c.orders("00000000000000aa", 0, 1)[0]
	m := member.StartsRequest{
		Specs: []member.StartsSpec{{ID: order.Subtask.Submission, Spec: order.Spec}}, Within: -time.Millisecond,
		Workers: []member.WorkerStarts{{
			ID: "w0", Address: c.refs[0].Address, Fence: 3, Timeout: eachStart, Starts: []member.RelayedStart{{Run: 7, Deadline: 50_000}},
		}},
	}
	var got []member.StartOutcome
	err := member.GiveStarts(c.ctx, c.fleet, tw.SystemClock{}, &m, func(r member.StartsResponse) error {
		got = append(got, r.Workers[0].Outcomes...)
		return nil
	})
	c.Expect(err).NotTo(HaveOccurred())
	c.Expect(got).To(Equal([]member.StartOutcome{{Failed: "not-sent"}}))
	c.Expect(c.running(0)).To(BeZero())
}
