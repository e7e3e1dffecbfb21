package member_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/member"
)

// members starts the duties of one daemon on a store.
func members(kv tw.KV) (m *member.Members, end func()) {
	self := member.Live{Daemon: "a", Life: 1, Address: "a:1"}
	presence := member.PresenceConfig{KV: kv, Clock: tw.SystemClock{}, Log: zap.NewNop(), Self: self}.New()
	m = member.Config{
		KV: kv, Clock: tw.SystemClock{}, Log: zap.NewNop(), Self: self, Peers: member.NewPeers(), Presence: presence,
		Pools: func() []tw.PoolID { return nil }, Owned: func() []tw.PoolID { return nil },
		Version: func() tw.Version { return 0 }, Take: func(tw.PoolID, string) {},
		NewerConfig: func(string, tw.Version) {},
	}.New()
	return m, func() {
		m.Close()
		presence.Close(context.Background())
	}
}

// A daemon that lost the store says so before its waiting watch ends, so that
// nobody asks it to take a pool.
func TestStoreAnswersEndsWithRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		m, end := members(kv)
		defer end()
		time.Sleep(time.Second)
		g.Expect(m.StoreAnswers()).To(BeTrue())
		kv.SetFaults(standin.KVFaults{Down: true})
		time.Sleep(950 * time.Millisecond) // its record's lease has not run out yet
		g.Expect(m.StoreAnswers()).To(BeFalse())
		kv.SetFaults(standin.KVFaults{})
		time.Sleep(1500 * time.Millisecond)
		g.Expect(m.StoreAnswers()).To(BeTrue())
	})
}
