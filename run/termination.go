package run

import (
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// A machine runs one incarnation of a worker at a time. The order in which entries arrive does
// not show which of the known ones is current: a write may be delayed by a network partition, and
// an expired entry may be written once more. Proof that an incarnation has ended is an answer of
// another one at its address, an answered order that took the machine away, or silence together
// with the platform's list of machines, if that was requested after the worker became uncertain.

// terminatedRetention is how long an ended incarnation is remembered after its entry was last
// seen. With workers cut off for 6 s, entries of previous incarnations came back 4 to 5 s after
// their machine was known to be down.
const terminatedRetention = time.Minute

// machineListLag is how long the machine manager's list of machines may still name an incarnation
// that has ended. The manager acts on lists that are up to 1 s old, and requests reports several
// times a second.
const machineListLag = 3 * time.Second

// termination is why an incarnation of a worker has ended. The zero value means that it has not.
type termination struct {
	reason string
	// planned: the worker was not crashed by one of its runs.
	planned bool
	// replaced: another worker of its machine answers. One that is only listed does not
	// count, as it may still be starting.
	replaced bool
}

var (
	machineRemoved    = termination{reason: "its machine was ordered away", planned: true}
	replacedAtAddress = termination{reason: "another worker answers at its address", replaced: true}
)

// terminatedWorker is an ended incarnation: since when the owner knows that, and when the entry
// was last seen.
type terminatedWorker struct {
	since, seenAt time.Time
	// startTime identifies the incarnation; zero if unknown.
	startTime tw.WorkerStartTime
	// reason is why it was taken for ended, runs how many runs were given up with it.
	reason string
	runs   int
	// ignoredLogged: it was logged that its entry is ignored.
	ignoredLogged bool
}

// matches reports whether an entry is, or may be, of this incarnation.
func (t terminatedWorker) matches(entry tw.WorkerEntry) bool {
	return t.startTime == 0 || entry.StartTime == 0 || entry.StartTime == t.startTime
}

// indexWorker and unindexWorker maintain the index of workers by machine. Without it each new
// list of workers required a comparison of all workers with all others.
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

// markDuplicates marks all workers of a machine as uncertain if several are known, until a newer
// list of machines names the current one.
func (o *Owner) markDuplicates(w *worker) {
	siblings := o.workersByInstance[w.entry.Instance]
	if w.entry.Instance == "" || len(siblings) < 2 {
		return
	}
	for _, sibling := range siblings {
		sibling.duplicateSince = o.now
	}
	o.log.Info("worker: several on one machine", zap.String("worker", string(w.entry.ID)),
		zap.String("instance", string(w.entry.Instance)), zap.Int("lives", len(siblings)))
}

// livenessUnknownSince returns since when it is uncertain that a worker is alive; zero if it is
// certain.
func (w *worker) livenessUnknownSince() time.Time {
	since := w.silentSince
	if since.IsZero() || !w.duplicateSince.IsZero() && w.duplicateSince.Before(since) {
		since = w.duplicateSince
	}
	if !w.listed && (since.IsZero() || w.missingSince.Before(since)) {
		since = w.missingSince
	}
	return since
}

// applyMachineList resolves uncertain workers by the platform's list of machines.
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

// probe polls a worker that has ended according to a list of machines. The list is believed only
// if the worker does not answer: it is read page by page, so it is not a snapshot, and it may lag.
func (o *Owner) probe(w *worker, list *MachineList) {
	if w.probing() {
		return
	}
	w.probeSince = list.RequestedAt
	if w.stateKnown {
		o.requestPoll(w) // an open poll may be waiting for an end
	}
}

// probing reports whether the owner waits for the answer to a probe.
func (w *worker) probing() bool { return w.probeSince.After(w.clockAt) }

// needsProbe reports whether a poll must show that a worker is alive. An idle worker isn't polled
// otherwise, and would get new work although another worker of its machine is known, or its entry
// names another incarnation.
func (w *worker) needsProbe() bool {
	return w.probing() || w.duplicateSince.After(w.polledAt) || w.claim.pending()
}

// terminationBy returns why a worker has ended according to a list of machines; zero if it has
// not, or if the list does not tell. A worker that has answered since the list was requested is
// alive.
func (o *Owner) terminationBy(list *MachineList, w *worker) termination {
	since := w.livenessUnknownSince()
	if w.entry.Instance == "" || since.IsZero() || !list.RequestedAt.After(since) || w.clockAt.After(list.RequestedAt) {
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
		_, terminated := o.terminated[machine.Worker]
		if machine.Worker != "" && machine.Worker != w.entry.ID && !terminated {
			return termination{reason: "its machine runs another worker"}
		}
	}
	return termination{}
}

// addUnlisted adds the running workers of the pool that have no entry in the list of workers, as
// after an outage. The previous owner may have used them.
func (o *Owner) addUnlisted(list *MachineList) {
	for _, machine := range list.Machines {
		if machine.Pool != o.pool || machine.Worker == "" || o.workers[machine.Worker] != nil {
			continue
		}
		if _, ended := o.terminated[machine.Worker]; ended {
			continue // it has ended since the list was requested
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

// removeTerminated removes a worker that has certainly ended, with all its runs.
func (o *Owner) removeTerminated(w *worker, end termination) {
	o.terminated[w.entry.ID] = terminatedWorker{ // a late entry must not add it again
		since: o.now, seenAt: o.now, startTime: w.startTime, reason: end.reason, runs: len(w.runs),
	}
	o.removeWorker(w, end.reason)
	if !end.planned {
		o.attributeCrash(w, end.replaced)
	}
	for _, r := range w.runs {
		o.runGone(r, "its worker has ended")
	}
}

// markTerminated records that a worker has ended, even if it was not known here.
func (o *Owner) markTerminated(id tw.WorkerID) {
	o.terminated[id] = terminatedWorker{since: o.now, seenAt: o.now, reason: machineRemoved.reason}
}

// unmarkTerminated reports whether a worker may be running. It drops the record of its end if the
// list of machines still names it long after that. If the list is wrong, this costs a poll.
func (o *Owner) unmarkTerminated(id tw.WorkerID) bool {
	record, ended := o.terminated[id]
	if !ended {
		return true
	}
	if o.now.Sub(record.since) < machineListLag {
		return false
	}
	o.log.Warn("worker: its machine still runs it", zap.String("worker", string(id)), zap.Duration("since", o.now.Sub(record.since)))
	delete(o.terminated, id)
	return true
}

// removeWorker removes a worker. If it is alive, the next list of workers adds it again.
func (o *Owner) removeWorker(w *worker, reason string) {
	o.metrics.endedWorker(reason)
	o.log.Info("worker: ended", zap.String("worker", string(w.entry.ID)), zap.String("why", reason),
		zap.Int("runs", len(w.runs)), zap.String("instance", string(w.entry.Instance)), zap.Bool("listed", w.listed),
		zap.Bool("silent", !w.silentSince.IsZero()), w.answerAgeField(o.now))
	w.session.close()
	w.dropClaim()
	delete(o.workers, w.entry.ID)
	delete(o.ranks, w.rank)
	o.sortedWorkers = nil
	o.unindexWorker(w)
	o.placeRequested = true
}
