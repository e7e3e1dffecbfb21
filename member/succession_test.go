package member

import (
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/fakeclock"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// newTestMembers returns the Members of daemon "b", without background tasks, in a
// deployment of three daemons of which "a" owns the pool "p".
func newTestMembers(t testing.TB, clock *fakeclock.Clock) *Members {
	m := &Members{
		config: Config{
			Clock: clock, Log: agecheck.Logger(t), Self: DaemonRecord{Daemon: "b", Incarnation: 1, Address: "b:1"},
			Pools: func() []tw.PoolID { return []tw.PoolID{"p"} }, OwnedPools: func() []tw.PoolID { return nil },
		},
		watcher: &Watcher{answeringSince: clock.Now()}, started: clock.Now(),
		live: map[tw.DaemonID]DaemonRecord{}, lastKnown: map[tw.DaemonID]DaemonRecord{}, owners: map[tw.PoolID]ledger.Owner{},
		pingStates: map[string]*pingState{}, orphanedAt: map[tw.PoolID]time.Time{}, poolLostAt: map[tw.PoolID]time.Time{}, handovers: map[tw.PoolID]handover{},
	}
	for _, id := range []tw.DaemonID{"a", "b", "c"} {
		record := DaemonRecord{Daemon: id, Incarnation: 1, Address: string(id) + ":1", Cores: 1}
		m.live[id], m.lastKnown[id] = record, record
	}
	m.owners["p"] = ledger.Owner{Pool: "p", Daemon: "a", Address: "a:1", Incarnation: 1, Fence: 4}
	m.pingStates["a:1"] = &pingState{quietSince: clock.Now()}
	clock.Advance(time.Minute)
	m.pingStates["a:1"].quietSince = clock.Now()
	return m
}

// takeoverCases are events, and whether "b" then takes over the pool "p".
var takeoverCases = map[string]struct {
	event func(m *Members, now time.Time)
	taken bool
}{
	"a live owner keeps its pool": {event: func(*Members, time.Time) {}},
	"a pool without an owner is taken": {
		event: func(m *Members, _ time.Time) { delete(m.owners, "p") }, taken: true,
	},
	"an owner whose process is gone loses it": {
		event: func(m *Members, _ time.Time) { m.pingStates["a:1"].refusedInRow = refusalsUntilDown }, taken: true,
	},
	"an owner that has restarted loses it": {
		event: func(m *Members, _ time.Time) { m.live["a"] = DaemonRecord{Daemon: "a", Incarnation: 2, Address: "a:1"} }, taken: true,
	},
	"an owner that does not answer keeps it while its record exists": {
		event: func(m *Members, now time.Time) { m.stopAnswering("a:1", now) },
	},
	"an owner that does not answer loses it once its record is gone": {
		event: func(m *Members, now time.Time) {
			m.stopAnswering("a:1", now)
			delete(m.live, "a")
		}, taken: true,
	},
	"an owner whose record was revoked keeps it while it answers": {
		event: func(m *Members, _ time.Time) { delete(m.live, "a") },
	},
	"a missing record is ignored just after an outage of the store": {
		event: func(m *Members, now time.Time) {
			m.stopAnswering("a:1", now)
			delete(m.live, "a")
			m.watcher.answeringSince = now
		},
	},
	"no pool is taken while the store does not answer": {
		event: func(m *Members, _ time.Time) {
			delete(m.owners, "p")
			m.watcher.answeringSince = time.Time{}
		},
	},
	"a daemon that just lost the pool does not take it back": {
		event: func(m *Members, now time.Time) {
			delete(m.owners, "p")
			m.poolLostAt["p"] = now
		},
	},
}

func (m *Members) stopAnswering(address string, now time.Time) {
	m.pingStates[address].failingSince = now.Add(-2 * recordMissingTimeout)
	m.pingStates[address].quietSince = now.Add(-2 * recordMissingTimeout)
}

func TestTakeoversDue(t *testing.T) {
	for name, c := range takeoverCases {
		t.Run(name, func(t *testing.T) {
			clock := fakeclock.New()
			m := newTestMembers(t, clock)
			c.event(m, clock.Now())
			m.takeoversDue(clock.Now()) // records the time at which the pool lost its owner
			clock.Advance(2 * candidateDelay)
			got := m.takeoversDue(clock.Now())
			NewWithT(t).Expect(len(got) > 0).To(Equal(c.taken))
		})
	}
}

// TestRestartedOwnerKeepsItsPool guards against a pool that is taken from a daemon that has just taken it again
// after a restart: pings that its former process refused say nothing of the new one.
func TestRestartedOwnerKeepsItsPool(t *testing.T) {
	g := NewWithT(t)
	clock := fakeclock.New()
	m := newTestMembers(t, clock)
	m.pingStates["a:1"].refusedInRow = refusalsUntilDown
	m.live["a"] = DaemonRecord{Daemon: "a", Incarnation: 2, Address: "a:1", Cores: 1}
	m.RecordOwner(ledger.Owner{Pool: "p", Daemon: "a", Address: "a:1", Incarnation: 2, Fence: 5})
	g.Expect(m.takeoversDue(clock.Now())).To(BeEmpty())
	clock.Advance(2 * candidateDelay)
	g.Expect(m.takeoversDue(clock.Now())).To(BeEmpty())
	m.pingStates["a:1"].refusedInRow = refusalsUntilDown
	m.takeoversDue(clock.Now())
	clock.Advance(2 * candidateDelay)
	g.Expect(m.takeoversDue(clock.Now())).NotTo(BeEmpty())
}

func TestCandidatesByCores(t *testing.T) {
	g := NewWithT(t)
	clock := fakeclock.New()
	m := newTestMembers(t, clock)
	m.live["b"] = DaemonRecord{Daemon: "b", Cores: 0.2}
	m.live["c"] = DaemonRecord{Daemon: "c", Cores: 0.8}
	maps.Copy(m.lastKnown, m.live)
	g.Expect(m.candidates("p", map[tw.DaemonID]int{}, clock.Now())).To(Equal([]tw.DaemonID{"c", "b"}))
	g.Expect(m.candidates("p", map[tw.DaemonID]int{"c": 9}, clock.Now())).To(Equal([]tw.DaemonID{"b", "c"}))
}

// The daemon with the most cores per pool must be asked first.
func TestReachableSuccessorsByCores(t *testing.T) {
	g := NewWithT(t)
	clock := fakeclock.New()
	m := newTestMembers(t, clock)
	for _, small := range []tw.DaemonID{"a", "c"} {
		for id := range m.lastKnown {
			cores := tw.Cores(0.8)
			if id == small {
				cores = 0.2
			}
			m.lastKnown[id] = DaemonRecord{Daemon: id, Incarnation: 1, Address: string(id) + ":1", Cores: cores}
			m.pingStates[string(id)+":1"] = &pingState{quietSince: clock.Now(), storeReachable: true}
		}
		first, _ := m.ReachableSuccessor("q", 0)
		g.Expect(first.Daemon).NotTo(Equal(small))
	}
}

// The owner of a pool must never be replaced by one with a lower fencing token.
func TestOwnerIsNotReplacedByOlder(t *testing.T) {
	g := NewWithT(t)
	m := newTestMembers(t, fakeclock.New())
	m.RecordOwner(ledger.Owner{Pool: "p", Daemon: "c", Fence: 3})
	o, _ := m.Owner("p")
	g.Expect(o.Daemon).To(Equal(tw.DaemonID("a")))
	m.RecordOwner(ledger.Owner{Pool: "p", Daemon: "c", Fence: 5})
	o, _ = m.Owner("p")
	g.Expect(o.Daemon).To(Equal(tw.DaemonID("c")))
}

// A daemon that lost the store must ask its peers in turn, except those that
// report that they do not reach the store either or that do not answer.
func TestReachableSuccessorsRotate(t *testing.T) {
	g := NewWithT(t)
	clock := fakeclock.New()
	m := newTestMembers(t, clock)
	for _, id := range []string{"a", "c"} {
		m.pingStates[id+":1"] = &pingState{quietSince: clock.Now(), storeReachable: true}
	}
	first, found := m.ReachableSuccessor("p", 0)
	g.Expect(found).To(BeTrue())
	second, _ := m.ReachableSuccessor("p", 1)
	g.Expect(second.Daemon).NotTo(Equal(first.Daemon))
	third, _ := m.ReachableSuccessor("p", 2)
	g.Expect(third.Daemon).To(Equal(first.Daemon))
	m.pingStates[first.Address].storeReachable = false
	for attempt := range 3 {
		next, _ := m.ReachableSuccessor("p", attempt)
		g.Expect(next.Daemon).To(Equal(second.Daemon))
	}
	m.pingStates[second.Address].failingSince = clock.Now()
	_, found = m.ReachableSuccessor("p", 0)
	g.Expect(found).To(BeFalse())
}

// fasterSuccessorCases are the other daemons of a deployment in which "b" has two cores and owns the
// pool "p", and the daemon to which "b" hands over the pool when "b" is too slow.
var fasterSuccessorCases = map[string]struct {
	cores map[tw.DaemonID]tw.Cores
	// pools are the pools of the other daemons, with their owners.
	pools        map[tw.PoolID]tw.DaemonID
	unresponsive bool
	want         tw.DaemonID
}{
	"a larger daemon":                     {cores: map[tw.DaemonID]tw.Cores{"a": 2, "c": 8}, want: "c"},
	"none has twice the cores":            {cores: map[tw.DaemonID]tw.Cores{"a": 2, "c": 3}},
	"a larger one that owns another pool": {cores: map[tw.DaemonID]tw.Cores{"c": 8}, pools: map[tw.PoolID]tw.DaemonID{"q": "c"}, want: "c"},
	"a larger one with too many pools":    {cores: map[tw.DaemonID]tw.Cores{"c": 4}, pools: map[tw.PoolID]tw.DaemonID{"q": "c", "r": "c"}},
	"the larger one with fewer pools":     {cores: map[tw.DaemonID]tw.Cores{"a": 8, "c": 8}, pools: map[tw.PoolID]tw.DaemonID{"q": "a"}, want: "c"},
	"a larger one that does not answer":   {cores: map[tw.DaemonID]tw.Cores{"c": 8}, unresponsive: true},
}

func TestFasterSuccessor(t *testing.T) {
	for name, c := range fasterSuccessorCases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clock := fakeclock.New()
			m := newTestMembers(t, clock)
			m.owners["p"] = ledger.Owner{Pool: "p", Daemon: "b", Address: "b:1", Incarnation: 1, Fence: 5}
			for id, record := range m.live {
				record.Cores = 2
				if cores := c.cores[id]; cores > 0 {
					record.Cores = cores
				}
				m.live[id], m.lastKnown[id] = record, record
				m.pingStates[record.Address] = &pingState{quietSince: clock.Now(), storeReachable: true}
				if c.unresponsive {
					m.pingStates[record.Address].failingSince = clock.Now()
				}
			}
			for pool, owner := range c.pools {
				m.owners[pool] = ledger.Owner{Pool: pool, Daemon: owner, Incarnation: 1}
			}
			record, found := m.FasterSuccessor("p")
			g.Expect(found).To(Equal(c.want != ""))
			g.Expect(record.Daemon).To(Equal(c.want))
		})
	}
}

// TestHandoversAreSpread checks that a daemon that hands over several pools at the same moment doesn't
// ask one daemon to take them all while others own none.
func TestHandoversAreSpread(t *testing.T) {
	ways := map[string]func(m *Members, pool tw.PoolID) DaemonRecord{
		"planned stop": func(m *Members, pool tw.PoolID) DaemonRecord { return m.Successors(pool)[0] },
		"store not reached": func(m *Members, pool tw.PoolID) DaemonRecord {
			record, _ := m.ReachableSuccessor(pool, 0)
			return record
		},
	}
	for name, successor := range ways {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clock := fakeclock.New()
			m := newTestMembers(t, clock)
			delete(m.owners, "p")
			const pools = 14
			for n := range pools {
				pool := tw.PoolID(fmt.Sprint("pool-", n))
				m.owners[pool] = ledger.Owner{Pool: pool, Daemon: "b", Address: "b:1", Incarnation: 1, Fence: 4}
			}
			for _, peer := range []string{"a:1", "c:1"} {
				m.pingStates[peer] = &pingState{quietSince: clock.Now(), lastAnswer: clock.Now(), storeReachable: true}
			}
			asked := map[tw.DaemonID]int{}
			for n := range pools {
				asked[successor(m, tw.PoolID(fmt.Sprint("pool-", n))).Daemon]++
			}
			g.Expect(asked).To(Equal(map[tw.DaemonID]int{"a": pools / 2, "c": pools / 2}))
			clock.Advance(handoverMemory)
			g.Expect(m.poolCounts()).To(Equal(map[tw.DaemonID]int{"b": pools}), "what was not taken is still here")
		})
	}
}
