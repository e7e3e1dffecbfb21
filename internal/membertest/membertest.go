// Package membertest starts the duties of a daemon's membership for tests.
package membertest

import (
	"context"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/member"
)

// Start starts the membership of one daemon on a store. The daemon owns no
// pool and is configured with none, so that it takes nothing by itself. The
// caller calls end when the test is over.
func Start(kv tw.KV, self member.Live) (members *member.Members, end func()) {
	clock, log := tw.SystemClock{}, zap.NewNop()
	presence := member.PresenceConfig{KV: kv, Clock: clock, Log: log, Self: self}.New()
	members = member.Config{
		KV: kv, Clock: clock, Log: log, Self: self, Peers: member.NewPeers(), Presence: presence,
		Pools: func() []tw.PoolID { return nil }, Owned: func() []tw.PoolID { return nil },
		Version: func() tw.Version { return 0 }, Take: func(tw.PoolID, string) {},
		NewerConfig: func(string, tw.Version) {},
	}.New()
	return members, func() {
		members.Close()
		presence.Close(context.Background())
	}
}
