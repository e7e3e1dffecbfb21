package member

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/fakeclock"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// growthSizes are numbers of daemons in a deployment. The daemons are in growthHalls halls. A tenth
// of them have four times the cores of the others, and some of these own growthPools pools.
var growthSizes = []int{50, 200, 800, 1600}

const (
	growthHalls = 5
	growthPools = 6
)

// cluster holds the Members of all daemons of a deployment, without their background tasks.
type cluster struct {
	clock   *fakeclock.Clock
	members map[string]*Members
	owners  map[string]bool
}

func newCluster(t testing.TB, daemons int) *cluster {
	c := &cluster{clock: fakeclock.New(), members: map[string]*Members{}, owners: map[string]bool{}}
	live := map[tw.DaemonID]DaemonRecord{}
	for n := range daemons {
		record := DaemonRecord{Daemon: tw.DaemonID(fmt.Sprintf("d%04d", n)), Incarnation: 1, Hall: tw.HallID(fmt.Sprint(n % growthHalls)), Cores: 0.2}
		if n%10 == 0 {
			record.Cores = 0.8
		}
		record.Address = string(record.Daemon)
		live[record.Daemon] = record
	}
	owned := map[tw.PoolID]ledger.Owner{}
	for p := range growthPools {
		id := tw.PoolID(fmt.Sprintf("p%d", p))
		daemon := tw.DaemonID(fmt.Sprintf("d%04d", 10*(p%3)))
		owned[id] = ledger.Owner{Pool: id, Daemon: daemon, Address: string(daemon), Incarnation: 1, Fence: 7}
		c.owners[string(daemon)] = true
	}
	for id, record := range live {
		m := &Members{
			config: Config{Clock: c.clock, Log: agecheck.Logger(t), Self: record}, pingStates: map[string]*pingState{}, live: live, lastKnown: live,
			owners: map[tw.PoolID]ledger.Owner{}, orphanedAt: map[tw.PoolID]time.Time{},
		}
		for pool, o := range owned {
			m.owners[pool] = o
		}
		c.members[string(id)] = m
	}
	return c
}

// round has every daemon ping its peers once, and counts the pings that each sends and receives.
// The dead daemon neither sends nor answers any.
func (c *cluster) round(dead string) (out, in map[string]int) {
	out, in = map[string]int{}, map[string]int{}
	for from, m := range c.members {
		if from == dead {
			continue
		}
		for to := range m.pingTargets(false) {
			out[from]++
			in[to]++
			c.ping(m, to, to == dead)
		}
	}
	return out, in
}

func (c *cluster) ping(m *Members, to string, dead bool) {
	now := c.clock.Now()
	if dead {
		m.pingStates[to] = &pingState{failingSince: now, lastFailure: now}
		return
	}
	suspicions, owners := c.members[to].HandlePing(&PingRequest{Suspicions: m.suspectedOwners(now), OwnersDigest: m.ownersDigest()})
	m.mergeSuspicions(suspicions, now)
	for _, o := range owners {
		m.setOwner(o)
	}
}

func maxCount(counts map[string]int) int {
	n := 0
	for _, count := range counts {
		n = max(n, count)
	}
	return n
}

// Guards against pings that grow with the number of daemons. Previously, every daemon pinged every
// owner, so that with 585 daemons an owner received 2,336 pings per second. While the store did not
// answer, every daemon pinged every other one. The pings that a daemon sends must not grow with the
// number of daemons, and those that an owner receives must not grow beyond random variation.
func TestPingsDoNotGrowWithDaemons(t *testing.T) {
	g := NewWithT(t)
	const maxSent, maxReceived = growthPools + probesPerHall*growthHalls, growthPools*pingersPerOwner + 12*probesPerHall*growthHalls
	for _, size := range growthSizes {
		c := newCluster(t, size)
		out, in := c.round("")
		g.Expect(maxCount(out)).To(BeNumerically("<=", maxSent), "sent, %d daemons", size)
		g.Expect(maxCount(in)).To(BeNumerically("<=", maxReceived), "received, %d daemons", size)
		for n := range 10 {
			m := c.members[fmt.Sprintf("d%04d", n)]
			g.Expect(len(m.pingTargets(true))).To(BeNumerically("<=", maxSent+maxSearchPings))
		}
	}
}

// An owner without the store must find any daemon that still reaches it: the search must
// eventually ping all daemons.
func TestSearchReachesAllDaemons(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 400)
	m := c.members["d0000"]
	pinged := map[string]bool{}
	for range 400 / maxSearchPings {
		for address := range m.pingTargets(true) {
			pinged[address] = true
		}
	}
	g.Expect(pinged).To(HaveLen(399))
}

// What a few daemons know must reach all in a number of ping rounds that grows with the logarithm
// of the number of daemons: that an owner does not answer, and that a pool has a new owner.
func TestGossipReachesAllDaemons(t *testing.T) {
	g := NewWithT(t)
	for _, size := range growthSizes {
		maxRounds := int(math.Ceil(math.Log2(float64(size))/2)) + 1
		c := newCluster(t, size)
		dead := "d0000"
		rounds := 0
		for unaware := size; unaware > 0; rounds++ {
			g.Expect(rounds).To(BeNumerically("<=", maxRounds), "suspicion, %d daemons", size)
			c.round(dead)
			unaware = 0
			for at, m := range c.members {
				if at != dead && !m.Unresponsive(dead) {
					unaware++
				}
			}
		}
		newer := ledger.Owner{Pool: "p0", Daemon: "d0050", Address: "d0050", Incarnation: 1, Fence: 8}
		if size < 51 {
			newer.Daemon, newer.Address = "d0040", "d0040"
		}
		c.members[newer.Address].RecordOwner(newer)
		rounds = 0
		for unaware := size; unaware > 0; rounds++ {
			g.Expect(rounds).To(BeNumerically("<=", maxRounds), "new owner, %d daemons", size)
			c.round("")
			unaware = 0
			for _, m := range c.members {
				if o, _ := m.Owner("p0"); o.Fence != 8 {
					unaware++
				}
			}
		}
	}
}

// A suspicion must expire once the owner answers pings again. It is gossiped with its age, so that
// daemons cannot renew it for each other.
func TestSuspicionsExpire(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 200)
	dead := "d0000"
	for range 4 {
		c.round(dead)
	}
	for _, m := range c.members {
		m.pingStates = map[string]*pingState{}
	}
	for range 10 {
		c.clock.Advance(250 * time.Millisecond)
		c.round("")
	}
	for _, m := range c.members {
		g.Expect(m.Unresponsive(dead)).To(BeFalse())
	}
}

// Only new and changed records must be decoded after a change, not all of them.
func TestRecordsAreDecodedOnce(t *testing.T) {
	g := NewWithT(t)
	m := newCluster(t, 50).members["d0000"]
	m.live, m.lastKnown = map[tw.DaemonID]DaemonRecord{}, map[tw.DaemonID]DaemonRecord{}
	items := map[tw.Key]tw.KVItem{}
	for n := range 50 {
		key := ledger.LiveKey(tw.DaemonID(fmt.Sprintf("d%04d", n)))
		items[key] = tw.KVItem{Key: key, Revision: tw.KVRevision(n + 1), Value: []byte(fmt.Sprintf(`{"daemon":"d%04d"}`, n))}
	}
	m.applyRecords(items, 50)
	g.Expect(m.live).To(HaveLen(50))
	for key, item := range items {
		item.Value = []byte("unreadable")
		items[key] = item
	}
	m.applyRecords(items, 51)
	g.Expect(m.live).To(HaveLen(50))
	delete(items, ledger.LiveKey("d0007"))
	m.applyRecords(items, 52)
	g.Expect(m.live).To(HaveLen(49))
}

// The number of daemons that relay orders for another one must not grow with the number of
// daemons. They must not own pools themselves, and must differ between the daemons served.
func TestRelayCandidatesAreBounded(t *testing.T) {
	g := NewWithT(t)
	for _, size := range growthSizes {
		c := newCluster(t, size)
		used := map[string]bool{}
		for owner := range c.owners {
			relays := c.members[owner].RelayCandidates("0")
			g.Expect(len(relays)).To(BeNumerically("<=", maxRelayCandidates))
			for _, address := range relays {
				g.Expect(address).NotTo(Equal(owner))
				g.Expect(c.owners).NotTo(HaveKey(address))
				used[address] = true
			}
		}
		if size > growthSizes[0] {
			g.Expect(len(used)).To(BeNumerically(">", maxRelayCandidates))
		}
	}
}
