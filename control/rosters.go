package control

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// addRosterMember adds a registered daemon that has sent no heartbeat yet to the
// member table, so that the next heartbeat may be sent to it. It counts as live only
// once it responds.
func (n *Node) addRosterMember(m tw.RosterMember) {
	var learnedAt time.Time
	if !n.state.view().Registered {
		learnedAt = n.cfg.Clock.Now()
	}
	n.addIfUnknown(m, n.cfg.Self.Hall, learnedAt)
}

// addIfUnknown adds a roster's daemon to the member table if it is not there. learnedAt
// is zero if the daemon must not be sent claims before its first heartbeat.
func (n *Node) addIfUnknown(m tw.RosterMember, hall tw.HallID, learnedAt time.Time) {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	if _, known := n.members.table[m.ID]; known || m.ID == n.cfg.Self.ID {
		return
	}
	n.members.table[m.ID] = memberState{
		Member:    tw.Member{ID: m.ID, Hall: hall, Instance: m.Instance, Address: m.Address, Gateway: m.Gateway},
		lastHeard: n.cfg.Clock.Now().Add(-memberRetention / 2), // not live
		learnedAt: learnedAt,
	}
}

// discoverHalls reads the roster of each hall of which no other daemon is known, this
// daemon's own hall included, and adds its daemons to the member table. This is how
// halls find each other.
func (n *Node) discoverHalls(ctx context.Context) {
	view := n.state.view()
	if view.Config == nil {
		return
	}
	for _, hall := range view.Config.Halls {
		known := n.knownMembers(func(m tw.Member) bool { return m.Hall == hall && m.ID != n.cfg.Self.ID })
		if len(known) > 0 {
			continue
		}
		stored, err := n.cfg.Documents.Read(ctx, tw.RosterKey(hall))
		if err != nil || stored.Body == nil {
			continue
		}
		var roster tw.Roster
		if err := json.Unmarshal(stored.Body, &roster); err != nil {
			n.log.Error("stored roster is unreadable", zap.String("hall", string(hall)), zap.Error(err))
			continue
		}
		for _, m := range roster.Members {
			n.addIfUnknown(m, hall, time.Time{})
		}
	}
}
