package fleet

import (
	"fmt"
	"maps"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
	"pgregory.net/rapid"
)

// simHall simulates a hall with arbitrary delays: planners act on old input, daemons
// on the plan they last fetched, and heartbeats arrive late. TestRandomEventOrder
// runs its steps in any order; they check the invariants.
type simHall struct {
	config    *tw.FleetConfig
	revision  tw.Revision
	stored    tw.Plan
	version   int // of stored
	roster    map[tw.DaemonID]tw.Incarnation
	instances map[tw.InstanceID]*tw.Instance
	tasks     map[tw.TaskID]tw.Task
	daemons   map[tw.DaemonID]*simDaemon
	planners  []*simPlanner
	requests  []simRequest
}

// simDaemon is a daemon with the plan that it last fetched.
type simDaemon struct {
	incarnation tw.Incarnation
	registered  bool // has registered and then read the plan
	plan        tw.Plan
	revision    tw.Revision
}

// simPlanner is a planner's input and the last heartbeats it received.
type simPlanner struct {
	version    int // of the plan read
	in         Input
	orders     *Orders
	heartbeats map[tw.DaemonID]simHeartbeat
}

type simHeartbeat struct {
	incarnation tw.Incarnation
	member      MemberStatus
}

// simRequest is a request in flight.
type simRequest struct {
	daemon      tw.DaemonID
	incarnation tw.Incarnation
	key         InstanceJob
	pool        tw.PoolID
}

const (
	simInstanceCount = 8
	simDaemonCount   = 3
)

func newSimHall() *simHall {
	w := &simHall{
		config:    poolConfig(2, 2),
		revision:  1,
		roster:    map[tw.DaemonID]tw.Incarnation{},
		instances: map[tw.InstanceID]*tw.Instance{},
		tasks:     map[tw.TaskID]tw.Task{},
		daemons:   map[tw.DaemonID]*simDaemon{},
	}
	w.stored.Hall = "h1"
	for i := range simInstanceCount {
		in := worker(i)
		w.instances[in.ID] = &in
	}
	for i := range simDaemonCount {
		id := tw.DaemonID(fmt.Sprintf("d%d", i))
		w.daemons[id] = &simDaemon{incarnation: 1}
		w.registerDaemon(id)
	}
	for range 2 {
		w.planners = append(w.planners, &simPlanner{heartbeats: map[tw.DaemonID]simHeartbeat{}})
	}
	return w
}

// registerDaemon adds a daemon to the roster, then reads the plan.
func (w *simHall) registerDaemon(id tw.DaemonID) {
	d := w.daemons[id]
	w.roster[id] = d.incarnation
	d.registered = true
	d.plan = w.stored.Clone()
	d.revision = w.revision
}

// fetch updates some daemons to the plan of the store or of another daemon.
func (w *simHall) fetch(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(w.daemons)) {
		if rapid.Bool().Draw(t, "fetches") {
			w.fetchOne(t, w.daemons[id])
		}
	}
}

func (w *simHall) fetchOne(t *rapid.T, d *simDaemon) {
	from := w.stored
	if rapid.Bool().Draw(t, "from a peer") {
		from = w.daemons[w.drawDaemon(t)].plan
	}
	if from.Generation > d.plan.Generation {
		d.plan = from.Clone()
	}
	d.revision = max(d.revision, w.revision)
}

// crash ends a daemon and its requests; its next incarnation must register again.
func (w *simHall) crash(t *rapid.T) {
	id := w.drawDaemon(t)
	d := w.daemons[id]
	w.requests = slices.DeleteFunc(w.requests, func(f simRequest) bool { return f.daemon == id })
	*d = simDaemon{incarnation: d.incarnation + 1}
	if rapid.Bool().Draw(t, "back at once") {
		w.registerDaemon(id)
	}
}

func (w *simHall) register(t *rapid.T) {
	id := w.drawDaemon(t)
	if !w.daemons[id].registered {
		w.registerDaemon(id)
	}
}

// dispatch sends a request that the daemon's own plan allows.
func (w *simHall) dispatch(t *rapid.T) {
	id := w.drawDaemon(t)
	d := w.daemons[id]
	if !d.registered {
		return
	}
	for i := range d.plan.Instances {
		a := &d.plan.Instances[i]
		for _, placement := range a.Jobs {
			if !a.Serves(placement.Job) || !rapid.Bool().Draw(t, "send") {
				continue
			}
			w.checkPool(t, id, a)
			w.requests = append(w.requests, simRequest{daemon: id, incarnation: d.incarnation, key: InstanceJob{a.Instance, placement.Job}, pool: a.Pool})
			return
		}
	}
}

// checkPool fails if the daemon's plan has the instance in another pool than the
// stored plan: at any time, an instance is in the same pool for all daemons that send
// requests to it.
func (w *simHall) checkPool(t *rapid.T, id tw.DaemonID, a *tw.Assignment) {
	now := w.stored.Find(a.Instance)
	if now != nil && now.Pool != a.Pool {
		t.Fatalf("%s sends to %s in pool %s (plan %d), but the store has it in %s (plan %d)",
			id, a.Instance, a.Pool, w.daemons[id].plan.Generation, now.Pool, w.stored.Generation)
	}
}

func (w *simHall) finishRequest(t *rapid.T) {
	if len(w.requests) > 0 {
		i := rapid.IntRange(0, len(w.requests)-1).Draw(t, "request")
		w.requests = slices.Delete(w.requests, i, i+1)
	}
}

// heartbeat delivers the heartbeats of some daemons to a planner. A daemon that is
// not drawn for several steps counts as delayed.
func (w *simHall) heartbeat(t *rapid.T) {
	p := w.drawPlanner(t)
	for _, id := range slices.Sorted(maps.Keys(w.daemons)) {
		if rapid.Bool().Draw(t, "delivered") {
			p.heartbeats[id] = w.heartbeatOf(id)
		}
	}
}

func (w *simHall) heartbeatOf(id tw.DaemonID) simHeartbeat {
	d := w.daemons[id]
	m := MemberStatus{ID: id, Acked: d.plan.Generation, InFlight: map[InstanceJob]int{}}
	for _, f := range w.requests {
		if f.daemon == id {
			m.InFlight[f.key]++
		}
	}
	return simHeartbeat{incarnation: d.incarnation, member: m}
}

// loadInput lets a planner read its input: the plan, then the roster.
func (w *simHall) loadInput(t *rapid.T) {
	p := w.drawPlanner(t)
	p.version = w.version
	p.in = Input{
		Hall:       "h1",
		Config:     w.config,
		Revision:   w.revision,
		Epoch:      1,
		Plan:       w.stored.Clone(),
		TasksKnown: rapid.IntRange(0, 4).Draw(t, "tasks known") > 0,
		Members:    p.members(w.roster),
	}
	for _, id := range slices.Sorted(maps.Keys(w.instances)) {
		p.in.Instances = append(p.in.Instances, *w.instances[id])
	}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		p.in.Tasks = append(p.in.Tasks, w.tasks[id])
	}
	p.in.Allowance = Allowances(BudgetInput{Config: w.config, Plans: map[tw.HallID]tw.Plan{"h1": w.stored}})
	p.orders = nil
}

// members returns the roster's daemons with their last heartbeats to this planner.
func (p *simPlanner) members(roster map[tw.DaemonID]tw.Incarnation) []MemberStatus {
	var out []MemberStatus
	for _, id := range slices.Sorted(maps.Keys(roster)) {
		m := MemberStatus{ID: id}
		if h := p.heartbeats[id]; h.incarnation == roster[id] {
			m = h.member
		}
		out = append(out, m)
	}
	return out
}

// decide lets a planner decide on its last input, which may be old. The response to
// its write may be lost; it then sends no orders.
func (w *simHall) decide(t *rapid.T) {
	p := w.drawPlanner(t)
	if p.in.Config == nil {
		return
	}
	out := Decide(p.in)
	if out.Changed {
		if p.version != w.version {
			return // the compare-and-swap would fail
		}
		w.checkBudget(t, p.in.Config, out)
		w.stored = out.Plan.Clone()
		w.version++
		p.version = w.version
		if rapid.IntRange(0, 4).Draw(t, "response lost") == 0 {
			p.in.Config = nil
			return
		}
	}
	p.in.Plan = out.Plan
	p.in.Members = p.members(w.roster)
	orders := ComputeOrders(p.in)
	p.orders = &orders
	p.in.Config = nil
}

// checkBudget fails if a planned drain leaves a service with fewer replicas than
// permitted by MaxUnavailable in the configuration that the decision used.
func (w *simHall) checkBudget(t *rapid.T, config *tw.FleetConfig, out Output) {
	if len(out.Drains) == 0 {
		return
	}
	for _, job := range config.Jobs {
		before, after := 0, 0
		for i := range w.stored.Instances {
			if w.stored.Instances[i].Serves(job.ID) {
				before++
			}
		}
		for i := range out.Plan.Instances {
			if out.Plan.Instances[i].Serves(job.ID) {
				after++
			}
		}
		maxUnavailable := config.Service(job.Service).MaxUnavailable
		if after < before && w.hasDrainOf(out, job.Service) && after < job.Replicas-maxUnavailable {
			t.Fatalf("a planned drain leaves %d of %d replicas of %s", after, job.Replicas, job.ID)
		}
	}
}

func (*simHall) hasDrainOf(out Output, service tw.ServiceID) bool {
	return slices.ContainsFunc(out.Drains, func(d Drain) bool { return slices.Contains(d.Services, service) })
}

// executeOrders sends a planner's orders to the platform, possibly late.
func (w *simHall) executeOrders(t *rapid.T) {
	p := w.drawPlanner(t)
	if p.orders == nil {
		return
	}
	for _, id := range p.orders.Stop {
		w.checkStop(t, id)
		delete(w.tasks, id)
	}
	for _, task := range p.orders.Start {
		if w.instances[task.Instance] == nil {
			continue
		}
		task.State = rapid.SampledFrom([]tw.TaskState{tw.TaskStarting, tw.TaskRunning, tw.TaskRunning, tw.TaskFailed}).Draw(t, "state")
		if _, exists := w.tasks[task.ID]; !exists {
			w.tasks[task.ID] = task
		}
	}
	for _, r := range p.orders.Reboot {
		if in := w.instances[r.Instance]; in != nil && in.Boots == r.Boots {
			in.Boots++
		}
	}
	p.orders = nil
}

// checkStop fails if a working task is stopped while a request is in flight on it.
func (w *simHall) checkStop(t *rapid.T, id tw.TaskID) {
	task, exists := w.tasks[id]
	if !exists || task.State == tw.TaskFailed || w.instances[task.Instance] == nil {
		return
	}
	for _, f := range w.requests {
		a := w.stored.Find(f.key.Instance)
		if f.key.Instance != task.Instance || f.key.Job != task.Job || a == nil {
			continue
		}
		placement := a.Placement(task.Job)
		if placement != nil && tw.NewTaskID(task.Job, task.Instance, placement.Placed) != id {
			continue // an older task of the same job
		}
		t.Fatalf("task %s is stopped while a request from %s is in flight", id, f.daemon)
	}
}

func (w *simHall) taskRuns(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		if task := w.tasks[id]; task.State == tw.TaskStarting && rapid.Bool().Draw(t, "runs") {
			task.State = tw.TaskRunning
			w.tasks[id] = task
		}
	}
}

// removeInstance removes an instance with its tasks and requests.
func (w *simHall) removeInstance(t *rapid.T) {
	id := w.drawInstance(t)
	delete(w.instances, id)
	maps.DeleteFunc(w.tasks, func(_ tw.TaskID, task tw.Task) bool { return task.Instance == id })
	w.requests = slices.DeleteFunc(w.requests, func(f simRequest) bool { return f.key.Instance == id })
}

// addInstance adds an instance if it is missing.
func (w *simHall) addInstance(t *rapid.T) {
	id := w.drawInstance(t)
	if w.instances[id] == nil {
		in := worker(0)
		in.ID = id
		w.instances[id] = &in
	}
}

func (w *simHall) setPhase(t *rapid.T) {
	if in := w.instances[w.drawInstance(t)]; in != nil {
		in.Phase = rapid.SampledFrom([]tw.InstancePhase{tw.PhaseLive, tw.PhaseLive, tw.PhaseLeaving}).Draw(t, "phase")
	}
}

// configure applies a random configuration of pools, replicas, waves and labels.
func (w *simHall) configure(t *rapid.T) {
	c := poolConfig(rapid.IntRange(1, 2).Draw(t, "pools"), rapid.IntRange(1, 3).Draw(t, "replicas"))
	if rapid.Bool().Draw(t, "wave") {
		id := tw.WaveID(fmt.Sprintf("wave%d", rapid.IntRange(0, 1).Draw(t, "which")))
		c.Waves = []tw.Wave{{ID: id, Instances: selector("kind=general"), MaxConcurrent: 2}}
	}
	if rapid.Bool().Draw(t, "label") {
		c.Labels = map[tw.InstanceID]map[string]string{w.drawInstance(t): {"kind": "special"}}
	}
	w.config = c
	w.revision++
}

func (w *simHall) drawDaemon(t *rapid.T) tw.DaemonID {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(w.daemons))).Draw(t, "daemon")
}

func (w *simHall) drawPlanner(t *rapid.T) *simPlanner {
	return w.planners[rapid.IntRange(0, len(w.planners)-1).Draw(t, "planner")]
}

func (*simHall) drawInstance(t *rapid.T) tw.InstanceID {
	return instanceID(rapid.IntRange(0, simInstanceCount-1).Draw(t, "instance"))
}
