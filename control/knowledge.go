package control

import (
	"encoding/json"
	"sync"

	tw "github.com/tamarindworks/tamarindworks"
)

// knowledge is the newest configuration, plan and instance list that a daemon
// has seen. Nothing older ever replaces anything newer, wherever it is from.
type knowledge struct {
	mu         sync.Mutex
	configBody json.RawMessage
	config     *tw.FleetConfig
	revision   tw.Revision
	behind     bool // the store showed an older configuration last
	planBody   json.RawMessage
	plan       *tw.Plan
	list       tw.InstanceSnapshot
	listed     bool
	// registered and fresh: the daemon is in the roster, and has read the
	// plan from the store since.
	registered bool
	fresh      bool
	changed    chan struct{} // holds one token, for the installer
	news       chan struct{} // holds one token, for the planner
}

func newKnowledge() *knowledge {
	return &knowledge{changed: make(chan struct{}, 1), news: make(chan struct{}, 1)}
}

// offerConfig takes a configuration if it is newer; it tells whether it was.
func (k *knowledge) offerConfig(body json.RawMessage) (bool, error) {
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
	k.signal()
	token(k.news)
	return true, nil
}

// seeStored notes which revision the store has.
func (k *knowledge) seeStored(revision tw.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.behind = revision < k.revision
	if k.behind {
		token(k.news)
	}
}

// storeBehind tells whether the store has an older configuration.
func (k *knowledge) storeBehind() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.behind
}

// offerPlan takes a plan if it is newer. One of the same generation and a higher
// epoch is a planner's fence: who does not know its epoch takes itself for deposed
// when it plans next, after the store has forgotten its leases.
func (k *knowledge) offerPlan(body json.RawMessage) (bool, error) {
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
	k.signal()
	return true, nil
}

// offerList takes an instance list if it is newer; it tells whether it was.
func (k *knowledge) offerList(list tw.InstanceSnapshot) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listed && list.Version <= k.list.Version {
		return false
	}
	k.list, k.listed = list, true
	k.signal()
	token(k.news)
	return true
}

// register notes that the daemon is in the roster. The plan must be read from
// the store after that: what was learned before may be older than a handover
// that no longer waits for this daemon.
func (k *knowledge) register(in bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.registered, k.fresh = in, false
	k.signal()
}

// refreshed notes that the store's plan was read after registering.
func (k *knowledge) refreshed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.registered && !k.fresh {
		k.fresh = true
		k.signal()
	}
}

// signal wakes the installer.
func (k *knowledge) signal() { token(k.changed) }

// token puts one token into a channel that may have it already.
func token(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// view is what is known; who the members are is for the caller to add.
func (k *knowledge) view() tw.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	view := tw.View{
		Revision:   k.revision,
		Config:     k.config,
		Plan:       k.plan,
		Registered: k.registered && k.fresh,
		Leaving:    map[tw.InstanceID]bool{},
	}
	for _, in := range k.list.Instances {
		if in.Phase == tw.PhaseLeaving {
			view.Leaving[in.ID] = true
		}
	}
	return view
}

func (k *knowledge) revisionNow() tw.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

func (k *knowledge) generationNow() tw.Generation {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.plan == nil {
		return 0
	}
	return k.plan.Generation
}

func (k *knowledge) documents() (config, plan json.RawMessage) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.configBody, k.planBody
}

func (k *knowledge) instances() (tw.InstanceSnapshot, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.list, k.listed
}
