package fleet

import (
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// sparesNeeded is how many spares a hall must hold so that the loss of its
// fullest racks can be made good: they are shared by all pools, as a rack is
// lost once, whoever used it.
func sparesNeeded(plan *tw.Plan, config *tw.FleetConfig) int {
	racks := map[tw.RackID]int{}
	for i := range plan.Instances {
		if a := &plan.Instances[i]; a.Active() {
			racks[a.Rack]++
		}
	}
	return sumOfLargest(racks, *config.Spares.Racks)
}

// SparesPerPool is the baseline: spares held by each pool for itself.
func SparesPerPool(plan *tw.Plan, config *tw.FleetConfig) int {
	byPool := map[tw.PoolID]map[tw.RackID]int{}
	for i := range plan.Instances {
		a := &plan.Instances[i]
		if !a.Active() {
			continue
		}
		if byPool[a.Pool] == nil {
			byPool[a.Pool] = map[tw.RackID]int{}
		}
		byPool[a.Pool][a.Rack]++
	}
	n := 0
	for _, racks := range byPool {
		n += sumOfLargest(racks, *config.Spares.Racks)
	}
	return n
}

func sumOfLargest(racks map[tw.RackID]int, n int) int {
	var counts []int
	for _, c := range racks {
		counts = append(counts, c)
	}
	slices.Sort(counts)
	slices.Reverse(counts)
	sum := 0
	for _, c := range counts[:min(n, len(counts))] {
		sum += c
	}
	return sum
}
