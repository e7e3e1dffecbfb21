package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

const loadHelp = `Send a bounded stream of requests at a constant rate and count, from the
upstreams' own records, how many were answered, refused, lost and run twice.

Exit code 1 means that a request was answered without being run, ran more than
once although it is not idempotent, was reported as not run although it ran, or
got another request's answer.`

func addLoad(app *kingpin.Application) {
	var config standin.LoadConfig
	var stream standin.Stream
	cmd := app.Command("load", loadHelp)
	cmd.Flag("entry", "Gateway, IP:port; may be repeated.").Required().StringsVar(&config.Targets)
	cmd.Flag("requests", "How many requests to send.").Default("1000").IntVar(&config.Requests)
	cmd.Flag("rate", "Requests a second.").Default("200").Float64Var(&config.Rate)
	cmd.Flag("timeout", "Client timeout of a request.").Default("15s").DurationVar(&config.Timeout)
	cmd.Flag("repeat", "How many more times to send each request.").IntVar(&config.Repeat)
	cmd.Flag("method", "HTTP method.").Default("POST").StringVar(&stream.Method)
	cmd.Flag("host", "Host header.").Default("demo").StringVar(&stream.Host)
	cmd.Flag("path", "Path.").Default("/").StringVar(&stream.Path)
	cmd.Flag("work", "Processing time of a request.").Default("5ms").DurationVar(&stream.Work)
	cmd.Flag("keyed", "Send an Idempotency-Key.").BoolVar(&stream.Keyed)
	class := cmd.Flag("class", "Class.").Enum("quick", "normal", "long")
	team := cmd.Flag("team", "Team.").String()
	records := cmd.Flag("records", "Record file of an upstream; may be repeated.").Required().Strings()
	asJSON := cmd.Flag("json", "Print JSON.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		stream.Name = stream.Path
		stream.Class, stream.Team = tw.Class(*class), tw.TeamID(*team)
		config.Streams = []standin.Stream{stream}
		config.CollectRuns = func() (standin.Runs, error) {
			time.Sleep(settleTime)
			return standin.ReadRuns(*records)
		}
		return runLoad(config, *asJSON)
	})
}

// settleTime is how long to wait for requests that still run to be recorded.
const settleTime = 200 * time.Millisecond

func runLoad(config standin.LoadConfig, asJSON bool) error {
	report, err := config.Run(context.Background())
	if err != nil {
		return err
	}
	if asJSON {
		out, err := report.JSON()
		if err != nil {
			return err
		}
		fmt.Println(string(out))
	} else {
		fmt.Println(report.String())
	}
	if report.Violations() > 0 {
		os.Exit(1)
	}
	return nil
}
