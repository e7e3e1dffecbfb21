package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/membertest"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/member"
)

// readyCases are states of a daemon with the result of its readiness check.
var readyCases = map[string]struct {
	configured, stopping, storeDown, partitioned bool
	want                                         int
}{
	"not configured yet":                   {want: http.StatusServiceUnavailable},
	"serving":                              {configured: true, want: http.StatusOK},
	"stopping":                             {configured: true, stopping: true, want: http.StatusServiceUnavailable},
	"without the store":                    {configured: true, storeDown: true, want: http.StatusOK},
	"without the store and the other hall": {configured: true, storeDown: true, partitioned: true, want: http.StatusServiceUnavailable},
	"without the other hall":               {configured: true, partitioned: true, want: http.StatusOK},
}

// A daemon must stay ready while it reaches the store or the other hall, as it can serve then:
// otherwise an outage of the store takes all daemons off the load balancer.
func TestReady(t *testing.T) {
	for name, c := range readyCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := standin.KVConfig{Latency: time.Millisecond}.New()
				membertest.Announce(kv, member.DaemonRecord{Daemon: "b", Address: "b:1", Hall: "far"})
				peers := &membertest.Peers{}
				members, end := membertest.StartWithPeers(t, kv, member.DaemonRecord{Daemon: "a", Address: "a:1", Hall: "near"}, peers)
				defer end()
				d := &QueueDaemon{directory: &directory{}, members: members}
				if c.configured {
					d.directory.config = &tw.QueueConfig{Version: 1}
				}
				d.stopping.Store(c.stopping)
				time.Sleep(2 * time.Second)
				kv.SetFaults(standin.KVFaults{Down: c.storeDown})
				peers.Unresponsive.Store(c.partitioned)
				time.Sleep(time.Second)
				recorder := httptest.NewRecorder()
				d.ready(recorder, nil)
				NewWithT(t).Expect(recorder.Code).To(Equal(c.want))
			})
		})
	}
}
