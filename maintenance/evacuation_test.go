package maintenance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/maintenance"
)

// evacuate puts some machines of a pool into a hall that is evacuated.
func (f fleet) evacuate(pool tw.PoolID, machines int) {
	f.Evacuations = &tw.Evacuations{Halls: []tw.HallID{"h"}}
	for n := range machines {
		machine := f.Machines[tw.InstanceID(fmt.Sprintf("%s-%d", pool, n))]
		machine.Hall = "h"
		f.Machines[machine.ID] = machine
		for i := range f.Pools[pool].Report.Workers {
			if load := &f.Pools[pool].Report.Workers[i]; load.Instance == machine.ID {
				load.Schedulable = false
			}
		}
	}
}

// evacuateCases check decisions while a hall is evacuated.
var evacuateCases = map[string]func(g *WithT, f fleet){
	"moves no machines of an evacuated hall": func(g *WithT, f fleet) {
		f.pool("p", 8, 20)
		f.pool("q", 12, 1)
		f.evacuate("q", 8)
		d := maintenance.Decide(f.State)
		for id := range d.Vacate {
			g.Expect(f.Machines[id].Hall).NotTo(Equal(tw.HallID("h")))
		}
		g.Expect(d.Vacate).NotTo(BeEmpty())
	},
	"moves no parked machines of an evacuated hall": func(g *WithT, f fleet) {
		f.pool("p", 4, 20)
		f.parking(6)
		f.evacuate("parking", 4)
		g.Expect(orderedMachines(maintenance.Decide(f.State))).To(Equal([]tw.InstanceID{"parking-4", "parking-5"}))
	},
	"replaces machines of an evacuated hall": func(g *WithT, f fleet) {
		f.pool("p", 10, 8)
		f.pool("q", 20, 2)
		f.evacuate("p", 6)
		moved := 0
		for _, o := range maintenance.Decide(f.State).Vacate {
			if o.Pool == "p" {
				moved++
			}
		}
		g.Expect(moved).To(BeNumerically(">=", 5))
	},
	"cancels a pending move from an evacuated hall": func(g *WithT, f fleet) {
		f.pool("p", 4, 20)
		f.pool("q", 12, 1)
		f.evacuate("q", 1)
		f.busy("q-0", 1, 0)
		f.Vacating["q-0"] = maintenance.Order{Machine: "q-0", Pool: "p", Since: base.Add(-time.Second)}
		g.Expect(maintenance.Decide(f.State).Vacate).NotTo(HaveKey(tw.InstanceID("q-0")))
	},
	"continues maintenance in an evacuated hall while the rest of the pool is busy": func(g *WithT, f fleet) {
		f.pool("p", 4, 4)
		f.Pools["p"].Report.Running = size.Times(3)
		f.evacuate("p", 1)
		f.wave(1, "p-0")
		f.markVacating("p-0", 1)
		g.Expect(orderedMachines(maintenance.Decide(f.State))).To(Equal([]tw.InstanceID{"p-0"}))
	},
}

func TestDecideWhileEvacuated(t *testing.T) {
	for name, c := range evacuateCases {
		t.Run(name, func(t *testing.T) { c(NewWithT(t), newFleet()) })
	}
}
