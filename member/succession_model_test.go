package member_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// modelRounds is the number of faults for each of modelSeeds seeds.
	modelRounds = 4
	modelSeeds  = 12
	// settleTime is the time after the last fault within which every pool must have
	// one owner again. A daemon that lost a pool does not retake it for 5 s.
	settleTime = 8 * time.Second
)

// restartCases are numbers of daemons, and how long all of them are down.
var restartCases = map[string]struct {
	daemons int
	down    time.Duration
}{
	"few, with the records of their former processes":    {daemons: 9, down: 500 * time.Millisecond},
	"few, without the records of their former processes": {daemons: 9, down: 3 * time.Second},
	"many": {daemons: 37, down: time.Second},
}

// After a restart of all daemons each must retake its pools immediately, and no
// pool may be taken twice.
func TestAllRestarted(t *testing.T) {
	for name, c := range restartCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := rand.New(rand.NewPCG(1, uint64(c.daemons)))
				f := newFleet(t, c.daemons)
				f.startAll(r)
				defer func() { f.crashAll(f.daemons) }()
				time.Sleep(3 * time.Second)
				g.Expect(f.unowned()).To(BeEmpty())
				g.Expect(f.takeovers()).To(Equal(modelPools))
				f.crashAll(f.daemons)
				time.Sleep(c.down)
				f.startAll(r)
				time.Sleep(200 * time.Millisecond) // after the last has started
				g.Expect(f.unowned()).To(BeEmpty())
				time.Sleep(3 * time.Second)
				g.Expect(f.takeovers()).To(Equal(2*modelPools), "no pool is taken from its new owner")
			})
		})
	}
}

// injectFault injects a random fault, and returns the maximum number of takeovers that
// it may cause.
func (f *fleet) injectFault(r *rand.Rand) int {
	some := slices.Clone(f.daemons)
	r.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	pause := func() { time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second)))) }
	switch r.IntN(5) {
	case 0: // all are killed
		f.crashAll(some)
		pause()
		f.startAll(r)
	case 1: // half are killed
		f.crashAll(some[:len(some)/2])
		pause()
		f.startAll(r)
	case 2: // a hall is partitioned, sometimes in one direction
		f.partitionHall(r.IntN(modelHalls), r.IntN(2) == 0)
		pause()
		f.heal()
	case 3: // some pairs of daemons are cut, in one direction
		for range len(some) {
			f.setCut(some[r.IntN(len(some))].id, some[r.IntN(len(some))].id, true)
		}
		pause()
		f.heal()
	default: // one daemon loses the store
		f.setCut(some[0].id, "", true)
		pause()
		f.heal()
	}
	pause()
	return 2 * modelPools
}

// After any sequence of faults every pool must have exactly one owner again within
// settleTime, and the number of takeovers must be in proportion to the faults.
func TestSuccession(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r := rand.New(rand.NewPCG(seed, 2))
				f := newFleet(t, []int{3, 9, 18}[seed%3])
				f.startAll(r)
				defer func() { f.crashAll(f.daemons) }()
				time.Sleep(3 * time.Second)
				allowed := modelPools
				for range modelRounds {
					allowed += f.injectFault(r)
				}
				time.Sleep(settleTime)
				for _, pool := range f.pools {
					g.Expect(f.owners(pool)).To(HaveLen(1), string(pool))
				}
				g.Expect(f.takeovers()).To(BeNumerically("<=", allowed))
			})
		})
	}
}
