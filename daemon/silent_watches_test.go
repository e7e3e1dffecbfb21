package daemon

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/membertest"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/platform"
)

// contactTime is the shortest time, of any deployment, for which the platform counts a daemon as out of
// contact after its connections have gone silent. Until then the daemon need not know what is written.
const contactTime = 3 * time.Second

// silentWatches are what operators and workers write just after the connections of a daemon have gone
// silent, and whether the daemon knows of it.
var silentWatches = map[string]struct {
	key           tw.Key
	before, after string
	known         func(d *directory) bool
}{
	"a worker is draining": {
		key:    platform.WorkerPrefix + "w0",
		before: workerBody(false), after: workerBody(true),
		known: func(d *directory) bool {
			list, _ := d.workerList("p")
			return list.Workers["w0"].Draining
		},
	},
	"a configuration": {
		key: platform.QueueConfigKey, before: `{"version":1}`, after: `{"version":2}`,
		known: func(d *directory) bool { return d.version() == 2 },
	},
	"an evacuation": {
		key: platform.EvacuationPrefix + "h", after: "{}",
		known: func(d *directory) bool { return d.Evacuations().Has("h") },
	},
	"a maintenance wave": {
		key: platform.WavePrefix + "1", after: `{"wave":1,"machines":["m1"],"durationS":30,"maximum":1}`,
		known: func(d *directory) bool { return len(d.Waves()) == 1 },
	},
}

// workerBody returns the entry of worker w0.
func workerBody(draining bool) string {
	return string(standin.WorkerBody(tw.WorkerEntry{
		ID: "w0", Pool: "p", Address: "127.0.0.1:1", Instance: "m0", Hall: "h", Capacity: tw.Resources{CPU: 1000, MemoryMB: 1000}, Draining: draining,
	}))
}

// TestWatchesNoticeSilence guards against a watch that stays silent for longer than the promises that
// rest on it allow.
func TestWatchesNoticeSilence(t *testing.T) {
	for name, c := range silentWatches {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			store := newSilentStore()
			defer store.server.Close()
			kv := platform.KVConfig{Address: strings.TrimPrefix(store.server.URL, "http://")}.New()
			defer kv.Close()
			store.openIdleConnections(t, kv)
			d := newDirectory(kv, tw.SystemClock{}, agecheck.Logger(t), agecheck.Metrics(t), func() {})
			d.watchOperator()
			d.watchWorkers()
			defer d.close()
			g.Eventually(func() bool { _, read := d.workerList("p"); return read }, time.Second).Should(BeTrue())
			if c.before != "" {
				store.kv.Put(c.key, []byte(c.before)) // the pause after a change comes before the next watch
			}
			time.Sleep(50 * time.Millisecond)
			g.Expect(c.known(d)).To(BeFalse())
			store.silence()
			store.kv.Put(c.key, []byte(c.after))
			g.Eventually(func() bool { return c.known(d) }, contactTime).Should(BeTrue())
		})
	}
}

// membersNoticed is the time, beside a quick store, after which a daemon knows the records of others that
// were written after its connections to the store had gone silent. No promise has a shorter bound: that an
// owner is dead shows by pings, and a call to a daemon that owns a pool no longer says so.
const membersNoticed = 4600 * time.Millisecond

// TestMembersWatchNoticesSilence bounds how long a daemon does not know a new one.
func TestMembersWatchNoticesSilence(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	store := newSilentStore()
	defer store.server.Close()
	kv := platform.KVConfig{Address: strings.TrimPrefix(store.server.URL, "http://")}.New()
	defer kv.Close()
	store.openIdleConnections(t, kv)
	members, end := membertest.Start(t, kv, member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1"})
	defer end()
	known := func(id tw.DaemonID) func() bool {
		return func() bool { _, known := members.AddressOf(id); return known }
	}
	membertest.Announce(store.kv, member.DaemonRecord{Daemon: "b", Incarnation: 1, Address: "b:1"})
	g.Eventually(known("b"), time.Second).Should(BeTrue())
	time.Sleep(50 * time.Millisecond)
	store.silence()
	membertest.Announce(store.kv, member.DaemonRecord{Daemon: "c", Incarnation: 1, Address: "c:1"})
	g.Eventually(known("c"), membersNoticed).Should(BeTrue())
}
