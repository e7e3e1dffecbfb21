package standin

import tw "github.com/tamarindworks/tamarindworks"

// Kill ends a worker's life with all that runs there, and with the orders that it
// has not carried out.
func (f *Fleet) Kill(id tw.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	f.advance(w)
	w.terminate()
}

// terminate ends a worker's life.
func (w *SimWorker) terminate() {
	w.dead = true
	w.runs = map[tw.SubtaskID]*simRun{}
	w.lateOrders = nil
	w.notifyChanged()
}

// RestartWithNewID ends a worker's life and starts the next one at the same address, as a
// worker does that crashes and starts again. It returns the new life's entry.
func (f *Fleet) RestartWithNewID(id, next tw.WorkerID) tw.WorkerEntry {
	return f.replaceWorker(id, func(entry *tw.WorkerEntry) { entry.ID = next })
}

// Restart does so under the worker's own id.
func (f *Fleet) Restart(id tw.WorkerID, born tw.WorkerStartTime) tw.WorkerEntry {
	return f.replaceWorker(id, func(entry *tw.WorkerEntry) { entry.StartTime = born })
}

// replaceWorker ends a worker's life and starts one whose entry differs by a change.
func (f *Fleet) replaceWorker(id tw.WorkerID, change func(entry *tw.WorkerEntry)) tw.WorkerEntry {
	f.Kill(id)
	f.mu.Lock()
	entry := f.workers[id].Entry
	f.mu.Unlock()
	change(&entry)
	f.Add(entry)
	return entry
}

// hasLiveWorkerAt tells whether a living worker listens at an address.
func (f *Fleet) hasLiveWorkerAt(address string) bool {
	for _, w := range f.workers {
		if !w.dead && w.Entry.Address == address {
			return true
		}
	}
	return false
}
