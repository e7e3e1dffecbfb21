package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/tamarindworks/tamarindworks/internal/standin"
)

// mix is a combination of request streams that the overload experiment sends together.
type mix struct {
	name    string
	streams []standin.Stream
}

const (
	overloadInstances = 4
	overloadTime      = 4 * time.Second
	// warmupTime precedes the measurement. Until the gateway has seen quick requests
	// arrive, it reserves few slots for them and admits more long ones, which hold their
	// slots until they have ended.
	warmupTime = 2 * time.Second
)

var mixes = []mix{
	{name: "quick alone", streams: []standin.Stream{
		{Name: "quick", Method: http.MethodGet, Host: benchHost, Path: "/quick", Work: 20 * time.Millisecond, Share: 1},
	}},
	{name: "quick and normal", streams: []standin.Stream{
		{Name: "quick", Method: http.MethodGet, Host: benchHost, Path: "/quick", Work: 20 * time.Millisecond, Share: 1},
		{Name: "normal", Method: http.MethodPost, Host: benchHost, Path: "/normal", Work: 40 * time.Millisecond, Share: 2},
	}},
	{name: "quick and long", streams: []standin.Stream{
		{Name: "quick", Method: http.MethodGet, Host: benchHost, Path: "/quick", Work: 20 * time.Millisecond, Share: 4},
		{Name: "long", Method: http.MethodPost, Host: benchHost, Path: "/long", Work: 400 * time.Millisecond, Share: 1},
	}},
}

// Overload sends each mix at a tenth of the capacity and at twice the capacity.
func Overload(ctx context.Context, out io.Writer) error {
	b, err := newBench(overloadInstances)
	if err != nil {
		return err
	}
	defer b.close()
	for _, m := range mixes {
		if err := m.run(ctx, b, out); err != nil {
			return err
		}
	}
	return nil
}

func (m mix) run(ctx context.Context, b *bench, out io.Writer) error {
	capacity := float64(overloadInstances*int(instanceSlots)) / m.meanWork().Seconds()
	for _, factor := range []float64{0.1, 2} {
		rate := factor * capacity
		load := b.load(int(rate*(warmupTime+overloadTime).Seconds()), rate, m.streams)
		load.Warmup = int(rate * warmupTime.Seconds())
		report, err := load.Run(ctx)
		if err != nil {
			return err
		}
		for _, s := range m.streams {
			p := report.Latency(s.Name)
			fmt.Fprintf(out, "%-18s load=%.1fx %-7s answered=%-5d p50=%-10v p99=%v\n", m.name, factor, s.Name, p.N, p.P50, p.P99)
		}
		goodput := report.Worked.Seconds() / (float64(overloadInstances*int(instanceSlots)) * overloadTime.Seconds())
		fmt.Fprintf(out, "%-18s load=%.1fx goodput=%.1f%% of capacity, faults=%d, refused=%v\n", m.name, factor, 100*goodput, report.Violations(), report.Refused)
	}
	return nil
}

// meanWork returns the mean time that a request of the mix holds a slot.
func (m mix) meanWork() time.Duration {
	var sum time.Duration
	n := 0
	for _, s := range m.streams {
		sum += time.Duration(s.Share) * s.Work
		n += s.Share
	}
	return sum / time.Duration(n)
}
