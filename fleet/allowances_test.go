package fleet

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

var _ = Describe("Allowances", func() {
	planWithRunning := func(hall tw.HallID, n int) tw.Plan {
		plan := tw.Plan{Hall: hall}
		for i := range n {
			plan.Instances = append(plan.Instances, tw.Assignment{
				Instance: tw.InstanceID(string(hall) + string(instanceID(i))),
				State:    tw.InstanceServing,
				Jobs:     []tw.Placement{{Job: "jp0", State: tw.PlacementRunning}},
			})
		}
		return plan
	}
	type row struct {
		plans  map[tw.HallID]tw.Plan
		ledger tw.ServiceDisruptions
		budget int
		want   int
	}
	rows := map[string]row{
		"all available":               {plans: map[tw.HallID]tw.Plan{"h1": planWithRunning("h1", 3), "h2": planWithRunning("h2", 3)}, budget: 1, want: 1},
		"a hall that cannot be read":  {plans: map[tw.HallID]tw.Plan{"h1": planWithRunning("h1", 3)}, budget: 2, want: 0},
		"a loss uses up the budget":   {plans: map[tw.HallID]tw.Plan{"h1": planWithRunning("h1", 3), "h2": planWithRunning("h2", 2)}, budget: 1, want: 0},
		"another drain in the ledger": {plans: map[tw.HallID]tw.Plan{"h1": planWithRunning("h1", 3), "h2": planWithRunning("h2", 3)}, ledger: tw.ServiceDisruptions{Disruptions: []tw.Disruption{{Instance: "h2w000"}}}, budget: 1, want: 0},
		"more than wanted":            {plans: map[tw.HallID]tw.Plan{"h1": planWithRunning("h1", 4), "h2": planWithRunning("h2", 3)}, budget: 1, want: 2},
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		It(name, func() {
			c := poolConfig(1, 3)
			c.Halls = []tw.HallID{"h1", "h2"}
			c.Services[0].MaxUnavailable = rows[name].budget
			got := Allowances(BudgetInput{
				Config:  c,
				Plans:   rows[name].plans,
				Ledgers: map[tw.ServiceID]tw.ServiceDisruptions{"sp0": rows[name].ledger},
			})
			Expect(got["sp0"]).To(Equal(rows[name].want))
		})
	}
})
