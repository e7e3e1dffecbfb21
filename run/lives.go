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

// terminatedRetention is how long a life that has ended is remembered after its entry was last
// seen: entries of former lives came back 4 to 5 s after their machine was known as
// down (plays with workers cut off for 6 s).
const terminatedRetention = time.Minute

// machineListLag is how long the manager's list of machines may name a life that has ended:
// it acts on lists of up to a second, and asks for reports several times a second.
const machineListLag = 3 * time.Second

// termination is why a worker's life has ended. The zero value says that it has not ended.
type termination struct {
	reason string
	// planned: what ran there has not brought it down.
	planned bool
	// replaced: another life of its machine answers by now. That a list names one is no
	// proof: it may still be starting.
	replaced bool
}

var (
	machineRemoved    = termination{reason: "its machine was ordered away", planned: true}
	replacedAtAddress = termination{reason: "another worker answers at its address", replaced: true}
)

// terminatedWorker is a worker's life that has ended: when that was known, and when its entry
// was last seen.
type terminatedWorker struct {
	since, seenAt time.Time
	// startTime is that of the life; zero if that is not known.
	startTime tw.WorkerStartTime
}

// matches tells whether an entry is of this life, or may be.
func (l terminatedWorker) matches(entry tw.WorkerEntry) bool {
	return l.startTime == 0 || entry.StartTime <= l.startTime
}

// indexWorker and dropLife keep the index of the workers of each machine: without it
// each new list of workers compared all workers with all others.
func (o *Owner) indexWorker(w *worker) {
	id := w.entry.Instance
	o.workersByInstance[id] = append(o.workersByInstance[id], w)
}

func (o *Owner) unindexWorker(w *worker) {
	id := w.entry.Instance
	left := slices.DeleteFunc(o.workersByInstance[id], func(other *worker) bool { return other == w })
	if len(left) == 0 {
		delete(o.workersByInstance, id)
		return
	}
	if len(left) == 1 {
		left[0].duplicateSince = time.Time{}
	}
	o.workersByInstance[id] = left
}

// markDuplicates notes that several lives of a worker's machine are known, so that all of
// them are in doubt until a list of machines that is newer names the present one.
func (o *Owner) markDuplicates(w *worker) {
	lives := o.workersByInstance[w.entry.Instance]
	if w.entry.Instance == "" || len(lives) < 2 {
		return
	}
	for _, life := range lives {
		life.duplicateSince = o.now
	}
	o.log.Info("worker: several of one machine", zap.String("worker", string(w.entry.ID)),
		zap.String("instance", string(w.entry.Instance)), zap.Int("lives", len(lives)))
}

// livenessUnknownSince is since when it is in doubt that a worker lives; zero if it is not.
func (w *worker) livenessUnknownSince() time.Time {
	from := w.silentSince
	if from.IsZero() || !w.duplicateSince.IsZero() && w.duplicateSince.Before(from) {
		from = w.duplicateSince
	}
	if !w.listed && (from.IsZero() || w.missingSince.Before(from)) {
		from = w.missingSince
	}
	return from
}

// applyMachineList ends doubts by the platform's list of machines.
func (o *Owner) applyMachineList() {
	list := o.machineCache.Latest()
	if list == nil {
		return
	}
	if !o.machineListRead && list.RequestedAt.After(o.takeoverAt) {
		o.machineListRead = true
		o.addUnlisted(list)
	}
	for _, w := range o.workers {
		end := o.terminationBy(list, w)
		switch {
		case end == termination{}:
		case w.silentSince.IsZero() && w.entry.Address != "":
			o.probe(w, list)
		default:
			o.removeTerminated(w, end)
		}
	}
}

// probe looks at a worker whose life has ended by a list of machines. Only if it does
// not answer is the list believed: pages of a list are no snapshot, and a list may lag.
func (o *Owner) probe(w *worker, list *MachineList) {
	if w.probing() {
		return
	}
	w.probeSince = list.RequestedAt
	if w.stateKnown {
		w.nextPoll = o.now
		w.session.interrupt() // it may wait for an end to report
	}
}

// probing tells whether a look is under way because of a list that says that the
// worker's life has ended.
func (w *worker) probing() bool { return w.probeSince.After(w.clockAt) }

// needsProbe tells whether a look is to show that a worker lives. One on which nothing
// runs isn't looked at otherwise, and would get new work although its machine's next life
// is known.
func (w *worker) needsProbe() bool { return w.probing() || w.duplicateSince.After(w.polledAt) }

// terminationBy is why a worker's life has ended by a list of machines; zero if it has not, or
// if the list does not tell. A worker that has answered since the list was asked for
// lives on.
func (o *Owner) terminationBy(list *MachineList, w *worker) termination {
	from := w.livenessUnknownSince()
	if w.entry.Instance == "" || from.IsZero() || !list.RequestedAt.After(from) || w.clockAt.After(list.RequestedAt) {
		return termination{}
	}
	machine, found := list.Machines[w.entry.Instance]
	if !found {
		return termination{reason: "its machine has left"}
	}
	switch machine.State {
	case tw.MachineMoving, tw.MachineMaintenance:
		return termination{reason: "its machine is " + string(machine.State), planned: true}
	case tw.MachineDown:
		return termination{reason: "its machine is " + string(machine.State)}
	case tw.MachineUp:
		_, former := o.terminated[machine.Worker]
		if machine.Worker != "" && machine.Worker != w.entry.ID && !former {
			return termination{reason: "its machine runs another worker"}
		}
	}
	return termination{}
}

// addUnlisted adds the workers of the pool that run without an entry in the
// list of workers, as after an outage: the former owner may have used them.
func (o *Owner) addUnlisted(list *MachineList) {
	for _, machine := range list.Machines {
		if machine.Pool != o.pool || machine.Worker == "" || o.workers[machine.Worker] != nil {
			continue
		}
		if _, ended := o.terminated[machine.Worker]; ended {
			continue // it was ordered away since the list was asked for
		}
		w := o.addWorker(tw.WorkerEntry{
			ID: machine.Worker, Pool: machine.Pool, Hall: machine.Hall, Instance: machine.ID,
			Capacity: machine.Capacity, Labels: machine.Labels,
		})
		w.listed = false
		w.missingSince = o.now
	}
	o.placeRequested = true
}

// removeTerminated drops a worker whose life has certainly ended, with all that ran there.
func (o *Owner) removeTerminated(w *worker, end termination) {
	o.terminated[w.entry.ID] = terminatedWorker{since: o.now, seenAt: o.now, startTime: w.startTime} // its entry is not that of a new worker
	o.removeWorker(w, end.reason)
	if !end.planned {
		o.attributeCrash(w, end.replaced)
	}
	for _, r := range w.runs {
		o.runGone(r, "its worker has ended")
	}
}

// markTerminated notes that a life has ended, whether or not it was known here.
func (o *Owner) markTerminated(id tw.WorkerID) {
	o.terminated[id] = terminatedWorker{since: o.now, seenAt: o.now}
}

// unmarkTerminated forgets that a life has ended if the list of machines still names it
// long after. If that is wrong, it costs a look.
func (o *Owner) unmarkTerminated(id tw.WorkerID) bool {
	life, ended := o.terminated[id]
	if !ended {
		return true
	}
	if o.now.Sub(life.since) < machineListLag {
		return false
	}
	o.log.Warn("worker: its machine still runs it", zap.String("worker", string(id)), zap.Duration("since", o.now.Sub(life.since)))
	delete(o.terminated, id)
	return true
}

// removeWorker drops a worker; if it lives, its entry brings it back.
func (o *Owner) removeWorker(w *worker, why string) {
	o.log.Info("worker: ended", zap.String("worker", string(w.entry.ID)), zap.String("why", why),
		zap.Int("runs", len(w.runs)), zap.String("instance", string(w.entry.Instance)), zap.Bool("listed", w.listed),
		zap.Bool("silent", !w.silentSince.IsZero()), w.answerAgeField(o.now))
	w.session.close()
	delete(o.workers, w.entry.ID)
	delete(o.ranks, w.rank)
	o.sortedWorkers = nil
	o.unindexWorker(w)
	o.placeRequested = true
}
