package demo

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

// fleetSource is the fleet configuration of the demonstration.
//
//go:embed fleet.toml
var fleetSource string

// waveSource configures a maintenance wave; it is appended to fleetSource.
const waveSource = `
[[waves]]
id = "demo-wave"
instances = "kind=general"
at_once = 1
`

const (
	requestCount      = 1200
	requestsPerSecond = 200
	lossAt            = time.Second // after the start of the load; leaveAt and waveAt likewise
	leaveAt           = 2 * time.Second
	waveAt            = 3 * time.Second
)

// errGuaranteeViolated means that the report counts violations, such as a
// non-idempotent request that ran more than once; see standin.Report.
var errGuaranteeViolated = errors.New("demo: a guarantee was violated")

// Run runs the demonstration and prints its events to out.
func Run(ctx context.Context, out io.Writer, verbose bool) error {
	fleet, err := FleetConfig{
		Halls:            []tw.HallID{"h1", "h2"},
		RacksPerHall:     3,
		InstancesPerRack: 2,
		DaemonsPerHall:   2,
		Log:              logger(verbose),
		SilenceTimeout:   tw.Duration(500 * time.Millisecond),
	}.New()
	if err != nil {
		return err
	}
	defer fleet.Close()
	printLine(out, "started: 12 workers in 2 halls, 4 entry daemons, 1 platform")
	if err := fleet.Configure(ctx, fleetSource, 0); err != nil {
		return err
	}
	if err := fleet.WaitServing(ctx, "boards", "leases"); err != nil {
		return err
	}
	printLine(out, "configuration in force, both pools serve in both halls")
	report, err := fleet.runUnderLoad(ctx, out)
	if err != nil {
		return err
	}
	printLine(out, "%s", report.String())
	if report.Violations() > 0 {
		return errGuaranteeViolated
	}
	return nil
}

// Configure applies a configuration based on revision base, and waits until it
// is in force.
func (f *Fleet) Configure(ctx context.Context, source string, base tw.Revision) error {
	accepted, err := f.Operator.Apply(ctx, source, "demo", base)
	if err != nil {
		return err
	}
	_, err = f.Operator.WaitForRevision(ctx, f.config.Halls, accepted.Revision)
	return err
}

// WaitServing waits until the pools serve in every hall and every daemon has
// acknowledged its hall's plan.
func (f *Fleet) WaitServing(ctx context.Context, pools ...tw.PoolID) error {
	for !f.serving(ctx, pools) {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "waiting for the pools to serve")
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

func (f *Fleet) serving(ctx context.Context, pools []tw.PoolID) bool {
	for _, hall := range f.config.Halls {
		plan, err := f.Operator.Plan(ctx, hall)
		if err != nil {
			return false
		}
		for _, pool := range pools {
			if !poolSettled(&plan, pool) {
				return false
			}
		}
		daemons, err := f.Operator.Daemons(ctx, []tw.HallID{hall})
		if err != nil || len(daemons) < f.config.DaemonsPerHall {
			return false
		}
		for _, d := range daemons {
			if d.Acked < plan.Generation {
				return false
			}
		}
	}
	return true
}

// poolSettled reports whether a pool has instances and none of them is still
// joining or starting a job.
func poolSettled(plan *tw.Plan, pool tw.PoolID) bool {
	instances := 0
	for i := range plan.Instances {
		a := &plan.Instances[i]
		if a.Pool != pool {
			continue
		}
		if a.State == tw.InstanceJoining {
			return false
		}
		for _, placement := range a.Jobs {
			if placement.State == tw.PlacementStarting {
				return false
			}
		}
		instances++
	}
	return instances > 0
}

// runUnderLoad runs the events while requests are sent, and reports on the
// requests.
func (f *Fleet) runUnderLoad(ctx context.Context, out io.Writer) (standin.Report, error) {
	events := make(chan error, 1)
	go func() { events <- f.runEvents(ctx, out) }()
	report, err := f.Load(requestCount, requestsPerSecond).Run(ctx)
	return report, errors.CombineErrors(err, <-events)
}

// Load returns a mix of requests for the demonstration's services.
func (f *Fleet) Load(n int, perSecond float64) standin.LoadConfig {
	return standin.LoadConfig{
		Targets:     f.GatewayAddresses(),
		Requests:    n,
		Rate:        perSecond,
		Timeout:     15 * time.Second,
		CollectRuns: func() (standin.Runs, error) { return f.Recorder.Runs(), nil },
		Streams: []standin.Stream{
			{Name: "check", Method: http.MethodGet, Host: "boards.demo", Path: "/check", Work: 5 * time.Millisecond, Share: 6},
			{Name: "record", Method: http.MethodPost, Host: "boards.demo", Path: "/records", Work: 10 * time.Millisecond, Share: 2},
			{Name: "preview", Method: http.MethodGet, Host: "leases.demo", Path: "/preview", Work: 5 * time.Millisecond, Share: 3},
			{Name: "bundle", Method: http.MethodPost, Host: "leases.demo", Path: "/bundle", Work: 100 * time.Millisecond, Share: 1},
		},
	}
}

func (f *Fleet) runEvents(ctx context.Context, out io.Writer) error {
	start := time.Now()
	sleepUntil := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	sleepUntil(lossAt)
	lost := f.servingInstance("h1", "boards")
	printLine(out, "losing %s, which serves boards in h1", lost)
	f.Upstreams[lost].Close()
	sleepUntil(leaveAt)
	leaving := f.servingInstance("h2", "leases")
	printLine(out, "the platform reclaims %s, which serves leases in h2", leaving)
	f.Platform.SetPhase(leaving, tw.PhaseLeaving)
	sleepUntil(waveAt)
	printLine(out, "a maintenance wave over all instances begins")
	return f.Configure(ctx, fleetSource+waveSource, 1)
}

// servingInstance returns an instance that serves the pool, or "".
func (f *Fleet) servingInstance(hall tw.HallID, pool tw.PoolID) tw.InstanceID {
	plan, err := f.Operator.Plan(context.Background(), hall)
	if err != nil {
		return ""
	}
	for i := range plan.Instances {
		if a := &plan.Instances[i]; a.Pool == pool && a.State == tw.InstanceServing {
			return a.Instance
		}
	}
	return ""
}

func printLine(out io.Writer, format string, args ...any) {
	fmt.Fprintln(out, strings.TrimRight(fmt.Sprintf(format, args...), "\n"))
}

func logger(verbose bool) *zap.Logger {
	if !verbose {
		return zap.NewNop()
	}
	log, err := zap.NewDevelopment()
	if err != nil {
		return zap.NewNop()
	}
	return log
}
