package maintenance

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
)

// A pool that is taken out of the configuration must not be shown with its last machines.
func TestPoolMetricsOfARemovedPool(t *testing.T) {
	g := NewWithT(t)
	p := poolMetrics{set: agecheck.Metrics(t), gauges: map[string]*metrics.Gauge{}}
	p.update(&State{
		Pools:         map[tw.PoolID]*Pool{"a": {ID: "a", Need: 2}, "b": {ID: "b", Need: 3}},
		machineCounts: map[tw.PoolID]int{"a": 4, "b": 5},
	})
	p.update(&State{Pools: map[tw.PoolID]*Pool{"a": {ID: "a", Need: 2}}, machineCounts: map[tw.PoolID]int{"a": 4, "b": 5}})
	var out strings.Builder
	p.set.WritePrometheus(&out)
	g.Expect(strings.Split(strings.TrimSpace(out.String()), "\n")).To(ConsistOf(
		`tamarind_machines{pool="a"} 4`, `tamarind_machines_needed{pool="a"} 2`,
		`tamarind_machines{pool="b"} 0`, `tamarind_machines_needed{pool="b"} 0`,
	))
}
