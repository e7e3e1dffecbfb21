package control

import (
	"context"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// installLoop gives the gateway a new view whenever something has changed,
// and with each heartbeat, as demand and membership move the slot shares.
func (n *Node) installLoop(ctx context.Context) {
	live := 0
	down := n.cfg.Metrics.GetOrCreateCounter("tamarind_peers_down_total")
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.state.viewChanged:
		case <-n.cfg.Clock.After(n.cfg.Intervals.Sync):
		}
		now := n.installView()
		if now < live {
			down.Add(live - now)
		}
		live = now
	}
}

// acknowledge notes the plan that the gateway obeys now.
func (n *Node) acknowledge(gen tw.Generation) {
	if before := n.acked.Swap(uint64(gen)); before != uint64(gen) {
		n.log.Debug("plan in force", zap.Uint64("generation", uint64(gen)))
	}
}

// installView builds the view and, once the gateway obeys it, acknowledges the
// plan in it. It returns how many daemons of the hall are live.
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
