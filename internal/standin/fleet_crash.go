package standin

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// crashDelay is how long after the start of a crashing subtask its worker crashes.
	crashDelay = 8 * time.Millisecond
	// After crashLimit workers have crashed while they ran a subtask, fewer than
	// extraStartLimit further starts of this subtask are allowed.
	crashLimit      = 3
	extraStartLimit = 3
	// storeRecoveryTime is how long after a store fault callers may still be out of
	// contact with the store. Starts until then don't count towards extraStartLimit.
	storeRecoveryTime = 3 * time.Second
)

// SetStoreFaulty records whether the store has injected faults; initially it has none.
func (f *Fleet) SetStoreFaulty(faulty bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faulty || f.storeFaulty {
		f.storeFaultyAt = f.config.Clock.Now()
	}
	f.storeFaulty = faulty
}

// callersInContact reports whether the callers are in contact with the store again, so
// that starts count towards extraStartLimit.
func (f *Fleet) callersInContact() bool {
	return !f.storeFaulty && f.config.Clock.Now().Sub(f.storeFaultyAt) >= storeRecoveryTime
}

// scheduleCrash checks the start of a crashing subtask against extraStartLimit and crashes
// its worker crashDelay later.
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

// crash terminates a worker and resets its connections. The crash counts for every
// crashing subtask that runs there.
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

// Crash crashes a worker for a reason unrelated to its runs.
func (f *Fleet) Crash(id tw.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crash(f.workers[id])
}

// TakeCrashed returns the workers that have crashed since the last call.
func (f *Fleet) TakeCrashed() []tw.WorkerEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.crashed
	f.crashed = nil
	return out
}

// WorkersCrashedBy returns the number of workers that crashed while they ran a subtask that
// crashes its workers.
func (f *Fleet) WorkersCrashedBy(id tw.SubtaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[id].workers
}
