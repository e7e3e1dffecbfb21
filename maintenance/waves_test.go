package maintenance

import (
	"testing"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/run"
)

// backCases are what is known of a machine of wave 1 that was ordered down, and
// whether the wave is over.
var backCases = map[string]struct {
	state tw.MachineState
	order *Order
	over  bool
}{
	"back":                          {state: tw.MachineUp, over: true},
	"moved on since":                {state: tw.MachineMoving, order: &Order{Pool: "q"}, over: true},
	"order to move on not seen yet": {state: tw.MachineUp, order: &Order{Pool: "q"}, over: true},
	"in maintenance":                {state: tw.MachineMaintenance},
	"maintenance not seen yet":      {state: tw.MachineUp, order: &Order{Wave: 1}},
}

func TestAllBack(t *testing.T) {
	for name, c := range backCases {
		t.Run(name, func(t *testing.T) {
			m := &Manager{ordered: map[tw.InstanceID]Order{}}
			if c.order != nil {
				m.ordered["m"] = *c.order
			}
			w := &Wave{
				MaintenanceWave: tw.MaintenanceWave{Number: 1, Machines: []tw.InstanceID{"m"}},
				Done:            map[tw.InstanceID]bool{"m": true},
			}
			list := &run.MachineList{Machines: map[tw.InstanceID]tw.Machine{"m": {ID: "m", State: c.state}}}
			NewWithT(t).Expect(m.waveComplete(w, list)).To(Equal(c.over))
		})
	}
}
