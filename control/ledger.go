package control

import (
	"context"
	"encoding/json"
	"slices"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/fleet"
	"github.com/tamarindworks/tamarindworks/platform"
)

// storedLedger is a service's disruption ledger and the document it was read from,
// which compare-and-swap writes are based on.
type storedLedger struct {
	stored platform.Document
	ledger tw.ServiceDisruptions
}

// decideWithBudget decides again, with the allowances computed from the store, and
// records the resulting drains in the ledgers. On any error, and until
// nextLedgerRead, it returns fallback, the decision without allowances, so that the
// plan never has a planned drain that its services' ledgers lack.
func (p *planner) decideWithBudget(ctx context.Context, in fleet.Input, fallback fleet.Output) fleet.Output {
	now := p.node.cfg.Clock.Now()
	if now.Before(p.nextLedgerRead) {
		return fallback
	}
	p.nextLedgerRead = now.Add(p.node.jitter(ledgerRetryInterval))
	ledgers, err := p.readLedgers(ctx, fallback.Deferred)
	if err != nil {
		return fallback // no planned disruption without the store
	}
	in.Allowance = fleet.Allowances(fleet.BudgetInput{
		Config:  in.Config,
		Ledgers: ledgerValues(ledgers),
		Plans:   p.trustedPlans(ctx, in),
	})
	for service := range in.Allowance {
		if _, read := ledgers[service]; !read {
			delete(in.Allowance, service)
		}
	}
	out := fleet.Decide(in)
	if err := p.recordDrains(ctx, ledgers, out.Drains); err != nil {
		p.log.Debug("cannot record planned drains in the ledgers", zap.Error(err))
		return fallback
	}
	return out
}

// readLedgers reads the ledgers of all services that the drains affect.
func (p *planner) readLedgers(ctx context.Context, drains []fleet.Drain) (map[tw.ServiceID]storedLedger, error) {
	out := map[tw.ServiceID]storedLedger{}
	for _, drain := range drains {
		for _, service := range drain.Services {
			if _, done := out[service]; done {
				continue
			}
			ledger, err := p.readLedger(ctx, service)
			if err != nil {
				return nil, err
			}
			out[service] = ledger
		}
	}
	return out, nil
}

func (p *planner) readLedger(ctx context.Context, service tw.ServiceID) (storedLedger, error) {
	stored, err := p.node.cfg.Documents.Read(ctx, tw.BudgetKey(service))
	if err != nil {
		return storedLedger{}, err
	}
	ledger := storedLedger{stored: stored}
	if stored.Body != nil {
		err = json.Unmarshal(stored.Body, &ledger.ledger)
	}
	return ledger, err
}

// trustedPlans reads the plans of the halls that have a planner with a valid lease.
// It must be called after the ledgers were read.
func (p *planner) trustedPlans(ctx context.Context, in fleet.Input) map[tw.HallID]tw.Plan {
	out := map[tw.HallID]tw.Plan{in.Hall: in.Plan}
	for _, hall := range in.Config.Halls {
		if hall == in.Hall {
			continue
		}
		if plan, ok := p.trustedPlan(ctx, hall); ok {
			out[hall] = plan
		}
	}
	return out
}

func (p *planner) trustedPlan(ctx context.Context, hall tw.HallID) (tw.Plan, bool) {
	docs := p.node.cfg.Documents
	var plan tw.Plan
	if _, err := docs.Holder(ctx, tw.PlannerLease(hall)); err != nil {
		return plan, false
	}
	stored, err := docs.Read(ctx, tw.PlanKey(hall))
	if err != nil || stored.Body == nil {
		return plan, false
	}
	return plan, json.Unmarshal(stored.Body, &plan) == nil
}

// recordDrains writes the drains to the ledgers, by compare-and-swap on the versions
// that the allowances were computed from.
func (p *planner) recordDrains(ctx context.Context, ledgers map[tw.ServiceID]storedLedger, drains []fleet.Drain) error {
	next := map[tw.ServiceID]tw.ServiceDisruptions{}
	for _, d := range drains {
		for _, service := range d.Services {
			ledger, ok := next[service]
			if !ok {
				ledger = ledgers[service].ledger
			}
			next[service] = ledger.With(tw.Disruption{
				Instance: d.Instance,
				Hall:     p.node.cfg.Self.Hall,
				Since:    p.node.cfg.Clock.Now(),
			})
		}
	}
	for service, ledger := range next {
		p.ledgersToClear[service] = true
		if _, err := p.node.cfg.Documents.Write(ctx, tw.BudgetKey(service), ledgers[service].stored, ledger); err != nil {
			return err
		}
	}
	return nil
}

// clearLedgerEntries removes this hall's entries from the ledgers in ledgersToClear,
// from each once no instance with a job of the service is draining here: the plan
// itself then shows which replicas are unavailable.
func (p *planner) clearLedgerEntries(ctx context.Context, config *tw.FleetConfig) {
	for service := range p.ledgersToClear {
		if p.hasDraining(config, service) {
			continue
		}
		err := p.node.cfg.Documents.Update(ctx, tw.BudgetKey(service), func(body json.RawMessage) (any, error) {
			if !p.holdsLease() { // the document may already have entries of the next planner
				return nil, ErrLostLease
			}
			return p.withoutHallEntries(body)
		})
		if err == nil {
			delete(p.ledgersToClear, service)
		}
	}
}

func (p *planner) withoutHallEntries(body json.RawMessage) (any, error) {
	if body == nil {
		return nil, nil
	}
	var ledger tw.ServiceDisruptions
	if err := json.Unmarshal(body, &ledger); err != nil {
		return nil, err
	}
	before := len(ledger.Disruptions)
	ledger.Disruptions = slices.DeleteFunc(ledger.Disruptions, func(d tw.Disruption) bool {
		return d.Hall == p.node.cfg.Self.Hall
	})
	if len(ledger.Disruptions) == before {
		return nil, nil
	}
	return ledger, nil
}

// hasDraining reports whether an instance with a job of the service is draining here.
func (p *planner) hasDraining(config *tw.FleetConfig, service tw.ServiceID) bool {
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if a.State != tw.InstanceDraining {
			continue
		}
		for _, placement := range a.Jobs {
			if job := config.Job(placement.Job); job != nil && job.Service == service {
				return true
			}
		}
	}
	return false
}

func ledgerValues(in map[tw.ServiceID]storedLedger) map[tw.ServiceID]tw.ServiceDisruptions {
	out := map[tw.ServiceID]tw.ServiceDisruptions{}
	for service, ledger := range in {
		out[service] = ledger.ledger
	}
	return out
}
