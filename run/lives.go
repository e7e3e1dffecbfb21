package run

import (
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// A machine runs one life of a worker at a time. Which of those that are known is
// the present one is never told by the order in which entries come: a write may be
// held up by a cut, and an entry that lapsed may be written once more. What proves
// that a life has ended is the word of another one at its address, an answered order
// that took the machine away, or silence together with the platform's list of machines,
// if that was asked for after the doubt began.

// endedKept is how long a life that has ended is remembered after its entry was last
// seen: entries of former lives came back 4 to 5 s after their machine was known as
// down (plays with workers cut off for 6 s).
const endedKept = time.Minute

// endedShown is how long the manager's list of machines may name a life that has ended:
// it acts on lists of up to a second, and asks for reports several times a second.
const endedShown = 3 * time.Second

// lifeEnd is why a worker's life has ended. The zero value says that it has not ended.
type lifeEnd struct {
	why string
	// planned: what ran there has not brought it down.
	planned bool
	// followed: another life of its machine answers by now. That a list names one is no
	// proof: it may still be starting.
	followed bool
}

var (
	orderedAway = lifeEnd{why: "its machine was ordered away", planned: true}
	replaced    = lifeEnd{why: "another worker answers at its address", followed: true}
)

// endedLife is a worker's life that has ended: when that was known, and when its entry
// was last seen.
type endedLife struct {
	since, seen time.Time
	// born is that of the life; zero if that is not known.
	born tw.WorkerBirth
}

// isOver tells whether an entry is of this life, or may be.
func (l endedLife) isOver(entry tw.WorkerEntry) bool { return l.born == 0 || entry.Born <= l.born }

// addLife and dropLife keep the index of the workers of each machine: without it
// each new list of workers compared all workers with all others.
func (o *Owner) addLife(w *worker) {
	id := w.entry.Instance
	o.lives[id] = append(o.lives[id], w)
}

func (o *Owner) dropLife(w *worker) {
	id := w.entry.Instance
	left := slices.DeleteFunc(o.lives[id], func(other *worker) bool { return other == w })
	if len(left) == 0 {
		delete(o.lives, id)
		return
	}
	if len(left) == 1 {
		left[0].rivalFrom = time.Time{}
	}
	o.lives[id] = left
}

// noteRivals notes that several lives of a worker's machine are known, so that all of
// them are in doubt until a list of machines that is newer names the present one.
func (o *Owner) noteRivals(w *worker) {
	lives := o.lives[w.entry.Instance]
	if w.entry.Instance == "" || len(lives) < 2 {
		return
	}
	for _, life := range lives {
		life.rivalFrom = o.now
	}
	o.log.Info("worker: several of one machine", zap.String("worker", string(w.entry.ID)),
		zap.String("instance", string(w.entry.Instance)), zap.Int("lives", len(lives)))
}

// doubtFrom is since when it is in doubt that a worker lives; zero if it is not.
func (w *worker) doubtFrom() time.Time {
	from := w.silentFrom
	if from.IsZero() || !w.rivalFrom.IsZero() && w.rivalFrom.Before(from) {
		from = w.rivalFrom
	}
	if !w.listed && (from.IsZero() || w.missingFrom.Before(from)) {
		from = w.missingFrom
	}
	return from
}

// consultCensus ends doubts by the platform's list of machines.
func (o *Owner) consultCensus() {
	list := o.census.Latest()
	if list == nil {
		return
	}
	if !o.counted && list.Asked.After(o.takenAt) {
		o.counted = true
		o.addUnlisted(list)
	}
	for _, w := range o.workers {
		end := o.endBy(list, w)
		switch {
		case end == lifeEnd{}:
		case w.silentFrom.IsZero() && w.entry.Address != "":
			o.check(w, list)
		default:
			o.bury(w, end)
		}
	}
}

// check looks at a worker whose life has ended by a list of machines. Only if it does
// not answer is the list believed: pages of a list are no snapshot, and a list may lag.
func (o *Owner) check(w *worker, list *MachineList) {
	if w.checking() {
		return
	}
	w.checkFor = list.Asked
	if w.known {
		w.nextLook = o.now
		w.session.interrupt() // it may wait for an end to report
	}
}

// checking tells whether a look is under way because of a list that says that the
// worker's life has ended.
func (w *worker) checking() bool { return w.checkFor.After(w.clockAt) }

// questioned tells whether a look is to show that a worker lives. One on which nothing
// runs isn't looked at otherwise, and would get new work although its machine's next life
// is known.
func (w *worker) questioned() bool { return w.checking() || w.rivalFrom.After(w.lookedAt) }

// endBy is why a worker's life has ended by a list of machines; zero if it has not, or
// if the list does not tell. A worker that has answered since the list was asked for
// lives on.
func (o *Owner) endBy(list *MachineList, w *worker) lifeEnd {
	from := w.doubtFrom()
	if w.entry.Instance == "" || from.IsZero() || !list.Asked.After(from) || w.clockAt.After(list.Asked) {
		return lifeEnd{}
	}
	machine, found := list.Machines[w.entry.Instance]
	if !found {
		return lifeEnd{why: "its machine has left"}
	}
	switch machine.State {
	case tw.MachineMoving, tw.MachineMaintenance:
		return lifeEnd{why: "its machine is " + string(machine.State), planned: true}
	case tw.MachineDown:
		return lifeEnd{why: "its machine is " + string(machine.State)}
	case tw.MachineUp:
		_, former := o.ended[machine.Worker]
		if machine.Worker != "" && machine.Worker != w.entry.ID && !former {
			return lifeEnd{why: "its machine runs another worker"}
		}
	}
	return lifeEnd{}
}

// addUnlisted adds the workers of the pool that run without an entry in the
// list of workers, as after an outage: the former owner may have used them.
func (o *Owner) addUnlisted(list *MachineList) {
	for _, machine := range list.Machines {
		if machine.Pool != o.pool || machine.Worker == "" || o.workers[machine.Worker] != nil {
			continue
		}
		if _, ended := o.ended[machine.Worker]; ended {
			continue // it was ordered away since the list was asked for
		}
		w := o.addWorker(tw.WorkerEntry{
			ID: machine.Worker, Pool: machine.Pool, Hall: machine.Hall, Instance: machine.ID,
			Capacity: machine.Capacity, Labels: machine.Labels,
		})
		w.listed = false
		w.missingFrom = o.now
	}
	o.placeSoon = true
}

// bury drops a worker whose life has certainly ended, with all that ran there.
func (o *Owner) bury(w *worker, end lifeEnd) {
	o.ended[w.entry.ID] = endedLife{since: o.now, seen: o.now, born: w.born} // its entry is not that of a new worker
	o.forget(w, end.why)
	if !end.planned {
		o.blame(w, end.followed)
	}
	for _, r := range w.runs {
		o.runGone(r, "its worker has ended")
	}
}

// noteEnded notes that a life has ended, whether or not it was known here.
func (o *Owner) noteEnded(id tw.WorkerID) { o.ended[id] = endedLife{since: o.now, seen: o.now} }

// runsAfterAll forgets that a life has ended if the list of machines still names it
// long after. If that is wrong, it costs a look.
func (o *Owner) runsAfterAll(id tw.WorkerID) bool {
	life, ended := o.ended[id]
	if !ended {
		return true
	}
	if o.now.Sub(life.since) < endedShown {
		return false
	}
	o.log.Warn("worker: its machine still runs it", zap.String("worker", string(id)), zap.Duration("since", o.now.Sub(life.since)))
	delete(o.ended, id)
	return true
}

// forget drops a worker; if it lives, its entry brings it back.
func (o *Owner) forget(w *worker, why string) {
	o.log.Info("worker: ended", zap.String("worker", string(w.entry.ID)), zap.String("why", why),
		zap.Int("runs", len(w.runs)), zap.String("instance", string(w.entry.Instance)), zap.Bool("listed", w.listed),
		zap.Bool("silent", !w.silentFrom.IsZero()), w.answerAge(o.now))
	w.session.close()
	delete(o.workers, w.entry.ID)
	delete(o.ranks, w.rank)
	o.byPlace = nil
	o.dropLife(w)
	o.placeSoon = true
}
