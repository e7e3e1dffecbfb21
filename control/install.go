package control

import (
	"context"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// installDuty gives the gateway a new view whenever something has changed,
// and with each heartbeat, as demand and membership move the slot shares.
func (n *Node) installDuty(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.know.changed:
		case <-n.cfg.Clock.After(n.cfg.Pace.Sync):
		}
		n.install()
	}
}

// install builds the view and, once the gateway obeys it, acknowledges the
// plan in it.
func (n *Node) install() {
	view := tw.View{
		Hall:    n.cfg.Self.Hall,
		Self:    n.cfg.Self.ID,
		Members: n.hallMembers(),
		Remote:  n.remoteMembers(),
	}
	n.know.snapshot(&view)
	n.cfg.Dispatcher.Install(view)
	if view.Plan == nil {
		return
	}
	before := n.acked.Swap(uint64(view.Plan.Generation))
	if before != uint64(view.Plan.Generation) {
		n.log.Debug("plan in force", zap.Uint64("generation", uint64(view.Plan.Generation)))
	}
}
