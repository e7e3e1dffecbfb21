package control

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// registerLoop adds this daemon to its hall's roster, then reads the plan, and checks
// from time to time that it is still in the roster.
func (n *Node) registerLoop(ctx context.Context) {
	for {
		wait := n.cfg.Intervals.Roster
		if err := n.register(ctx); err != nil {
			n.log.Debug("cannot register yet", zap.Error(err))
			wait = n.cfg.Intervals.Sync
		}
		if !n.sleep(ctx, n.jitter(wait)) {
			return
		}
	}
}

// register adds this incarnation of the daemon to the roster if it is missing. A
// daemon that was removed from the roster starts over as if it were new.
func (n *Node) register(ctx context.Context) error {
	added := false
	err := n.updateRoster(ctx, func(roster tw.Roster) (tw.Roster, bool) {
		added = false
		for _, m := range roster.Members {
			if m.ID != n.cfg.Self.ID {
				n.addRosterMember(m)
				continue
			}
			incarnation := tw.Incarnation(n.incarnation.Load())
			if m.Incarnation == incarnation {
				return roster, false
			}
			if m.Incarnation > incarnation {
				// Incarnations start from the wall clock, which has gone back.
				n.incarnation.Store(uint64(m.Incarnation) + 1)
			}
		}
		added = true
		return roster.With(n.rosterMember()), true
	})
	if err != nil {
		return err
	}
	view := n.state.view()
	if view.Registered && !added {
		return nil
	}
	n.state.setRegistered(true)
	n.log.Info("registered", zap.String("hall", string(n.cfg.Self.Hall)))
	return n.readPlan(ctx)
}

// readPlan reads the plan from the store after registering.
func (n *Node) readPlan(ctx context.Context) error {
	stored, err := n.cfg.Documents.Read(ctx, tw.PlanKey(n.cfg.Self.Hall))
	if err != nil {
		return err
	}
	if stored.Body != nil {
		if _, err := n.state.updatePlan(stored.Body); err != nil {
			return err
		}
	}
	n.state.markPlanFresh()
	return nil
}

func (n *Node) rosterMember() tw.RosterMember {
	return tw.RosterMember{
		ID:          n.cfg.Self.ID,
		Instance:    n.cfg.Self.Instance,
		Incarnation: tw.Incarnation(n.incarnation.Load()),
		Address:     n.cfg.Self.Address,
		Gateway:     n.cfg.Self.Gateway,
	}
}

// unregister removes this daemon from the roster, for a planned stop.
func (n *Node) unregister(ctx context.Context) {
	err := n.updateRoster(ctx, func(roster tw.Roster) (tw.Roster, bool) {
		return roster.Without(n.cfg.Self.ID), true
	})
	if err != nil {
		n.log.Warn("cannot remove this daemon from the roster", zap.Error(err))
	}
}

// updateRoster updates the hall's roster in the store. change returns false if there
// is nothing to write.
func (n *Node) updateRoster(ctx context.Context, change func(tw.Roster) (tw.Roster, bool)) error {
	return n.cfg.Documents.Update(ctx, tw.RosterKey(n.cfg.Self.Hall), func(body json.RawMessage) (any, error) {
		var roster tw.Roster
		if body != nil {
			if err := json.Unmarshal(body, &roster); err != nil {
				return nil, err
			}
		}
		next, changed := change(roster)
		if !changed {
			return nil, nil
		}
		return next, nil
	})
}
