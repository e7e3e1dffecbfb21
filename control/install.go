package control

import (
	"context"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// installLoop installs a new view in the gateway on every change, and at the
// heartbeat interval, as slot shares depend on demand and membership.
func (n *Node) installLoop(ctx context.Context) {
	lastLive := 0
	down := n.cfg.Metrics.GetOrCreateCounter("tamarind_peers_down_total")
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.state.viewChanged:
		case <-n.cfg.Clock.After(n.cfg.Intervals.Sync):
		}
		live := n.installView()
		if live < lastLive {
			down.Add(lastLive - live)
		}
		lastLive = live
	}
}

// acknowledge records the generation of the plan that the gateway follows now.
func (n *Node) acknowledge(gen tw.Generation) {
	if before := n.acked.Swap(uint64(gen)); before != uint64(gen) {
		n.log.Debug("plan in force", zap.Uint64("generation", uint64(gen)))
	}
}

// installView builds the view, installs it in the gateway, and then acknowledges its
// plan. It returns the number of live daemons in the hall.
func (n *Node) installView() int {
	view := n.state.view()
	view.Hall = n.cfg.Self.Hall
	view.Self = n.cfg.Self.ID
	view.Members = n.hallMembers()
	view.Remote = n.remoteMembers()
	n.cfg.Dispatcher.Install(view)
	if view.Plan != nil {
		n.acknowledge(view.Plan.Generation)
	}
	return len(view.Members)
}
