package schedule

import (
	"cmp"
	"math"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// Place assigns waiting subtasks to workers, the most urgent group first. It places as many
// subtasks of a group as fit, but a gang only as a whole. No organisation exceeds its budget;
// its most urgent work is charged first.
func Place(groups []*Group, workers []*Worker, budgets Budgets) []Placement {
	out, _ := PlaceUpTo(groups, workers, budgets, math.MaxInt)
	return out
}

// PlaceUpTo is like Place but stops after limit subtasks. A gang that starts below the limit
// is still placed as a whole. limited reports whether the limit alone kept work from being tried.
func PlaceUpTo(groups []*Group, workers []*Worker, budgets Budgets, limit int) (out []Placement, limited bool) {
	slices.SortStableFunc(groups, CompareUrgency)
	workers = slices.Clone(workers)
	slices.SortFunc(workers, compareTopology)
	var rejected unplaceable
	for _, g := range groups {
		if rejected.includes(g) {
			continue
		}
		admitted := budgets.admit(g)
		if admitted == nil {
			continue
		}
		if len(out) >= limit {
			return out, len(admitted.candidates(workers)) > 0
		}
		admitted, cut := admitted.truncate(limit - len(out))
		placed := admitted.place(workers)
		limited = limited || cut && len(placed) == len(admitted.Subtasks)
		budgets.spend(g, len(placed))
		out = append(out, placed...)
		missing := len(admitted.Subtasks) - len(placed)
		if missing > 0 {
			rejected.add(g)
		}
		if g.Urgency.Grade == GradeLongRunning {
			workers = g.reserve(workers, missing)
		}
	}
	return out, limited
}

// truncate returns the group with at most n of its subtasks, and whether any were cut off. A
// gang is never cut.
func (g *Group) truncate(n int) (some *Group, cut bool) {
	if g.Step.Gang || len(g.Subtasks) <= n {
		return g, false
	}
	part := *g
	part.Subtasks = g.Subtasks[:n]
	return &part, true
}

// unplaceable holds reservations for which a placement pass found no worker. Free capacity only
// shrinks during a pass, so steps that need at least as much are skipped.
type unplaceable []tw.Resources

// includes reports whether a group certainly does not fit. Long-running groups are always tried,
// because they reserve workers.
func (u unplaceable) includes(g *Group) bool {
	if g.Urgency.Grade == GradeLongRunning {
		return false
	}
	return u.covers(g.Step.Reservation())
}

// covers reports whether a reservation is as large as one that fits nowhere.
func (u unplaceable) covers(reservation tw.Resources) bool {
	return slices.ContainsFunc(u, func(least tw.Resources) bool { return reservation.Fits(least) })
}

// add records the reservation of a group that did not fit, unless another constraint may have
// been the cause.
func (u *unplaceable) add(g *Group) {
	if !g.Constrained() && !u.includes(g) {
		*u = append(*u, g.Step.Reservation())
	}
}

// reserve sets workers aside for the group's subtasks that found no room, as smaller subtasks
// of less urgent groups would otherwise take up free capacity as soon as it appears. It returns
// the workers that less urgent groups may use, which are at least half of the given ones.
func (g *Group) reserve(workers []*Worker, missing int) []*Worker {
	if missing == 0 {
		return workers
	}
	rest := slices.Clone(workers)
	for range min(missing, len(workers)/2) {
		best := -1
		for i, w := range rest {
			if g.eventuallyFits(w) && (best < 0 || w.Free.CPU > rest[best].Free.CPU) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		rest = slices.Delete(rest, best, best+1)
	}
	return rest
}

// eventuallyFits reports whether the step may run on a worker once all runs there except
// long-running ones have ended.
func (g *Group) eventuallyFits(w *Worker) bool {
	return !g.atStepLimit(w) && g.eligible(w) && w.Attainable.Fits(g.Step.Reservation())
}

// eligible reports whether the step may run on a worker, regardless of its current load.
func (g *Group) eligible(w *Worker) bool {
	return (g.Allowed == nil || g.Allowed[w.ID]) && w.HasLabel(g.Step.Label)
}

// atStepLimit reports whether a worker has reached the step's limit of subtasks per worker.
func (g *Group) atStepLimit(w *Worker) bool {
	return g.Step.MaxPerWorker > 0 && g.OnWorker[w.ID] >= g.Step.MaxPerWorker
}

// CompareUrgency orders groups by urgency, most urgent first.
func CompareUrgency(a, b *Group) int {
	return a.Urgency.compare(&b.Urgency)
}

// compareTopology orders workers by suspicion, hall, rack and rank. It keeps the workers of a
// hall and of a rack together, so that a step depends on few halls and racks.
func compareTopology(a, b *Worker) int {
	return cmp.Or(
		cmp.Compare(a.Suspicion, b.Suspicion),
		cmp.Compare(a.Hall, b.Hall),
		cmp.Compare(a.Rack, b.Rack),
		cmp.Compare(a.Rank, b.Rank),
	)
}

// compareRank orders workers by suspicion and rank, regardless of the hall. It is used for
// steps that are spread over many workers because each subtask is useful on its own.
func compareRank(a, b *Worker) int {
	return cmp.Or(cmp.Compare(a.Suspicion, b.Suspicion), cmp.Compare(a.Rank, b.Rank))
}

// compareLeaving puts workers that will be taken down last for a long-running step, as its subtasks
// would have to be moved again.
func (g *Group) compareLeaving(a, b *Worker) int {
	if !g.Step.LongRunning {
		return 0
	}
	return compareBool(a.Leaving, b.Leaving)
}

func (g *Group) place(workers []*Worker) []Placement {
	candidates := g.candidates(workers)
	var placed []Placement
	switch {
	case g.Step.Gang && g.Step.SameRack:
		placed = g.placeInDomain(candidates, func(w *Worker) string { return string(w.Rack) })
	case g.prefersOneHall():
		placed = g.placeInDomain(leastSuspected(candidates), func(w *Worker) string { return string(w.Hall) })
	}
	if placed == nil {
		placed = g.fill(candidates)
	}
	if g.Step.Gang && len(placed) < len(g.Subtasks) {
		g.undo(placed)
		return nil
	}
	return placed
}

// prefersOneHall reports whether the step should be kept in one hall: it is useful only once all
// its subtasks are done, and a step spread over two halls is delayed by the loss of either.
func (g *Group) prefersOneHall() bool {
	return !g.Step.LongRunning && !g.hasPreference()
}

// leastSuspected returns the leading workers of a sorted list that share the lowest suspicion
// level. Workers with a higher level are not used just to stay within a hall.
func leastSuspected(workers []*Worker) []*Worker {
	for i, w := range workers {
		if w.Suspicion > workers[0].Suspicion {
			return workers[:i]
		}
	}
	return workers
}

// placeInDomain places the whole group in one failure domain, such as a rack. It uses the
// first domain, in the order of the candidates, that has room, and returns nil if none has.
func (g *Group) placeInDomain(candidates []*Worker, domain func(w *Worker) string) []Placement {
	tried := map[string]bool{}
	for _, w := range candidates {
		name := domain(w)
		if tried[name] {
			continue
		}
		tried[name] = true
		inside := slices.DeleteFunc(slices.Clone(candidates), func(c *Worker) bool { return domain(c) != name })
		if !g.hasTotalRoom(inside) {
			continue
		}
		placed := g.fill(inside)
		if len(placed) == len(g.Subtasks) {
			return placed
		}
		g.undo(placed)
	}
	return nil
}

// hasTotalRoom reports whether the total free capacity of the workers is enough for the group.
// It is a cheap check that avoids the search when they are full.
func (g *Group) hasTotalRoom(workers []*Worker) bool {
	var free tw.Resources
	for _, w := range workers {
		free = free.Plus(w.Free)
	}
	return free.Fits(g.Step.Reservation().Times(len(g.Subtasks)))
}

// candidates returns the eligible workers with room for a subtask of the step, best first. The
// given workers must be sorted with compareTopology.
func (g *Group) candidates(workers []*Worker) []*Worker {
	reservation := g.Step.Reservation()
	out := make([]*Worker, 0, len(workers))
	for _, w := range workers {
		if w.Free.Fits(reservation) && g.eligible(w) {
			out = append(out, w)
		}
	}
	if g.hasPreference() || g.Step.LongRunning {
		slices.SortStableFunc(out, g.compare)
	}
	return out
}

// hasPreference reports whether the step runs better on some healthy workers than on others. If
// not, only the workers for a long-running step need to be sorted again.
func (g *Group) hasPreference() bool {
	return g.Step.PreferredRack != "" || g.Step.Filler || g.Step.TailTarget > 0
}

// compare orders workers by how well they suit the step.
func (g *Group) compare(a, b *Worker) int {
	return cmp.Or(
		cmp.Compare(a.Suspicion, b.Suspicion),
		g.compareLeaving(a, b),
		compareBool(g.onOtherRack(a), g.onOtherRack(b)),
		g.compareInterference(a, b),
		g.tieBreak(a, b),
	)
}

// tieBreak orders workers that suit the step equally well.
func (g *Group) tieBreak(a, b *Worker) int {
	if g.Step.LongRunning {
		return compareRank(a, b)
	}
	return compareTopology(a, b)
}

// compareInterference orders workers so that fillers and subtasks that serve users share few of
// them, as fillers increase the tail latency of those subtasks.
func (g *Group) compareInterference(a, b *Worker) int {
	switch {
	case g.Step.Filler:
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Fillers, b.Fillers))
	case g.Step.TailTarget > 0:
		return cmp.Or(cmp.Compare(a.Fillers, b.Fillers), cmp.Compare(a.Serving, b.Serving))
	}
	return 0
}

// onOtherRack reports whether the step prefers a rack other than the worker's.
func (g *Group) onOtherRack(w *Worker) bool {
	return g.Step.PreferredRack != "" && g.Step.PreferredRack != w.Rack
}

// fill places subtasks one by one. Long-running subtasks are distributed round-robin, so that
// the loss of a worker affects few of them; others are packed onto one worker after another.
func (g *Group) fill(candidates []*Worker) []Placement {
	var out []Placement
	rest := g.Subtasks
	for len(rest) > 0 {
		before := len(rest)
		for _, w := range candidates {
			for len(rest) > 0 && g.tryPlace(w, rest[0]) {
				out = append(out, Placement{Subtask: rest[0], Worker: w})
				rest = rest[1:]
				if g.Step.LongRunning {
					break
				}
			}
		}
		if len(rest) == before {
			if len(g.Avoid[rest[0].Index]) == 0 {
				break
			}
			rest = rest[1:] // its Avoid list may be the only cause, so the others are tried
		}
	}
	return out
}

// tryPlace reserves capacity of the worker for the subtask. It returns false and changes
// nothing if the subtask does not fit or must not run there.
func (g *Group) tryPlace(w *Worker, id tw.SubtaskID) bool {
	reservation := g.Step.Reservation()
	if !w.Free.Fits(reservation) || g.Avoid[id.Index][w.ID] {
		return false
	}
	if g.atStepLimit(w) || w.AtLimit() {
		return false
	}
	w.Free = w.Free.Minus(reservation)
	g.addPlaced(w, 1)
	return true
}

func (g *Group) undo(placed []Placement) {
	for _, p := range placed {
		p.Worker.Free = p.Worker.Free.Plus(g.Step.Reservation())
		g.addPlaced(p.Worker, -1)
	}
}

// addPlaced adds n to the number of the step's subtasks on a worker.
func (g *Group) addPlaced(w *Worker, n int) {
	w.placed += n
	if g.Step.MaxPerWorker > 0 {
		if g.OnWorker == nil {
			g.OnWorker = map[tw.WorkerID]int{}
		}
		g.OnWorker[w.ID] += n
	}
	if g.Step.Filler {
		w.Fillers += n
	}
	if g.Step.TailTarget > 0 {
		w.Serving += n
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
