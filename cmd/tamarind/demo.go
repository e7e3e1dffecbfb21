package main

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarindworks/tamarindworks/internal/demo"
)

const demoHelp = `Run a small fleet in this process, on stand-ins: a platform, upstreams in two
halls, four entry daemons, and callers. While the callers send requests, an
upstream is lost, one is reclaimed, and a maintenance wave begins. The last line
counts the outcomes of the requests, from the upstreams' own records.

Example: tamarind demo`

func addDemo(app *kingpin.Application) {
	cmd := app.Command("demo", demoHelp)
	verbose := cmd.Flag("verbose", "Print the daemons' logs.").Bool()
	cmd.Action(action(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		return demo.Run(ctx, os.Stdout, *verbose)
	}))
}
