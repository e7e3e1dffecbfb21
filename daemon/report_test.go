package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// The manager moves a machine away when the owner of its pool reports that it is
// empty. A daemon that has lost a pool finds that out with its next write, up to 1.5 s
// later. Until then it answered for the pool, also when this daemon knew of the newer
// owner from a peer: with fence 1 here, where the owner has fence 5. That owner may
// have started work on the machines that the former one reports as empty.
func TestReportOfAFormerOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		newer := ledger.Owner{Pool: "p", Daemon: "b", Address: "b:1", Fence: 5}
		d, end := bareDaemon(newer)
		defer end()
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		self := ledger.Owner{Pool: "p", Daemon: d.self.Daemon, Incarnation: d.self.Incarnation}
		book, err := ledger.Config{KV: kv, Clock: d.clock, Log: d.log, Owner: self}.Open(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		self.Fence = book.Fence()
		census := run.MachineCacheConfig{Machines: standin.CloudConfig{}.New(), Clock: tw.SystemClock{}, Log: zap.NewNop()}.New()
		defer census.Close()
		former := run.Config{
			Book: book, Self: self, KV: kv, MachineCache: census, Clock: d.clock, Log: d.log, Metrics: metrics.NewSet(),
		}.New()
		defer former.Close()
		d.owners.owned["p"] = &ownedPool{owner: former}
		_, err = d.ReportOf(t.Context(), "p", run.Directions{})
		g.Expect(err).To(MatchError(run.ErrNotOwner))
	})
}
