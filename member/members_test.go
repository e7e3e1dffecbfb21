package member_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tamarindworks/tamarindworks/internal/membertest"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/member"
)

// A daemon that lost the store must report so before its current watch call
// times out, so that no other daemon asks it to take over a pool.
func TestStoreReachableFollowsRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		m, end := membertest.Start(t, kv, member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1"})
		defer end()
		time.Sleep(time.Second)
		g.Expect(m.StoreReachable()).To(BeTrue())
		kv.SetFaults(standin.KVFaults{Down: true})
		time.Sleep(950 * time.Millisecond) // the lease of its record has not expired yet
		g.Expect(m.StoreReachable()).To(BeFalse())
		kv.SetFaults(standin.KVFaults{})
		time.Sleep(1500 * time.Millisecond)
		g.Expect(m.StoreReachable()).To(BeTrue())
	})
}
