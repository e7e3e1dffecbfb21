package run

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// WorkerList is the pool's part of the list of workers.
type WorkerList struct {
	Workers map[tw.WorkerID]tw.WorkerEntry
	// StoreReachableSince is since when the store has been reachable without interruption. Entries
	// may be missing for a while after that.
	StoreReachableSince time.Time
}

// SetWorkers passes a new list of workers to the owner.
func (o *Owner) SetWorkers(ctx context.Context, list WorkerList) {
	o.post(ctx, func() { o.setWorkers(list) })
}

// applyDirections applies the directions of the machine manager.
func (o *Owner) applyDirections(d Directions) {
	o.setVacate(setOfMachines(d.Vacate), setOfMachines(d.Upcoming))
	for i, id := range d.Gone {
		if i < len(d.GoneFor) {
			o.workerGone(id, o.now.Add(-d.GoneFor[i]))
		} else {
			o.workerGone(id, o.now)
		}
	}
	for _, id := range d.Running {
		if w := o.workers[id]; o.unmarkTerminated(id) && (w == nil || !w.listed) {
			o.refreshWorkers()
			return
		}
	}
}

// workerGone handles the end of a worker whose machine was ordered away at a time. A worker that has
// answered a poll since then is the next one with its ID, and where IDs are used again, one that has not
// answered yet may be.
func (o *Owner) workerGone(id tw.WorkerID, at time.Time) {
	w := o.workers[id]
	if w != nil && (w.answeredPollOf.After(at) || w.polledAt.IsZero() && w.entry.StartTime != 0) {
		return
	}
	if w != nil {
		o.removeTerminated(w, machineRemoved)
		return
	}
	record, known := o.terminated[id]
	if !known {
		record = terminatedWorker{since: o.now, seenAt: o.now, askAt: o.now.Add(minEndAskDelay), askDelay: minEndAskDelay}
	}
	record.end = machineRemoved
	o.terminated[id] = record
}

func setOfMachines(ids []tw.InstanceID) map[tw.InstanceID]bool {
	out := make(map[tw.InstanceID]bool, len(ids))
	for _, id := range ids {
		out[id] = true
	}
	return out
}

func (o *Owner) setVacate(machines, upcoming map[tw.InstanceID]bool) {
	if len(upcoming) != len(o.upcoming) {
		o.log.Info("owner: machines due for maintenance", zap.Int("count", len(upcoming)), zap.Int("before", len(o.upcoming)))
	}
	o.vacate, o.upcoming, o.vacateAt = machines, upcoming, o.now
	for _, w := range o.workers {
		w.maintenanceDue = o.upcoming[w.entry.Instance]
		vacating := o.mustVacate(w)
		if vacating != w.vacating {
			o.log.Info("worker: to be emptied", zap.String("worker", string(w.entry.ID)), zap.Bool("wanted", vacating),
				zap.Int("runs", len(w.runs)))
			o.placeRequested = true
		}
		w.vacating = vacating
	}
}

// vacateTTL is how long a request to vacate machines stays in force. The manager repeats its
// requests several times a second.
const vacateTTL = 2 * time.Second

func (o *Owner) setWorkers(list WorkerList) {
	o.storeReachableSince, o.listed = list.StoreReachableSince, list.Workers
	ignored, elsewhere := 0, 0
	for _, id := range slices.Sorted(maps.Keys(list.Workers)) {
		if record, ended := o.terminated[id]; ended && record.matches(list.Workers[id]) {
			o.ignoreEntry(list.Workers[id], record)
			ignored++
			continue
		}
		delete(o.terminated, id)
		if o.runsElsewhere(id) {
			elsewhere++
			continue
		}
		o.setWorker(list.Workers[id])
	}
	o.dropOldOrders()
	o.metrics.ignoredEntries.Set(float64(ignored + elsewhere))
	o.listedElsewhere = elsewhere
	maps.DeleteFunc(o.terminated, func(_ tw.WorkerID, record terminatedWorker) bool {
		return o.now.Sub(record.seenAt) > terminatedRetention
	})
	for id, w := range o.workers {
		if _, listed := list.Workers[id]; listed {
			continue
		}
		if w.listed {
			w.listed = false
			w.missingSince = o.now
			o.log.Info("worker: no longer listed", zap.String("worker", string(id)), zap.Int("runs", len(w.runs)))
		}
	}
	o.placeRequested = true
}

// runsElsewhere reports whether a worker that is not known yet runs in another pool according to the
// list of machines. A poll would keep it from taking the orders of that pool's owner.
func (o *Owner) runsElsewhere(id tw.WorkerID) bool {
	list := o.machineCache.Latest()
	if list == nil || o.workers[id] != nil {
		return false
	}
	pool, running := list.running[id]
	return running && pool != o.pool
}

// addListedElsewhere adds the listed workers that ran in another pool once a newer list of machines does
// not say so any more. It returns when to look again.
func (o *Owner) addListedElsewhere() time.Time {
	if o.listedElsewhere == 0 {
		return time.Time{}
	}
	o.machineCache.RequestRefresh(o.now)
	o.listedElsewhere = 0
	for id, entry := range o.listed {
		_, ended := o.terminated[id]
		switch {
		case ended || o.workers[id] != nil:
		case o.runsElsewhere(id):
			o.listedElsewhere++
		default:
			o.setWorker(entry)
		}
	}
	return o.now.Add(minRefreshInterval / 4)
}

// ignoreEntry records that the entry of a worker that has ended is still listed.
func (o *Owner) ignoreEntry(entry tw.WorkerEntry, record terminatedWorker) {
	if !record.ignoredLogged {
		o.log.Info("worker: entry ignored, it has ended", zap.String("worker", string(entry.ID)), zap.String("why", record.end.reason),
			zap.Duration("since", o.now.Sub(record.since)), zap.Int("runs", record.runs),
			zap.Int64("born", int64(record.startTime)), zap.Int64("listed_born", int64(entry.StartTime)))
	}
	record.seenAt, record.ignoredLogged = o.now, true
	o.terminated[entry.ID] = record
}

func (o *Owner) setWorker(entry tw.WorkerEntry) {
	w := o.workers[entry.ID]
	if w == nil {
		w = o.addWorker(entry)
	}
	w.listed = true
	if w.contradicts(entry) {
		o.noteDispute(w, entry)
		return
	}
	w.dropDispute()
	if w.session.ref.Address != entry.Address || w.polledAt.IsZero() && w.entry.StartTime != entry.StartTime {
		// The worker was added from the list of machines, before its entry gave its address, or has
		// started again before it has answered.
		o.resetSession(w, entry.Ref())
	}
	o.applyEntry(w, entry)
}

// resetSession replaces the session of a worker. The outcome of its orders in flight stays unknown.
func (o *Owner) resetSession(w *worker, ref tw.WorkerRef) {
	w.session.close()
	w.session = newSession(o, ref)
	for _, r := range w.runs {
		r.stopOpen = false
		if r.phase == starting {
			o.window.release(r.pending)
			o.startUnconfirmed(r)
		}
	}
	w.startsInFlight = 0
	w.openPolls = nil
	w.nextPoll = o.now
}

// applyEntry takes over what a worker's entry says of it.
func (o *Owner) applyEntry(w *worker, entry tw.WorkerEntry) {
	if entry.Draining && !w.entry.Draining {
		o.log.Info("worker: draining", zap.String("worker", string(entry.ID)),
			zap.Duration("remaining", entry.Remaining), zap.Int("runs", len(w.runs)))
	}
	if w.entry.Instance != entry.Instance {
		o.unindexWorker(w)
		w.entry.Instance, w.duplicateSince = entry.Instance, time.Time{}
		o.indexWorker(w)
		o.markDuplicates(w)
	}
	w.entry = entry
	w.vacating, w.maintenanceDue = o.mustVacate(w), o.upcoming[entry.Instance]
}

func (o *Owner) addWorker(entry tw.WorkerEntry) *worker {
	underWay, known := o.takeOrdersUnderWay(entry.ID)
	w := &worker{
		entry: entry, listed: true, runs: map[runKey]*runState{}, rank: o.freeRank(), usage: o.caps.usage,
		// The previous owner may have extended runs there until its permit expired. Workers
		// that really are new answer their first poll at once, so this costs nothing.
		grantedAt:   later(o.takeoverAt.Add(permitTTL), underWay.grantedAt),
		unforbidden: underWay.starts,
	}
	w.grantsExpireAt = o.inheritedExpireAt()
	w.inheritedExpireAt = w.grantsExpireAt
	if known {
		// What an earlier incarnation was granted may be carried out late, and counts from then. Runs of
		// the previous owner were waited for then, and are only if that was not over.
		w.grantsExpireAt = later(w.grantsExpireAt, underWay.grantedAt.Add(maxOrderDelay+o.maxHoldTime()))
		w.inheritedExpireAt = underWay.inheritedUntil
	}
	w.mayHaveInheritedRuns = o.now.Before(w.inheritedExpireAt)
	w.session = newSession(o, entry.Ref())
	o.workers[entry.ID] = w
	o.ranks[w.rank] = true
	o.sortedWorkers = nil
	o.indexWorker(w)
	o.markDuplicates(w)
	o.log.Info("worker: listed", zap.String("worker", string(entry.ID)), zap.String("instance", string(entry.Instance)),
		zap.String("rack", string(entry.Rack())), zap.Int64("cpu", int64(entry.Capacity.CPU)))
	for _, r := range underWay.runs {
		o.handOver(r, w)
	}
	return w
}

// inheritedExpireAt returns when all that the previous owner may have granted has expired.
func (o *Owner) inheritedExpireAt() time.Time { return o.takeoverAt.Add(permitTTL + o.maxHoldTime()) }

// maxHoldTime returns the longest local time for which a hold can keep runs going.
func (o *Owner) maxHoldTime() time.Duration {
	return time.Duration(float64(o.bounds.MaxHold)*clockDrift) + grantMargin
}

// freeRank returns the lowest rank that no worker has, so that ranks stay stable.
func (o *Owner) freeRank() int {
	rank := 0
	for o.ranks[rank] {
		rank++
	}
	return rank
}

// watchWorkers resolves the state of workers that do not answer. It returns when it is due again.
func (o *Owner) watchWorkers() time.Time {
	var next time.Time
	o.updateEvacuations()
	o.watchEvacuations()
	if len(o.vacate)+len(o.upcoming) > 0 && o.now.Sub(o.vacateAt) > vacateTTL {
		o.setVacate(nil, nil)
	}
	if !o.machineListRead {
		// The cache ignores a request while its list is recent, even if that list was
		// requested before the takeover.
		o.machineCache.RequestRefresh(o.now)
		next = o.now.Add(minRefreshInterval / 4)
	}
	next = earlier(earlier(next, o.askPresumedEnded()), o.addListedElsewhere())
	next = earlier(next, o.endDoubts())
	silent := 0
	for _, w := range o.workers {
		if w.silent() {
			silent++
		}
		if !w.listed && o.canRemove(w) {
			o.removeWorker(w, "not listed any more, and no runs or ends left")
			continue
		}
		uncertain := !w.livenessUnknownSince().IsZero()
		if w.stateKnown && !uncertain {
			continue
		}
		if uncertain {
			o.machineCache.RequestRefresh(o.now)
		}
		if !w.listed || w.silent() || !w.stateKnown {
			o.expireRuns(w)
		}
		next = earlier(next, o.now.Add(pollRetryDelay))
	}
	o.metrics.silentWorkers.Set(float64(silent))
	o.noteLoss()
	o.applyMachineList()
	if next.IsZero() {
		return o.now.Add(confirmInterval)
	}
	return next
}

// canRemove reports whether an unlisted worker can be removed: its entry has been missing for long
// enough, no runs can be on it, and its ends are acknowledged or it does not answer.
func (o *Owner) canRemove(w *worker) bool {
	reachable := !o.storeReachableSince.IsZero() && o.now.Sub(o.storeReachableSince) > missingTimeout
	missing := reachable && o.now.Sub(w.missingSince) > missingTimeout
	if !missing || len(w.runs) > 0 || w.mayHaveInheritedRuns {
		return false
	}
	return w.ackedEnd >= w.seenEnd || w.silent() && w.unanswered > 2
}

// expireRuns drops the runs of a worker that has not answered until all deadlines granted there
// have passed.
func (o *Owner) expireRuns(w *worker) {
	if w.mayHaveInheritedRuns && !o.now.Before(w.inheritedExpireAt) {
		w.mayHaveInheritedRuns = false
		w.stateKnown = false // it must be polled before it is used again
		o.placeRequested = true
	}
	if o.now.Before(w.grantsExpireAt) {
		return
	}
	var lapsed []*runState
	for _, r := range w.runs {
		if !o.now.Before(o.lateStartExpiresAt(r)) {
			lapsed = append(lapsed, r)
		}
	}
	if len(lapsed) == 0 {
		return
	}
	o.log.Info("worker: all that ran there has lapsed", zap.String("worker", string(w.entry.ID)), w.incarnationField(),
		ageField("silent", o.now, w.silentSince), zap.Int("runs", len(lapsed)), zap.Int("unclear", len(w.runs)-len(lapsed)), w.answerAgeField(o.now))
	w.stateKnown = false
	o.attributeCrash(w, lapsed, false)
	for _, r := range lapsed {
		o.runGone(r, "lapsed on a silent worker")
	}
	o.placeRequested = true
}

// mayHaveInheritedRuns reports whether runs of the previous owner may be on workers that have not
// answered.
func (o *Owner) mayHaveInheritedRuns() bool {
	if !o.machineListRead && o.now.Before(o.inheritedExpireAt()) {
		o.machineCache.RequestRefresh(o.now)
		return true
	}
	for _, w := range o.workers {
		if w.mayHaveInheritedRuns {
			return true
		}
	}
	return o.inheritedInDoubt()
}
