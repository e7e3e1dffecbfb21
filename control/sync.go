package control

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// eagerDiscoveryRounds is how long a new daemon looks for others in each round;
	// after that it does so in one of lookOneIn.
	eagerDiscoveryRounds = 10
	discoveryOneIn       = 4
	// syncFanout is how many daemons of the hall get each heartbeat.
	syncFanout = 2
	// remoteSyncOneIn is in how many rounds a daemon of another hall gets one.
	remoteSyncOneIn = 4
	// silentHallOneIn is in how many rounds a hall that is not heard is tried.
	silentHallOneIn = 2
	// jobsOneIn is in how many messages within the hall the jobs are told;
	// between halls they always are.
	jobsOneIn = 8
	// maxGossipHall and gossipRemote bound the daemons that a message tells of.
	maxGossipHall   = 4
	maxGossipRemote = 1
)

// syncLoop sends heartbeats to a few daemons of the hall each time.
func (n *Node) syncLoop(ctx context.Context) {
	for n.sleep(ctx, n.jitter(n.cfg.Intervals.Sync)) {
		n.beat.Add(1)
		n.syncWith(ctx, n.pickHallPeers(), false)
	}
}

// remoteLoop finds the daemons of other halls and sends one of them a
// heartbeat now and then. It is a duty of its own, so that a hall that is cut
// off does not hold up the heartbeats within this one.
func (n *Node) remoteLoop(ctx context.Context) {
	for round := 0; n.sleep(ctx, n.jitter(n.cfg.Intervals.Sync)); round++ {
		if round < eagerDiscoveryRounds || n.oneIn(discoveryOneIn) {
			n.discoverHalls(ctx)
		}
		n.syncWith(ctx, n.pickRemotePeers(), false)
	}
}

// pickHallPeers chooses whom of the hall to tell this time.
func (n *Node) pickHallPeers() []string {
	hall := n.withoutSelf(n.knownMembers(func(m tw.Member) bool { return m.Hall == n.cfg.Self.Hall }))
	if len(hall) == 0 {
		return n.cfg.SeedAddresses
	}
	n.shuffle(hall)
	var out []string
	for _, m := range hall[:min(len(hall), syncFanout)] {
		out = append(out, m.Address)
	}
	return out
}

// pickRemotePeers chooses a daemon of another hall now and then.
func (n *Node) pickRemotePeers() []string {
	remote := n.knownMembers(func(m tw.Member) bool { return m.Hall != n.cfg.Self.Hall })
	n.shuffle(remote)
	heard := map[tw.HallID]bool{n.cfg.Self.Hall: true}
	for _, m := range n.remoteMembers() {
		heard[m.Hall] = true
	}
	for _, m := range remote {
		// A hall that is not known goes first, but not always: it may be
		// cut off for long, and the others must not be forgotten for it.
		if !heard[m.Hall] && n.oneIn(silentHallOneIn) {
			return []string{m.Address}
		}
	}
	if len(remote) == 0 || !n.oneIn(remoteSyncOneIn) {
		return nil
	}
	return []string{remote[0].Address}
}

// knownMembers lists the daemons ever heard of, also those that are silent now: a
// cut must be noticed to end.
func (n *Node) knownMembers(keep func(tw.Member) bool) []tw.Member {
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

func (n *Node) withoutSelf(in []tw.Member) []tw.Member {
	var out []tw.Member
	for _, m := range in {
		if m.ID != n.cfg.Self.ID {
			out = append(out, m)
		}
	}
	return out
}

// syncWith exchanges heartbeats with several daemons at the same time.
func (n *Node) syncWith(ctx context.Context, addresses []string, wantReport bool) {
	if len(addresses) == 0 {
		return
	}
	req := tw.SyncRequest{
		WantReport: wantReport,
		Self:       n.self(),
		Others:     n.gossip(),
		Generation: n.state.currentGeneration(),
	}
	req.Self.Jobs = n.jobsFor(addresses[0])
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
	n.updateMembers(resp.Self, resp.Others)
	n.updateDocuments(resp.Config, resp.Plan)
}

// HandleSync implements tw.PeerHandler.
func (n *Node) HandleSync(req tw.SyncRequest) tw.SyncResponse {
	if req.Self.ID != "" { // an operator's command has no id
		n.updateMembers(req.Self, req.Others)
	}
	resp := tw.SyncResponse{Self: n.self(), Others: n.gossip()}
	resp.Self.Jobs = n.jobsFor(req.Self.Address)
	if req.WantReport {
		resp.Self.Report = n.report()
	}
	config, plan := n.state.documents()
	if req.Self.Revision < n.state.currentRevision() {
		resp.Config = config
	}
	if req.Self.Hall == n.cfg.Self.Hall && req.Generation < n.state.currentGeneration() {
		resp.Plan = plan
	}
	return resp
}

// HandleClaim implements tw.PeerHandler.
func (n *Node) HandleClaim(claim tw.Claim) tw.Claim { return n.claims.table.put(claim) }

func (n *Node) updateMembers(from tw.Member, others []tw.Member) {
	n.members.update(from, true)
	for _, m := range others {
		if m.ID != n.cfg.Self.ID {
			n.members.update(m, false)
		}
	}
}

func (n *Node) updateDocuments(config, plan json.RawMessage) {
	if len(config) > 0 {
		if _, err := n.state.updateConfig(config); err != nil {
			n.log.Error("peer's configuration is unreadable", zap.Error(err))
		}
	}
	if len(plan) > 0 {
		if _, err := n.state.updatePlan(plan); err != nil {
			n.log.Error("peer's plan is unreadable", zap.Error(err))
		}
	}
}

// jobsFor lists the jobs, if it is time to tell them to the daemon at an
// address.
func (n *Node) jobsFor(address string) []tw.JobID {
	remote := n.knownMembers(func(m tw.Member) bool { return m.Address == address && m.Hall != n.cfg.Self.Hall })
	if len(remote) > 0 || n.oneIn(jobsOneIn) {
		return n.cfg.Dispatcher.Jobs()
	}
	return nil
}

// gossip passes on what this daemon heard of others last, without their
// reports and jobs, which each hears from them directly.
func (n *Node) gossip() []tw.Member {
	own := n.cfg.Self.Hall
	hall := n.members.mostRecent(maxGossipHall, func(m tw.Member) bool { return m.Hall == own && m.ID != n.cfg.Self.ID })
	remote := n.members.mostRecent(maxGossipRemote, func(m tw.Member) bool { return m.Hall != own })
	out := slices.Concat(hall, remote)
	for i := range out {
		out[i].Report = nil
		out[i].Jobs = nil
	}
	return out
}
