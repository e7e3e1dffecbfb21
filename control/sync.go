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
	// eagerDiscoveryRounds is the number of rounds after the start in which a daemon
	// always reads the rosters of halls without a known daemon. After that it does so
	// in one of discoveryOneIn rounds on average.
	eagerDiscoveryRounds = 10
	discoveryOneIn       = 4
	// syncFanout is the number of daemons of the hall that each heartbeat goes to.
	syncFanout = 2
	// remoteSyncOneIn is the mean number of rounds per heartbeat to a daemon of another
	// hall.
	remoteSyncOneIn = 4
	// silentHallOneIn is the inverse of the probability of picking a known daemon of a
	// hall without live daemons. A round goes through these daemons in random order
	// until it picks one.
	silentHallOneIn = 2
	// jobsOneIn is the mean number of messages within the hall per message that lists
	// the sender's jobs. Messages to other halls always list them.
	jobsOneIn = 8
	// maxGossipHall and maxGossipRemote limit the heartbeats of other daemons that a
	// message passes on, from the sender's hall and from other halls.
	maxGossipHall   = 4
	maxGossipRemote = 1
)

// syncLoop sends heartbeats to a few random daemons of the hall in each round.
func (n *Node) syncLoop(ctx context.Context) {
	for n.sleep(ctx, n.jitter(n.cfg.Intervals.Sync)) {
		n.beat.Add(1)
		n.syncWith(ctx, n.pickHallPeers(), false)
	}
}

// remoteLoop discovers the daemons of other halls and sends heartbeats to one of them
// in some rounds. It is separate from syncLoop so that a hall that cannot be reached
// does not delay the heartbeats within this one.
func (n *Node) remoteLoop(ctx context.Context) {
	for round := 0; n.sleep(ctx, n.jitter(n.cfg.Intervals.Sync)); round++ {
		if round < eagerDiscoveryRounds || n.oneIn(discoveryOneIn) {
			n.discoverHalls(ctx)
		}
		n.syncWith(ctx, n.pickRemotePeers(), false)
	}
}

// pickHallPeers returns the addresses in the hall for the next heartbeat.
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

// pickRemotePeers returns the address of a daemon of another hall, or none in most
// rounds.
func (n *Node) pickRemotePeers() []string {
	remote := n.knownMembers(func(m tw.Member) bool { return m.Hall != n.cfg.Self.Hall })
	n.shuffle(remote)
	liveHalls := map[tw.HallID]bool{n.cfg.Self.Hall: true}
	for _, m := range n.remoteMembers() {
		liveHalls[m.Hall] = true
	}
	for _, m := range remote {
		// A hall without live daemons goes first, but not in every round: it may
		// be unreachable for long, and the other halls still need heartbeats.
		if !liveHalls[m.Hall] && n.oneIn(silentHallOneIn) {
			return []string{m.Address}
		}
	}
	if len(remote) == 0 || !n.oneIn(remoteSyncOneIn) {
		return nil
	}
	return []string{remote[0].Address}
}

// knownMembers returns all daemons in the table, including silent ones, which must be
// tried to notice the end of a network partition.
func (n *Node) knownMembers(filter func(tw.Member) bool) []tw.Member {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	var out []tw.Member
	for _, m := range n.members.table {
		if filter(m.Member) {
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

// syncWith exchanges heartbeats with several daemons concurrently.
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
	if req.Self.ID != "" { // operator commands have no ID
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

// jobsFor returns this daemon's jobs if a message to an address is to list them: always
// for other halls, sometimes within the hall.
func (n *Node) jobsFor(address string) []tw.JobID {
	remote := n.knownMembers(func(m tw.Member) bool { return m.Address == address && m.Hall != n.cfg.Self.Hall })
	if len(remote) > 0 || n.oneIn(jobsOneIn) {
		return n.cfg.Dispatcher.Jobs()
	}
	return nil
}

// gossip returns the latest heartbeats of other daemons, without reports and jobs,
// which daemons send only directly.
func (n *Node) gossip() []tw.Member {
	ownHall := n.cfg.Self.Hall
	hall := n.members.mostRecent(maxGossipHall, func(m tw.Member) bool { return m.Hall == ownHall && m.ID != n.cfg.Self.ID })
	remote := n.members.mostRecent(maxGossipRemote, func(m tw.Member) bool { return m.Hall != ownHall })
	out := slices.Concat(hall, remote)
	for i := range out {
		out[i].Report = nil
		out[i].Jobs = nil
	}
	return out
}
