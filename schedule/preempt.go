package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Run is a run that may be preempted.
	Run struct {
		Subtask     tw.SubtaskID
		Number      tw.RunNumber
		Worker      *Worker
		Reservation tw.Resources
		// Priority is the submission's priority; 0 is the most urgent.
		Priority int
		// Lost is the work that must be redone if the run is stopped.
		Lost time.Duration
	}

	// Unplaced is a group with subtasks that are still waiting after Place.
	Unplaced struct {
		Group *Group
		// Missing is the number of waiting subtasks.
		Missing int
	}

	// preemption holds the state of one preemption pass.
	preemption struct {
		// runs holds the preemptible runs of each worker, in the order in which
		// they are chosen.
		runs map[*Worker][]Run
		// expectedFree is the expected free capacity of each worker: the free capacity
		// plus the reservations of the runs being stopped and of the victims so far, less
		// those of the groups already served.
		expectedFree map[*Worker]tw.Resources
		// chosen holds the victims so far.
		chosen map[tw.SubtaskID]bool
	}
)

// maxVictims limits the runs stopped in one pass: no further group is served once the
// limit is reached, though the last group served may exceed it. Later passes stop more
// if needed, when they know what has become free in the meantime.
const maxVictims = 32

// Preempt selects the runs to stop to make room for waiting work of a higher priority. On
// each worker it prefers runs of the lowest priority that lose the least work, and it
// prefers the workers on which the least work is lost. Late and overdue work and fillers
// preempt nothing; a gang preempts for all its members or for none.
func Preempt(unplaced []Unplaced, workers []*Worker, runs []Run) []Run {
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
	unplaced = slices.Clone(unplaced)
	slices.SortStableFunc(unplaced, func(a, b Unplaced) int { return CompareUrgency(a.Group, b.Group) })
	var out []Run
	for _, u := range unplaced {
		if u.Group.Urgency.Grade > GradeOnTime || len(out) >= maxVictims {
			continue
		}
		out = append(out, p.makeRoom(u, workers)...)
	}
	return out
}

// makeRoom makes room for the subtasks of a group, one by one, and returns the runs to
// stop.
func (p *preemption) makeRoom(u Unplaced, workers []*Worker) []Run {
	var out []Run
	before := preemption{runs: p.runs, expectedFree: maps.Clone(p.expectedFree), chosen: maps.Clone(p.chosen)}
	assigned := map[*Worker]int{} // subtasks of the group assigned in this pass
	for range u.Missing {
		worker, victims, found := p.cheapestWorker(u.Group, workers, assigned)
		if !found {
			if u.Group.Step.Gang {
				*p = before // stop nothing for a part of a gang
				return nil
			}
			break
		}
		for _, v := range victims {
			p.chosen[v.Subtask] = true
			p.expectedFree[worker] = p.expectedFree[worker].Plus(v.Reservation)
		}
		p.expectedFree[worker] = p.expectedFree[worker].Minus(u.Group.Step.Reservation())
		assigned[worker]++
		out = append(out, victims...)
	}
	return out
}

// cheapestWorker returns the worker that loses the least work to make room for one subtask of a
// group, and the runs to stop there. assigned counts the group's subtasks already assigned in
// this pass; they count towards the step's limit per worker.
func (p *preemption) cheapestWorker(g *Group, workers []*Worker, assigned map[*Worker]int) (best *Worker, victims []Run, found bool) {
	least := time.Duration(0)
	for _, w := range workers {
		limit := g.Step.MaxPerWorker
		if !g.eventuallyFits(w) || limit > 0 && g.OnWorker[w.ID]+assigned[w] >= limit {
			continue
		}
		toStop, lost, enough := p.victims(g, w)
		if enough && (!found || lost < least) {
			best, victims, least, found = w, toStop, lost, true
		}
	}
	return best, victims, found
}

// victims returns the runs to stop on a worker to make room for one subtask of a group, the
// work lost by that, and whether the room is enough.
func (p *preemption) victims(g *Group, w *Worker) (out []Run, lost time.Duration, enough bool) {
	reservation := g.Step.Reservation()
	room := p.expectedFree[w]
	for _, r := range p.runs[w] {
		if room.Fits(reservation) {
			break
		}
		if r.Priority <= g.Urgency.Priority || p.chosen[r.Subtask] {
			continue
		}
		room = room.Plus(r.Reservation)
		lost += r.Lost
		out = append(out, r)
	}
	return out, lost, room.Fits(reservation)
}
