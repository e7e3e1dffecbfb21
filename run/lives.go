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
// that a life has ended is the word of another one at its address, the platform's
// list of machines if it was asked for after the doubt began, or an answered order
// that took the machine away.

// endedKept is how long a life that has ended is remembered after its entry was last
// seen: entries of former lives came back 4 to 5 s after their machine was known as
// down (plays with workers cut off for 6 s).
const endedKept = time.Minute

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
		if why := o.endBy(list, w); why != "" {
			o.bury(w, why)
		}
	}
}

// endBy is why a list of machines proves that a worker's life has ended; empty if it
// does not. A worker that has answered since the list was asked for lives on.
func (o *Owner) endBy(list *MachineList, w *worker) string {
	from := w.doubtFrom()
	if w.entry.Instance == "" || from.IsZero() || !list.Asked.After(from) || w.clockAt.After(list.Asked) {
		return ""
	}
	machine, found := list.Machines[w.entry.Instance]
	switch {
	case !found:
		return "its machine has left"
	case machine.State != tw.MachineUp:
		return "its machine is " + string(machine.State)
	case machine.Worker != "" && machine.Worker != w.entry.ID:
		return "its machine runs another worker"
	}
	return ""
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
func (o *Owner) bury(w *worker, why string) {
	o.ended[w.entry.ID] = o.now // its entry must not be taken for a new worker
	o.forget(w, why)
	for _, r := range w.runs {
		o.runGone(r, "its worker has ended")
	}
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
	if rest := o.lives[w.entry.Instance]; len(rest) == 1 {
		rest[0].rivalFrom = time.Time{}
	}
	o.placeSoon = true
}
