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

// isolationCases list what a daemon in the hall "near" reaches, and whether it is isolated.
var isolationCases = map[string]struct {
	other     member.DaemonRecord
	storeDown bool
	cut       bool
	want      bool
}{
	"store and other hall":       {other: member.DaemonRecord{Daemon: "b", Address: "b:1", Hall: "far"}},
	"other hall without a store": {other: member.DaemonRecord{Daemon: "b", Address: "b:1", Hall: "far"}, storeDown: true},
	"store without another hall": {other: member.DaemonRecord{Daemon: "b", Address: "b:1", Hall: "far"}, cut: true},
	"neither of them":            {other: member.DaemonRecord{Daemon: "b", Address: "b:1", Hall: "far"}, storeDown: true, cut: true, want: true},
	"another daemon of the only hall": {
		other: member.DaemonRecord{Daemon: "b", Address: "b:1", Hall: "near"}, storeDown: true,
	},
	"nothing, in the only hall": {
		other: member.DaemonRecord{Daemon: "b", Address: "b:1", Hall: "near"}, storeDown: true, cut: true, want: true,
	},
}

func TestIsolated(t *testing.T) {
	for name, c := range isolationCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				kv := standin.KVConfig{Latency: time.Millisecond}.New()
				membertest.Announce(kv, c.other)
				peers := &membertest.Peers{}
				m, end := membertest.StartWithPeers(t, kv, member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1", Hall: "near"}, peers)
				defer end()
				time.Sleep(2 * time.Second)
				g.Expect(m.Isolated()).To(BeFalse())
				ctx, stop := m.ContextUntilIsolated(t.Context())
				defer stop()
				kv.SetFaults(standin.KVFaults{Down: c.storeDown})
				peers.Unresponsive.Store(c.cut)
				time.Sleep(time.Second)
				g.Expect(m.Isolated()).To(Equal(c.want))
				g.Expect(ctx.Err() != nil).To(Equal(c.want))
				kv.SetFaults(standin.KVFaults{})
				peers.Unresponsive.Store(false)
				time.Sleep(time.Second)
				g.Expect(m.Isolated()).To(BeFalse())
				again, stopAgain := m.ContextUntilIsolated(t.Context())
				defer stopAgain()
				g.Expect(again.Err()).NotTo(HaveOccurred())
			})
		})
	}
}
