package daemon

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/platform"
)

// evacuationRig is the directory of a daemon and the store that it reads.
type evacuationRig struct {
	*WithT
	kv      *standin.KV
	d       *directory
	changes atomic.Int32
}

func (r *evacuationRig) evacuate(hall string) {
	r.kv.Put(platform.EvacuationPrefix+tw.Key(hall), []byte("{}"))
}

// evacuationsCases are how a daemon learns of evacuations.
var evacuationsCases = map[string]func(r *evacuationRig){
	"by its watch, also of their end": func(r *evacuationRig) {
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
	"from a peer, while the store is down": func(r *evacuationRig) {
		time.Sleep(100 * time.Millisecond)
		r.kv.SetFaults(standin.KVFaults{Down: true})
		later := r.d.Evacuations().Revision + 5
		r.d.applyEvacuations(&tw.Evacuations{Revision: later, Halls: []tw.HallID{"a"}}, "b")
		r.Expect(r.d.Evacuations().Has("a")).To(BeTrue())
		r.d.applyEvacuations(&tw.Evacuations{Revision: later - 1}, "c")
		r.d.applyEvacuations(nil, "c")
		r.Expect(r.d.Evacuations().Has("a")).To(BeTrue(), "older news have replaced newer ones")
		r.d.applyEvacuations(&tw.Evacuations{Revision: later + 1}, "c")
		r.Expect(r.d.Evacuations().Any()).To(BeFalse())
	},
	"by reading at a takeover, if the watch is silent": func(r *evacuationRig) {
		time.Sleep(100 * time.Millisecond)
		r.d.operator.Close()
		r.evacuate("a")
		time.Sleep(time.Second)
		r.Expect(r.d.Evacuations().Any()).To(BeFalse())
		r.Expect(r.d.readEvacuations(context.Background())).To(Succeed())
		r.Expect(r.d.Evacuations().Has("a")).To(BeTrue())
	},
	"keys of no hall are passed over": func(r *evacuationRig) {
		r.evacuate("")
		r.evacuate("a/b")
		time.Sleep(100 * time.Millisecond)
		r.Expect(r.d.Evacuations().Any()).To(BeFalse())
	},
}

func TestEvacuations(t *testing.T) {
	for name, c := range evacuationsCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &evacuationRig{WithT: NewWithT(t), kv: standin.KVConfig{Latency: time.Millisecond}.New()}
				r.d = newDirectory(r.kv, tw.SystemClock{}, zap.NewNop(), metrics.NewSet(), func() { r.changes.Add(1) })
				r.d.watchOperator()
				defer r.d.close()
				c(r)
			})
		})
	}
}
