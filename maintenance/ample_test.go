package maintenance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/maintenance"
)

// turn is what is known of a pool whose work has filled so many machines at its height.
func turn(now, lowest, highest float64) maintenance.FillHistory {
	return maintenance.FillHistory{Now: now, Lowest: lowest, Highest: highest, PeakPassed: highest >= 4*lowest && 2*now <= highest}
}

// parked counts the changes of a decision by where machines go.
func parked(d maintenance.Decision) map[tw.PoolID]int {
	out := map[tw.PoolID]int{}
	for _, o := range d.Vacate {
		out[o.Pool]++
	}
	for _, o := range d.Orders {
		out[o.Pool]++
	}
	return out
}

// ampleCases are fleets with pools p, q and r, and what becomes of their machines soon after the
// manager has begun. On a quiet day with 5,036 machines in pools of which 341 were ever filled
// in one of them, all stayed until the day was over.
var ampleCases = map[string]func(g *WithT, f fleet){
	"what no pool has needed is switched off once a height has passed": func(g *WithT, f fleet) {
		f.pool("p", 1000, 20).FillHistory = turn(20, 20, 200)
		f.pool("q", 1200, 30).FillHistory = turn(30, 30, 40)
		f.pool("r", 400, 30).FillHistory = turn(30, 30, 40)
		f.parking(0)
		to := parked(maintenance.Decide(f.State))
		g.Expect(to).To(Equal(map[tw.PoolID]int{"parking": 540 + 740}))
	},
	"not before one has": func(g *WithT, f fleet) {
		f.pool("p", 1000, 20).FillHistory = turn(150, 20, 200)
		f.pool("q", 1200, 30).FillHistory = turn(30, 30, 40)
		f.parking(0)
		g.Expect(parked(maintenance.Decide(f.State))).To(BeEmpty())
	},
	"not where heights need what there is": func(g *WithT, f fleet) {
		f.pool("p", 100, 20).FillHistory = turn(20, 10, 90)
		f.pool("q", 120, 30).FillHistory = turn(30, 30, 40)
		f.parking(30)
		g.Expect(parked(maintenance.Decide(f.State))).To(BeEmpty())
	},
	"a pool with work for more keeps it": func(g *WithT, f fleet) {
		p := f.pool("p", 1000, 200)
		p.Late, p.FillHistory = 500, turn(20, 20, 200)
		f.pool("q", 1200, 30).FillHistory = turn(30, 30, 40)
		f.parking(0)
		to := parked(maintenance.Decide(f.State))
		g.Expect(to["parking"]).To(BeNumerically("~", 1000-805+1200-460, 1))
	},
	"a need far above all that was seen brings nothing back": func(g *WithT, f fleet) {
		f.pool("p", 460, 1146).FillHistory = turn(190, 40, 200)
		f.pool("q", 460, 30).FillHistory = turn(30, 30, 200)
		f.parking(2000)
		g.Expect(parked(maintenance.Decide(f.State))).To(BeEmpty())
	},
	"work that does fill more does": func(g *WithT, f fleet) {
		p := f.pool("p", 460, 700)
		p.FillHistory = turn(600, 40, 600)
		f.pool("q", 460, 30).FillHistory = turn(30, 30, 200)
		f.parking(2000)
		g.Expect(parked(maintenance.Decide(f.State))["p"]).To(BeNumerically(">=", 340))
	},
}

func TestAmple(t *testing.T) {
	for name, c := range ampleCases {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			f.WatchedSince = base.Add(-10 * time.Second)
			f.ParkAfter = time.Minute
			c(NewWithT(t), f)
		})
	}
}
