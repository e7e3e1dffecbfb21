package member_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/membertest"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
)

// silentWatches is a store whose watch calls get no answer, also later, if they were made before a time.
type silentWatches struct {
	*standin.KV
	until atomic.Pointer[time.Time]
}

// Watch implements tw.KV.
func (k *silentWatches) Watch(ctx context.Context, prefix tw.Key, after tw.KVRevision, wait time.Duration) ([]tw.KVEvent, tw.KVRevision, error) {
	began := time.Now()
	events, next, err := k.KV.Watch(ctx, prefix, after, wait)
	if until := k.until.Load(); until != nil && began.Before(*until) {
		unanswered, cancel := context.WithDeadline(ctx, began.Add(wait+time.Second)) // as the client of the platform's store
		defer cancel()
		<-unanswered.Done()
		return nil, 0, fmt.Errorf("%w: %w", tw.ErrAmbiguous, unanswered.Err())
	}
	return events, next, err
}

// TestSilentOwnerBesideSilentWatch guards against cancelled work that goes on without an owner: the owner's
// machine had lost power, and the watch that would have told that its record was gone had become silent. The
// platform allows 3 s and the time of a stop once the trouble is over.
func TestSilentOwnerBesideSilentWatch(t *testing.T) {
	const ttl = 1500 * time.Millisecond // of the owner's record
	const watchInterval = 3 * time.Second
	for n := range 48 { // the silence begins and ends at each moment of a watch
		phase, silence := time.Duration(n%6)*watchInterval/6, time.Duration(n/6+1)*500*time.Millisecond
		t.Run(fmt.Sprintf("%s, silent for %s", phase, silence), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				kv := &silentWatches{KV: standin.KVConfig{Latency: time.Millisecond}.New()}
				owner := member.DaemonRecord{Daemon: "b", Incarnation: 1, Address: "b:1"}
				membertest.Announce(kv.KV, owner)
				peers := &membertest.Peers{Answer: member.PingResponse{
					Daemon: "b", Incarnation: 1, StoreReachable: true,
					Owned: []ledger.Owner{{Pool: "p", Daemon: "b", Address: "b:1", Incarnation: 1, Fence: 1}},
				}}
				taken := make(chan time.Time, 1)
				members, end := membertest.StartWithPools(t, kv, member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1"}, peers,
					[]tw.PoolID{"p"}, func(tw.PoolID, string) {
						select {
						case taken <- time.Now():
						default: // it is asked for again until the pool has an owner
						}
					})
				defer end()
				members.RecordOwner(ledger.Owner{Pool: "p", Daemon: "b", Address: "b:1", Incarnation: 1, Fence: 1})
				time.Sleep(4*time.Second + phase)
				g.Expect(taken).To(BeEmpty())
				until := time.Now().Add(silence)
				kv.until.Store(&until)
				time.Sleep(500 * time.Millisecond)
				peers.Unresponsive.Store(true)
				time.Sleep(ttl)
				_, err := kv.Commit(t.Context(), tw.KVTxn{Removes: []tw.Key{ledger.LiveKey("b")}})
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(20 * time.Second)
				g.Expect(taken).NotTo(BeEmpty())
				g.Expect((<-taken).Sub(until)).To(BeNumerically("<=", 3*time.Second))
			})
		})
	}
}

// TestUnreachableOwnerCostsFewReads bounds what an owner costs the store that keeps its record and does
// not answer this daemon: a read of the records each 2 s at the first two candidates for its pool, and
// none at others.
func TestUnreachableOwnerCostsFewReads(t *testing.T) {
	cases := map[string]struct {
		others  int // daemons that are candidates before this one
		allowed int
	}{
		"the first candidate":  {allowed: 15},
		"the second candidate": {others: 1, allowed: 15},
		"the third candidate":  {others: 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				kv := &countedRanges{KV: standin.KVConfig{Latency: time.Millisecond}.New()}
				membertest.Announce(kv.KV, member.DaemonRecord{Daemon: "owner", Incarnation: 1, Address: "owner:1"})
				for n := range c.others {
					id := tw.DaemonID(fmt.Sprint("other", n))
					membertest.Announce(kv.KV, member.DaemonRecord{Daemon: id, Incarnation: 1, Address: string(id) + ":1", Cores: 4})
				}
				peers := &silentOwner{}
				members, end := membertest.StartWithPools(t, kv, member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1", Cores: 1}, peers,
					[]tw.PoolID{"p"}, func(tw.PoolID, string) {})
				defer end()
				members.RecordOwner(ledger.Owner{Pool: "p", Daemon: "owner", Address: "owner:1", Incarnation: 1, Fence: 1})
				time.Sleep(30 * time.Second)
				g.Expect(members.Unresponsive("owner:1")).To(BeTrue())
				g.Expect(int(kv.ranges.Load()) - 1).To(BeNumerically("<=", c.allowed))
			})
		})
	}
}

// countedRanges counts the reads of ranges.
type countedRanges struct {
	*standin.KV
	ranges atomic.Int64
}

// Range implements tw.KV.
func (k *countedRanges) Range(ctx context.Context, prefix tw.Key) ([]tw.KVItem, tw.KVRevision, error) {
	k.ranges.Add(1)
	return k.KV.Range(ctx, prefix)
}

// silentOwner are daemons of which one, "owner", does not answer.
type silentOwner struct{}

// Ping implements member.Pinger.
func (silentOwner) Ping(ctx context.Context, address string, _ member.PingRequest) (*member.PingResponse, error) {
	if address == "owner:1" {
		<-ctx.Done()
		return nil, tw.ErrAmbiguous
	}
	return &member.PingResponse{StoreReachable: true}, nil
}
