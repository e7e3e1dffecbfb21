package ledger_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type units = map[tw.OrganisationID]ledger.ShareUnits

func shareBook(kv tw.KV, name tw.PoolID, fence tw.FencingToken) *ledger.ShareBook {
	return ledger.ShareBookConfig{KV: kv, Clock: tw.SystemClock{}, Log: zap.NewNop(), Pool: name, Fence: fence}.New()
}

// upTo takes as much of red's cap as is free, at most n units.
func upTo(name tw.PoolID, n ledger.ShareUnits) func(ledger.Shares) units {
	return func(s ledger.Shares) units { return units{"red": min(n, s.Free("red", name, nil))} }
}

// freeCases are what the pools have of red's cap, and what pool a may have.
var freeCases = map[string]struct {
	pools  map[tw.PoolID]ledger.PoolShares
	floors map[tw.PoolID]ledger.ShareUnits
	want   ledger.ShareUnits
}{
	"nobody has any":         {want: ledger.CapUnits},
	"its own part is free":   {pools: map[tw.PoolID]ledger.PoolShares{"a": {Units: units{"red": 700}}}, want: ledger.CapUnits},
	"another has a part":     {pools: map[tw.PoolID]ledger.PoolShares{"b": {Units: units{"red": 700}}}, want: 324},
	"of another's cap":       {pools: map[tw.PoolID]ledger.PoolShares{"b": {Units: units{"blue": 700}}}, want: ledger.CapUnits},
	"floors are left":        {floors: map[tw.PoolID]ledger.ShareUnits{"a": 64, "b": 64, "c": 64}, want: 896},
	"a part above its floor": {pools: map[tw.PoolID]ledger.PoolShares{"b": {Units: units{"red": 100}}}, floors: map[tw.PoolID]ledger.ShareUnits{"b": 64}, want: 924},
	"a pool that has left":   {pools: map[tw.PoolID]ledger.PoolShares{"z": {Units: units{"red": 24}}}, floors: map[tw.PoolID]ledger.ShareUnits{"b": 100}, want: 900},
	"all is taken":           {pools: map[tw.PoolID]ledger.PoolShares{"b": {Units: units{"red": 1000}}}, floors: map[tw.PoolID]ledger.ShareUnits{"c": 64}, want: 0},
}

func TestSharesFree(t *testing.T) {
	for name, c := range freeCases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(ledger.Shares{Pools: c.pools}.Free("red", "a", c.floors)).To(Equal(c.want))
		})
	}
}

func TestShareBookOfAFormerOwnerChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		former, present := shareBook(kv, "a", 1), shareBook(kv, "a", 2)
		_, err := former.Set(t.Context(), upTo("a", 500))
		g.Expect(err).NotTo(HaveOccurred())
		kept, err := present.Set(t.Context(), func(s ledger.Shares) units { return s.Pools["a"].Units })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(kept).To(Equal(units{"red": 500}))
		_, err = former.Set(t.Context(), upTo("a", 0))
		g.Expect(err).To(MatchError(ledger.ErrOwnershipLost))
	})
}

// A part that was to be given back is not kept because the wish has changed: the write
// may be done yet, and another pool would use the part as well.
func TestShareBookMakesUnclearChangesCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		a, b := shareBook(kv, "a", 1), shareBook(kv, "b", 1)
		_, err := a.Set(t.Context(), upTo("a", 1000))
		g.Expect(err).NotTo(HaveOccurred())
		kv.SetFaults(standin.KVFaults{LateWrites: 1})
		wish := ledger.ShareUnits(0)
		held, err := a.Set(t.Context(), func(ledger.Shares) units {
			defer func() { wish = 1000 }()
			return units{"red": wish}
		})
		g.Expect(err).NotTo(HaveOccurred())
		kv.DoLate()
		taken, err := b.Set(t.Context(), upTo("b", 1024))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(held["red"] + taken["red"]).To(BeNumerically("<=", ledger.CapUnits))
	})
}

func TestShareBookLeavesAloneWhatItCannotRead(t *testing.T) {
	g := NewWithT(t)
	kv := standin.KVConfig{}.New()
	kv.Put(ledger.SharesKey, []byte("not a record"))
	_, err := shareBook(kv, "a", 1).Set(t.Context(), upTo("a", 10))
	g.Expect(err).To(HaveOccurred())
	item, err := kv.Get(t.Context(), ledger.SharesKey)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(item.Value)).To(Equal("not a record"))
}

// TestSharesModel plays owners of three pools that take and give back parts through a store
// that refuses, loses answers and writes late, and that are replaced while they go on. What
// an owner may use never sums to more than the cap: the recorded part of each owner, and of
// a former one whose work may run on, the part that it had.
func TestSharesModel(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) { playShares(t, seed) })
	}
}

// shareOwner is an owner in the model, with the part that it uses.
type shareOwner struct {
	book *ledger.ShareBook
	uses ledger.ShareUnits
}

func playShares(t *testing.T, seed uint64) {
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
			kv.DoLate()
			kv.SetFaults(standin.KVFaults{})
		case 2:
			fences[name]++
			owners[name] = &shareOwner{book: shareBook(kv, name, fences[name])}
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

// claim takes over what the former owner had.
func (o *shareOwner) claim(t *testing.T, name tw.PoolID) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	held, err := o.book.Set(ctx, func(s ledger.Shares) units { return s.Pools[name].Units })
	if err == nil {
		o.uses = held["red"]
	}
}

// change uses the least of before and after while the change is under way.
func (o *shareOwner) change(t *testing.T, name tw.PoolID, n ledger.ShareUnits) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	o.uses = min(o.uses, n)
	held, err := o.book.Set(ctx, upTo(name, n))
	if err == nil {
		o.uses = held["red"]
	}
}
