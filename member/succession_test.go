package member

import (
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/fakeclock"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// quorum is Members without duties, as daemon "b" sees three daemons of which
// "a" owns the pool "p".
func quorum(clock *fakeclock.Clock) *Members {
	m := &Members{
		config: Config{
			Clock: clock, Log: zap.NewNop(), Self: DaemonRecord{Daemon: "b", Incarnation: 1, Address: "b:1"},
			Pools: func() []tw.PoolID { return []tw.PoolID{"p"} }, OwnedPools: func() []tw.PoolID { return nil },
		},
		watcher: &Watcher{answeringSince: clock.Now()}, started: clock.Now(),
		live: map[tw.DaemonID]DaemonRecord{}, lastKnown: map[tw.DaemonID]DaemonRecord{}, owners: map[tw.PoolID]ledger.Owner{},
		pingStates: map[string]*pingState{}, orphanedAt: map[tw.PoolID]time.Time{}, poolLostAt: map[tw.PoolID]time.Time{},
	}
	for _, id := range []tw.DaemonID{"a", "b", "c"} {
		l := DaemonRecord{Daemon: id, Incarnation: 1, Address: string(id) + ":1", Cores: 1}
		m.live[id], m.lastKnown[id] = l, l
	}
	m.owners["p"] = ledger.Owner{Pool: "p", Daemon: "a", Address: "a:1", Incarnation: 1, Fence: 4}
	m.pingStates["a:1"] = &pingState{quietSince: clock.Now()}
	clock.Advance(time.Minute)
	m.pingStates["a:1"].quietSince = clock.Now()
	return m
}

// takeCases are what befalls the owner, and whether some daemon takes over.
var takeCases = map[string]struct {
	befall func(m *Members, now time.Time)
	taken  bool
}{
	"a living owner keeps its pool": {befall: func(*Members, time.Time) {}},
	"a pool without an owner is taken": {
		befall: func(m *Members, _ time.Time) { delete(m.owners, "p") }, taken: true,
	},
	"an owner whose process is gone loses it": {
		befall: func(m *Members, _ time.Time) { m.pingStates["a:1"].refusedInRow = refusalsUntilDown }, taken: true,
	},
	"an owner that has started anew loses it": {
		befall: func(m *Members, _ time.Time) { m.live["a"] = DaemonRecord{Daemon: "a", Incarnation: 2, Address: "a:1"} }, taken: true,
	},
	"a silent owner keeps it while its record stands": {
		befall: func(m *Members, now time.Time) { m.silence("a:1", now) },
	},
	"a silent owner loses it once its record is gone": {
		befall: func(m *Members, now time.Time) {
			m.silence("a:1", now)
			delete(m.live, "a")
		}, taken: true,
	},
	"an owner whose record was revoked keeps it while it answers": {
		befall: func(m *Members, _ time.Time) { delete(m.live, "a") },
	},
	"records that are missing after an outage prove nothing at first": {
		befall: func(m *Members, now time.Time) {
			m.silence("a:1", now)
			delete(m.live, "a")
			m.watcher.answeringSince = now
		},
	},
	"nobody takes anything while the store does not answer": {
		befall: func(m *Members, _ time.Time) {
			delete(m.owners, "p")
			m.watcher.answeringSince = time.Time{}
		},
	},
	"a daemon that just lost the pool leaves it to others": {
		befall: func(m *Members, now time.Time) {
			delete(m.owners, "p")
			m.poolLostAt["p"] = now
		},
	},
}

func (m *Members) silence(address string, now time.Time) {
	m.pingStates[address].failingSince = now.Add(-2 * recordMissingTimeout)
	m.pingStates[address].quietSince = now.Add(-2 * recordMissingTimeout)
}

func TestToTake(t *testing.T) {
	for name, c := range takeCases {
		t.Run(name, func(t *testing.T) {
			clock := fakeclock.New()
			m := quorum(clock)
			c.befall(m, clock.Now())
			m.takeoversDue(clock.Now()) // notes since when the pool is lost
			clock.Advance(2 * candidateDelay)
			got := m.takeoversDue(clock.Now())
			NewWithT(t).Expect(len(got) > 0).To(Equal(c.taken))
		})
	}
}

func TestCandidatesByProcessor(t *testing.T) {
	g := NewWithT(t)
	clock := fakeclock.New()
	m := quorum(clock)
	m.live["b"] = DaemonRecord{Daemon: "b", Cores: 0.2}
	m.live["c"] = DaemonRecord{Daemon: "c", Cores: 0.8}
	maps.Copy(m.lastKnown, m.live)
	g.Expect(m.candidates("p", map[tw.DaemonID]int{}, clock.Now())).To(Equal([]tw.DaemonID{"c", "b"}))
	g.Expect(m.candidates("p", map[tw.DaemonID]int{"c": 9}, clock.Now())).To(Equal([]tw.DaemonID{"b", "c"}))
}

// The daemon with the most processor for its pools is asked first.
func TestRescuersByProcessor(t *testing.T) {
	g := NewWithT(t)
	clock := fakeclock.New()
	m := quorum(clock)
	for _, small := range []tw.DaemonID{"a", "c"} {
		for id := range m.lastKnown {
			cores := tw.Cores(0.8)
			if id == small {
				cores = 0.2
			}
			m.lastKnown[id] = DaemonRecord{Daemon: id, Incarnation: 1, Address: string(id) + ":1", Cores: cores}
			m.pingStates[string(id)+":1"] = &pingState{quietSince: clock.Now(), storeReachable: true}
		}
		first, _ := m.TakeoverTarget("q", 0)
		g.Expect(first.Daemon).NotTo(Equal(small))
	}
}

// An ownership is never replaced by an older one.
func TestOwnerNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	m := quorum(fakeclock.New())
	m.RecordOwner(ledger.Owner{Pool: "p", Daemon: "c", Fence: 3})
	o, _ := m.Owner("p")
	g.Expect(o.Daemon).To(Equal(tw.DaemonID("a")))
	m.RecordOwner(ledger.Owner{Pool: "p", Daemon: "c", Fence: 5})
	o, _ = m.Owner("p")
	g.Expect(o.Daemon).To(Equal(tw.DaemonID("c")))
}

// A daemon that lost the store asks each peer in turn, but none that says that
// it does not reach the store either.
func TestRescuersTakeTurns(t *testing.T) {
	g := NewWithT(t)
	clock := fakeclock.New()
	m := quorum(clock)
	for _, id := range []string{"a", "c"} {
		m.pingStates[id+":1"] = &pingState{quietSince: clock.Now(), storeReachable: true}
	}
	first, found := m.TakeoverTarget("p", 0)
	g.Expect(found).To(BeTrue())
	second, _ := m.TakeoverTarget("p", 1)
	g.Expect(second.Daemon).NotTo(Equal(first.Daemon))
	third, _ := m.TakeoverTarget("p", 2)
	g.Expect(third.Daemon).To(Equal(first.Daemon))
	m.pingStates[first.Address].storeReachable = false
	for asked := range 3 {
		next, _ := m.TakeoverTarget("p", asked)
		g.Expect(next.Daemon).To(Equal(second.Daemon))
	}
	m.pingStates[second.Address].failingSince = clock.Now()
	_, found = m.TakeoverTarget("p", 0)
	g.Expect(found).To(BeFalse())
}

// reliefCases are the daemons beside "b", which has two cores and owns the pool "p", and who
// takes it when "b" is too slow.
var reliefCases = map[string]struct {
	cores map[tw.DaemonID]tw.Cores
	// pools are those that the others own.
	pools  map[tw.PoolID]tw.DaemonID
	silent bool
	want   tw.DaemonID
}{
	"a larger daemon":                          {cores: map[tw.DaemonID]tw.Cores{"a": 2, "c": 8}, want: "c"},
	"none that is as large":                    {cores: map[tw.DaemonID]tw.Cores{"a": 2, "c": 3}},
	"a larger one, though it owns another":     {cores: map[tw.DaemonID]tw.Cores{"c": 8}, pools: map[tw.PoolID]tw.DaemonID{"q": "c"}, want: "c"},
	"not a larger one with too many pools":     {cores: map[tw.DaemonID]tw.Cores{"c": 4}, pools: map[tw.PoolID]tw.DaemonID{"q": "c", "r": "c"}},
	"the one of the larger ones with less":     {cores: map[tw.DaemonID]tw.Cores{"a": 8, "c": 8}, pools: map[tw.PoolID]tw.DaemonID{"q": "a"}, want: "c"},
	"not one that does not answer or no store": {cores: map[tw.DaemonID]tw.Cores{"c": 8}, silent: true},
}

func TestRelief(t *testing.T) {
	for name, c := range reliefCases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clock := fakeclock.New()
			m := quorum(clock)
			m.owners["p"] = ledger.Owner{Pool: "p", Daemon: "b", Address: "b:1", Incarnation: 1, Fence: 5}
			for id, l := range m.live {
				l.Cores = 2
				if cores := c.cores[id]; cores > 0 {
					l.Cores = cores
				}
				m.live[id], m.lastKnown[id] = l, l
				m.pingStates[l.Address] = &pingState{quietSince: clock.Now(), storeReachable: true}
				if c.silent {
					m.pingStates[l.Address].failingSince = clock.Now()
				}
			}
			for pool, owner := range c.pools {
				m.owners[pool] = ledger.Owner{Pool: pool, Daemon: owner, Incarnation: 1}
			}
			l, found := m.FasterSuccessor("p")
			g.Expect(found).To(Equal(c.want != ""))
			g.Expect(l.Daemon).To(Equal(c.want))
		})
	}
}
