package maintenance

import (
	"testing"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/run"
)

// waveCompleteCases are the listed state and the pending order of the only machine of wave 1,
// whose maintenance was ordered, and whether the wave is complete.
var waveCompleteCases = map[string]struct {
	state    tw.MachineState
	order    *Order
	complete bool
}{
	"back":                          {state: tw.MachineUp, complete: true},
	"moved afterwards":              {state: tw.MachineMoving, order: &Order{Pool: "q"}, complete: true},
	"later move not listed yet":     {state: tw.MachineUp, order: &Order{Pool: "q"}, complete: true},
	"in maintenance":                {state: tw.MachineMaintenance},
	"maintenance is not listed yet": {state: tw.MachineUp, order: &Order{Wave: 1}},
}

func TestWaveComplete(t *testing.T) {
	for name, c := range waveCompleteCases {
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
			NewWithT(t).Expect(m.waveComplete(w, list)).To(Equal(c.complete))
		})
	}
}
