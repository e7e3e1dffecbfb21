package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/tamarindworks/tamarindworks/internal/standin"
)

const (
	costRequests = 4000
	costRate     = 500 // requests per second
)

// Cost compares the latency of requests through the gateway with that of requests sent
// directly to the same upstream, in alternating runs.
func Cost(ctx context.Context, out io.Writer) error {
	b, err := newBench(1)
	if err != nil {
		return err
	}
	defer b.close()
	streams := []standin.Stream{{Name: "request", Method: http.MethodPost, Host: benchHost, Path: "/normal"}}
	viaGateway := b.load(costRequests, costRate, streams)
	direct := viaGateway
	direct.Targets = b.upstreamAddresses
	direct.Job = benchJob
	for _, run := range []struct {
		name string
		load standin.LoadConfig
	}{{"direct", direct}, {"gateway", viaGateway}, {"direct", direct}, {"gateway", viaGateway}} {
		report, err := run.load.Run(ctx)
		if err != nil {
			return err
		}
		p := report.Latency("request")
		fmt.Fprintf(out, "%-8s n=%d p50=%v p99=%v faults=%d\n", run.name, p.N, p.P50, p.P99, report.Violations())
	}
	return nil
}
