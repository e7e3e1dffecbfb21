// Package membertest runs the membership of a daemon for tests.
package membertest

import (
	"context"
	"encoding/json"
	"sync/atomic"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
)

// Peers simulates all other daemons: they answer pings with Answer, or leave them
// unanswered while Unresponsive is true.
type Peers struct {
	Unresponsive atomic.Bool
	Answer       member.PingResponse
}

// Ping implements member.Pinger.
func (p *Peers) Ping(ctx context.Context, _ string, _ member.PingRequest) (*member.PingResponse, error) {
	if p.Unresponsive.Load() {
		<-ctx.Done()
		return nil, tw.ErrAmbiguous
	}
	answer := p.Answer
	return &answer, nil
}

// Announce writes the record of another daemon into a store, as if that daemon were running.
func Announce(kv *standin.KV, record member.DaemonRecord) {
	value, err := json.Marshal(record)
	if err != nil {
		panic(err) // the type can always be encoded
	}
	kv.Put(ledger.LiveKey(record.Daemon), value)
}

// Start starts the membership of one daemon on a store. The daemon owns no
// pool and its configuration has none, so that it takes over none. The caller
// calls end when the test is over.
func Start(t agecheck.TB, kv tw.KV, self member.DaemonRecord) (members *member.Members, end func()) {
	return StartWithPeers(t, kv, self, &Peers{})
}

// StartWithPeers is Start with the given peers.
func StartWithPeers(t agecheck.TB, kv tw.KV, self member.DaemonRecord, peers *Peers) (members *member.Members, end func()) {
	return StartWithPools(t, kv, self, peers, nil, func(tw.PoolID, string) {})
}

// StartWithPools is StartWithPeers with the pools of the configuration. takeOver is called for those that
// the daemon should take over.
func StartWithPools(
	t agecheck.TB, kv tw.KV, self member.DaemonRecord, peers member.Pinger, pools []tw.PoolID, takeOver func(pool tw.PoolID, reason string),
) (members *member.Members, end func()) {
	clock, log := tw.SystemClock{}, agecheck.Logger(t)
	presence := member.PresenceConfig{KV: kv, Clock: clock, Log: log, Self: self}.New()
	members = member.Config{
		KV: kv, Clock: clock, Log: log, Self: self, Peers: peers, Presence: presence,
		Pools: func() []tw.PoolID { return pools }, OwnedPools: func() []tw.PoolID { return nil },
		ConfigVersion: func() tw.Version { return 0 }, TakeOver: takeOver,
		OnNewerConfig: func(string, tw.Version) {},
		Evacuations:   func() *tw.Evacuations { return nil }, OnEvacuations: func(*tw.Evacuations, string) {},
	}.New()
	return members, func() {
		members.Close()
		presence.Close(context.Background())
	}
}
