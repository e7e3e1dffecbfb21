package member_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/member"
)

// watcherCases are events in a store, and the value of the key "p/1" that a
// watcher then reports.
var watcherCases = map[string]struct {
	event func(k *standin.KV)
	want  string
}{
	"a change":  {event: func(k *standin.KV) { k.Put("p/1", []byte("two")) }, want: "two"},
	"a removal": {event: func(k *standin.KV) { k.Remove("p/1") }},
	"a history that is gone": {
		event: func(k *standin.KV) {
			k.Put("p/1", []byte("three"))
			k.CompactHistory()
		},
		want: "three",
	},
	"a change during an outage": {
		event: func(k *standin.KV) {
			k.SetFaults(standin.KVFaults{Down: true})
			time.Sleep(3 * time.Second)
			k.Put("p/1", []byte("four"))
			k.SetFaults(standin.KVFaults{})
		},
		want: "four",
	},
}

func TestWatcher(t *testing.T) {
	for name, c := range watcherCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				kv := standin.KVConfig{Latency: time.Millisecond}.New()
				kv.Put("p/1", []byte("one"))
				shown := make(chan string, 100)
				w := member.WatcherConfig{
					KV: kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(t), Prefix: "p/", Wait: time.Second,
					Changed: func(items map[tw.Key]tw.KVItem, _ tw.KVRevision) { shown <- string(items["p/1"].Value) },
				}.New()
				defer w.Close()
				time.Sleep(100 * time.Millisecond)
				g.Expect(w.AnsweringSince().IsZero()).To(BeFalse())
				c.event(kv)
				time.Sleep(2 * time.Second)
				last := "no change reported"
				for len(shown) > 0 {
					last = <-shown
				}
				g.Expect(last).To(Equal(c.want))
			})
		})
	}
}

// A daemon's record must be written again after its lease was revoked, and be
// removed by Close.
func TestPresence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		p := member.PresenceConfig{
			KV: kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(t), Self: member.DaemonRecord{Daemon: "a"}, MinTTL: time.Second,
		}.New()
		exists := func() bool {
			_, err := kv.Get(t.Context(), "tw/member/live/a")
			return err == nil
		}
		time.Sleep(10 * time.Second)
		g.Expect(exists()).To(BeTrue())
		kv.RevokeLeases()
		time.Sleep(time.Second)
		g.Expect(exists()).To(BeTrue())
		p.Close(t.Context())
		g.Expect(exists()).To(BeFalse())
	})
}

// Refresh must recover the items when the watch delivers no events and no error.
// Repeated calls within the minimum interval must not cause further reads.
func TestWatcherRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		shown := make(chan string, 100)
		w := member.WatcherConfig{
			KV: kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(t), Prefix: "p/", Wait: 3 * time.Second,
			Changed: func(items map[tw.Key]tw.KVItem, _ tw.KVRevision) { shown <- string(items["p/1"].Value) },
		}.New()
		defer w.Close()
		time.Sleep(time.Second)
		kv.SetFaults(standin.KVFaults{MuteWatches: true})
		kv.Put("p/1", []byte("one"))
		time.Sleep(time.Second)
		g.Expect(shown).To(HaveLen(1))
		for range 3 {
			w.Refresh() // only the first call causes a read
		}
		time.Sleep(100 * time.Millisecond)
		g.Expect(shown).To(HaveLen(2))
		g.Expect(<-shown).To(BeEmpty())
		g.Expect(<-shown).To(Equal("one"))
		g.Expect(w.AnsweringSince().IsZero()).To(BeFalse())
	})
}
