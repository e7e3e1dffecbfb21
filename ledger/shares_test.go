package ledger_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type units = map[tw.OrganisationID]ledger.ShareUnits

func shareBook(t testing.TB, kv tw.KV, name tw.PoolID, fence tw.FencingToken) *ledger.ShareBook {
	return ledger.ShareBookConfig{KV: kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(t), Pool: name, Fence: fence}.New()
}

// upTo returns a function for Set that requests the free units of red's cap, at most n.
func upTo(name tw.PoolID, n ledger.ShareUnits) func(ledger.Shares) units {
	return func(s ledger.Shares) units { return units{"red": min(n, s.Free("red", name, nil))} }
}

// freeCases are the shares and floors of pools, with the units of red's cap that are free for
// pool a.
var freeCases = map[string]struct {
	pools  map[tw.PoolID]ledger.PoolShares
	floors map[tw.PoolID]ledger.ShareUnits
	want   ledger.ShareUnits
}{
	"no shares":                   {want: ledger.CapUnits},
	"the pool's own share":        {pools: map[tw.PoolID]ledger.PoolShares{"a": {Units: units{"red": 700}}}, want: ledger.CapUnits},
	"another pool's share":        {pools: map[tw.PoolID]ledger.PoolShares{"b": {Units: units{"red": 700}}}, want: 324},
	"share of another cap":        {pools: map[tw.PoolID]ledger.PoolShares{"b": {Units: units{"blue": 700}}}, want: ledger.CapUnits},
	"floors of other pools":       {floors: map[tw.PoolID]ledger.ShareUnits{"a": 64, "b": 64, "c": 64}, want: 896},
	"share above its floor":       {pools: map[tw.PoolID]ledger.PoolShares{"b": {Units: units{"red": 100}}}, floors: map[tw.PoolID]ledger.ShareUnits{"b": 64}, want: 924},
	"share of a pool that left":   {pools: map[tw.PoolID]ledger.PoolShares{"z": {Units: units{"red": 24}}}, floors: map[tw.PoolID]ledger.ShareUnits{"b": 100}, want: 900},
	"shares and floors above cap": {pools: map[tw.PoolID]ledger.PoolShares{"b": {Units: units{"red": 1000}}}, floors: map[tw.PoolID]ledger.ShareUnits{"c": 64}, want: 0},
}

func TestSharesFree(t *testing.T) {
	for name, c := range freeCases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(ledger.Shares{Pools: c.pools}.Free("red", "a", c.floors)).To(Equal(c.want))
		})
	}
}

func TestShareBookRejectsPreviousOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		previous, current := shareBook(t, kv, "a", 1), shareBook(t, kv, "a", 2)
		_, err := previous.Set(t.Context(), upTo("a", 500))
		g.Expect(err).NotTo(HaveOccurred())
		kept, err := current.Set(t.Context(), func(s ledger.Shares) units { return s.Pools["a"].Units })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(kept).To(Equal(units{"red": 500}))
		_, err = previous.Set(t.Context(), upTo("a", 0))
		g.Expect(err).To(MatchError(ledger.ErrOwnershipLost))
	})
}

// TestShareBookResolvesUnknownOutcome guards against an owner that gives back a share in a write
// with an unknown outcome and keeps using the share, because choose returns the old value at the
// next attempt. The write may still be applied, and another pool would use the share as well.
func TestShareBookResolvesUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		a, b := shareBook(t, kv, "a", 1), shareBook(t, kv, "b", 1)
		_, err := a.Set(t.Context(), upTo("a", 1000))
		g.Expect(err).NotTo(HaveOccurred())
		kv.SetFaults(standin.KVFaults{LateWrites: 1})
		requested := ledger.ShareUnits(0)
		held, err := a.Set(t.Context(), func(ledger.Shares) units {
			defer func() { requested = 1000 }()
			return units{"red": requested}
		})
		g.Expect(err).NotTo(HaveOccurred())
		kv.ApplyLateWrites()
		taken, err := b.Set(t.Context(), upTo("b", 1024))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(held["red"] + taken["red"]).To(BeNumerically("<=", ledger.CapUnits))
	})
}

func TestShareBookKeepsUnreadableRecord(t *testing.T) {
	g := NewWithT(t)
	kv := standin.KVConfig{}.New()
	kv.Put(ledger.SharesKey, []byte("not a record"))
	_, err := shareBook(t, kv, "a", 1).Set(t.Context(), upTo("a", 10))
	g.Expect(err).To(HaveOccurred())
	item, err := kv.Get(t.Context(), ledger.SharesKey)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(item.Value)).To(Equal("not a record"))
}

// TestSharesModel simulates owners of three pools that change their shares through a store
// that loses answers and applies writes late, and that are replaced at any time. The shares
// that the owners may use must never add up to more than the cap. A new owner takes over the
// recorded share of the previous owner, whose work may still run.
func TestSharesModel(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) { simulateShares(t, seed) })
	}
}

// shareOwner is a simulated owner with the share that it uses.
type shareOwner struct {
	book *ledger.ShareBook
	uses ledger.ShareUnits
}

func simulateShares(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	kv := standin.KVConfig{Latency: time.Millisecond}.New()
	names := []tw.PoolID{"a", "b", "c"}
	owners, fences := map[tw.PoolID]*shareOwner{}, map[tw.PoolID]tw.FencingToken{}
	for range 60 {
		name := names[random.IntN(len(names))]
		switch random.IntN(6) {
		case 0:
			kv.SetFaults(standin.KVFaults{LoseAnswers: random.IntN(3), LateWrites: random.IntN(3)})
		case 1:
			kv.ApplyLateWrites()
			kv.SetFaults(standin.KVFaults{})
		case 2:
			fences[name]++
			owners[name] = &shareOwner{book: shareBook(t, kv, name, fences[name])}
			owners[name].claim(t, name)
		default:
			if o := owners[name]; o != nil {
				o.change(t, name, ledger.ShareUnits(random.IntN(1100)))
			}
		}
		sum := ledger.ShareUnits(0)
		for _, o := range owners {
			sum += o.uses
		}
		if sum > ledger.CapUnits {
			t.Fatalf("seed %d: %d units are in use", seed, sum)
		}
	}
}

// claim takes over the share of the previous owner.
func (o *shareOwner) claim(t *testing.T, name tw.PoolID) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	held, err := o.book.Set(ctx, func(s ledger.Shares) units { return s.Pools[name].Units })
	if err == nil {
		o.uses = held["red"]
	}
}

// change requests up to n units. It uses the smaller of the old and the new share until the
// change is confirmed.
func (o *shareOwner) change(t *testing.T, name tw.PoolID, n ledger.ShareUnits) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	o.uses = min(o.uses, n)
	held, err := o.book.Set(ctx, upTo(name, n))
	if err == nil {
		o.uses = held["red"]
	}
}
