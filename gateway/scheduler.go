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
	// scheduler assigns requests to slots of instances. One lock covers the
	// view, the choice of an instance and the counters, so that after Install
	// no slot is granted under an older view.
	scheduler struct {
		clock tw.Clock

		mu           sync.Mutex
		rand         *rand.Rand
		view         tw.View
		instances    map[tw.InstanceID]*instanceState
		jobs         map[tw.JobID]*jobState
		classPass    map[tw.Class]float64 // stride scheduling: lowest is served next
		virtualTime  float64              // pass of the class served last
		teamRequests map[tw.TeamID]int    // requests in flight and queued
		lastSeq      uint64
		running      int
	}

	// slotRequest describes the slot that a request needs.
	slotRequest struct {
		job      tw.JobID
		class    tw.Class
		team     tw.TeamID
		deadline time.Time
		tried    map[tw.InstanceID]bool
	}

	// grant is a slot held on an instance.
	grant struct {
		instance *instanceState
		address  string // of the instance when the slot was granted
		req      slotRequest
		start    time.Time
		once     sync.Once
	}

	// jobState holds the instances, queues and load statistics of one job.
	jobState struct {
		id             tw.JobID
		instances      []*instanceState
		queues         map[tw.Class]*fairQueue
		serviceSeconds map[tw.Class]float64 // moving average of the time in a slot
		// arrivals counts the requests within their team's quota, admitted or
		// not.
		arrivals map[tw.Class]*eventWindow
	}
)

// classWeight divides slot time, not turns, between the classes that have
// waiters: with equal turns, long requests would get most of the slot time.
// Long requests keep a minimum share, so that they complete.
var classWeight = map[tw.Class]float64{tw.ClassQuick: 8, tw.ClassNormal: 4, tw.ClassLong: 1}

func newScheduler(cfg Config) *scheduler {
	return &scheduler{
		clock:        cfg.Clock,
		rand:         rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		instances:    map[tw.InstanceID]*instanceState{},
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
	// If no instance is known yet, this daemon is new, not the instances: they
	// need no slow start.
	since := s.clock.Now()
	if len(s.instances) == 0 {
		since = since.Add(-slowStart)
	}
	for _, w := range s.instances {
		w.ownSlots = 0
		clear(w.jobs)
	}
	for _, js := range s.jobs {
		js.instances = js.instances[:0]
	}
	if view.Registered && view.Plan != nil {
		for i := range view.Plan.Instances {
			s.installInstance(&view.Plan.Instances[i], since)
		}
	}
	for id, w := range s.instances {
		if w.ownSlots == 0 && w.inFlight == 0 {
			delete(s.instances, id)
		}
	}
	s.dispatchAll()
}

func (s *scheduler) installInstance(a *tw.Assignment, since time.Time) {
	if a.State != tw.InstanceServing || s.view.Leaving[a.Instance] {
		return
	}
	w := s.instances[a.Instance]
	if w == nil {
		w = &instanceState{
			id:      a.Instance,
			since:   since,
			jobs:    map[tw.JobID]bool{},
			perJob:  map[tw.JobID]*jobStats{},
			byClass: map[tw.Class]int{},
		}
		s.instances[a.Instance] = w
	}
	w.address = a.Address
	w.ownSlots = slotShare(s.view.Members, s.view.Self, a.Instance, a.Slots)
	for _, placement := range a.Jobs {
		if a.Serves(placement.Job) {
			w.jobs[placement.Job] = true
			js := s.jobStateFor(placement.Job)
			js.instances = append(js.instances, w)
		}
	}
}

func (s *scheduler) jobStateFor(job tw.JobID) *jobState {
	js := s.jobs[job]
	if js == nil {
		js = &jobState{
			id:             job,
			queues:         map[tw.Class]*fairQueue{},
			serviceSeconds: map[tw.Class]float64{},
			arrivals:       map[tw.Class]*eventWindow{},
		}
		for _, c := range tw.Classes {
			js.queues[c] = newFairQueue()
			js.arrivals[c] = &eventWindow{span: arrivalWindow, start: s.clock.Now()}
		}
		s.jobs[job] = js
	}
	return js
}

// acquire returns a slot, waits for one, or refuses at once.
func (s *scheduler) acquire(ctx context.Context, req slotRequest) (*grant, *Refusal) {
	s.mu.Lock()
	g, w, refusal := s.admit(req)
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

// abandon removes a waiter whose caller has gone or whose deadline has passed.
// A slot granted to it at the same moment is released.
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

// hasSlots reports whether this daemon has a slot on an instance that runs the
// job. With more daemons than slots, some daemons have none.
func (s *scheduler) hasSlots(job tw.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	js := s.jobs[job]
	return js != nil && js.hasSlots()
}

// hasUntried reports whether the job has an instance that is not in tried.
func (s *scheduler) hasUntried(job tw.JobID, tried map[tw.InstanceID]bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobStateFor(job).hasUntried(tried)
}

// servableJobs lists the jobs that this daemon has slots for.
func (s *scheduler) servableJobs() []tw.JobID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []tw.JobID
	for job, js := range s.jobs {
		if js.hasSlots() {
			out = append(out, job)
		}
	}
	slices.Sort(out)
	return out
}

func (js *jobState) hasSlots() bool {
	return slices.ContainsFunc(js.instances, func(w *instanceState) bool { return w.ownSlots > 0 })
}

// loads lists requests in flight and recently ended, by instance and job.
func (s *scheduler) loads() []tw.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out []tw.Load
	for _, w := range s.instances {
		for job, stats := range w.perJob {
			sum := stats.recent.sum(now)
			if stats.inFlight > 0 || sum != (counts{}) {
				out = append(out, tw.Load{Instance: w.id, Job: job, InFlight: stats.inFlight, OK: sum.ok, Failed: sum.failed})
			}
		}
	}
	return out
}

func (s *scheduler) demand() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.running
	for _, js := range s.jobs {
		n += js.waiting()
	}
	return n
}

// waiting returns the number of requests queued for the job.
func (js *jobState) waiting() int {
	n := 0
	for _, q := range js.queues {
		n += q.size
	}
	return n
}
