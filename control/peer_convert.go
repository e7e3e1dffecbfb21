package control

import (
	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control/peerpb"
)

func memberToWire(m tw.Member) *peerpb.Member {
	out := &peerpb.Member{
		Id:          string(m.ID),
		Hall:        string(m.Hall),
		Instance:    string(m.Instance),
		Incarnation: uint64(m.Incarnation),
		Beat:        m.Beat,
		Address:     m.Address,
		Gateway:     m.Gateway,
		Revision:    uint64(m.Revision),
		Demand:      uint32(m.Demand),
		Planning:    m.Planning,
		Report:      reportToWire(m.Report),
	}
	for _, j := range m.Jobs {
		out.Jobs = append(out.Jobs, string(j))
	}
	return out
}

func memberFromWire(m *peerpb.Member) tw.Member {
	out := tw.Member{
		ID:          tw.DaemonID(m.GetId()),
		Hall:        tw.HallID(m.GetHall()),
		Instance:    tw.InstanceID(m.GetInstance()),
		Incarnation: tw.Incarnation(m.GetIncarnation()),
		Beat:        m.GetBeat(),
		Address:     m.GetAddress(),
		Gateway:     m.GetGateway(),
		Revision:    tw.Revision(m.GetRevision()),
		Demand:      int(m.GetDemand()),
		Planning:    m.GetPlanning(),
		Report:      reportFromWire(m.GetReport()),
	}
	for _, j := range m.GetJobs() {
		out.Jobs = append(out.Jobs, tw.JobID(j))
	}
	return out
}

func reportToWire(r *tw.Report) *peerpb.Report {
	if r == nil {
		return nil
	}
	out := &peerpb.Report{Acked: uint64(r.Acked)}
	for _, l := range r.Loads {
		out.Loads = append(out.Loads, &peerpb.Load{
			Instance: string(l.Instance),
			Job:      string(l.Job),
			InFlight: uint32(l.InFlight),
			Ok:       uint32(l.OK),
			Failed:   uint32(l.Failed),
		})
	}
	return out
}

func reportFromWire(r *peerpb.Report) *tw.Report {
	if r == nil {
		return nil
	}
	out := &tw.Report{Acked: tw.Generation(r.GetAcked())}
	for _, l := range r.GetLoads() {
		out.Loads = append(out.Loads, tw.Load{
			Instance: tw.InstanceID(l.GetInstance()),
			Job:      tw.JobID(l.GetJob()),
			InFlight: int(l.GetInFlight()),
			OK:       int(l.GetOk()),
			Failed:   int(l.GetFailed()),
		})
	}
	return out
}

func membersToWire(in []tw.Member) []*peerpb.Member {
	out := make([]*peerpb.Member, 0, len(in))
	for _, m := range in {
		out = append(out, memberToWire(m))
	}
	return out
}

func membersFromWire(in []*peerpb.Member) []tw.Member {
	out := make([]tw.Member, 0, len(in))
	for _, m := range in {
		out = append(out, memberFromWire(m))
	}
	return out
}

func claimToWire(c tw.Claim) *peerpb.ClaimMessage {
	return &peerpb.ClaimMessage{
		Scope:  c.Scope,
		Body:   c.Body,
		Holder: string(c.Holder),
		Nonce:  c.Nonce,
		State:  string(c.State),
	}
}

func claimFromWire(m *peerpb.ClaimMessage) tw.Claim {
	return tw.Claim{
		Scope:  m.GetScope(),
		Body:   m.GetBody(),
		Holder: tw.DaemonID(m.GetHolder()),
		Nonce:  m.GetNonce(),
		State:  tw.ClaimState(m.GetState()),
	}
}
