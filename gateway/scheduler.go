package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// scheduler gives requests to instances. One lock covers the view, the
	// choice and the counts, so that after Install nothing is newly given
	// under an older view.
	scheduler struct {
		clock tw.Clock

		mu           sync.Mutex
		rand         *rand.Rand
		view         tw.View
		workers      map[tw.InstanceID]*worker
		jobs         map[tw.JobID]*jobState
		classPass    map[tw.Class]float64 // what each class has paid for its turns
		virtualTime  float64              // pass of the last turn
		teamRequests map[tw.TeamID]int    // requests running and waiting
		lastSeq      uint64
		running      int
	}

	// slotRequest is a request for a slot.
	slotRequest struct {
		job      tw.JobID
		class    tw.Class
		team     tw.TeamID
		deadline time.Time
		tried    map[tw.InstanceID]bool
	}

	// grant is a slot on an instance.
	grant struct {
		worker  *worker
		address string // of the instance when the slot was given
		req     slotRequest
		start   time.Time
		once    sync.Once
	}

	// jobState is the queues of one job.
	jobState struct {
		id             tw.JobID
		workers        []*worker
		queues         map[tw.Class]*fairQueue
		serviceSeconds map[tw.Class]float64 // mean seconds in a slot
		// arrivals are all that asked, admitted or not.
		arrivals map[tw.Class]*eventWindow
	}
)

// classWeight is how the time of the slots is divided between classes that
// wait; by turns alone, long work would get most of it. Long work keeps a
// floor, so that it ends.
var classWeight = map[tw.Class]float64{tw.ClassQuick: 8, tw.ClassNormal: 4, tw.ClassLong: 1}

func newScheduler(cfg Config) *scheduler {
	return &scheduler{
		clock:        cfg.Clock,
		rand:         rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		workers:      map[tw.InstanceID]*worker{},
		jobs:         map[tw.JobID]*jobState{},
		classPass:    map[tw.Class]float64{},
		teamRequests: map[tw.TeamID]int{},
	}
}

// install replaces the view.
func (s *scheduler) install(view tw.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = view
	// When all is new it is the daemon that is, not the instances.
	since := s.clock.Now()
	if len(s.workers) == 0 {
		since = since.Add(-slowStart)
	}
	for _, w := range s.workers {
		w.ownSlots = 0
		clear(w.jobs)
	}
	for _, line := range s.jobs {
		line.workers = line.workers[:0]
	}
	if view.Registered && view.Plan != nil {
		for i := range view.Plan.Instances {
			s.installInstance(&view.Plan.Instances[i], since)
		}
	}
	for id, w := range s.workers {
		if w.ownSlots == 0 && w.inFlight == 0 {
			delete(s.workers, id)
		}
	}
	s.dispatchAll()
}

func (s *scheduler) installInstance(a *tw.Assignment, since time.Time) {
	if a.State != tw.InstanceServing || s.view.Leaving[a.Instance] {
		return
	}
	w := s.workers[a.Instance]
	if w == nil {
		w = &worker{
			id:      a.Instance,
			since:   since,
			jobs:    map[tw.JobID]bool{},
			perJob:  map[tw.JobID]*jobStats{},
			byClass: map[tw.Class]int{},
		}
		s.workers[a.Instance] = w
	}
	w.address = a.Address
	w.ownSlots = slotShare(s.view.Members, s.view.Self, a.Instance, a.Slots)
	for _, at := range a.Jobs {
		if a.Serves(at.Job) {
			w.jobs[at.Job] = true
			line := s.jobStateFor(at.Job)
			line.workers = append(line.workers, w)
		}
	}
}

func (s *scheduler) jobStateFor(job tw.JobID) *jobState {
	line := s.jobs[job]
	if line == nil {
		line = &jobState{
			id:             job,
			queues:         map[tw.Class]*fairQueue{},
			serviceSeconds: map[tw.Class]float64{},
			arrivals:       map[tw.Class]*eventWindow{},
		}
		for _, c := range tw.Classes {
			line.queues[c] = newFairQueue()
			line.arrivals[c] = &eventWindow{span: arrivalWindow, start: s.clock.Now()}
		}
		s.jobs[job] = line
	}
	return line
}

// acquire gets a slot, waits for one, or refuses at once.
func (s *scheduler) acquire(ctx context.Context, a slotRequest) (*grant, *Refusal) {
	s.mu.Lock()
	g, w, refusal := s.admit(a)
	s.mu.Unlock()
	if g != nil || refusal != nil {
		return g, refusal
	}
	select {
	case out := <-w.ready:
		return out.grant, out.refusal
	case <-ctx.Done():
		return nil, s.abandon(ctx, w)
	}
}

// abandon takes a waiter back whose caller or time has gone. It may have been
// granted a slot in the same moment.
func (s *scheduler) abandon(ctx context.Context, w *waiter) *Refusal {
	s.mu.Lock()
	s.removeWaiter(w)
	s.mu.Unlock()
	select {
	case out := <-w.ready:
		if out.grant != nil {
			s.release(out.grant, releaseUnused)
		}
	default:
	}
	if context.Cause(ctx) == context.DeadlineExceeded {
		return notRunRetryAfter(ReasonDeadlineQueued, retryAfterUpstream, "the deadline passed while the request waited")
	}
	return notRunRefusal(ReasonCallerGone, "")
}

// hasSlots tells whether this daemon can give the job to an instance itself: it
// has a slot of one. With more daemons than slots, some have none.
func (s *scheduler) hasSlots(job tw.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := s.jobs[job]
	return line != nil && line.hasSlots()
}

// hasUntried tells whether an instance is left for a retry.
func (s *scheduler) hasUntried(job tw.JobID, tried map[tw.InstanceID]bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobStateFor(job).hasUntried(tried)
}

// servableJobs lists the jobs within reach.
func (s *scheduler) servableJobs() []tw.JobID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []tw.JobID
	for job, line := range s.jobs {
		if line.hasSlots() {
			out = append(out, job)
		}
	}
	slices.Sort(out)
	return out
}

func (l *jobState) hasSlots() bool {
	return slices.ContainsFunc(l.workers, func(w *worker) bool { return w.ownSlots > 0 })
}

// loads lists what is in flight or ended of late.
func (s *scheduler) loads() []tw.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out []tw.Load
	for _, w := range s.workers {
		for job, t := range w.perJob {
			sum := t.recent.sum(now)
			if t.inFlight > 0 || sum != (counts{}) {
				out = append(out, tw.Load{Instance: w.id, Job: job, InFlight: t.inFlight, OK: sum.ok, Failed: sum.failed})
			}
		}
	}
	return out
}

func (s *scheduler) demand() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.running
	for _, line := range s.jobs {
		n += line.waiting()
	}
	return n
}

// waiting counts those who wait for the job.
func (l *jobState) waiting() int {
	n := 0
	for _, q := range l.queues {
		n += q.size
	}
	return n
}
