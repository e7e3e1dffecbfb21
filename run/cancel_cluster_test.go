package run_test

import (
	"context"
	"sync"
	"testing"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/queue"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// cluster is a pool with three daemons, each of which may own it, in simulated time. Faults strike the
	// calls of the daemons and the daemons themselves at planned points.
	cluster struct {
		*rig
		ended chan struct{}
		loops sync.WaitGroup

		mu      sync.Mutex
		planned map[protocolPoint][]fault
		made    map[protocolStep]int
		// trace are the points that were reached, struck the number of faults that came.
		trace   []tracedPoint
		struck  int
		daemons []*clusterDaemon
		// owner is the daemon that took the pool last; nil at first. taking: a takeover is under way.
		owner  *clusterDaemon
		taking bool
		// former is the owner before, ownedSince when owner took the pool.
		former     *clusterDaemon
		ownedSince time.Time
		next       int
		// takeoverWanted: a daemon takes the pool although its owner is well.
		takeoverWanted bool
		// disturbedUntil is the end of the last disturbance.
		disturbedUntil time.Time
		// cancelledAt is when the cancel of the submission was answered; zero before. answer is the answer.
		cancelledAt time.Time
		answer      cancelAnswer
		starts      map[tw.StartOrder]bool
		broken      []string
		// lastPhase: the pool changes its owner without faults, and nothing cancelled is started any more.
		lastPhase bool
	}

	// clusterDaemon is one life of a daemon's process.
	clusterDaemon struct {
		c      *cluster
		id     tw.DaemonID
		ctx    context.Context
		kill   context.CancelFunc
		kv     tw.KV
		router *queue.Router
		// alone is a router that reaches no other daemon.
		alone *queue.Router

		// The fields below are guarded by cluster.mu.

		o        *run.Owner
		inbox    *member.Watcher
		dead     bool
		killedAt time.Time
		draining bool
		// pausedUntil is the end of its pause, cutUntil of its cuts.
		pausedUntil time.Time
		cutUntil    map[link]time.Time
		// awaySince is when it was last paused or cut off from the store, disturbedUntil when it last came
		// back from anything.
		awaySince, disturbedUntil time.Time
	}

	// link is what a daemon may be cut off from.
	link string

	// reach provides the owners that a router reaches.
	reach struct {
		d     *clusterDaemon
		alone bool
	}
)

const (
	toStore   link = "store"
	toWorkers link = "workers"
	toDaemons link = "daemons"
	toCallers link = "callers"

	// leaseTime is how long a daemon that does not answer keeps its pool, killedTime how long one that was
	// killed does, restartTime the time until it is started again.
	leaseTime   = 3 * time.Second
	killedTime  = 100 * time.Millisecond
	restartTime = time.Second
	// staleTime is how long after a takeover daemons do not know of it.
	staleTime    = time.Second
	clusterTick  = 25 * time.Millisecond
	inboxWait    = 1500 * time.Millisecond
	inboxTimeout = 800 * time.Millisecond
)

func newCluster(t *testing.T, planned map[protocolPoint][]fault) *cluster {
	c := &cluster{rig: newRig(t, 2), ended: make(chan struct{}), planned: planned, made: map[protocolStep]int{}, starts: map[tw.StartOrder]bool{}}
	for _, id := range []tw.DaemonID{"a", "b", "c"} {
		c.daemons = append(c.daemons, c.newDaemon(id))
	}
	c.loops.Go(func() {
		for {
			select {
			case <-c.ended:
				return
			case <-time.After(clusterTick):
				c.tick()
			}
		}
	})
	return c
}

func (c *cluster) newDaemon(id tw.DaemonID) *clusterDaemon {
	d := &clusterDaemon{c: c, id: id, cutUntil: map[link]time.Time{}}
	d.ctx, d.kill = context.WithCancel(context.Background())
	d.kv = ledger.ResenderConfig{KV: storeLink{KV: c.kv, d: d}, Clock: processClock{d}, Log: testLog(d.c.t), Metrics: agecheck.Metrics(d.c.t)}.New()
	router := queue.RouterConfig{Pools: reach{d: d}, Members: &member.Members{}, KV: d.kv, Clock: processClock{d}, Log: testLog(d.c.t)}
	d.router = router.New()
	router.Pools = reach{d: d, alone: true}
	d.alone = router.New()
	return d
}

// close ends all processes and waits for what they do.
func (c *cluster) close() {
	close(c.ended)
	c.mu.Lock()
	for _, d := range c.daemons {
		c.kill(d)
	}
	c.mu.Unlock()
	c.loops.Wait()
	c.end()
}

// kill ends a process where it is. c.mu is held.
func (c *cluster) kill(d *clusterDaemon) {
	if d.dead {
		return
	}
	d.dead, d.killedAt = true, time.Now()
	c.disturbUntil(d.killedAt)
	o, inbox := d.o, d.inbox
	c.loops.Go(func() {
		d.kill()
		if o != nil {
			o.Close()
			inbox.Close()
		}
	})
}

// stop ends a process as planned. c.mu is held.
func (c *cluster) stop(d *clusterDaemon) {
	if d.dead || d.draining {
		return
	}
	d.draining = true
	o := d.o
	c.loops.Go(func() {
		if o != nil {
			o.Drain(d.ctx)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.kill(d)
	})
}

// tick starts what is due: takeovers and the restarts of processes. It checks what runs.
func (c *cluster) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for n, d := range c.daemons {
		if d.dead && now.Sub(d.killedAt) >= restartTime {
			c.daemons[n] = c.newDaemon(d.id)
			c.daemons[n].disturbedUntil = now
			c.disturbUntil(now)
		}
	}
	if !c.taking && (c.takeoverWanted || !c.owned(now)) {
		c.takeOver(now)
	}
	c.checkRuns(now)
}

// owned reports whether the pool has an owner as far as other daemons can see.
func (c *cluster) owned(now time.Time) bool {
	d := c.owner
	switch {
	case d == nil || d.o == nil:
		return false
	case d.dead:
		return now.Sub(d.killedAt) < killedTime
	case d.away(now):
		return now.Sub(d.awaySince) < leaseTime
	}
	return d.owns()
}

// away reports whether a process is paused or cut off from the store.
func (d *clusterDaemon) away(now time.Time) bool {
	return now.Before(d.pausedUntil) || now.Before(d.cutUntil[toStore])
}

// takeOver has the next daemon that can take the pool.
func (c *cluster) takeOver(now time.Time) {
	for range c.daemons {
		d := c.daemons[c.next%len(c.daemons)]
		c.next++
		if d.dead || d.draining || d.away(now) || d == c.owner {
			continue
		}
		c.taking, c.takeoverWanted = true, false
		c.loops.Go(func() {
			err := d.take()
			c.mu.Lock()
			defer c.mu.Unlock()
			c.taking = false
			if err == nil {
				c.former, c.owner, c.ownedSince = c.owner, d, time.Now()
			}
		})
		return
	}
}

// take makes the daemon the owner of the pool.
func (d *clusterDaemon) take() error {
	c := d.c
	c.mu.Lock()
	c.ownersOpened++
	incarnation := tw.Incarnation(c.ownersOpened)
	c.mu.Unlock()
	self := ledger.Owner{Pool: pool, Daemon: d.id, Address: "10.1.0.1:1", Incarnation: incarnation}
	book, err := ledger.Config{KV: d.kv, Clock: processClock{d}, Log: testLog(d.c.t), Owner: self}.Open(d.ctx)
	if err != nil {
		return err
	}
	self.Fence = book.Fence()
	loaded, err := book.Load(d.ctx)
	if err != nil {
		return err
	}
	o := run.Config{
		Book: book, Loaded: loaded, Self: self, KV: d.kv, Orders: orderLink{WorkerOrders: c.fleet, d: d}, Advisor: noAdvisor{},
		MachineCache: c.machineCache, Clock: processClock{d}, Log: testLog(d.c.t), Metrics: agecheck.Metrics(d.c.t), RefreshWorkers: func() {},
		Evacuations: c.evacuations.Load, QueueConfig: func() *tw.QueueConfig { return nil },
		Bounds: run.Bounds{MaxHold: maxHold, StopTime: stopTime, KeepEnded: 2 * time.Minute},
	}.New()
	inbox := d.watchInbox(o)
	c.mu.Lock()
	former, formerInbox, dead := d.o, d.inbox, d.dead
	if !dead {
		d.o, d.inbox = o, inbox
	}
	c.mu.Unlock()
	if dead {
		former, formerInbox = o, inbox
	} else {
		c.publishWorkers(o)
	}
	if former != nil {
		former.Close()
		formerInbox.Close()
	}
	return nil
}

// watchInbox passes an owner the messages of the pool's inbox, as a daemon does.
func (d *clusterDaemon) watchInbox(o *run.Owner) *member.Watcher {
	seen := map[tw.Key]tw.KVRevision{}
	return member.WatcherConfig{
		KV: d.kv, Clock: processClock{d}, Log: testLog(d.c.t), Prefix: ledger.InboxPrefix(pool), Wait: inboxWait, AnswerTimeout: inboxTimeout,
		Changed: func(items map[tw.Key]tw.KVItem, _ tw.KVRevision) {
			for key, item := range items {
				if seen[key] == item.Revision {
					continue
				}
				seen[key] = item.Revision
				if message, err := ledger.DecodeInbox(item); err == nil {
					o.HandleInbox(d.ctx, message)
				}
			}
		},
	}.New()
}

// Local implements queue.Pools: calls to another daemon's owner are made as those to a local one. For a
// while after a takeover daemons call the former owner, which does not know of it either.
func (r reach) Local(tw.PoolID) *run.Owner {
	c, now := r.d.c, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.d.owns() {
		return r.d.o
	}
	owner := c.owner
	if now.Sub(c.ownedSince) < staleTime && c.former != nil && c.former.owns() {
		owner = c.former
	}
	switch {
	case r.alone, owner == nil, now.Before(r.d.cutUntil[toDaemons]):
		return nil
	case owner.dead, now.Before(owner.pausedUntil), now.Before(owner.cutUntil[toDaemons]):
		return nil
	}
	return owner.o
}

// owns reports whether the daemon has an owner that has not ended, which may have lost the pool. c.mu is held.
func (d *clusterDaemon) owns() bool {
	if d.o == nil || d.dead {
		return false
	}
	select {
	case <-d.o.Done():
		return false
	default:
		return true
	}
}
