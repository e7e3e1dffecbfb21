package control

import (
	"context"
	"encoding/json"
	"slices"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/fleet"
)

// readyToPlan reports whether this daemon is registered and has a configuration and
// an instance list.
func (n *Node) readyToPlan() bool {
	view := n.state.view()
	_, hasList := n.state.instances()
	return view.Registered && view.Config != nil && hasList
}

// gatherInput builds the input of a decision. It returns false if there is no
// configuration or instance list yet.
func (p *planner) gatherInput(ctx context.Context) (fleet.Input, bool, error) {
	n := p.node
	view := n.state.view()
	list, hasList := n.state.instances()
	if view.Config == nil || !hasList {
		return fleet.Input{}, false, nil
	}
	if p.pending() || !n.cfg.Clock.Now().Before(p.nextPoll) {
		p.nextPoll = n.cfg.Clock.Now().Add(n.cfg.Intervals.StatusPoll)
		p.pollStatus(ctx)
	}
	in := fleet.Input{
		Hall:       n.cfg.Self.Hall,
		Config:     view.Config,
		Revision:   view.Revision,
		Epoch:      p.planEpoch,
		Plan:       p.plan,
		Tasks:      p.tasks,
		TasksKnown: p.tasksKnown,
	}
	var err error
	for _, i := range list.Instances {
		if i.Role != tw.RoleEntry {
			in.Instances = append(in.Instances, i)
		}
	}
	in.Health, in.BusySlots = p.aggregateReports()
	if p.pending() {
		in.Members, err = p.pollRoster(ctx)
	}
	return in, true, err
}

// pollStatus does the costly polls: the tasks, and, while nothing is pending, the
// daemons' reports. While something is pending, pollRoster polls the reports.
func (p *planner) pollStatus(ctx context.Context) {
	tasks, err := p.node.cfg.Workers.Tasks(ctx, p.node.cfg.Self.Hall)
	p.tasks, p.tasksKnown = tasks, err == nil
	if p.pending() {
		return
	}
	var addresses []string
	for _, m := range p.node.withoutSelf(p.node.hallMembers()) {
		addresses = append(addresses, m.Address)
	}
	p.node.syncWith(ctx, addresses, true)
}

// pollRoster reads the hall's roster and polls the report of each daemon on it.
func (p *planner) pollRoster(ctx context.Context) ([]fleet.MemberStatus, error) {
	n := p.node
	stored, err := n.cfg.Documents.Read(ctx, tw.RosterKey(n.cfg.Self.Hall))
	if err != nil {
		return nil, err
	}
	var roster tw.Roster
	if stored.Body != nil {
		if err := json.Unmarshal(stored.Body, &roster); err != nil {
			return nil, err
		}
	}
	all := p.withUnregistered(roster)
	var addresses []string
	for _, m := range all {
		addresses = append(addresses, m.Address)
	}
	n.syncWith(ctx, addresses, true)
	p.removeAbsent(ctx, roster)
	out := make([]fleet.MemberStatus, 0, len(all))
	for _, m := range all {
		out = append(out, p.memberStatus(m))
	}
	return out, nil
}

// withUnregistered returns the roster's daemons and the live ones that are not in it:
// the store may have been restored to a roster from before they registered.
func (p *planner) withUnregistered(roster tw.Roster) []tw.RosterMember {
	all := slices.Clone(roster.Members)
	for _, m := range p.node.hallMembers() {
		if !slices.ContainsFunc(all, func(r tw.RosterMember) bool { return r.ID == m.ID }) {
			all = append(all, tw.RosterMember{ID: m.ID, Incarnation: m.Incarnation, Address: m.Address})
		}
	}
	return all
}

// memberStatus returns what a registered daemon last reported. Without a report from
// its current incarnation, it counts as having acknowledged nothing.
func (p *planner) memberStatus(m tw.RosterMember) fleet.MemberStatus {
	out := fleet.MemberStatus{ID: m.ID, InFlight: map[fleet.InstanceJob]int{}}
	report := p.node.report()
	if m.ID != p.node.cfg.Self.ID {
		state, ok := p.node.members.get(m.ID, m.Incarnation)
		if !ok || state.Report == nil {
			return out
		}
		report = state.Report
	}
	out.Acked = report.Acked
	for _, l := range report.Loads {
		out.InFlight[fleet.InstanceJob{Instance: l.Instance, Job: l.Job}] = l.InFlight
	}
	return out
}

// removeAbsent removes from the roster the daemons that have been silent, and whose
// instances have been unlisted, for absenceTimeout.
func (p *planner) removeAbsent(ctx context.Context, roster tw.Roster) {
	list, ok := p.node.state.instances()
	if !ok {
		return
	}
	for _, m := range roster.Members {
		if !p.absences.absentTooLong(m, list) || !p.node.members.silentFor(m.ID, absenceTimeout) {
			continue
		}
		p.log.Info("removing daemon from the roster: its instance is no longer listed", zap.String("daemon", string(m.ID)))
		err := p.node.updateRoster(ctx, func(r tw.Roster) (tw.Roster, bool) {
			return r.Without(m.ID), slices.Contains(r.Members, m) // a new incarnation may have registered meanwhile
		})
		if err != nil {
			return
		}
	}
}

// aggregateReports adds up the loads that the hall's daemons report.
func (p *planner) aggregateReports() (map[tw.InstanceID]fleet.Health, map[tw.JobID]float64) {
	health := map[tw.InstanceID]fleet.Health{}
	inFlight := map[tw.JobID]float64{}
	reports := []*tw.Report{p.node.report()}
	for _, m := range p.node.withoutSelf(p.node.hallMembers()) {
		if m.Report != nil {
			reports = append(reports, m.Report)
		}
	}
	for _, r := range reports {
		for _, l := range r.Loads {
			h := health[l.Instance]
			h.OK += l.OK
			h.Failed += l.Failed
			health[l.Instance] = h
			inFlight[l.Job] += float64(l.InFlight)
		}
	}
	return health, p.busy.observe(inFlight)
}
