package control

import (
	"encoding/json"
	"sync"

	tw "github.com/tamarindworks/tamarindworks"
)

// localState holds the newest configuration, plan and instance list that a daemon
// has received from any source. An older version never replaces a newer one.
type localState struct {
	mu          sync.Mutex
	configBody  json.RawMessage
	config      *tw.FleetConfig
	revision    tw.Revision
	behind      bool // the last read of the store returned an older configuration
	planBody    json.RawMessage
	plan        *tw.Plan
	list        tw.InstanceSnapshot
	hasList     bool
	registered  bool          // the daemon is in the roster
	planFresh   bool          // the plan was read from the store after registering
	viewChanged chan struct{} // wakes the install loop; capacity 1
	plannerWake chan struct{} // wakes the planner; capacity 1
}

func newLocalState() *localState {
	return &localState{viewChanged: make(chan struct{}, 1), plannerWake: make(chan struct{}, 1)}
}

// updateConfig stores a configuration if it is newer, and reports whether it was.
func (s *localState) updateConfig(body json.RawMessage) (bool, error) {
	accepted, config, err := parseAccepted(body)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if accepted.Revision <= s.revision {
		return false, nil
	}
	s.configBody, s.config, s.revision = body, config, accepted.Revision
	s.notifyInstaller()
	notify(s.plannerWake)
	return true, nil
}

// observeStoredRevision records the revision that the store has.
func (s *localState) observeStoredRevision(revision tw.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behind = revision < s.revision
	if s.behind {
		notify(s.plannerWake)
	}
}

// isStoreBehind reports whether the store has an older configuration.
func (s *localState) isStoreBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind
}

// updatePlan stores a plan if it is newer, and reports whether it was. A plan of the
// same generation with a higher epoch, as planner.fence writes it, is also newer. If a
// daemon ignored such a plan and became planner after the store had lost its leases,
// loadPlan would find a higher epoch in the store than the daemon knows, and conclude
// that the daemon has lost the lease.
func (s *localState) updatePlan(body json.RawMessage) (bool, error) {
	plan := &tw.Plan{}
	if err := json.Unmarshal(body, plan); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan != nil && !plan.NewerThan(s.plan) {
		return false, nil
	}
	s.planBody, s.plan = body, plan
	s.notifyInstaller()
	return true, nil
}

// updateList stores an instance list if it is newer, and reports whether it was.
func (s *localState) updateList(list tw.InstanceSnapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasList && list.Version <= s.list.Version {
		return false
	}
	s.list, s.hasList = list, true
	s.notifyInstaller()
	notify(s.plannerWake)
	return true
}

// setRegistered records whether the daemon is in the roster. The plan must be read
// from the store after registering: a plan received before may be older than a
// handover that did not wait for this daemon.
func (s *localState) setRegistered(registered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registered, s.planFresh = registered, false
	s.notifyInstaller()
}

// markPlanFresh records that the store's plan was read after registering.
func (s *localState) markPlanFresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registered && !s.planFresh {
		s.planFresh = true
		s.notifyInstaller()
	}
}

// notifyInstaller wakes the install loop.
func (s *localState) notifyInstaller() { notify(s.viewChanged) }

// notify sends to a channel of capacity 1 unless it is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// view returns the current view without Hall, Self, Members and Remote, which the
// caller adds.
func (s *localState) view() tw.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := tw.View{
		Revision:   s.revision,
		Config:     s.config,
		Plan:       s.plan,
		Registered: s.registered && s.planFresh,
		Leaving:    map[tw.InstanceID]bool{},
	}
	for _, in := range s.list.Instances {
		if in.Phase == tw.PhaseLeaving {
			view.Leaving[in.ID] = true
		}
	}
	return view
}

func (s *localState) currentRevision() tw.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *localState) currentGeneration() tw.Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan == nil {
		return 0
	}
	return s.plan.Generation
}

func (s *localState) documents() (config, plan json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configBody, s.planBody
}

func (s *localState) instances() (tw.InstanceSnapshot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list, s.hasList
}
