package fleet

import (
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// sparesNeeded returns the number of spares that a hall must hold to replace the
// active instances of its fullest racks (config.Spares.Racks of them). All pools
// share them, as a rack that fails takes down the instances of all its pools at
// once.
func sparesNeeded(plan *tw.Plan, config *tw.FleetConfig) int {
	racks := map[tw.RackID]int{}
	for i := range plan.Instances {
		if a := &plan.Instances[i]; a.Active() {
			racks[a.Rack]++
		}
	}
	return sumOfLargest(racks, *config.Spares.Racks)
}

// SparesPerPool returns the number of spares needed if each pool had its own
// spares. It is the baseline that shared spares are compared with.
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
