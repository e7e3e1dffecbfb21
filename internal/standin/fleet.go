package standin

import (
	"slices"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Profile describes how the runs of a subtask behave.
	Profile struct {
		Need     tw.Resources
		Duration time.Duration
		// Fails makes each run fail at its end.
		Fails bool
		// Hangs makes each run report no progress and never end by itself. It does not
		// affect long-running subtasks.
		Hangs bool
		// Crashes makes each run crash its worker shortly after its start.
		Crashes     bool
		LongRunning bool
		AllowCopies bool
		// LatencySensitive runs serve requests and report their tail latency.
		// Filler runs use idle capacity and raise the tail latency of those beside them.
		LatencySensitive, Filler bool
		Gang                     int // members; 0 if it is not a gang
		// After lists subtasks that must be done before this one starts.
		After []tw.SubtaskID
		// MaxAttempts limits the failed runs; 0 means no limit.
		MaxAttempts int
		// Organisation owns the work; its cap limits the resources used on all workers.
		Organisation tw.OrganisationID
	}

	// FleetConfig configures a Fleet.
	FleetConfig struct {
		Clock tw.Clock
		// Latency delays each order.
		Latency time.Duration
		// MaxHold limits how far into the future an order can extend the deadline of the
		// runs on a worker.
		MaxHold time.Duration
		// StopTime is how long a run takes to stop.
		StopTime time.Duration
		// StartupTime is how long a long-running subtask takes to become ready.
		StartupTime time.Duration
		// EvacuationGrace is how long starts in a hall are still allowed after its
		// evacuation was requested.
		EvacuationGrace time.Duration
	}

	// Fleet simulates workers that run subtasks. It implements tw.WorkerOrders and
	// records every violated invariant.
	Fleet struct {
		config FleetConfig

		mu       sync.Mutex
		workers  map[tw.WorkerID]*SimWorker
		profiles map[tw.SubtaskID]Profile
		// done holds the subtasks with a run that ended with tw.EndDone. acked holds those
		// for which a caller has acknowledged such an end.
		done, acked map[tw.SubtaskID]bool
		failures    map[tw.SubtaskID]int
		crashes     map[tw.SubtaskID]crashCount
		// crashed lists the workers that have crashed since the last TakeCrashed.
		crashed []tw.WorkerEntry
		// storeFaulty is set while the store has injected faults; storeFaultyAt is when
		// it last had any.
		storeFaulty   bool
		storeFaultyAt time.Time
		// cancelled holds when a cancel of a submission was confirmed.
		cancelled map[tw.SubmissionID]time.Time
		// disturbedAt is until when callers may have been kept from stopping any runs.
		disturbedAt time.Time
		violations  []string
		starts      int
		// everStarted holds the submissions of which any subtask was ever started.
		everStarted map[tw.SubmissionID]bool
		// evacuated maps each evacuated hall to the start of its evacuation.
		evacuated map[tw.HallID]time.Time
		// lost are the orders that get no answer.
		lost LostOrders
		// caps limit the resources that an organisation uses on all workers together.
		caps map[tw.OrganisationID]tw.Resources
	}

	// SimWorker is one incarnation of a worker.
	SimWorker struct {
		Entry tw.WorkerEntry
		// Silent workers answer no orders, but their runs continue.
		Silent bool
		// LateStarts is how many of the next starts get no answer and wait for
		// DeliverLateStarts.
		LateStarts int
		// FailAll makes every run on this worker fail.
		FailAll bool
		// Hang makes every run on this worker report no progress and never end by itself. It
		// does not affect long-running subtasks.
		Hang bool
		// TailLatency is that of the latency-sensitive runs on this worker while no filler
		// runs there. FillerInterference is what a filler at full pace adds to it.
		TailLatency, FillerInterference time.Duration

		// previousCapacity is the capacity before it shrank. Starts are checked against it
		// until previousCapacityUntil.
		previousCapacity      tw.Resources
		previousCapacityUntil time.Time

		bootedAt time.Time
		// bootClock is the reading of its clock at its start.
		bootClock tw.WorkerTime
		fence     tw.FencingToken
		deadline  time.Time
		runs      map[tw.SubtaskID]*simRun
		ended     []tw.EndedSubtask
		// restartedAfter holds the sequence numbers of those ends with tw.EndDone after
		// which the subtask was started again.
		restartedAfter map[int64]bool
		sequence       int64
		// expiredUpTo is the sequence number of the last end when the worker's deadline
		// passed. From then on, the caller may treat the ends up to this one that it has
		// not received as lost.
		expiredUpTo int64
		// closedRuns is the highest run number of each subtask that was stopped or has
		// ended; later starts must have a higher one.
		closedRuns map[tw.SubtaskID]tw.RunNumber
		lateOrders []tw.StartOrder
		changed    chan struct{}
		dead       bool
		// disturbedAt is until when callers may have been kept from stopping its runs.
		disturbedAt time.Time
		// connReset is set if a dead worker's address resets connections instead of
		// giving no answer.
		connReset bool
	}

	// crashCount counts the crashes and starts of a subtask that crashes its workers.
	crashCount struct {
		workers int // that crashed while they ran the subtask
		starts  int // after crashLimit crashes, while callers were in contact with the store
	}

	simRun struct {
		run     tw.RunNumber
		started time.Time
		profile Profile
		stopAt  time.Time // zero if no stop was ordered
		pace    int
		// outlivedCancel: a violation was recorded as it went on after its cancel.
		outlivedCancel bool
	}
)

// New returns a Fleet without workers.
func (c FleetConfig) New() *Fleet {
	if c.Clock == nil {
		c.Clock = tw.SystemClock{}
	}
	return &Fleet{
		config: c, workers: map[tw.WorkerID]*SimWorker{}, profiles: map[tw.SubtaskID]Profile{},
		done: map[tw.SubtaskID]bool{}, acked: map[tw.SubtaskID]bool{}, failures: map[tw.SubtaskID]int{},
		everStarted: map[tw.SubmissionID]bool{}, cancelled: map[tw.SubmissionID]time.Time{}, caps: map[tw.OrganisationID]tw.Resources{}, crashes: map[tw.SubtaskID]crashCount{},
		evacuated: map[tw.HallID]time.Time{},
	}
}

// Add starts a worker.
func (f *Fleet) Add(entry tw.WorkerEntry) *SimWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &SimWorker{
		Entry: entry, bootedAt: f.config.Clock.Now(), bootClock: defaultBootClock, runs: map[tw.SubtaskID]*simRun{},
		restartedAfter: map[int64]bool{}, closedRuns: map[tw.SubtaskID]tw.RunNumber{}, changed: make(chan struct{}),
	}
	f.workers[entry.ID] = w
	return w
}

// UpdateWorker changes a worker's behaviour from now on.
func (f *Fleet) UpdateWorker(id tw.WorkerID, change func(w *SimWorker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	f.advance(w) // events before the change follow the old behaviour
	change(w)
}

// shrinkGrace is how long starts may still rely on the capacity that a worker had before
// it shrank: until the worker writes its next store entry, plus the time that callers may
// take to read this entry.
const shrinkGrace = storeRecoveryTime + 1500*time.Millisecond

// Resize changes a worker's capacity.
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

// SetEvacuated replaces the set of evacuated halls.
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

// SetCap sets an organisation's resource cap.
func (f *Fleet) SetCap(id tw.OrganisationID, limit tw.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.caps[id] = limit
}

// Usage returns the resources that an organisation's runs use on live workers.
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

// RegisterSubmission sets the profiles of a submission's subtasks, each derived from its
// step and then changed by profile, if not nil.
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

// DeliverLateStarts executes the starts withheld by LateStarts.
func (f *Fleet) DeliverLateStarts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for _, order := range w.lateOrders {
			_, _ = f.start(w, order, true) // the caller has already got an ambiguous result
		}
		w.lateOrders = nil
	}
}

// Violations returns the recorded violations of invariants.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		f.advance(w)
	}
	return slices.Clone(f.violations)
}

// Starts returns the number of runs started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// EverStarted reports whether any subtask of a submission was ever started.
func (f *Fleet) EverStarted(id tw.SubmissionID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.everStarted[id]
}

// SubmissionRuns returns the number of a submission's runs on live workers.
func (f *Fleet) SubmissionRuns(id tw.SubmissionID) int {
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

// TailLatencyOn returns the tail latency of the latency-sensitive runs on a worker and the
// highest pace, in percent, of the fillers there.
func (f *Fleet) TailLatencyOn(id tw.WorkerID) (tail time.Duration, pace int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	return w.tailLatency(), w.fillerPace()
}

// SubtaskRuns returns the number of a subtask's runs on live workers.
func (f *Fleet) SubtaskRuns(id tw.SubtaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running(id)
}

// RunningOn returns the workers on which a subtask runs.
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

// Ready reports whether a long-running subtask runs and has finished its startup.
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

// Done reports whether a run of a subtask has ended as done.
func (f *Fleet) Done(id tw.SubtaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		f.advance(w)
	}
	return f.done[id]
}
