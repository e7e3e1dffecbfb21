package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	tw "github.com/tamarindworks/tamarindworks"
)

// ledgerSim simulates one service in three halls. Each hall's planner repeats the
// steps of a planned drain. Steps of different planners interleave at random, and a
// planner may be paused and replaced between two steps.
type ledgerSim struct {
	config   *tw.FleetConfig
	plans    map[tw.HallID]tw.Plan
	versions map[tw.HallID]int // of the plans
	ledger   tw.ServiceDisruptions
	version  int // of the ledger
	planners map[tw.HallID]*ledgerPlanner
	paused   []*ledgerPlanner
}

// ledgerPlanner is the progress of one planner.
type ledgerPlanner struct {
	hall          tw.HallID
	stage         ledgerStage
	ledger        tw.ServiceDisruptions
	ledgerVersion int
	planVersion   int
	plans         map[tw.HallID]tw.Plan
	instance      tw.InstanceID
}

type ledgerStage int

const (
	readingLedger ledgerStage = iota
	readingPlans
	recordingDrain
	writingPlan
)

const ledgerReplicas = 3

var ledgerHalls = []tw.HallID{"h1", "h2", "h3"}

func newLedgerSim() *ledgerSim {
	w := &ledgerSim{
		config:   poolConfig(1, ledgerReplicas),
		plans:    map[tw.HallID]tw.Plan{},
		versions: map[tw.HallID]int{},
		planners: map[tw.HallID]*ledgerPlanner{},
	}
	w.config.Halls = ledgerHalls
	for _, hall := range ledgerHalls {
		plan := tw.Plan{Hall: hall}
		for i := range ledgerReplicas {
			plan.Instances = append(plan.Instances, tw.Assignment{
				Instance: tw.InstanceID(fmt.Sprintf("%s-w%d", hall, i)),
				State:    tw.InstanceServing,
				Jobs:     []tw.Placement{{Job: "jp0", State: tw.PlacementRunning}},
			})
		}
		w.plans[hall] = plan
		w.planners[hall] = &ledgerPlanner{hall: hall}
	}
	return w
}

func (w *ledgerSim) drawPlanner(t *rapid.T) *ledgerPlanner {
	return w.planners[rapid.SampledFrom(ledgerHalls).Draw(t, "hall")]
}

func (w *ledgerSim) advance(t *rapid.T) { w.step(t, w.drawPlanner(t)) }

// stepPaused runs the next step of a paused planner, whose lease has expired.
func (w *ledgerSim) stepPaused(t *rapid.T) {
	if len(w.paused) > 0 {
		w.step(t, rapid.SampledFrom(w.paused).Draw(t, "paused"))
	}
}

func (w *ledgerSim) step(t *rapid.T, p *ledgerPlanner) {
	switch p.stage {
	case readingLedger:
		p.ledger, p.ledgerVersion = w.ledger, w.version
		p.planVersion = w.versions[p.hall]
		p.plans = map[tw.HallID]tw.Plan{}
		p.stage = readingPlans
	case readingPlans:
		for _, hall := range ledgerHalls {
			if _, read := p.plans[hall]; !read {
				plan := w.plans[hall]
				p.plans[hall] = plan.Clone()
				return
			}
		}
		p.stage = recordingDrain
	case recordingDrain:
		w.recordDrain(p)
	case writingPlan:
		w.writePlan(t, p)
	}
}

// recordDrain adds a drain to the ledger, if the allowance permits it and the
// compare-and-swap succeeds.
func (w *ledgerSim) recordDrain(p *ledgerPlanner) {
	p.stage = readingLedger
	allowed := Allowances(BudgetInput{Config: w.config, Plans: p.plans, Ledgers: map[tw.ServiceID]tw.ServiceDisruptions{"sp0": p.ledger}})
	plan := p.plans[p.hall]
	for i := range plan.Instances {
		a := &plan.Instances[i]
		if a.Serves("jp0") && allowed["sp0"] > 0 && w.version == p.ledgerVersion {
			w.ledger = w.ledger.With(tw.Disruption{Instance: a.Instance, Hall: p.hall})
			w.version++
			p.instance, p.stage = a.Instance, writingPlan
			return
		}
	}
}

// writePlan starts the drain in the plan, if the plan has not been written since it was
// read, and checks the budget.
func (w *ledgerSim) writePlan(t *rapid.T, p *ledgerPlanner) {
	p.stage = readingLedger
	if w.versions[p.hall] != p.planVersion {
		return
	}
	plan := w.plans[p.hall]
	plan = plan.Clone()
	plan.Find(p.instance).State = tw.InstanceDraining
	w.plans[p.hall] = plan
	w.versions[p.hall]++
	running := 0
	for _, plan := range w.plans {
		for i := range plan.Instances {
			if plan.Instances[i].Serves("jp0") {
				running++
			}
		}
	}
	if least := ledgerReplicas*len(ledgerHalls) - w.config.Services[0].MaxUnavailable; running < least {
		t.Fatalf("a drain of %s leaves %d replicas, want at least %d", p.instance, running, least)
	}
}

// finishDrain takes a hall's draining instances out, and puts those that were already
// out back into service.
func (w *ledgerSim) finishDrain(t *rapid.T) {
	p := w.drawPlanner(t)
	if p.stage == writingPlan {
		return
	}
	plan := w.plans[p.hall]
	plan = plan.Clone()
	for i := range plan.Instances {
		switch a := &plan.Instances[i]; a.State {
		case tw.InstanceDraining:
			a.State = tw.InstanceOut
		case tw.InstanceOut:
			a.State = tw.InstanceServing
		}
	}
	w.plans[p.hall] = plan
	w.versions[p.hall]++
}

// clearEntries removes a hall's ledger entries if none of its instances is draining.
func (w *ledgerSim) clearEntries(t *rapid.T) {
	p := w.drawPlanner(t)
	plan := w.plans[p.hall]
	for i := range plan.Instances {
		if plan.Instances[i].State == tw.InstanceDraining || p.stage == writingPlan {
			return
		}
	}
	for _, d := range w.ledger.Disruptions {
		if d.Hall == p.hall {
			w.ledger = w.ledger.Without(d.Instance)
			w.version++
		}
	}
}

// takeOver replaces a planner and keeps it as paused. The successor first writes the
// unchanged plan under its own epoch, so that the plan write of the paused one fails.
func (w *ledgerSim) takeOver(t *rapid.T) {
	p := w.drawPlanner(t)
	w.paused = append(w.paused, p)
	w.planners[p.hall] = &ledgerPlanner{hall: p.hall}
	w.versions[p.hall]++
}

// TestLedgerRandomEventOrder checks that the planners of three halls together never
// exceed a service's budget, under random interleavings.
func TestLedgerRandomEventOrder(t *testing.T) {
	setRapidFlags(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newLedgerSim()
		t.Repeat(map[string]func(*rapid.T){
			"advance": w.advance, "advance again": w.advance, "advance once more": w.advance,
			"wake paused planner": w.stepPaused,
			"finish drain":        w.finishDrain,
			"remove entries":      w.clearEntries,
			"take over":           w.takeOver,
		})
	})
}
