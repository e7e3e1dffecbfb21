package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Run is a run that may be stopped for more urgent work.
	Run struct {
		Subtask     tw.SubtaskID
		Number      tw.RunNumber
		Worker      *Worker
		Reservation tw.Resources
		// Priority is that of its submission; 0 is the most urgent.
		Priority int
		// Lost is the work that is done again if the run is stopped.
		Lost time.Duration
	}

	// Unplaced is a group of which subtasks still wait after Place.
	Unplaced struct {
		Group *Group
		// Missing is how many of its subtasks wait.
		Missing int
	}

	// preemption finds the runs to stop, the victims, in one pass.
	preemption struct {
		// runs are those that may be stopped on each worker, the first to stop
		// at the front.
		runs map[*Worker][]Run
		// expectedFree is what will be free on each worker: what is free, what is
		// being stopped, and the victims, less what is meant for wants before.
		expectedFree map[*Worker]tw.Resources
		// chosen are the victims so far.
		chosen map[tw.SubtaskID]bool
	}
)

// maxVictims is the number of runs at which a pass stops: once it has so many,
// it serves no further group. The last group served may take it beyond. What
// more is needed is stopped by later passes, which know what has become free
// meanwhile.
const maxVictims = 32

// Preempt picks the runs to stop so that waiting work of a higher priority
// finds room: on each worker those of the lowest priority that lose the least
// work, and the workers on which the least is lost. Work that ends too late to
// count and fillers preempt nothing; a gang preempts for all its members or
// for none.
func Preempt(wants []Unplaced, workers []*Worker, runs []Run) []Run {
	p := preemption{runs: map[*Worker][]Run{}, expectedFree: map[*Worker]tw.Resources{}, chosen: map[tw.SubtaskID]bool{}}
	for _, w := range workers {
		p.expectedFree[w] = w.Free.Plus(w.Freeing)
	}
	for _, r := range runs {
		p.runs[r.Worker] = append(p.runs[r.Worker], r)
	}
	for _, list := range p.runs {
		slices.SortStableFunc(list, func(a, b Run) int {
			return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Lost, b.Lost))
		})
	}
	wants = slices.Clone(wants)
	slices.SortStableFunc(wants, func(a, b Unplaced) int { return CompareUrgency(a.Group, b.Group) })
	var out []Run
	for _, want := range wants {
		if want.Group.Urgency.Grade > GradeOnTime || len(out) >= maxVictims {
			continue
		}
		out = append(out, p.makeRoom(want, workers)...)
	}
	return out
}

// makeRoom finds room for the subtasks of a group, one by one, and returns the
// runs to stop for it.
func (p *preemption) makeRoom(want Unplaced, workers []*Worker) []Run {
	var out []Run
	before := preemption{runs: p.runs, expectedFree: maps.Clone(p.expectedFree), chosen: maps.Clone(p.chosen)}
	used := map[*Worker]int{} // subtasks of the group for which room was found
	for range want.Missing {
		worker, victims, found := p.cheapestWorker(want.Group, workers, used)
		if !found {
			if want.Group.Step.Gang {
				*p = before // nothing is stopped for it
				return nil
			}
			break
		}
		for _, v := range victims {
			p.chosen[v.Subtask] = true
			p.expectedFree[worker] = p.expectedFree[worker].Plus(v.Reservation)
		}
		p.expectedFree[worker] = p.expectedFree[worker].Minus(want.Group.Step.Reservation())
		used[worker]++
		out = append(out, victims...)
	}
	return out
}

// cheapestWorker is the worker on which the least work is lost for one subtask of a
// group, with the runs to stop there. Subtasks that are used already count
// towards the most that a worker may have of the step.
func (p *preemption) cheapestWorker(g *Group, workers []*Worker, used map[*Worker]int) (best *Worker, victims []Run, found bool) {
	least := time.Duration(0)
	for _, w := range workers {
		most := g.Step.MaxPerWorker
		if !g.eventuallyFits(w) || most > 0 && g.OnWorker[w.ID]+used[w] >= most {
			continue
		}
		candidates, lost, enough := p.victims(g, w)
		if enough && (!found || lost < least) {
			best, victims, least, found = w, candidates, lost, true
		}
	}
	return best, victims, found
}

// victims are the runs to stop on a worker for one subtask of a group; false
// if that does not make enough room.
func (p *preemption) victims(g *Group, w *Worker) (out []Run, lost time.Duration, enough bool) {
	claim := g.Step.Reservation()
	room := p.expectedFree[w]
	for _, r := range p.runs[w] {
		if room.Fits(claim) {
			break
		}
		if r.Priority <= g.Urgency.Priority || p.chosen[r.Subtask] {
			continue
		}
		room = room.Plus(r.Reservation)
		lost += r.Lost
		out = append(out, r)
	}
	return out, lost, room.Fits(claim)
}
