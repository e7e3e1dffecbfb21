package experiment

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

// startTolerance is how much later than planned work may begin, as run times are estimates.
const startTolerance = 200 * time.Millisecond

type (
	// candidate is a submission that has not ended.
	candidate struct {
		// latestStart is when its remaining chain of steps must begin for it to end within its
		// objective.
		latestStart time.Duration
		// work is the remaining work that is not running yet, as the time for which it would
		// occupy the whole pool.
		work time.Duration
		// begun: some of it has run or is running.
		begun bool
	}

	// largestFirst is a heap of indexes into candidates, the one to give up first on top.
	largestFirst struct {
		candidates []candidate
		indexes    []int
	}
)

// selectInTime sets which submissions of a pool are to end in time.
func (m *demandModel) selectInTime(pool tw.PoolID) {
	capacity := 0.0
	for _, machine := range m.machines {
		if machine.Pool == pool && machine.State == tw.MachineUp && !m.partitioned(machine) {
			capacity += float64(machine.Capacity.CPU)
		}
	}
	if capacity == 0 {
		return
	}
	poolTime := func(work float64) time.Duration { return time.Duration(work / capacity * float64(time.Second)) }
	var busy time.Duration
	var candidates []candidate
	var from []*modelSubmission
	for _, s := range m.submissions {
		if s.pool != pool || s.endedAt != 0 {
			continue
		}
		for _, r := range s.running {
			busy += poolTime(max(0, (r.endsAt-m.now).Seconds()) * float64(s.need.CPU))
		}
		s.inTime = false
		u := byUrgency(m, s)
		if u.Grade != schedule.GradeOnTime {
			continue
		}
		running := float64(len(s.running)) * float64(s.need.CPU) * m.estimate(s, s.currentStep).Seconds()
		candidates = append(candidates, candidate{
			latestStart: u.Deadline.Sub(modelStart) - m.remaining(s), begun: s.begun, work: poolTime(max(0, m.workLeft(s)-running)),
		})
		from = append(from, s)
	}
	for i, in := range chooseInTime(m.now, busy, candidates) {
		from[i].inTime = in
	}
}

// chooseInTime chooses the candidates that can all end in time on the room that there is, as a list
// by candidate. It is the rule of Moore and Hodgson for the largest number of jobs in time:
// candidates are added in the order of their latest starts, and whenever one would begin too late
// the largest work so far is given up, begun work last. The pool is regarded as one machine that
// works on one candidate after the other; busy is its remaining work of the present runs.
func chooseInTime(now, busy time.Duration, candidates []candidate) []bool {
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(candidates[a].latestStart, candidates[b].latestStart) })
	selected := make([]bool, len(candidates))
	chosen := &largestFirst{candidates: candidates}
	ahead := busy
	for _, i := range order {
		c := &candidates[i]
		if c.latestStart < now {
			continue // too late even on an empty pool
		}
		limit := time.Duration(usableFill*float64(c.latestStart-now)) + startTolerance
		selected[i] = true
		heap.Push(chosen, i)
		for ahead > limit && chosen.Len() > 0 {
			// The candidate itself is on the heap too: giving it up ends the loop.
			largest := heap.Pop(chosen).(int)
			selected[largest] = false
			if largest == i {
				break
			}
			ahead -= candidates[largest].work
		}
		if selected[i] {
			ahead += c.work
		}
	}
	return selected
}

// Len implements heap.Interface.
func (h *largestFirst) Len() int { return len(h.indexes) }

// Less implements heap.Interface: work that has not begun is given up first, then the largest.
func (h *largestFirst) Less(i, j int) bool {
	a, b := &h.candidates[h.indexes[i]], &h.candidates[h.indexes[j]]
	if a.begun != b.begun {
		return b.begun
	}
	return a.work > b.work
}

// Swap implements heap.Interface.
func (h *largestFirst) Swap(i, j int) { h.indexes[i], h.indexes[j] = h.indexes[j], h.indexes[i] }

// Push implements heap.Interface.
func (h *largestFirst) Push(x any) { h.indexes = append(h.indexes, x.(int)) }

// Pop implements heap.Interface.
func (h *largestFirst) Pop() any {
	last := h.indexes[len(h.indexes)-1]
	h.indexes = h.indexes[:len(h.indexes)-1]
	return last
}
