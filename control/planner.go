package control

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/fleet"
	"github.com/tamarindworks/tamarindworks/platform"
)

// planner plans for its hall while it holds the hall's lease. Only its duty
// touches it.
type planner struct {
	node           *Node
	log            *zap.Logger
	leaseHeld      atomic.Bool
	leaseUntil     time.Time // the lease surely holds until then, by our own clock
	renewAt        time.Time
	leaseEpoch     tw.Epoch          // the lease's
	planEpoch      tw.Epoch          // the plans'; the same, unless the store has forgotten it
	stored         platform.Document // the plan as last read or written
	loaded         bool
	fenced         bool // nothing that was sent before the lease was taken can replace the plan
	plan           tw.Plan
	tasks          []tw.Task
	tasksKnown     bool      // tasks are those of the platform
	nextPoll       time.Time // when to look closely though nothing is pending
	busy           *busyMeter
	absences       *absenceTracker
	ledgersToClear map[tw.ServiceID]bool // ledgers that may have entries of this hall
	nextLedgerRead time.Time             // when to ask the ledgers again
}

// ledgerRetryInterval is how long to wait before asking again for a budget that was
// used up.
const ledgerRetryInterval = time.Second

func newPlanner(n *Node) *planner {
	return &planner{
		node:           n,
		log:            n.cfg.Log.Named("planner"),
		busy:           newBusyMeter(n.cfg.Clock),
		absences:       newAbsenceTracker(n.cfg.Clock),
		ledgersToClear: map[tw.ServiceID]bool{},
	}
}

// loop takes or renews the lease, and plans while it holds it.
func (p *planner) loop(ctx context.Context) {
	pace := p.node.cfg.Intervals
	for {
		wait := pace.Lease
		if p.ensureLease(ctx) {
			wait = pace.Plan
			if err := p.runPass(ctx); err != nil {
				p.handleError(err)
			}
			if p.pending() {
				wait = pace.Handover
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-p.node.state.plannerWake:
		case <-p.node.cfg.Clock.After(p.node.jitter(wait)):
		}
	}
}

// ensureLease makes sure that this daemon may plan now.
func (p *planner) ensureLease(ctx context.Context) bool {
	clock := p.node.cfg.Clock
	asked := clock.Now()
	if p.leaseHeld.Load() && asked.Before(p.renewAt) {
		return true
	}
	if !p.node.readyToPlan() || !p.leaseHeld.Load() && p.anotherDaemonPlans() {
		return false
	}
	lease, err := p.node.cfg.Documents.Acquire(ctx, p.leaseRequest())
	switch {
	case err == nil:
		p.leaseUntil = asked.Add(p.node.cfg.Intervals.LeaseTTL)
		p.renewAt = asked.Add(p.node.cfg.Intervals.Lease)
		if !p.leaseHeld.Load() || lease.Epoch != p.leaseEpoch {
			p.beginTerm(lease.Epoch)
		}
	case errors.Is(err, tw.ErrLeaseHeld):
		p.endTerm()
	}
	return p.holdsLease()
}

// anotherDaemonPlans tells whether a live daemon of the hall says that it plans. Then
// this one need not ask the store for the lease.
func (p *planner) anotherDaemonPlans() bool {
	for _, m := range p.node.withoutSelf(p.node.hallMembers()) {
		if m.Planning {
			return true
		}
	}
	return false
}

// holdsLease tells whether the lease surely holds now: a process that was paused
// finds out by its own clock before it does anything.
func (p *planner) holdsLease() bool {
	if p.leaseHeld.Load() && !p.node.cfg.Clock.Now().Before(p.leaseUntil) {
		p.endTerm()
	}
	return p.leaseHeld.Load()
}

func (p *planner) beginTerm(epoch tw.Epoch) {
	p.leaseHeld.Store(true)
	p.leaseEpoch, p.planEpoch = epoch, epoch
	p.loaded, p.fenced = false, false
	p.nextLedgerRead, p.nextPoll = time.Time{}, time.Time{}
	p.log.Info("planning for the hall", zap.Uint64("epoch", uint64(epoch)))
	view := p.node.state.view()
	if view.Config != nil {
		for _, s := range view.Config.Services {
			p.ledgersToClear[s.ID] = true
		}
	}
}

func (p *planner) endTerm() {
	if p.leaseHeld.Swap(false) {
		p.log.Info("no longer planning")
	}
}

func (p *planner) leaseRequest() tw.LeaseRequest {
	self := p.node.cfg.Self
	return tw.LeaseRequest{
		Name:   tw.PlannerLease(self.Hall),
		Holder: string(self.ID),
		TTL:    p.node.cfg.Intervals.LeaseTTL,
	}
}

// release gives the lease back, for a planned stop.
func (p *planner) release(ctx context.Context) {
	if !p.leaseHeld.Load() {
		return
	}
	if err := p.node.cfg.Documents.Release(ctx, p.leaseRequest()); err != nil {
		p.log.Warn("cannot give the lease back", zap.Error(err))
	}
}

func (p *planner) handleError(err error) {
	switch {
	case errors.Is(err, ErrLostLease):
		p.endTerm()
	case errors.Is(err, tw.ErrConflict):
		p.loaded = false
	default:
		p.log.Debug("pass not finished", zap.Error(err))
	}
}

// runPass is one pass: look, decide, write, then order.
func (p *planner) runPass(ctx context.Context) error {
	if err := p.loadPlan(ctx); err != nil {
		return err
	}
	if err := p.restoreConfig(ctx); err != nil {
		return err
	}
	in, ok, err := p.gatherInput(ctx)
	if err != nil || !ok {
		return err
	}
	out := fleet.Decide(in)
	if len(out.Deferred) > 0 {
		out = p.decideWithBudget(ctx, in, out)
	}
	if out.Changed {
		if err := p.writePlan(ctx, out.Plan); err != nil {
			return err
		}
		in.Plan = out.Plan
		in.Members = nil
		if p.pending() {
			// The roster must be read after the plan was written.
			if in.Members, err = p.pollRoster(ctx); err != nil {
				return err
			}
		}
	}
	p.clearLedgerEntries(ctx, in.Config)
	// Tasks that were listed after the lease had lapsed may be a successor's.
	if !p.holdsLease() {
		return ErrLostLease
	}
	return p.sendOrders(ctx, fleet.ComputeOrders(in))
}

// loadPlan reads the stored plan once after the lease was taken. If the store has
// come back older than what is in force here, what is in force goes on.
func (p *planner) loadPlan(ctx context.Context) error {
	if p.loaded {
		return nil
	}
	stored, err := p.node.cfg.Documents.Read(ctx, tw.PlanKey(p.node.cfg.Self.Hall))
	if err != nil {
		return err
	}
	var plan tw.Plan
	if stored.Body != nil {
		if err := json.Unmarshal(stored.Body, &plan); err != nil {
			return errors.Wrap(err, "control: stored plan")
		}
	}
	view := p.node.state.view()
	older := view.Plan != nil && view.Plan.Generation > plan.Generation
	if older {
		plan = view.Plan.Clone()
	}
	if plan.Epoch > p.planEpoch {
		if view.Plan == nil || view.Plan.Epoch < plan.Epoch {
			return ErrLostLease
		}
		p.planEpoch = plan.Epoch + 1 // the store has forgotten our epochs
	}
	p.stored, p.plan = stored, plan
	// A former life of this daemon has planned under the same epoch.
	if older || stored.Body != nil && (plan.Epoch != p.planEpoch || !p.fenced) {
		if err := p.fence(ctx); err != nil {
			return err
		}
	}
	p.loaded, p.fenced = true, true
	return nil
}

// fence writes the plan as it is, under this planner's epoch, before anything
// else: whatever a predecessor that was paused still has in hand, a plan or a
// drain that it has entered in a ledger, then fails its compare-and-swap.
func (p *planner) fence(ctx context.Context) error {
	p.plan.Epoch = p.planEpoch
	return p.writePlan(ctx, p.plan)
}

// restoreConfig puts the configuration in force back into a store that has
// come back with an older one.
func (p *planner) restoreConfig(ctx context.Context) error {
	if !p.node.state.isStoreBehind() {
		return nil
	}
	err := p.node.cfg.Documents.Update(ctx, tw.ConfigKey, func(body json.RawMessage) (any, error) {
		ours, _ := p.node.state.documents()
		if storedRevision(body) >= storedRevision(ours) {
			return nil, nil
		}
		p.log.Warn("store is behind: configuration put back", zap.Uint64("revision", uint64(storedRevision(ours))))
		return ours, nil
	})
	if err == nil {
		p.node.state.observeStoredRevision(p.node.state.currentRevision())
	}
	return err
}

// writePlan puts a plan into the store, if the lease still holds, and tells the
// hall at once.
func (p *planner) writePlan(ctx context.Context, plan tw.Plan) error {
	if !p.holdsLease() {
		return ErrLostLease
	}
	stored, err := p.node.cfg.Documents.Write(ctx, tw.PlanKey(p.node.cfg.Self.Hall), p.stored, plan)
	if err != nil {
		p.loaded = false
		return err
	}
	if plan.Generation != p.plan.Generation {
		p.logChanges(plan)
	}
	p.stored, p.plan = stored, plan
	_, err = p.node.state.updatePlan(stored.Body)
	return err
}

// pending tells whether the plan waits for acknowledgements or for tasks.
func (p *planner) pending() bool {
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if a.State == tw.InstanceDraining || a.State == tw.InstanceJoining {
			return true
		}
		for _, at := range a.Jobs {
			if at.State == tw.PlacementStarting || at.State == tw.PlacementStopping {
				return true
			}
		}
	}
	return false
}

// sendOrders tells the platform. What fails is told again in the next pass.
func (p *planner) sendOrders(ctx context.Context, orders fleet.Orders) error {
	workers := p.node.cfg.Workers
	var failed error
	for _, id := range orders.Stop {
		failed = errors.CombineErrors(failed, workers.Stop(ctx, id))
	}
	for _, t := range orders.Start {
		failed = errors.CombineErrors(failed, workers.Start(ctx, t))
	}
	for _, r := range orders.Reboot {
		failed = errors.CombineErrors(failed, workers.Reboot(ctx, r.Instance, r.Boots))
	}
	return failed
}

func (p *planner) logChanges(plan tw.Plan) {
	for i := range plan.Instances {
		a := &plan.Instances[i]
		if a.Generation == plan.Generation {
			p.log.Info("instance", zap.String("id", string(a.Instance)), zap.String("pool", string(a.Pool)),
				zap.String("state", string(a.State)), zap.String("reason", a.Reason.String()))
		}
	}
}
