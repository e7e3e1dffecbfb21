package standin

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// crashDelay is how long a worker lives on after the start of a subtask that
	// brings it down.
	crashDelay = 8 * time.Millisecond
	// crashLimit and startsAfter bound the starts of such a subtask: after so many
	// crashes it must not be started so often more.
	crashLimit      = 3
	extraStartLimit = 3
	// storeRecoveryTime after a disturbance of the store its callers are in touch again; only
	// the starts of those that are count.
	storeRecoveryTime = 3 * time.Second
)

// SetStoreFaulty tells whether the store is disturbed, which it is not at first.
func (f *Fleet) SetStoreFaulty(is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if is || f.storeFaulty {
		f.storeFaultyAt = f.config.Clock.Now()
	}
	f.storeFaulty = is
}

// callersInContact tells whether starts count against the bound of crashing subtasks.
func (f *Fleet) callersInContact() bool {
	return !f.storeFaulty && f.config.Clock.Now().Sub(f.storeFaultyAt) >= storeRecoveryTime
}

// scheduleCrash brings a worker down under a run that has just begun.
func (f *Fleet) scheduleCrash(w *SimWorker, id tw.SubtaskID) {
	count := f.crashes[id]
	if count.workers >= crashLimit && f.callersInContact() {
		count.starts++
		f.crashes[id] = count
	}
	if count.starts >= extraStartLimit {
		f.addViolation("BUDGET: %s was started %d times more after %d workers had crashed under it", id, count.starts, crashLimit)
	}
	after := f.config.Clock.After(crashDelay)
	go func() {
		<-after
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crash(w)
	}()
}

// crash ends a worker's life, and its connections with it.
func (f *Fleet) crash(w *SimWorker) {
	if w.dead {
		return
	}
	f.advance(w)
	for id, r := range w.runs {
		if r.profile.Crashes {
			count := f.crashes[id]
			count.workers++
			f.crashes[id] = count
		}
	}
	f.crashed = append(f.crashed, w.Entry)
	w.connReset = true
	w.terminate()
}

// Crash ends a worker's life for a reason of its own.
func (f *Fleet) Crash(id tw.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crash(f.workers[id])
}

// TakeCrashed lists the workers that have crashed since it was last called.
func (f *Fleet) TakeCrashed() []tw.WorkerEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.crashed
	f.crashed = nil
	return out
}

// WorkersCrashedBy counts the workers that a subtask has brought down.
func (f *Fleet) WorkersCrashedBy(id tw.SubtaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[id].workers
}
