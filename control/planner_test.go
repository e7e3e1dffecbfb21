package control

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/platform"
)

// slowWorkers delays task listings, and records the tasks that are stopped.
type slowWorkers struct {
	tw.Workers
	mu      sync.Mutex
	delay   time.Duration
	stopped []tw.TaskID
}

func (w *slowWorkers) setDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = d
}

func (w *slowWorkers) Tasks(ctx context.Context, hall tw.HallID) ([]tw.Task, error) {
	w.mu.Lock()
	delay := w.delay
	w.mu.Unlock()
	time.Sleep(delay)
	return w.Workers.Tasks(ctx, hall)
}

func (w *slowWorkers) Stop(ctx context.Context, id tw.TaskID) error {
	w.mu.Lock()
	w.stopped = append(w.stopped, id)
	w.mu.Unlock()
	return w.Workers.Stop(ctx, id)
}

// TestPlannerAfterLeaseExpiry checks that a planner does not stop its successor's tasks.
// The planner sees them in a task listing that returns only after its lease has
// expired, while it cannot reach the store.
func TestPlannerAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newTestBed(t)
		b.intervals = Intervals{}
		_, err := b.operator.Apply(t.Context(), testConfig, "test", 0)
		g.Expect(err).NotTo(HaveOccurred())
		store := &partitionableStore{Store: b.platform}
		list := &partitionableList{InstanceList: b.platform}
		workers := &slowWorkers{Workers: b.platform}
		b.list, b.workers = list, workers
		one, _ := b.start("d1", 1, store)
		defer one.Close()
		time.Sleep(10 * time.Second)
		g.Expect(one.planner.leaseHeld.Load()).To(BeTrue())
		b.list, b.workers = b.platform, b.platform
		two, _ := b.start("d2", 1, b.platform)
		defer two.Close()
		time.Sleep(30 * time.Second)

		workers.setDelay(40 * time.Second) // like a process that is paused
		time.Sleep(10 * time.Second)       // until it lists the tasks
		store.setUnavailable(true)
		list.unavailable.Store(true)
		b.network.setIsolated("d1", true)
		more := strings.Replace(testConfig, "replicas = 2", "replicas = 3", 1)
		_, err = b.operator.Apply(t.Context(), more, "test", 1)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Minute)
		g.Expect(two.planner.leaseHeld.Load()).To(BeTrue())
		plan, err := b.operator.Plan(t.Context(), "h1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(servingCount(plan)).To(Equal(3))
		workers.mu.Lock()
		defer workers.mu.Unlock()
		g.Expect(workers.stopped).To(BeEmpty())
	})
}

var _ = Describe("a planner whose lease has expired", func() {
	It("leaves its successor's drains in the ledgers", func() {
		b := newTestBed(GinkgoT())
		n, _ := b.node("d1", b.platform)
		entry := tw.Disruption{Instance: "w0", Hall: "h1"}
		_, err := b.operator.documents.Write(GinkgoT().Context(), tw.BudgetKey("s"), platform.Document{},
			tw.ServiceDisruptions{Disruptions: []tw.Disruption{entry}})
		Expect(err).NotTo(HaveOccurred())
		late := newPlanner(n)
		late.beginTerm(1)
		late.leaseUntil = time.Now().Add(-time.Second)
		late.ledgersToClear["s"] = true
		config, err := ParseConfig(testConfig)
		Expect(err).NotTo(HaveOccurred())
		late.clearLedgerEntries(GinkgoT().Context(), config)
		stored, err := late.readLedger(GinkgoT().Context(), "s")
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.ledger.Has("w0")).To(BeTrue())
	})
})
