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
	out, _ := PlaceSome(groups, workers, budgets, math.MaxInt)
	return out
}

// PlaceSome places at most a number of subtasks, but for a gang, which is placed as a whole
// if any may be. held tells whether that number alone kept work from being tried.
func PlaceSome(groups []*Group, workers []*Worker, budgets Budgets, most int) (out []Placement, held bool) {
	slices.SortStableFunc(groups, CompareUrgency)
	workers = slices.Clone(workers)
	slices.SortFunc(workers, compareAny)
	var full noRoom
	for _, g := range groups {
		if full.covers(g) {
			continue
		}
		admitted := budgets.admit(g)
		if admitted == nil {
			continue
		}
		if len(out) >= most {
			return out, len(admitted.candidates(workers)) > 0
		}
		admitted, cut := admitted.first(most - len(out))
		placed := admitted.place(workers)
		held = held || cut && len(placed) == len(admitted.Subtasks)
		budgets.spend(g, len(placed))
		out = append(out, placed...)
		missing := len(admitted.Subtasks) - len(placed)
		if missing > 0 {
			full.note(g)
		}
		if g.Urgency.Grade == GradeLasting {
			workers = g.reserve(workers, missing)
		}
	}
	return out, held
}

// first is the group with at most n of its subtasks, and whether that leaves any out. A gang
// stays whole.
func (g *Group) first(n int) (some *Group, cut bool) {
	if g.Step.Gang || len(g.Subtasks) <= n {
		return g, false
	}
	part := *g
	part.Subtasks = g.Subtasks[:n]
	return &part, true
}

// noRoom are claims for which a pass has found no worker. Room only shrinks
// during a pass, so that steps which need at least as much need not be tried: a pass
// over 4,000 waiting subtasks on 400 workers with room for 400 took 2.2 ms without it
// and takes 1.1 ms (BenchmarkPass).
type noRoom []tw.Resources

// covers tells whether a group surely finds no room. Lasting steps are tried in
// any case, as they keep workers free.
func (n noRoom) covers(g *Group) bool {
	if g.Urgency.Grade == GradeLasting {
		return false
	}
	claim := g.Step.Claim()
	return slices.ContainsFunc(n, func(least tw.Resources) bool { return claim.Fits(least) })
}

// note takes up the claim of a group that found too little room, if nothing else
// kept it from workers.
func (n *noRoom) note(g *Group) {
	free := g.Step.Label == "" && g.Allowed == nil && g.Step.MaxPerWorker == 0 && len(g.Avoid) == 0 && !g.Step.Gang
	if free && !n.covers(g) {
		*n = append(*n, g.Step.Claim())
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
			if g.mayUse(w) && (best < 0 || w.Free.CPU > rest[best].Free.CPU) {
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

// mayUse tells whether the step may run on a worker once all that ends by
// itself there has ended.
func (g *Group) mayUse(w *Worker) bool {
	return !g.full(w) && g.admits(w) && w.Attainable.Fits(g.Step.Claim())
}

// admits tells whether the step may run on a worker, whatever runs there.
func (g *Group) admits(w *Worker) bool {
	return (g.Allowed == nil || g.Allowed[w.ID]) && w.HasLabel(g.Step.Label)
}

// full tells whether a worker has as many of the step's subtasks as it may.
func (g *Group) full(w *Worker) bool {
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

// compareAny orders workers for steps that do not care on which they run: those of
// a hall and of a rack together, so that a step is hit by the loss of few of them.
func compareAny(a, b *Worker) int {
	return cmp.Or(
		cmp.Compare(a.Distrust, b.Distrust),
		cmp.Compare(a.Hall, b.Hall),
		cmp.Compare(a.Rack, b.Rack),
		cmp.Compare(a.Rank, b.Rank),
	)
}

// compareSpread orders workers for steps that are dealt out over many, as their
// parts are of use alone: in the order of the ranks, in whatever hall they are.
func compareSpread(a, b *Worker) int {
	return cmp.Or(cmp.Compare(a.Distrust, b.Distrust), cmp.Compare(a.Rank, b.Rank))
}

func (g *Group) place(workers []*Worker) []Placement {
	candidates := g.candidates(workers)
	var placed []Placement
	switch {
	case g.Step.Gang && g.Step.SameRack:
		placed = g.placeWithin(candidates, func(w *Worker) string { return string(w.Rack) })
	case g.together():
		placed = g.placeWithin(mostTrusted(candidates), func(w *Worker) string { return string(w.Hall) })
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

// together tells whether the step is of use only once all of it is done, so that
// it had better depend on one hall: a step that is spread over two is held up by
// the loss of either. Over five days on each of which a hall is cut off, the mean
// worth was 0.557 with it and 0.531 without (30 plays each).
func (g *Group) together() bool {
	return !g.Step.Lasting && !g.cares()
}

// mostTrusted are the first of sorted workers, those that are as sound as the very
// first: none is used that is less so only to stay in a hall.
func mostTrusted(workers []*Worker) []*Worker {
	for i, w := range workers {
		if w.Distrust > workers[0].Distrust {
			return workers[:i]
		}
	}
	return workers
}

// placeWithin puts all of the group on the workers of one domain, such as a rack:
// the first that holds it, in the order of the candidates. It returns nil if none
// does.
func (g *Group) placeWithin(candidates []*Worker, domain func(w *Worker) string) []Placement {
	tried := map[string]bool{}
	for _, w := range candidates {
		name := domain(w)
		if tried[name] {
			continue
		}
		tried[name] = true
		inside := slices.DeleteFunc(slices.Clone(candidates), func(c *Worker) bool { return domain(c) != name })
		if !g.mayHold(inside) {
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

// mayHold tells whether workers have room for the whole group, whatever else
// keeps it from them. It spares the search where they are full.
func (g *Group) mayHold(workers []*Worker) bool {
	var free tw.Resources
	for _, w := range workers {
		free = free.Plus(w.Free)
	}
	return free.Fits(g.Step.Claim().Times(len(g.Subtasks)))
}

// candidates are the workers that may run the step, the best first. The
// workers are in the order of compareAny.
func (g *Group) candidates(workers []*Worker) []*Worker {
	claim := g.Step.Claim()
	out := make([]*Worker, 0, len(workers))
	for _, w := range workers {
		if w.Free.Fits(claim) && g.admits(w) {
			out = append(out, w)
		}
	}
	if g.cares() || g.Step.Lasting {
		slices.SortStableFunc(out, g.compare)
	}
	return out
}

// cares tells whether the step runs better on some sound workers than on
// others. Else the order that the workers are in will do.
func (g *Group) cares() bool {
	return g.Step.Near != "" || g.Step.Filler || g.Step.TailTarget > 0
}

// compare orders workers for the step.
func (g *Group) compare(a, b *Worker) int {
	return cmp.Or(
		cmp.Compare(a.Distrust, b.Distrust),
		compareBool(g.far(a), g.far(b)),
		g.compareSharing(a, b),
		g.compareAlike(a, b),
	)
}

// compareAlike orders workers that are equally good for the step.
func (g *Group) compareAlike(a, b *Worker) int {
	if g.Step.Lasting {
		return compareSpread(a, b)
	}
	return compareAny(a, b)
}

// compareSharing keeps fillers away from subtasks that serve users, as they
// lengthen the tails of these.
func (g *Group) compareSharing(a, b *Worker) int {
	switch {
	case g.Step.Filler:
		return cmp.Or(cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Fillers, b.Fillers))
	case g.Step.TailTarget > 0:
		return cmp.Or(cmp.Compare(a.Fillers, b.Fillers), cmp.Compare(a.Serving, b.Serving))
	}
	return 0
}

// far tells whether the step's data lies on another rack.
func (g *Group) far(w *Worker) bool { return g.Step.Near != "" && g.Step.Near != w.Rack }

// fill places subtasks one by one. Lasting ones are dealt out in turn, so
// that the loss of a worker takes few of a step; others fill up a worker.
func (g *Group) fill(candidates []*Worker) []Placement {
	var out []Placement
	rest := g.Subtasks
	for len(rest) > 0 {
		before := len(rest)
		for _, w := range candidates {
			for len(rest) > 0 && g.put(w, rest[0]) {
				out = append(out, Placement{Subtask: rest[0], Worker: w})
				rest = rest[1:]
				if g.Step.Lasting {
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

// put takes the subtask's claim out of the worker, if it may run there.
func (g *Group) put(w *Worker, id tw.SubtaskID) bool {
	claim := g.Step.Claim()
	if !w.Free.Fits(claim) || g.Avoid[id.Index][w.ID] {
		return false
	}
	if g.full(w) || w.Taken() {
		return false
	}
	w.Free = w.Free.Minus(claim)
	g.count(w, 1)
	return true
}

func (g *Group) undo(placed []Placement) {
	for _, p := range placed {
		p.Worker.Free = p.Worker.Free.Plus(g.Step.Claim())
		g.count(p.Worker, -1)
	}
}

// count notes that n of the step's subtasks were put on a worker.
func (g *Group) count(w *Worker, n int) {
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
