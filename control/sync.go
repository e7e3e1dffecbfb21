package control

import (
	"context"
	"encoding/json"
	"sync"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// syncDuty sends heartbeats: to a few daemons of the hall and one of another
// hall each time.
func (n *Node) syncDuty(ctx context.Context) {
	for n.sleep(ctx, n.jitter(n.cfg.Pace.Sync)) {
		n.learnRosters(ctx)
		n.beat.Add(1)
		n.syncWith(ctx, n.pickPeers())
	}
}

// pickPeers chooses whom to tell this time.
func (n *Node) pickPeers() []string {
	hall := n.others(n.known(func(m tw.Member) bool { return m.Hall == n.cfg.Self.Hall }))
	remote := n.known(func(m tw.Member) bool { return m.Hall != n.cfg.Self.Hall })
	n.shuffle(hall)
	n.shuffle(remote)
	var out []string
	for _, m := range hall[:min(len(hall), syncPeers)] {
		out = append(out, m.Address)
	}
	for _, m := range remote[:min(len(remote), 1)] {
		out = append(out, m.Address)
	}
	if len(out) == 0 {
		return n.cfg.Seeds
	}
	return out
}

// known lists the daemons ever heard of, also those that are silent now: a
// cut must be noticed to end.
func (n *Node) known(keep func(tw.Member) bool) []tw.Member {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	var out []tw.Member
	for _, m := range n.members.table {
		if keep(m.Member) {
			out = append(out, m.Member)
		}
	}
	return out
}

func (n *Node) others(in []tw.Member) []tw.Member {
	var out []tw.Member
	for _, m := range in {
		if m.ID != n.cfg.Self.ID {
			out = append(out, m)
		}
	}
	return out
}

// syncWith exchanges heartbeats with several daemons at the same time.
func (n *Node) syncWith(ctx context.Context, addresses []string) {
	req := tw.SyncRequest{
		Self:       n.self(),
		Others:     n.gossip(),
		Generation: n.know.generationNow(),
	}
	var calls sync.WaitGroup
	for _, address := range addresses {
		if address == n.cfg.Self.Address {
			continue
		}
		calls.Go(func() { n.syncOne(ctx, address, req) })
	}
	calls.Wait()
}

func (n *Node) syncOne(ctx context.Context, address string, req tw.SyncRequest) {
	resp, err := n.cfg.Peers.Sync(ctx, address, req)
	if err != nil {
		n.cfg.Metrics.GetOrCreateCounter("tamarind_peer_failures_total").Inc()
		return
	}
	n.hear(resp.Self, resp.Others)
	n.offer(resp.Config, resp.Plan)
}

// HandleSync implements tw.PeerHandler.
func (n *Node) HandleSync(req tw.SyncRequest) tw.SyncResponse {
	if req.Self.ID != "" { // an operator's command has no id
		n.hear(req.Self, req.Others)
	}
	resp := tw.SyncResponse{Self: n.self(), Others: n.gossip()}
	config, plan := n.know.documents()
	if req.Self.Revision < n.know.revisionNow() {
		resp.Config = config
	}
	if req.Self.Hall == n.cfg.Self.Hall && req.Generation < n.know.generationNow() {
		resp.Plan = plan
	}
	return resp
}

// HandleClaim implements tw.PeerHandler.
func (n *Node) HandleClaim(claim tw.Claim) tw.Claim { return n.claims.table.put(claim) }

func (n *Node) hear(from tw.Member, others []tw.Member) {
	n.members.hear(from, true)
	for _, m := range others {
		if m.ID != n.cfg.Self.ID {
			n.members.hear(m, false)
		}
	}
}

func (n *Node) offer(config, plan json.RawMessage) {
	if len(config) > 0 {
		if _, err := n.know.offerConfig(config); err != nil {
			n.log.Error("peer's configuration is unreadable", zap.Error(err))
		}
	}
	if len(plan) > 0 {
		if _, err := n.know.offerPlan(plan); err != nil {
			n.log.Error("peer's plan is unreadable", zap.Error(err))
		}
	}
}

// gossip passes on what this daemon heard of others, without their loads.
func (n *Node) gossip() []tw.Member {
	live := n.members.live(func(m tw.Member) bool { return m.ID != n.cfg.Self.ID })
	for i := range live {
		live[i].Loads = nil
		live[i].Acked = 0
		if live[i].Hall == n.cfg.Self.Hall {
			live[i].Jobs = nil // each hears them from the daemon itself
		}
	}
	return live
}
