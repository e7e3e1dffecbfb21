package daemon

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/queue"
	"github.com/tamarindworks/tamarindworks/run"
)

// relayPeers implements tw.Relays: other daemons relay this daemon's orders.
type relayPeers struct{ *QueueDaemon }

var (
	_ member.Handler = (*QueueDaemon)(nil)
	_ tw.Relays      = relayPeers{}
)

// Candidates implements tw.Relays.
func (r relayPeers) Candidates(hall tw.HallID) []string { return r.members.RelayCandidates(hall) }

// Start implements tw.Relays.
func (r relayPeers) Start(ctx context.Context, address string, batch []tw.RelayedStart, answer func(tw.RelayedAnswer)) error {
	return r.peers.Start(ctx, address, batch, answer)
}

// Ping implements member.Handler.
func (d *QueueDaemon) Ping(_ context.Context, m *member.PingRequest) (*member.PingResponse, error) {
	if address, known := d.members.AddressOf(m.From); known && m.ConfigVersion > d.directory.version() {
		go d.fetchConfig(address, m.ConfigVersion) // the response must not wait for it
	}
	d.directory.applyEvacuations(m.Evacuations, string(m.From))
	suspicions, owners := d.members.HandlePing(m)
	return &member.PingResponse{
		Daemon: d.self.Daemon, Incarnation: d.self.Incarnation, ConfigVersion: d.directory.version(), Owned: d.owners.records(),
		StoreReachable: d.members.StoreReachable(), Evacuations: d.directory.Evacuations(),
		Suspicions: suspicions, Owners: owners,
	}, nil
}

// Config implements member.Handler.
func (d *QueueDaemon) Config(_ context.Context, _ *member.ConfigRequest) (*member.ConfigResponse, error) {
	return &member.ConfigResponse{Config: d.directory.Config()}, nil
}

// Submit implements member.Handler.
func (d *QueueDaemon) Submit(ctx context.Context, m *member.SubmitRequest) (*member.SubmitResponse, error) {
	owner := d.owners.Local(m.Submission.Policy.Pool)
	if owner == nil {
		return &member.SubmitResponse{Outcome: member.OutcomeNotOwner}, nil
	}
	err := owner.Submit(ctx, m.Submission)
	resp := &member.SubmitResponse{Outcome: queue.OutcomeOf(err)}
	if busy := (*run.BusyError)(nil); errors.As(err, &busy) {
		resp.RetryAfter = busy.RetryAfter
	}
	return resp, nil
}

// Cancel implements member.Handler.
func (d *QueueDaemon) Cancel(ctx context.Context, m *member.SubmissionRequest) (*member.SubmissionResponse, error) {
	owner := d.owners.Local(m.Pool)
	if owner == nil {
		return &member.SubmissionResponse{Outcome: member.OutcomeNotOwner}, nil
	}
	return &member.SubmissionResponse{Outcome: queue.OutcomeOf(owner.Cancel(ctx, m.Organisation, m.ID))}, nil
}

// State implements member.Handler.
func (d *QueueDaemon) State(ctx context.Context, m *member.SubmissionRequest) (*member.SubmissionResponse, error) {
	owner := d.owners.Local(m.Pool)
	if owner == nil {
		return &member.SubmissionResponse{Outcome: member.OutcomeNotOwner}, nil
	}
	state, err := owner.State(ctx, m.Organisation, m.ID)
	return &member.SubmissionResponse{Outcome: queue.OutcomeOf(err), State: state}, nil
}

// Waiting implements member.Handler.
func (d *QueueDaemon) Waiting(ctx context.Context, m *member.WaitingRequest) (*member.WaitingResponse, error) {
	owner := d.owners.Local(m.Pool)
	if owner == nil {
		return &member.WaitingResponse{Outcome: member.OutcomeNotOwner}, nil
	}
	count, err := owner.Waiting(ctx, m.Route)
	return &member.WaitingResponse{Outcome: queue.OutcomeOf(err), Count: count}, nil
}

// Take implements member.Handler. It ignores a request of a previous owner, for example
// after a network partition, if another daemon has taken the pool since: taking the pool
// again would interrupt it for nothing. A request without a fence is accepted.
func (d *QueueDaemon) Take(_ context.Context, m *member.TakeRequest) (*member.TakeResponse, error) {
	if owner, found := d.members.Owner(m.Pool); found && m.Fence != 0 && owner.Fence > m.Fence {
		d.log.Info("owner: pool not taken, it has a newer owner than the requesting daemon", zap.String("pool", string(m.Pool)),
			zap.String("owner", string(owner.Daemon)), zap.Int64("fence", int64(owner.Fence)))
		return &member.TakeResponse{}, nil
	}
	d.owners.takeOverFrom(m.Pool, m.Fence, "its owner hands it over")
	return &member.TakeResponse{}, nil
}

// Report implements member.Handler.
func (d *QueueDaemon) Report(ctx context.Context, m *member.ReportRequest) (*member.ReportResponse, error) {
	owner := d.owners.Local(m.Pool)
	if owner == nil {
		return &member.ReportResponse{Outcome: member.OutcomeNotOwner}, nil
	}
	report, err := owner.Report(ctx, m.Directions)
	return &member.ReportResponse{Outcome: queue.OutcomeOf(err), Report: report}, nil
}

// Evacuations implements member.Handler.
func (d *QueueDaemon) Evacuations(ctx context.Context, _ *member.EvacuationsRequest) (*member.EvacuationsResponse, error) {
	out := &member.EvacuationsResponse{
		Known: d.directory.Evacuations(), Since: d.directory.evacuatedSinceByHall(), Peers: d.members.PeerEvacuations(),
	}
	for _, pool := range d.owners.pools() {
		owner := d.owners.Local(pool)
		if owner == nil {
			continue // being taken over, or the manager's
		}
		report, err := owner.Evacuations(ctx)
		if errors.Is(err, run.ErrNotOwner) {
			continue // its ownership has just ended
		}
		if err != nil {
			d.log.Warn("evacuations: no report of a pool", zap.String("pool", string(pool)), logsink.Err(err))
			continue
		}
		out.Pools = append(out.Pools, report)
	}
	return out, nil
}

// ReportOf gets the load report of a pool from its owner, and passes the directions
// to the owner.
func (d *QueueDaemon) ReportOf(ctx context.Context, pool tw.PoolID, directions run.Directions) (run.Report, error) {
	owner, found := d.members.Owner(pool)
	report, err := d.reportFrom(ctx, owner, found, pool, directions)
	if err == nil && report.Fence < owner.Fence {
		// A previous owner does not know the work that its successor has started.
		return run.Report{}, run.ErrNotOwner
	}
	return report, err
}

// reportFrom asks this daemon's owner of the pool if there is one, else the known owner.
func (d *QueueDaemon) reportFrom(
	ctx context.Context, owner ledger.Owner, found bool, pool tw.PoolID, directions run.Directions,
) (run.Report, error) {
	if local := d.owners.Local(pool); local != nil {
		return local.Report(ctx, directions)
	}
	if !found {
		return run.Report{}, run.ErrNotOwner
	}
	resp, err := d.peers.Report(ctx, owner.Address, member.ReportRequest{Pool: pool, Directions: directions})
	if err != nil {
		return run.Report{}, err
	}
	return resp.Report, queue.ErrorOf(resp.Outcome)
}

// Start implements member.Handler.
func (d *QueueDaemon) Start(ctx context.Context, m *member.StartRequest, answer func(*member.StartResponse) error) error {
	var failed error
	d.relay.Start(ctx, m.Batch(), func(answers []tw.RelayedAnswer) {
		for _, response := range m.Responses(answers) {
			failed = errors.CombineErrors(failed, answer(response))
		}
	})
	return failed
}
