package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/demo"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

const (
	claimRequests = 600
	claimRate     = 200 // requests per second
)

const claimConfig = `halls = ["h1"]
[[pools]]
id = "p"
instances = "kind=general"
jobs = "app=j"
[[jobs]]
id = "j"
service = "s"
labels = { app = "j" }
replicas = 4
[[services]]
id = "s"
[[services.routes]]
path = "/"
job = "j"
`

// Claims measures what claims of idempotency keys cost, and whether they prevent requests
// from running twice. It sends requests once and twice, without and with a key, to three
// daemons of one hall. In the runs that send requests twice, one daemon is killed.
func Claims(ctx context.Context, out io.Writer) error {
	for _, keyed := range []bool{false, true} {
		for _, repeat := range []int{0, 1} {
			if err := claimRun(ctx, out, keyed, repeat); err != nil {
				return err
			}
		}
	}
	return nil
}

func claimRun(ctx context.Context, out io.Writer, keyed bool, repeat int) error {
	f, err := demo.FleetConfig{Halls: []tw.HallID{modelHall}, RacksPerHall: 3, InstancesPerRack: 2, DaemonsPerHall: 3}.New()
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Configure(ctx, claimConfig, 0); err != nil {
		return err
	}
	if err := f.WaitServing(ctx, "p"); err != nil {
		return err
	}
	load := f.Load(claimRequests, claimRate)
	load.Repeat = repeat
	load.Streams = []standin.Stream{{Name: "post", Method: http.MethodPost, Host: benchHost, Path: "/", Work: 5 * time.Millisecond, Keyed: keyed}}
	before := f.Platform.Calls()
	if repeat > 0 {
		go func() {
			time.Sleep(time.Second)
			f.Daemons[0].Kill()
		}()
	}
	report, err := load.Run(ctx)
	if err != nil {
		return err
	}
	after := f.Platform.Calls()
	p := report.Latency("post")
	fmt.Fprintf(out, "keyed=%-5v repeats=%d requests=%d doubled=%d answered=%d refused=%v p50=%v p99=%v store calls=%d\n",
		keyed, repeat, claimRequests, report.Doubled, report.Answered, report.Refused, p.P50, p.P99, after.Reads+after.Writes-before.Reads-before.Writes)
	return nil
}
