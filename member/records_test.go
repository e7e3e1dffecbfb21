package member_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/membertest"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
)

// oddMembers are records that another writer may leave among those of the members.
var oddMembers = map[string]struct {
	key  tw.Key
	body string
}{
	"too deep":                 {key: ledger.LivePrefix + "x", body: strings.Repeat(`{"daemon":`, 200_000)},
	"number of 1 MB":           {key: ledger.LivePrefix + "x", body: `{"life":` + strings.Repeat("9", 1_000_000) + `}`},
	"another daemon's record":  {key: ledger.LivePrefix + "x", body: `{"daemon":"b","life":99,"address":"10.9.9.9:1","hall":"x","cores":1e9}`},
	"no daemon":                {key: ledger.LivePrefix, body: `{"address":"10.9.9.9:1"}`},
	"cores, 1e308":             {key: ledger.LivePrefix + "x", body: `{"daemon":"x","address":"10.9.9.9:1","cores":1e308}`},
	"cores below 0":            {key: ledger.LivePrefix + "x", body: `{"daemon":"x","address":"10.9.9.9:1","cores":-1}`},
	"address with a zone":      {key: ledger.LivePrefix + "x", body: `{"daemon":"x","life":1,"address":"[fe80::1%25]:99999","hall":"x"}`},
	"address with line breaks": {key: ledger.LivePrefix + "x", body: `{"daemon":"x","life":1,"address":"a\r\nb: 1","hall":"x"}`},
	"owner, another pool's":    {key: ledger.OwnerPrefix + "x", body: `{"pool":"p","daemon":"x","address":"10.9.9.9:1","fence":77}`},
	"owner, fence too large":   {key: ledger.OwnerPrefix + "p", body: `{"pool":"p","daemon":"x","address":"10.9.9.9:1","fence":9223372036854775807}`},
	"key of no kind":           {key: ledger.MemberPrefix + "other/\xff", body: "\x00"},
}

// TestOddMembers checks that an odd record changes nothing that is known of the others, and that
// changes of these are still learned.
func TestOddMembers(t *testing.T) {
	for name, c := range oddMembers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				kv := standin.KVConfig{Latency: time.Millisecond}.New()
				membertest.Announce(kv, member.DaemonRecord{Daemon: "b", Incarnation: 1, Address: "b:1", Hall: "far"})
				kv.Put(c.key, []byte(c.body))
				members, end := membertest.Start(t, kv, member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1", Hall: "near"})
				defer end()
				time.Sleep(time.Second)
				address, known := members.AddressOf("b")
				g.Expect(known).To(BeTrue())
				g.Expect(address).To(Equal("b:1"))
				_, owned := members.Owner("p")
				g.Expect(owned).To(BeFalse())
				owner, err := json.Marshal(ledger.Owner{Pool: "p", Daemon: "b", Address: "b:1", Incarnation: 1, Fence: 3})
				g.Expect(err).NotTo(HaveOccurred())
				kv.Put(ledger.OwnerKey("p"), owner)
				membertest.Announce(kv, member.DaemonRecord{Daemon: "c", Incarnation: 1, Address: "c:1", Hall: "far"})
				time.Sleep(time.Second)
				known2, owned := members.Owner("p")
				g.Expect(owned).To(BeTrue())
				g.Expect(known2.Fence).To(Equal(tw.FencingToken(3)))
				_, known = members.AddressOf("c")
				g.Expect(known).To(BeTrue())
			})
		})
	}
}

// TestUnreadableMembersLog bounds the log lines of a record that is replaced all the time.
func TestUnreadableMembersLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		self := member.DaemonRecord{Daemon: "a"}
		presence := member.PresenceConfig{KV: kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(t), Self: self}.New()
		members := member.Config{
			KV: kv, Clock: tw.SystemClock{}, Log: agecheck.LoggerOf(t, core), Self: self, Peers: &membertest.Peers{}, Presence: presence,
			Pools: func() []tw.PoolID { return nil }, OwnedPools: func() []tw.PoolID { return nil },
			ConfigVersion: func() tw.Version { return 0 }, TakeOver: func(tw.PoolID, string) {}, OnNewerConfig: func(string, tw.Version) {},
			Evacuations: func() *tw.Evacuations { return nil }, OnEvacuations: func(*tw.Evacuations, string) {},
		}.New()
		for n := range 1000 {
			kv.Put(ledger.LivePrefix+"x", fmt.Appendf(nil, `{"daemon":%s}`, strings.Repeat("x", 1+n%50)))
			time.Sleep(10 * time.Millisecond)
		}
		members.Close()
		presence.Close(t.Context())
		NewWithT(t).Expect(logs.FilterMessage("member: unreadable record").Len()).To(BeNumerically("<=", 40))
	})
}
