package control

import (
	"encoding/json"
	"sync"

	tw "github.com/tamarindworks/tamarindworks"
)

// localState is the newest configuration, plan and instance list that a daemon
// has seen. Nothing older ever replaces anything newer, wherever it is from.
type localState struct {
	mu         sync.Mutex
	configBody json.RawMessage
	config     *tw.FleetConfig
	revision   tw.Revision
	behind     bool // the store showed an older configuration last
	planBody   json.RawMessage
	plan       *tw.Plan
	list       tw.InstanceSnapshot
	hasList    bool
	// registered and fresh: the daemon is in the roster, and has read the
	// plan from the store since.
	registered  bool
	planFresh   bool
	viewChanged chan struct{} // holds one token, for the installer
	plannerWake chan struct{} // holds one token, for the planner
}

func newLocalState() *localState {
	return &localState{viewChanged: make(chan struct{}, 1), plannerWake: make(chan struct{}, 1)}
}

// updateConfig takes a configuration if it is newer; it tells whether it was.
func (k *localState) updateConfig(body json.RawMessage) (bool, error) {
	accepted, config, err := parseAccepted(body)
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if accepted.Revision <= k.revision {
		return false, nil
	}
	k.configBody, k.config, k.revision = body, config, accepted.Revision
	k.notifyInstaller()
	notify(k.plannerWake)
	return true, nil
}

// observeStoredRevision notes which revision the store has.
func (k *localState) observeStoredRevision(revision tw.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.behind = revision < k.revision
	if k.behind {
		notify(k.plannerWake)
	}
}

// isStoreBehind tells whether the store has an older configuration.
func (k *localState) isStoreBehind() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.behind
}

// updatePlan takes a plan if it is newer. One of the same generation and a higher
// epoch is a planner's fence: who does not know its epoch takes itself for deposed
// when it plans next, after the store has forgotten its leases.
func (k *localState) updatePlan(body json.RawMessage) (bool, error) {
	plan := &tw.Plan{}
	if err := json.Unmarshal(body, plan); err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.plan != nil && !plan.NewerThan(k.plan) {
		return false, nil
	}
	k.planBody, k.plan = body, plan
	k.notifyInstaller()
	return true, nil
}

// updateList takes an instance list if it is newer; it tells whether it was.
func (k *localState) updateList(list tw.InstanceSnapshot) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasList && list.Version <= k.list.Version {
		return false
	}
	k.list, k.hasList = list, true
	k.notifyInstaller()
	notify(k.plannerWake)
	return true
}

// setRegistered notes that the daemon is in the roster. The plan must be read from
// the store after that: what was learned before may be older than a handover
// that no longer waits for this daemon.
func (k *localState) setRegistered(in bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.registered, k.planFresh = in, false
	k.notifyInstaller()
}

// markPlanFresh notes that the store's plan was read after registering.
func (k *localState) markPlanFresh() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.registered && !k.planFresh {
		k.planFresh = true
		k.notifyInstaller()
	}
}

// notifyInstaller wakes the installer.
func (k *localState) notifyInstaller() { notify(k.viewChanged) }

// notify puts one token into a channel that may have it already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// view is what is known; who the members are is for the caller to add.
func (k *localState) view() tw.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	view := tw.View{
		Revision:   k.revision,
		Config:     k.config,
		Plan:       k.plan,
		Registered: k.registered && k.planFresh,
		Leaving:    map[tw.InstanceID]bool{},
	}
	for _, in := range k.list.Instances {
		if in.Phase == tw.PhaseLeaving {
			view.Leaving[in.ID] = true
		}
	}
	return view
}

func (k *localState) currentRevision() tw.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

func (k *localState) currentGeneration() tw.Generation {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.plan == nil {
		return 0
	}
	return k.plan.Generation
}

func (k *localState) documents() (config, plan json.RawMessage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.configBody, k.planBody
}

func (k *localState) instances() (tw.InstanceSnapshot, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list, k.hasList
}
