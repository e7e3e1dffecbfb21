package daemon

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/platform"
)

// evacuationFixture is the directory of a daemon and the store that it reads.
type evacuationFixture struct {
	*WithT
	kv      *standin.KV
	d       *directory
	metrics *metrics.Set
	changes atomic.Int32
}

func (r *evacuationFixture) evacuate(hall string) {
	r.kv.Put(platform.EvacuationPrefix+tw.Key(hall), []byte("{}"))
}

// evacuationsCases are the ways in which a daemon learns of evacuations.
var evacuationsCases = map[string]func(r *evacuationFixture){
	"from its watch, including their end": func(r *evacuationFixture) {
		r.evacuate("a")
		r.evacuate("b")
		time.Sleep(100 * time.Millisecond)
		r.Expect(r.d.Evacuations().Halls).To(Equal([]tw.HallID{"a", "b"}))
		r.kv.Remove(platform.EvacuationPrefix + "a")
		time.Sleep(100 * time.Millisecond)
		r.Expect(r.d.Evacuations().Halls).To(Equal([]tw.HallID{"b"}))
		r.Expect(r.d.evacuatedHalls()).To(BeEquivalentTo(1))
		r.Expect(r.changes.Load()).To(BeNumerically(">=", 2))
	},
	"from a peer, while the store is down": func(r *evacuationFixture) {
		time.Sleep(100 * time.Millisecond)
		r.kv.SetFaults(standin.KVFaults{Down: true})
		later := r.d.Evacuations().Revision + 5
		r.d.applyEvacuations(&tw.Evacuations{Revision: later, Halls: []tw.HallID{"a"}}, "b")
		r.Expect(r.d.Evacuations().Has("a")).To(BeTrue())
		r.d.applyEvacuations(&tw.Evacuations{Revision: later - 1}, "c")
		r.d.applyEvacuations(nil, "c")
		r.Expect(r.d.Evacuations().Has("a")).To(BeTrue(), "an older state has replaced a newer one")
		r.d.applyEvacuations(&tw.Evacuations{Revision: later + 1}, "c")
		r.Expect(r.d.Evacuations().Any()).To(BeFalse())
	},
	"from the read at a takeover, if the watch fails": func(r *evacuationFixture) {
		time.Sleep(100 * time.Millisecond)
		r.d.operatorWatcher.Close()
		r.evacuate("a")
		time.Sleep(time.Second)
		r.Expect(r.d.Evacuations().Any()).To(BeFalse())
		r.Expect(r.d.readEvacuations(context.Background())).To(Succeed())
		r.Expect(r.d.Evacuations().Has("a")).To(BeTrue())
	},
	"since when, until it is revoked": func(r *evacuationFixture) {
		r.evacuate("a")
		time.Sleep(100 * time.Millisecond)
		revision := r.d.evacuationsRevision()
		time.Sleep(time.Second)
		r.evacuate("b") // does not change since when the other one is evacuated
		time.Sleep(100 * time.Millisecond)
		r.Expect(r.d.evacuatedFor("a")).To(BeNumerically("~", 1200*time.Millisecond, 100*time.Millisecond))
		r.Expect(r.d.evacuatedFor("b")).To(BeNumerically("~", 100*time.Millisecond, 100*time.Millisecond))
		r.Expect(r.d.evacuationsRevision()).To(BeNumerically(">", revision))
		r.kv.Remove(platform.EvacuationPrefix + "a")
		time.Sleep(100 * time.Millisecond)
		r.Expect(r.d.evacuatedFor("a")).To(BeZero())
		var text strings.Builder
		r.metrics.WritePrometheus(&text)
		r.Expect(text.String()).To(ContainSubstring("tamarind_hall_evacuated_seconds{hall=\"a\"} 0\n"))
		r.evacuate("a")
		time.Sleep(100 * time.Millisecond)
		r.Expect(r.d.evacuatedFor("a")).To(BeNumerically("<=", 100*time.Millisecond))
	},
	"keys that name no hall are ignored": func(r *evacuationFixture) {
		r.evacuate("")
		r.evacuate("a/b")
		time.Sleep(100 * time.Millisecond)
		r.Expect(r.d.Evacuations().Any()).To(BeFalse())
	},
}

// A daemon that misses an evacuation, or returns to an older state, starts work in an evacuated
// hall.
func TestEvacuations(t *testing.T) {
	for name, c := range evacuationsCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &evacuationFixture{WithT: NewWithT(t), kv: standin.KVConfig{Latency: time.Millisecond}.New(), metrics: agecheck.Metrics(t)}
				r.d = newDirectory(r.kv, tw.SystemClock{}, agecheck.Logger(t), r.metrics, func() { r.changes.Add(1) })
				r.d.watchOperator()
				defer r.d.close()
				c(r)
			})
		})
	}
}
