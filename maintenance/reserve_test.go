package maintenance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/maintenance"
)

// fillHistory returns the history of a pool whose work fills the given numbers of machines.
func fillHistory(current, lowest, highest float64) maintenance.FillHistory {
	return maintenance.FillHistory{Current: current, Lowest: lowest, Highest: highest, PeakPassed: highest >= 4*lowest && 2*current <= highest}
}

// movesByPool counts the moves of a decision by target pool.
func movesByPool(d maintenance.Decision) map[tw.PoolID]int {
	out := map[tw.PoolID]int{}
	for _, o := range d.Vacate {
		out[o.Pool]++
	}
	for _, o := range d.Orders {
		out[o.Pool]++
	}
	return out
}

// reserveCases are fleets with pools p, q and r shortly after the start of the manager. They guard
// against machines that are never parked: in a simulation with low demand, all of 5,036 machines
// stayed in use until the end, although no pool ever filled more than 341.
var reserveCases = map[string]func(g *WithT, f fleet){
	"unneeded machines are parked after a peak of demand": func(g *WithT, f fleet) {
		f.pool("p", 1000, 20).FillHistory = fillHistory(20, 20, 200)
		f.pool("q", 1200, 30).FillHistory = fillHistory(30, 30, 40)
		f.pool("r", 400, 30).FillHistory = fillHistory(30, 30, 40)
		f.parking(0)
		to := movesByPool(maintenance.Decide(f.State))
		g.Expect(to).To(Equal(map[tw.PoolID]int{"parking": 540 + 740}))
	},
	"nothing is parked during a peak": func(g *WithT, f fleet) {
		f.pool("p", 1000, 20).FillHistory = fillHistory(150, 20, 200)
		f.pool("q", 1200, 30).FillHistory = fillHistory(30, 30, 40)
		f.parking(0)
		g.Expect(movesByPool(maintenance.Decide(f.State))).To(BeEmpty())
	},
	"nothing is parked if peaks need the whole fleet": func(g *WithT, f fleet) {
		f.pool("p", 100, 20).FillHistory = fillHistory(20, 10, 90)
		f.pool("q", 120, 30).FillHistory = fillHistory(30, 30, 40)
		f.parking(30)
		g.Expect(movesByPool(maintenance.Decide(f.State))).To(BeEmpty())
	},
	"a pool with a need above the reserve keeps its machines": func(g *WithT, f fleet) {
		p := f.pool("p", 1000, 200)
		p.Late, p.FillHistory = 500, fillHistory(20, 20, 200)
		f.pool("q", 1200, 30).FillHistory = fillHistory(30, 30, 40)
		f.parking(0)
		to := movesByPool(maintenance.Decide(f.State))
		g.Expect(to["parking"]).To(BeNumerically("~", 1000-805+1200-460, 1))
	},
	"a forecast need far above the highest observed unparks nothing": func(g *WithT, f fleet) {
		f.pool("p", 460, 1146).FillHistory = fillHistory(190, 40, 200)
		f.pool("q", 460, 30).FillHistory = fillHistory(30, 30, 200)
		f.parking(2000)
		g.Expect(movesByPool(maintenance.Decide(f.State))).To(BeEmpty())
	},
	"work that fills more machines unparks some": func(g *WithT, f fleet) {
		p := f.pool("p", 460, 700)
		p.FillHistory = fillHistory(600, 40, 600)
		f.pool("q", 460, 30).FillHistory = fillHistory(30, 30, 200)
		f.parking(2000)
		g.Expect(movesByPool(maintenance.Decide(f.State))["p"]).To(BeNumerically(">=", 340))
	},
}

func TestReserve(t *testing.T) {
	for name, c := range reserveCases {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			f.WatchedSince = base.Add(-10 * time.Second)
			f.ParkAfter = time.Minute
			c(NewWithT(t), f)
		})
	}
}
