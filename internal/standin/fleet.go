package standin

import (
	"slices"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Profile is how a subtask behaves on any worker.
	Profile struct {
		Need     tw.Resources
		Duration time.Duration
		// Fails is whether each run fails at its end.
		Fails bool
		// Hangs is whether each run makes no progress.
		Hangs bool
		// Crashes is whether each run brings its worker down soon after its start.
		Crashes     bool
		LongRunning bool
		AllowCopies bool
		// LatencySensitive users of its own, Fills takes what others leave and disturbs
		// those that serve.
		LatencySensitive, Filler bool
		Gang                     int // members; 0 for none
		// After are subtasks that must be done before this one starts.
		After []tw.SubtaskID
		// MaxAttempts bounds the failed runs; 0 for no bound.
		MaxAttempts int
		// Organisation is whose work it is; its cap bounds what runs on all workers.
		Organisation tw.OrganisationID
	}

	// FleetConfig configures a Fleet.
	FleetConfig struct {
		Clock tw.Clock
		// Latency passes before each answer.
		Latency time.Duration
		// MaxHold bounds how far an order prolongs what runs.
		MaxHold time.Duration
		// StopTime is how long a stop takes.
		StopTime time.Duration
		// StartupTime is how long a lasting subtask takes to be at work.
		StartupTime time.Duration
		// EvacuationGrace is for how long work may be started in a hall after its evacuation
		// was asked for.
		EvacuationGrace time.Duration
	}

	// Fleet is a set of workers that run subtasks by the clock. It implements
	// tw.WorkerOrders and notes every promise that is broken.
	Fleet struct {
		config FleetConfig

		mu       sync.Mutex
		workers  map[tw.WorkerID]*SimWorker
		profiles map[tw.SubtaskID]Profile
		// done are the subtasks of which a run has ended so, noted those of
		// which the caller has confirmed that end.
		done, acked map[tw.SubtaskID]bool
		failures    map[tw.SubtaskID]int
		crashes     map[tw.SubtaskID]crashCount
		// crashed are workers that a run has brought down since Crashed was called.
		crashed []tw.WorkerEntry
		// storeFaulty: the store is disturbed; disturbedAt is when it last was.
		storeFaulty   bool
		storeFaultyAt time.Time
		violations    []string
		starts        int
		// everStarted are the submissions of which anything was ever started.
		everStarted map[tw.SubmissionID]bool
		// evacuated are the halls that are to be left alone, since when.
		evacuated map[tw.HallID]time.Time
		// caps bound what of an organisation may run on all workers together.
		caps map[tw.OrganisationID]tw.Resources
	}

	// SimWorker is one life of a worker.
	SimWorker struct {
		Entry tw.WorkerEntry
		// Silent workers answer nothing, but go on with what runs.
		Silent bool
		// LateStarts: the next n starts get no answer and wait for DoLate.
		LateStarts int
		// FailAll: whatever starts here fails.
		FailAll bool
		// Hang: what runs here makes no progress.
		Hang bool
		// TailLatency is the tail latency of what serves here, Disturbance what a filler
		// at its full pace adds to it.
		TailLatency, FillerInterference time.Duration

		// previousCapacity is what it had before it shrank; that counts until roomUntil.
		previousCapacity      tw.Resources
		previousCapacityUntil time.Time

		bootedAt time.Time
		fence    tw.FencingToken
		deadline time.Time
		runs     map[tw.SubtaskID]*simRun
		ended    []tw.EndedSubtask
		// restartedAfter are the ends as done after which the subtask was started once more,
		// by sequence.
		restartedAfter map[int64]bool
		sequence       int64
		// expiredUpTo is the last end that came before the worker's grants ran out:
		// whoever grants may take what it was not told of for lost from then on.
		expiredUpTo int64
		// closedRuns is the highest run of a subtask that was stopped or ended.
		closedRuns map[tw.SubtaskID]tw.RunNumber
		lateOrders []tw.StartOrder
		changed    chan struct{}
		dead       bool
		// connReset: it is dead, and its address refuses connections; else it is silent.
		connReset bool
	}

	// crashCount is what became of the runs of a subtask that crashes its workers.
	crashCount struct {
		workers int // that have crashed under it
		starts  int // after the last crash that its promise is about
	}

	simRun struct {
		run     tw.RunNumber
		started time.Time
		profile Profile
		stopAt  time.Time // zero if it was not told to stop
		pace    int
	}
)

// New makes a fleet without workers.
func (c FleetConfig) New() *Fleet {
	if c.Clock == nil {
		c.Clock = tw.SystemClock{}
	}
	return &Fleet{
		config: c, workers: map[tw.WorkerID]*SimWorker{}, profiles: map[tw.SubtaskID]Profile{},
		done: map[tw.SubtaskID]bool{}, acked: map[tw.SubtaskID]bool{}, failures: map[tw.SubtaskID]int{},
		everStarted: map[tw.SubmissionID]bool{}, caps: map[tw.OrganisationID]tw.Resources{}, crashes: map[tw.SubtaskID]crashCount{},
		evacuated: map[tw.HallID]time.Time{},
	}
}

// Add starts a worker.
func (f *Fleet) Add(entry tw.WorkerEntry) *SimWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &SimWorker{
		Entry: entry, bootedAt: f.config.Clock.Now(), runs: map[tw.SubtaskID]*simRun{},
		restartedAfter: map[int64]bool{}, closedRuns: map[tw.SubtaskID]tw.RunNumber{}, changed: make(chan struct{}),
	}
	f.workers[entry.ID] = w
	return w
}

// Set changes a worker's behaviour.
func (f *Fleet) Set(id tw.WorkerID, change func(w *SimWorker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	f.advance(w) // what happened before the change stays as it was
	change(w)
}

// shrinkGrace is how long starts may count on the room that a worker had before it shrank:
// until its next account of itself, and as long as its callers may lag behind that.
const shrinkGrace = storeRecoveryTime + 1500*time.Millisecond

// Resize changes what a worker has.
func (f *Fleet) Resize(id tw.WorkerID, capacity tw.Resources) tw.WorkerEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if !capacity.Fits(w.Entry.Capacity) {
		w.previousCapacity, w.previousCapacityUntil = w.Entry.Capacity, f.config.Clock.Now().Add(shrinkGrace)
	}
	w.Entry.Capacity = capacity
	return w.Entry
}

// SetEvacuated has exactly these halls evacuated.
func (f *Fleet) SetEvacuated(halls []tw.HallID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.evacuated
	f.evacuated = map[tw.HallID]time.Time{}
	for _, hall := range halls {
		since, already := before[hall]
		if !already {
			since = f.config.Clock.Now()
		}
		f.evacuated[hall] = since
	}
}

// SetCap bounds what of an organisation may run, from now on.
func (f *Fleet) SetCap(id tw.OrganisationID, limit tw.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.caps[id] = limit
}

// Usage is what of an organisation runs on living workers.
func (f *Fleet) Usage(id tw.OrganisationID) tw.Resources {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usage(id)
}

func (f *Fleet) usage(id tw.OrganisationID) tw.Resources {
	var out tw.Resources
	for _, w := range f.workers {
		f.advance(w)
		for _, r := range w.runs {
			if r.profile.Organisation == id {
				out = out.Plus(r.profile.Need)
			}
		}
	}
	return out
}

// RegisterSubmission tells how a submission's subtasks behave.
func (f *Fleet) RegisterSubmission(s *tw.Submission, profile func(id tw.SubtaskID, p *Profile)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range s.Repetitions() {
		for i := range s.Steps {
			for n := range s.Steps[i].Count {
				id := tw.SubtaskID{Submission: s.ID, Repetition: k, Step: i, Index: n}
				f.profiles[id] = f.profileOf(s, id, profile)
			}
		}
	}
}

func (f *Fleet) profileOf(s *tw.Submission, id tw.SubtaskID, change func(tw.SubtaskID, *Profile)) Profile {
	step := &s.Steps[id.Step]
	p := Profile{
		Need: step.Reservation(), Duration: step.Estimate, LongRunning: step.LongRunning, AllowCopies: step.AllowCopies, MaxAttempts: s.Policy.Attempts,
		LatencySensitive: step.TailTarget > 0, Filler: step.Filler, Organisation: s.Organisation,
	}
	if step.LongRunning {
		p.MaxAttempts = 0
	}
	if step.Gang {
		p.Gang = step.Count
	}
	for _, earlier := range step.After {
		for n := range s.Steps[earlier].Count {
			p.After = append(p.After, tw.SubtaskID{Submission: s.ID, Repetition: id.Repetition, Step: earlier, Index: n})
		}
	}
	if change != nil {
		change(id, &p)
	}
	return p
}

// DeliverLateStarts carries out the starts that got no answer.
func (f *Fleet) DeliverLateStarts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for _, order := range w.lateOrders {
			_, _ = f.start(w, order, true) // nobody waits for the answer
		}
		w.lateOrders = nil
	}
}

// Violations lists the promises that were broken.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Starts counts the runs that began.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// EverStarted tells whether any subtask of a submission was ever started.
func (f *Fleet) EverStarted(id tw.SubmissionID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.everStarted[id]
}

// Active counts the runs of a submission on living workers.
func (f *Fleet) Active(id tw.SubmissionID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		f.advance(w)
		for subtask := range w.runs {
			if subtask.Submission == id {
				n++
			}
		}
	}
	return n
}

// TailLatencyOn is the tail latency of what serves on a worker, and the highest pace,
// in percent, of the fillers beside it.
func (f *Fleet) TailLatencyOn(id tw.WorkerID) (tail time.Duration, pace int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	return w.tailLatency(), w.fillerPace()
}

// Running counts the runs of a subtask on living workers.
func (f *Fleet) Running(id tw.SubtaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running(id)
}

// RunningOn lists the workers on which a subtask runs.
func (f *Fleet) RunningOn(id tw.SubtaskID) []tw.WorkerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []tw.WorkerID
	for _, w := range f.workers {
		f.advance(w)
		if w.runs[id] != nil {
			out = append(out, w.Entry.ID)
		}
	}
	return out
}

// Ready tells whether a lasting subtask runs and has been started up.
func (f *Fleet) Ready(id tw.SubtaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Clock.Now()
	for _, w := range f.workers {
		f.advance(w)
		if r := w.runs[id]; r != nil && w.percent(f, r, now) > 0 {
			return true
		}
	}
	return false
}

// Done tells whether a run of a subtask has ended so.
func (f *Fleet) Done(id tw.SubtaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		f.advance(w)
	}
	return f.done[id]
}

func (f *Fleet) running(id tw.SubtaskID) int {
	n := 0
	for _, w := range f.workers {
		f.advance(w)
		if w.runs[id] != nil {
			n++
		}
	}
	return n
}
