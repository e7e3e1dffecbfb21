package standin

import tw "github.com/tamarindworks/tamarindworks"

// Kill terminates a worker with all its runs and its withheld orders.
func (f *Fleet) Kill(id tw.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	f.advance(w)
	w.terminate()
}

// terminate marks a worker dead and drops its runs and withheld orders.
func (w *SimWorker) terminate() {
	w.dead = true
	w.runs = map[tw.SubtaskID]*simRun{}
	w.lateOrders = nil
	w.notifyChanged()
}

// RestartWithNewID replaces a worker by one with a new ID at the same address, as after a
// crash and restart. It returns the new worker's entry.
func (f *Fleet) RestartWithNewID(id, next tw.WorkerID) tw.WorkerEntry {
	return f.replaceWorker(id, func(entry *tw.WorkerEntry) { entry.ID = next })
}

// Restart replaces a worker by one with the same ID and address and a new start time. It
// returns the new worker's entry.
func (f *Fleet) Restart(id tw.WorkerID, startTime tw.WorkerStartTime) tw.WorkerEntry {
	return f.replaceWorker(id, func(entry *tw.WorkerEntry) { entry.StartTime = startTime })
}

// RestartWithClock is Restart with another reading of the new worker's clock at its start. The clock of a
// restarted worker may be ahead of that of the previous incarnation, or behind it.
func (f *Fleet) RestartWithClock(id tw.WorkerID, startTime tw.WorkerStartTime, clock tw.WorkerTime) tw.WorkerEntry {
	entry := f.Restart(id, startTime)
	f.UpdateWorker(id, func(w *SimWorker) { w.bootClock = clock })
	return entry
}

// replaceWorker kills a worker and adds one with its entry, modified by change.
func (f *Fleet) replaceWorker(id tw.WorkerID, change func(entry *tw.WorkerEntry)) tw.WorkerEntry {
	f.Kill(id)
	f.mu.Lock()
	entry := f.workers[id].Entry
	f.mu.Unlock()
	change(&entry)
	f.Add(entry)
	return entry
}

// hasLiveWorkerAt reports whether a live worker listens at an address.
func (f *Fleet) hasLiveWorkerAt(address string) bool {
	for _, w := range f.workers {
		if !w.dead && w.Entry.Address == address {
			return true
		}
	}
	return false
}
