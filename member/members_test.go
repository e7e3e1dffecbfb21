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

// A daemon that lost the store says so before its waiting watch ends, so that
// nobody asks it to take a pool.
func TestStoreAnswersEndsWithRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		m, end := membertest.Start(kv, member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1"})
		defer end()
		time.Sleep(time.Second)
		g.Expect(m.StoreReachable()).To(BeTrue())
		kv.SetFaults(standin.KVFaults{Down: true})
		time.Sleep(950 * time.Millisecond) // its record's lease has not run out yet
		g.Expect(m.StoreReachable()).To(BeFalse())
		kv.SetFaults(standin.KVFaults{})
		time.Sleep(1500 * time.Millisecond)
		g.Expect(m.StoreReachable()).To(BeTrue())
	})
}
