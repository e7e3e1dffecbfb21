package member

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// EvacuationsRequest requests what a daemon knows of evacuated halls.
	EvacuationsRequest struct{}

	// EvacuationsResponse is what a daemon knows of evacuated halls.
	EvacuationsResponse struct {
		// Known are the evacuated halls; nil if the daemon has not learned them yet.
		Known *tw.Evacuations `json:"known,omitempty"`
		// Since is when the daemon learned of the evacuation of each hall, by its clock.
		Since map[tw.HallID]time.Time `json:"since,omitempty"`
		// Pools are the reports of the pools that the daemon owns.
		Pools []run.EvacuationReport `json:"pools,omitempty"`
		// Peers is what its peers knew when they last pinged it or answered its ping.
		Peers []PeerEvacuations `json:"peers,omitempty"`
	}

	// PeerEvacuations is what a daemon has last told another one of evacuated halls.
	PeerEvacuations struct {
		Daemon  tw.DaemonID `json:"daemon"`
		Address string      `json:"address"`
		// Known are the evacuated halls; nil if the daemon knew none.
		Known *tw.Evacuations `json:"known,omitempty"`
		// Age is the time since then.
		Age time.Duration `json:"age"`
	}

	// heardEvacuations is what a peer knew of evacuated halls at a time.
	heardEvacuations struct {
		known *tw.Evacuations
		at    time.Time
	}

	// EvacuationSource asks a daemon what it knows of evacuated halls. Peers implements it.
	EvacuationSource interface {
		Evacuations(ctx context.Context, address string) (*EvacuationsResponse, error)
	}

	// EvacuationSurvey is what the daemons of a deployment know of evacuated halls.
	EvacuationSurvey struct {
		// Since is the earliest time at which a daemon that answered learned of the evacuation
		// of each hall.
		Since   map[tw.HallID]time.Time `json:"since,omitempty"`
		Daemons []DaemonEvacuations     `json:"daemons"`
		// Pools holds the report of each pool's owner.
		Pools []run.EvacuationReport `json:"pools"`
	}

	// DaemonEvacuations is how far a daemon has learned of evacuated halls.
	DaemonEvacuations struct {
		Daemon tw.DaemonID `json:"daemon"`
		// Reached: the daemon answered. Otherwise Known is what it last told a peer, Age ago.
		Reached bool            `json:"reached"`
		Known   *tw.Evacuations `json:"known,omitempty"`
		Age     time.Duration   `json:"age,omitempty"`
	}
)

const (
	// surveyCallTimeout bounds a call of a survey.
	surveyCallTimeout = time.Second
	// maxSurveyCalls is the maximum number of concurrent calls of a survey.
	maxSurveyCalls = 32
)

// noteEvacuations records what a peer knows of evacuated halls, if the peer is known as a daemon.
// The caller holds m.mu.
func (m *Members) noteEvacuations(daemon tw.DaemonID, known *tw.Evacuations, now time.Time) {
	if _, member := m.lastKnown[daemon]; !member {
		return
	}
	if m.heard == nil {
		m.heard = map[tw.DaemonID]heardEvacuations{}
	}
	m.heard[daemon] = heardEvacuations{known: known, at: now}
}

// PeerEvacuations returns what each peer last told of evacuated halls.
func (m *Members) PeerEvacuations() []PeerEvacuations {
	now := m.config.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]PeerEvacuations, 0, len(m.heard))
	for _, id := range slices.Sorted(maps.Keys(m.heard)) {
		heard := m.heard[id]
		if record, known := m.lastKnown[id]; known {
			out = append(out, PeerEvacuations{Daemon: id, Address: record.Address, Known: heard.known, Age: now.Sub(heard.at)})
		}
	}
	return out
}

// ReadDaemons reads the records of the live daemons from the store. Those that can't be read are left
// out: others may have written there, and a daemon without a record may be known to its peers.
func ReadDaemons(ctx context.Context, kv tw.KV) ([]DaemonRecord, error) {
	items, _, err := kv.Range(ctx, ledger.LivePrefix)
	if err != nil {
		return nil, errors.Wrap(err, "member.ReadDaemons")
	}
	var out []DaemonRecord
	for _, item := range items {
		if record, err := decodeDaemonRecord(item); err == nil {
			out = append(out, record)
		}
	}
	return out, nil
}

// SurveyEvacuations asks the live daemons, and those of which only these know, what they know of
// evacuated halls. A daemon that the store rejects has no record there.
func SurveyEvacuations(ctx context.Context, source EvacuationSource, live []DaemonRecord) EvacuationSurvey {
	addresses := map[tw.DaemonID]string{}
	for _, record := range live {
		addresses[record.Daemon] = record.Address
	}
	responses := askAll(ctx, source, addresses)
	heard := latestFromPeers(responses)
	others := map[tw.DaemonID]string{}
	for id, peer := range heard {
		if _, asked := addresses[id]; !asked {
			others[id] = peer.Address
		}
	}
	maps.Copy(responses, askAll(ctx, source, others))
	maps.Copy(addresses, others)
	return mergeEvacuations(slices.Sorted(maps.Keys(addresses)), responses, heard)
}

// askAll asks daemons and returns the responses of those that answered.
func askAll(ctx context.Context, source EvacuationSource, addresses map[tw.DaemonID]string) map[tw.DaemonID]*EvacuationsResponse {
	var mu sync.Mutex
	var calls sync.WaitGroup
	out := map[tw.DaemonID]*EvacuationsResponse{}
	slots := make(chan struct{}, maxSurveyCalls)
	for id, address := range addresses {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, surveyCallTimeout)
			defer cancel()
			if resp, err := source.Evacuations(callCtx, address); err == nil {
				mu.Lock()
				defer mu.Unlock()
				out[id] = resp
			}
		})
	}
	calls.Wait()
	return out
}

// latestFromPeers returns the most recent of what several daemons heard of each of their peers.
func latestFromPeers(responses map[tw.DaemonID]*EvacuationsResponse) map[tw.DaemonID]PeerEvacuations {
	out := map[tw.DaemonID]PeerEvacuations{}
	for _, resp := range responses {
		for _, peer := range resp.Peers {
			if have, found := out[peer.Daemon]; !found || peer.Age < have.Age {
				out[peer.Daemon] = peer
			}
		}
	}
	return out
}

func mergeEvacuations(
	daemons []tw.DaemonID, responses map[tw.DaemonID]*EvacuationsResponse, heard map[tw.DaemonID]PeerEvacuations,
) EvacuationSurvey {
	out := EvacuationSurvey{Since: map[tw.HallID]time.Time{}}
	pools := map[tw.PoolID]run.EvacuationReport{}
	for _, id := range daemons {
		resp := responses[id]
		if resp == nil {
			out.Daemons = append(out.Daemons, DaemonEvacuations{Daemon: id, Known: heard[id].Known, Age: heard[id].Age})
			continue
		}
		out.Daemons = append(out.Daemons, DaemonEvacuations{Daemon: id, Reached: true, Known: resp.Known})
		for hall, since := range resp.Since {
			if have, found := out.Since[hall]; !found || since.Before(have) {
				out.Since[hall] = since
			}
		}
		for _, report := range resp.Pools {
			// A previous owner may not have noticed yet that it was replaced.
			if have, found := pools[report.Pool]; !found || report.Fence > have.Fence {
				pools[report.Pool] = report
			}
		}
	}
	out.Pools = slices.SortedFunc(maps.Values(pools), func(a, b run.EvacuationReport) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}
