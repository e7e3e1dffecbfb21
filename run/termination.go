package run

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// A machine runs one incarnation of a worker at a time. The order in which entries arrive does
// not show which of the known ones is current: a write may be delayed by a network partition, and
// an expired entry may be written once more. Proof that an incarnation has ended is an answer of
// another one at the address at which it has answered, or an answered order that took the machine
// away. Silence together with the platform's list of machines, if that was requested after the worker
// became uncertain, is a presumption: the runs are given up, and the worker is asked again.

// terminatedRetention is how long an ended incarnation is remembered after its entry was last
// seen. With workers cut off for 6 s, entries of previous incarnations came back 4 to 5 s after
// their machine was known to be down.
const terminatedRetention = time.Minute

// machineListLag is how long the machine manager's list of machines may still name an incarnation
// that has ended. The manager acts on lists that are up to 1 s old, and requests reports several
// times a second.
const machineListLag = 3 * time.Second

const (
	// minEndAskDelay and maxEndAskDelay bound the pause after which a worker that is taken for ended
	// without proof is asked, as long as it is listed. The platform allows 3 s and the time of a stop
	// for what is cancelled to be gone.
	minEndAskDelay = time.Second
	maxEndAskDelay = 2 * time.Second
)

// termination is why an incarnation of a worker has ended. The zero value means that it has not.
type termination struct {
	reason string
	// proven: an answer shows it. Otherwise the worker is silent and a list of machines says so, which
	// may be wrong for a moment.
	proven bool
	// planned: the worker was not crashed by one of its runs.
	planned bool
	// mayReturn: a worker with its ID may start on its machine within seconds. After maintenance, or in
	// another pool, that is another worker.
	mayReturn bool
	// replaced: another worker of its machine answers. One that is only listed does not
	// count, as it may still be starting.
	replaced bool
}

var (
	machineRemoved    = termination{reason: "its machine was ordered away", proven: true, planned: true}
	replacedAtAddress = termination{reason: "another worker answers at its address", proven: true, replaced: true}
)

// terminatedWorker is an ended incarnation, or one that is taken for ended: since when the owner
// knows that, and when the entry was last seen.
type terminatedWorker struct {
	since, seenAt time.Time
	// startTime identifies the incarnation; zero if unknown. address is where it was called; empty if
	// unknown.
	startTime tw.WorkerStartTime
	address   string
	// answered: it has answered at that address.
	answered bool
	// end is why it was taken for ended, runs how many runs were given up with it.
	end  termination
	runs int
	// askAt is when it is asked whether it has ended, unless that is proven, and askDelay the pause
	// before that.
	askAt    time.Time
	askDelay time.Duration
	// ignoredLogged: it was logged that its entry is ignored.
	ignoredLogged bool
}

// matches reports whether an entry is, or may be, of this incarnation.
func (t terminatedWorker) matches(entry tw.WorkerEntry) bool {
	sameStart := t.startTime == 0 || entry.StartTime == 0 || entry.StartTime == t.startTime
	return sameStart && (t.address == "" || entry.Address == t.address)
}

// provenFor reports whether it is proven that the worker of an entry has ended.
func (t terminatedWorker) provenFor(entry tw.WorkerEntry) bool {
	return t.end.proven && (t.startTime != 0 || entry.StartTime == 0)
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
	return w.probing() || w.duplicateSince.After(w.polledAt) || w.dispute.pending()
}

// terminationBy returns why a worker has ended according to a list of machines; zero if it has
// not, or if the list does not tell. A worker that has answered since the list was requested is
// alive.
func (o *Owner) terminationBy(list *MachineList, w *worker) termination {
	since := w.livenessUnknownSince()
	if w.entry.Instance == "" || since.IsZero() || !list.RequestedAt.After(since) || w.clockAt.After(list.RequestedAt) {
		return termination{}
	}
	if _, running := list.running[w.entry.ID]; running {
		return termination{} // also if its entry names another machine
	}
	machine, found := list.Machines[w.entry.Instance]
	if !found {
		return termination{reason: "its machine has left"}
	}
	switch machine.State {
	case tw.MachineMoving, tw.MachineMaintenance:
		return termination{reason: "its machine is " + string(machine.State), planned: true}
	case tw.MachineDown:
		return termination{reason: "its machine is " + string(machine.State), mayReturn: true}
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

// refusedAtAddress handles a refusal by another worker at the address of a worker. It proves the end of
// one that has answered there, or whose machine and address the other one has. Else only the entry says
// that this is its address, and the list of machines decides.
func (o *Owner) refusedAtAddress(w *worker) {
	if w.hasAnswered() || w.entry.Instance == "" || o.replacedBySibling(w) {
		o.removeTerminated(w, replacedAtAddress)
		return
	}
	w.noteUncertain(o.now)
	w.nextPoll = o.now.Add(pollRetryDelay)
}

// replacedBySibling reports whether another worker with the same machine and address has answered.
func (o *Owner) replacedBySibling(w *worker) bool {
	return slices.ContainsFunc(o.workersByInstance[w.entry.Instance], func(other *worker) bool {
		return other != w && other.entry.Address == w.entry.Address && other.hasAnswered()
	})
}

// hasAnswered reports whether the worker has answered this owner at its address.
func (w *worker) hasAnswered() bool {
	return !w.polledAt.IsZero() || w.presumedEnd != nil && w.presumedEnd.answered && w.presumedEnd.address == w.entry.Address
}

// removeTerminated removes a worker that has ended, or is taken for ended, with all its runs.
func (o *Owner) removeTerminated(w *worker, end termination) {
	o.noteTerminated(w, end)
	o.removeWorker(w, end.reason)
	if !end.planned {
		o.attributeCrash(w, slices.Collect(maps.Values(w.runs)), end.replaced)
	}
	o.keepInheritedInDoubt(w, end)
	for _, r := range w.runs {
		if o.mayStartOnReturn(r, end) {
			o.keepInDoubt(r)
			continue
		}
		o.runGone(r, "its worker has ended")
	}
}

// noteTerminated records the end of a worker, so that a late entry does not add it again.
func (o *Owner) noteTerminated(w *worker, end termination) {
	record := terminatedWorker{
		since: o.now, seenAt: o.now, startTime: w.startTime, address: w.entry.Address, answered: w.hasAnswered(),
		end: end, runs: len(w.runs), askDelay: minEndAskDelay,
	}
	if record.startTime == 0 {
		record.startTime = w.entry.StartTime
	}
	if w.presumedEnd != nil {
		record.askDelay = min(2*w.presumedEnd.askDelay, maxEndAskDelay)
	}
	record.askAt = o.now.Add(record.askDelay)
	o.terminated[w.entry.ID] = record
}

// askPresumedEnded adds the workers again that are listed although they were taken for ended without
// proof, and those of which another incarnation is listed, so that they are polled. It returns when the
// next one is due.
func (o *Owner) askPresumedEnded() time.Time {
	var next time.Time
	for id, record := range o.terminated {
		entry, listed := o.listed[id]
		switch {
		case !listed || o.workers[id] != nil:
		case !record.matches(entry):
			delete(o.terminated, id)
			o.addWorker(entry)
		case record.provenFor(entry):
		case o.now.Before(record.askAt):
			next = earlier(next, record.askAt)
		default:
			delete(o.terminated, id)
			w := o.addWorker(entry)
			w.presumedEnd = &record
		}
	}
	return next
}

// noteAlive records that a worker that was taken for ended has answered.
func (o *Owner) noteAlive(w *worker, running int) {
	if w.presumedEnd == nil {
		return
	}
	if previous := w.presumedEnd.startTime; previous != 0 && w.startTime != previous {
		w.presumedEnd = nil
		return // the next incarnation has answered
	}
	o.metrics.wronglyEnded.Inc()
	o.log.Warn("worker: lives though it was taken for ended", zap.String("worker", string(w.entry.ID)),
		zap.String("why", w.presumedEnd.end.reason), zap.Duration("since", o.now.Sub(w.presumedEnd.since)),
		zap.Int("runs_given_up", w.presumedEnd.runs), zap.Int("running", running))
	w.presumedEnd = nil
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
	w.dropDispute()
	o.keepOrdersUnderWay(w)
	delete(o.workers, w.entry.ID)
	delete(o.ranks, w.rank)
	o.sortedWorkers = nil
	o.unindexWorker(w)
	o.placeRequested = true
}
