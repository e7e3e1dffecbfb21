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

// planner plans for its hall while it holds the hall's lease. Only its loop uses it,
// except for leaseHeld and absences.
type planner struct {
	node           *Node
	log            *zap.Logger
	leaseHeld      atomic.Bool
	leaseUntil     time.Time // the lease is valid at least until then, by the local clock
	renewAt        time.Time
	leaseEpoch     tw.Epoch          // epoch of the lease
	planEpoch      tw.Epoch          // epoch of the plans; differs from the lease's if the store has lost its leases
	stored         platform.Document // the plan document last read or written
	loaded         bool
	fenced         bool // no write sent before this lease was acquired can replace the plan
	plan           tw.Plan
	tasks          []tw.Task
	tasksKnown     bool      // the last listing of tasks succeeded
	nextPoll       time.Time // when to poll tasks and reports while nothing is pending
	busy           *busyMeter
	absences       *absenceTracker
	ledgersToClear map[tw.ServiceID]bool // ledgers that may have entries of this hall
	nextLedgerRead time.Time             // when to read the ledgers again
}

// ledgerRetryInterval is the time between two attempts to get an allowance, before
// jitter.
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

// loop acquires and renews the lease, and plans while it holds it.
func (p *planner) loop(ctx context.Context) {
	intervals := p.node.cfg.Intervals
	for {
		wait := intervals.Lease
		if p.ensureLease(ctx) {
			wait = intervals.Plan
			if err := p.runPass(ctx); err != nil {
				p.handleError(err)
			}
			if p.pending() {
				wait = intervals.Handover
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

// ensureLease acquires or renews the lease if necessary, and reports whether this
// daemon holds it.
func (p *planner) ensureLease(ctx context.Context) bool {
	clock := p.node.cfg.Clock
	requested := clock.Now()
	if p.leaseHeld.Load() && requested.Before(p.renewAt) {
		return true
	}
	if !p.node.readyToPlan() || !p.leaseHeld.Load() && p.anotherDaemonPlans() {
		return false
	}
	lease, err := p.node.cfg.Documents.Acquire(ctx, p.leaseRequest())
	switch {
	case err == nil:
		p.leaseUntil = requested.Add(p.node.cfg.Intervals.LeaseTTL)
		p.renewAt = requested.Add(p.node.cfg.Intervals.Lease)
		if !p.leaseHeld.Load() || lease.Epoch != p.leaseEpoch {
			p.beginTerm(lease.Epoch)
		}
	case errors.Is(err, tw.ErrLeaseHeld):
		p.endTerm()
	}
	return p.holdsLease()
}

// anotherDaemonPlans reports whether another live daemon of the hall says that it
// holds the planner's lease. This one then need not request it from the store.
func (p *planner) anotherDaemonPlans() bool {
	for _, m := range p.node.withoutSelf(p.node.hallMembers()) {
		if m.Planning {
			return true
		}
	}
	return false
}

// holdsLease reports whether the lease is still valid by the local clock. A process
// that was paused until after its lease had expired thus stops before it writes
// anything.
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

// release releases the lease, for a planned stop.
func (p *planner) release(ctx context.Context) {
	if !p.leaseHeld.Load() {
		return
	}
	if err := p.node.cfg.Documents.Release(ctx, p.leaseRequest()); err != nil {
		p.log.Warn("cannot release the lease", zap.Error(err))
	}
}

func (p *planner) handleError(err error) {
	switch {
	case errors.Is(err, ErrLostLease):
		p.endTerm()
	case errors.Is(err, tw.ErrConflict):
		p.loaded = false
	default:
		p.log.Debug("planning pass failed", zap.Error(err))
	}
}

// runPass gathers the input, decides, writes the plan, and then sends orders to the
// platform.
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
	// Tasks that were listed after the lease expired may be those of the next planner.
	if !p.holdsLease() {
		return ErrLostLease
	}
	return p.sendOrders(ctx, fleet.ComputeOrders(in))
}

// loadPlan reads the stored plan after the lease was acquired, and again after a
// failed write. If the stored plan is older than this daemon's, as after a restore of
// the store, planning continues from this daemon's plan.
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
		p.planEpoch = plan.Epoch + 1 // the store has lost its leases, and counts epochs from 1 again
	}
	p.stored, p.plan = stored, plan
	// Even under the same epoch the plan may come from an earlier process of this daemon,
	// so the first load after acquiring the lease always fences.
	if older || stored.Body != nil && (plan.Epoch != p.planEpoch || !p.fenced) {
		if err := p.fence(ctx); err != nil {
			return err
		}
	}
	p.loaded, p.fenced = true, true
	return nil
}

// fence writes the unchanged plan under this planner's epoch before anything else.
// The compare-and-swap of a paused predecessor then fails, so that it can no longer
// write a plan, not even with a drain that it has already recorded in a ledger.
func (p *planner) fence(ctx context.Context) error {
	p.plan.Epoch = p.planEpoch
	return p.writePlan(ctx, p.plan)
}

// restoreConfig writes this daemon's configuration to the store if the store has an
// older one.
func (p *planner) restoreConfig(ctx context.Context) error {
	if !p.node.state.isStoreBehind() {
		return nil
	}
	err := p.node.cfg.Documents.Update(ctx, tw.ConfigKey, func(body json.RawMessage) (any, error) {
		local, _ := p.node.state.documents()
		if storedRevision(body) >= storedRevision(local) {
			return nil, nil
		}
		p.log.Warn("store has an older configuration: restoring it", zap.Uint64("revision", uint64(storedRevision(local))))
		return local, nil
	})
	if err == nil {
		p.node.state.observeStoredRevision(p.node.state.currentRevision())
	}
	return err
}

// writePlan writes a plan to the store, if the lease is still valid, and updates the
// local state, from which it is sent to the other daemons.
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

// pending reports whether the plan waits for acknowledgements or tasks.
func (p *planner) pending() bool {
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if a.State == tw.InstanceDraining || a.State == tw.InstanceJoining {
			return true
		}
		for _, placement := range a.Jobs {
			if placement.State == tw.PlacementStarting || placement.State == tw.PlacementStopping {
				return true
			}
		}
	}
	return false
}

// sendOrders sends the orders to the platform. Those that fail are repeated in the
// next pass.
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
