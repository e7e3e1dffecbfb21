package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// ReportOf must reject the report of a previous owner. A daemon that has lost a pool learns
// of it only with its next write, up to 1.5 s later, and reports for the pool until then:
// here with fence 1, while a peer has announced an owner with fence 5. The manager moves
// machines that are reported as empty, although the new owner may have started work there.
func TestReportOfPreviousOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		newer := ledger.Owner{Pool: "p", Daemon: "b", Address: "b:1", Fence: 5}
		d, end := bareDaemon(t, newer)
		defer end()
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		self := ledger.Owner{Pool: "p", Daemon: d.self.Daemon, Incarnation: d.self.Incarnation}
		book, err := ledger.Config{KV: kv, Clock: d.clock, Log: d.log, Owner: self}.Open(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		self.Fence = book.Fence()
		machineCache := run.MachineCacheConfig{Machines: standin.CloudConfig{}.New(), Clock: tw.SystemClock{}, Log: agecheck.Logger(t)}.New()
		defer machineCache.Close()
		former := run.Config{
			Book: book, Self: self, KV: kv, MachineCache: machineCache, Clock: d.clock, Log: d.log, Metrics: agecheck.Metrics(t),
		}.New()
		defer former.Close()
		d.owners.owned["p"] = &ownedPool{owner: former}
		_, err = d.ReportOf(t.Context(), "p", run.Directions{})
		g.Expect(err).To(MatchError(run.ErrNotOwner))
	})
}
