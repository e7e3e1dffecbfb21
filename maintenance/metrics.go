package maintenance

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	tw "github.com/tamarindworks/tamarindworks"
)

// poolMetrics are the gauges of the pools of machines. They are zero at a daemon that does not manage
// the machines.
type poolMetrics struct {
	set    *metrics.Set
	gauges map[string]*metrics.Gauge
}

// update sets the gauges to the state after a decision. Those of pools that are not configured any
// more become zero.
func (p *poolMetrics) update(s *State) {
	configured := map[*metrics.Gauge]bool{}
	set := func(metric string, pool tw.PoolID, value float64) {
		g := p.gauge(metric, pool)
		g.Set(value)
		configured[g] = true
	}
	for id, pool := range s.Pools {
		set("machines", id, s.machineCount(id))
		if !pool.Parking {
			set("machines_needed", id, pool.Need+pool.Late)
		}
	}
	for _, g := range p.gauges {
		if !configured[g] {
			g.Set(0)
		}
	}
}

// clear sets all gauges to zero.
func (p *poolMetrics) clear() {
	for _, g := range p.gauges {
		g.Set(0)
	}
}

func (p *poolMetrics) gauge(metric string, pool tw.PoolID) *metrics.Gauge {
	name := fmt.Sprintf("tamarind_%s{pool=%q}", metric, string(pool))
	g := p.gauges[name]
	if g == nil {
		g = p.set.GetOrCreateGauge(name, nil)
		p.gauges[name] = g
	}
	return g
}

// countOrder counts an order that was carried out, by its reason.
func (p *poolMetrics) countOrder(order Order) {
	p.set.GetOrCreateCounter(fmt.Sprintf("tamarind_machine_orders_total{reason=%q}", order.Reason)).Inc()
}
