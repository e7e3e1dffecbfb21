package schedule

import (
	"cmp"
	"math"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// Place puts waiting subtasks on workers: the most urgent group first, and of
// a group as many as fit, but a gang as a whole or not at all. No organisation gets more
// than its budget, which the more urgent work of it uses first.
func Place(groups []*Group, workers []*Worker, budgets Budgets) []Placement {
	out, _ := PlaceUpTo(groups, workers, budgets, math.MaxInt)
	return out
}

// PlaceUpTo places at most a number of subtasks, but for a gang, which is placed as a whole
// if any may be. held tells whether that number alone kept work from being tried.
func PlaceUpTo(groups []*Group, workers []*Worker, budgets Budgets, most int) (out []Placement, held bool) {
	slices.SortStableFunc(groups, CompareUrgency)
	workers = slices.Clone(workers)
	slices.SortFunc(workers, compareTopology)
	var full unplaceable
	for _, g := range groups {
		if full.includes(g) {
			continue
		}
		admitted := budgets.admit(g)
		if admitted == nil {
			continue
		}
		if len(out) >= most {
			return out, len(admitted.candidates(workers)) > 0
		}
		admitted, cut := admitted.truncate(most - len(out))
		placed := admitted.place(workers)
		held = held || cut && len(placed) == len(admitted.Subtasks)
		budgets.spend(g, len(placed))
		out = append(out, placed...)
		missing := len(admitted.Subtasks) - len(placed)
		if missing > 0 {
			full.add(g)
		}
		if g.Urgency.Grade == GradeLongRunning {
			workers = g.reserve(workers, missing)
		}
	}
	return out, held
}

// truncate is the group with at most n of its subtasks, and whether that leaves any out. A gang
// stays whole.
func (g *Group) truncate(n int) (some *Group, cut bool) {
	if g.Step.Gang || len(g.Subtasks) <= n {
		return g, false
	}
	part := *g
	part.Subtasks = g.Subtasks[:n]
	return &part, true
}

// unplaceable are claims for which a pass has found no worker. Room only shrinks
// during a pass, so that steps which need at least as much need not be tried: a pass
// over 4,000 waiting subtasks on 400 workers with room for 400 took 2.2 ms without it
// and takes 1.1 ms (BenchmarkPass).
type unplaceable []tw.Resources

// includes tells whether a group surely finds no room. Lasting steps are tried in
// any case, as they keep workers free.
func (n unplaceable) includes(g *Group) bool {
	if g.Urgency.Grade == GradeLongRunning {
		return false
	}
	claim := g.Step.Reservation()
	return slices.ContainsFunc(n, func(least tw.Resources) bool { return claim.Fits(least) })
}

// add takes up the claim of a group that found too little room, if nothing else
// kept it from workers.
func (n *unplaceable) add(g *Group) {
	free := g.Step.Label == "" && g.Allowed == nil && g.Step.MaxPerWorker == 0 && len(g.Avoid) == 0 && !g.Step.Gang
	if free && !n.includes(g) {
		*n = append(*n, g.Step.Reservation())
	}
}

// reserve keeps workers free of less urgent work for subtasks that found no
// room: else smaller ones take each bit of room as it appears. It returns the
// workers that others may use, at least half of them.
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

// eventuallyFits tells whether the step may run on a worker once all that ends by
// itself there has ended.
func (g *Group) eventuallyFits(w *Worker) bool {
	return !g.atStepLimit(w) && g.eligible(w) && w.Attainable.Fits(g.Step.Reservation())
}

// eligible tells whether the step may run on a worker, whatever runs there.
func (g *Group) eligible(w *Worker) bool {
	return (g.Allowed == nil || g.Allowed[w.ID]) && w.HasLabel(g.Step.Label)
}

// atStepLimit tells whether a worker has as many of the step's subtasks as it may.
func (g *Group) atStepLimit(w *Worker) bool {
	return g.Step.MaxPerWorker > 0 && g.OnWorker[w.ID] >= g.Step.MaxPerWorker
}

// CompareUrgency orders groups, the more urgent one first.
func CompareUrgency(a, b *Group) int {
	switch {
	case a.Urgency.Before(b.Urgency):
		return -1
	case b.Urgency.Before(a.Urgency):
		return 1
	}
	return 0
}

// compareTopology orders workers for steps that do not care on which they run: those of
// a hall and of a rack together, so that a step is hit by the loss of few of them.
func compareTopology(a, b *Worker) int {
	return cmp.Or(
		cmp.Compare(a.Suspicion, b.Suspicion),
		cmp.Compare(a.Hall, b.Hall),
		cmp.Compare(a.Rack, b.Rack),
		cmp.Compare(a.Rank, b.Rank),
	)
}

// compareRank orders workers for steps that are dealt out over many, as their
// parts are of use alone: in the order of the ranks, in whatever hall they are.
func compareRank(a, b *Worker) int {
	return cmp.Or(cmp.Compare(a.Suspicion, b.Suspicion), cmp.Compare(a.Rank, b.Rank))
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

// prefersOneHall tells whether the step is of use only once all of it is done, so that
// it had better depend on one hall: a step that is spread over two is held up by
// the loss of either. Over five days on each of which a hall is cut off, the mean
// worth was 0.557 with it and 0.531 without (30 plays each).
func (g *Group) prefersOneHall() bool {
	return !g.Step.LongRunning && !g.hasPreference()
}

// leastSuspected are the first of sorted workers, those that are as sound as the very
// first: none is used that is less so only to stay in a hall.
func leastSuspected(workers []*Worker) []*Worker {
	for i, w := range workers {
		if w.Suspicion > workers[0].Suspicion {
			return workers[:i]
		}
	}
	return workers
}

// placeInDomain puts all of the group on the workers of one domain, such as a rack:
// the first that holds it, in the order of the candidates. It returns nil if none
// does.
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

// hasTotalRoom tells whether workers have room for the whole group, whatever else
// keeps it from them. It spares the search where they are full.
func (g *Group) hasTotalRoom(workers []*Worker) bool {
	var free tw.Resources
	for _, w := range workers {
		free = free.Plus(w.Free)
	}
	return free.Fits(g.Step.Reservation().Times(len(g.Subtasks)))
}

// candidates are the workers that may run the step, the best first. The
// workers are in the order of compareAny.
func (g *Group) candidates(workers []*Worker) []*Worker {
	claim := g.Step.Reservation()
	out := make([]*Worker, 0, len(workers))
	for _, w := range workers {
		if w.Free.Fits(claim) && g.eligible(w) {
			out = append(out, w)
		}
	}
	if g.hasPreference() || g.Step.LongRunning {
		slices.SortStableFunc(out, g.compare)
	}
	return out
}

// hasPreference tells whether the step runs better on some sound workers than on
// others. Else the order that the workers are in will do.
func (g *Group) hasPreference() bool {
	return g.Step.PreferredRack != "" || g.Step.Filler || g.Step.TailTarget > 0
}

// compare orders workers for the step.
func (g *Group) compare(a, b *Worker) int {
	return cmp.Or(
		cmp.Compare(a.Suspicion, b.Suspicion),
		compareBool(g.onOtherRack(a), g.onOtherRack(b)),
		g.compareInterference(a, b),
		g.tieBreak(a, b),
	)
}

// tieBreak orders workers that are equally good for the step.
func (g *Group) tieBreak(a, b *Worker) int {
	if g.Step.LongRunning {
		return compareRank(a, b)
	}
	return compareTopology(a, b)
}

// compareInterference keeps fillers away from subtasks that serve users, as they
// lengthen the tails of these.
func (g *Group) compareInterference(a, b *Worker) int {
	switch {
	case g.Step.Filler:
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Fillers, b.Fillers))
	case g.Step.TailTarget > 0:
		return cmp.Or(cmp.Compare(a.Fillers, b.Fillers), cmp.Compare(a.Serving, b.Serving))
	}
	return 0
}

// onOtherRack tells whether the step's data lies on another rack.
func (g *Group) onOtherRack(w *Worker) bool {
	return g.Step.PreferredRack != "" && g.Step.PreferredRack != w.Rack
}

// fill places subtasks one by one. Lasting ones are dealt out in turn, so
// that the loss of a worker takes few of a step; others fill up a worker.
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
			rest = rest[1:] // this one only lacks a worker that it need not avoid
		}
	}
	return out
}

// tryPlace takes the subtask's claim out of the worker, if it may run there.
func (g *Group) tryPlace(w *Worker, id tw.SubtaskID) bool {
	claim := g.Step.Reservation()
	if !w.Free.Fits(claim) || g.Avoid[id.Index][w.ID] {
		return false
	}
	if g.atStepLimit(w) || w.AtLimit() {
		return false
	}
	w.Free = w.Free.Minus(claim)
	g.addPlaced(w, 1)
	return true
}

func (g *Group) undo(placed []Placement) {
	for _, p := range placed {
		p.Worker.Free = p.Worker.Free.Plus(g.Step.Reservation())
		g.addPlaced(p.Worker, -1)
	}
}

// addPlaced notes that n of the step's subtasks were put on a worker.
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
