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

// heldLedger is a ledger as read, to be written by compare-and-swap.
type heldLedger struct {
	stored platform.Document
	ledger tw.ServiceDisruptions
}

// withBudget decides again, with the allowances that the store gives, and
// enters the drains that come of it in the ledgers. Whatever goes wrong, no
// drain is written that is not in its ledgers.
func (p *planner) withBudget(ctx context.Context, in fleet.Input, plain fleet.Output) fleet.Output {
	now := p.node.cfg.Clock.Now()
	if now.Before(p.askAt) {
		return plain
	}
	p.askAt = now.Add(p.node.jitter(ledgerPause))
	ledgers, err := p.readLedgers(ctx, plain.Wants)
	if err != nil {
		return plain // no store, no planned disruption
	}
	in.Allowance = fleet.Allowances(fleet.BudgetInput{
		Config:  in.Config,
		Ledgers: plainLedgers(ledgers),
		Plans:   p.vouchedPlans(ctx, in),
	})
	for service := range in.Allowance {
		if _, read := ledgers[service]; !read {
			delete(in.Allowance, service)
		}
	}
	out := fleet.Decide(in)
	if err := p.enter(ctx, ledgers, out.Drains); err != nil {
		p.log.Debug("planned moves wait for a ledger", zap.Error(err))
		return plain
	}
	return out
}

// readLedgers reads the ledgers of all services that the wanted drains touch.
func (p *planner) readLedgers(ctx context.Context, wants []fleet.Drain) (map[tw.ServiceID]heldLedger, error) {
	out := map[tw.ServiceID]heldLedger{}
	for _, w := range wants {
		for _, service := range w.Services {
			if _, done := out[service]; done {
				continue
			}
			held, err := p.readLedger(ctx, service)
			if err != nil {
				return nil, err
			}
			out[service] = held
		}
	}
	return out, nil
}

func (p *planner) readLedger(ctx context.Context, service tw.ServiceID) (heldLedger, error) {
	stored, err := p.node.cfg.Documents.Read(ctx, tw.BudgetKey(service))
	if err != nil {
		return heldLedger{}, err
	}
	held := heldLedger{stored: stored}
	if stored.Body != nil {
		err = json.Unmarshal(stored.Body, &held.ledger)
	}
	return held, err
}

// vouchedPlans reads the plans of the halls whose planner holds its lease.
// It must come after the ledgers were read.
func (p *planner) vouchedPlans(ctx context.Context, in fleet.Input) map[tw.HallID]tw.Plan {
	out := map[tw.HallID]tw.Plan{in.Hall: in.Plan}
	for _, hall := range in.Config.Halls {
		if hall == in.Hall {
			continue
		}
		if plan, ok := p.vouchedPlan(ctx, hall); ok {
			out[hall] = plan
		}
	}
	return out
}

func (p *planner) vouchedPlan(ctx context.Context, hall tw.HallID) (tw.Plan, bool) {
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

// enter writes the drains into the ledgers, by compare-and-swap on what the
// allowances were worked out from.
func (p *planner) enter(ctx context.Context, ledgers map[tw.ServiceID]heldLedger, drains []fleet.Drain) error {
	next := map[tw.ServiceID]tw.ServiceDisruptions{}
	for _, d := range drains {
		for _, service := range d.Services {
			ledger, begun := next[service]
			if !begun {
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
		p.owed[service] = true
		if _, err := p.node.cfg.Documents.Write(ctx, tw.BudgetKey(service), ledgers[service].stored, ledger); err != nil {
			return err
		}
	}
	return nil
}

// settleLedgers takes this hall's entries out again once their instances have
// drained: from then on the plan itself shows them as unavailable.
func (p *planner) settleLedgers(ctx context.Context, config *tw.FleetConfig) {
	for service := range p.owed {
		if p.drains(config, service) {
			continue
		}
		err := p.node.cfg.Documents.Update(ctx, tw.BudgetKey(service), func(body json.RawMessage) (any, error) {
			if !p.holds() { // what was read may have a successor's entries
				return nil, ErrLostLease
			}
			return p.withoutOwn(body)
		})
		if err == nil {
			delete(p.owed, service)
		}
	}
}

func (p *planner) withoutOwn(body json.RawMessage) (any, error) {
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

// drains tells whether an instance of the service is draining here.
func (p *planner) drains(config *tw.FleetConfig, service tw.ServiceID) bool {
	for i := range p.plan.Instances {
		a := &p.plan.Instances[i]
		if a.State != tw.InstanceDraining {
			continue
		}
		for _, at := range a.Jobs {
			if job := config.Job(at.Job); job != nil && job.Service == service {
				return true
			}
		}
	}
	return false
}

func plainLedgers(in map[tw.ServiceID]heldLedger) map[tw.ServiceID]tw.ServiceDisruptions {
	out := map[tw.ServiceID]tw.ServiceDisruptions{}
	for service, held := range in {
		out[service] = held.ledger
	}
	return out
}
