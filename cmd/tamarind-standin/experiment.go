package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarindworks/tamarindworks/internal/experiment"
)

const experimentHelp = `Measure the product on the stand-ins, in one process. The pages in docs/ quote
these figures; run the experiments on an idle machine.

Example: tamarind-standin experiment overload`

// experiments lists the subcommands with what each measures.
var experiments = []struct {
	name string
	help string
	run  func(ctx context.Context, out io.Writer) error
}{
	{"overload", "Latency and goodput at 10% and at 200% of the capacity.", experiment.Overload},
	{"cost", "Latency that the gateway adds to a request.", experiment.Cost},
	{"claims", "Requests repeated by callers, without and with an idempotency key.", experiment.Claims},
	{"control", "Cost of an idle daemon, and how long a change takes, in halls of four sizes.", experiment.Control},
	{"schedule", "Placement policies under changing demand and with a hall cut off, in simulated time; plots waiting time against load.", experiment.Schedule},
	{"fleet", "Moves, spares and the duration of a planning pass.", experiment.Fleet},
}

func addExperiment(app *kingpin.Application) {
	parent := app.Command("experiment", experimentHelp)
	for _, e := range experiments {
		parent.Command(e.name, e.help).Action(func(*kingpin.ParseContext) error {
			return e.run(context.Background(), os.Stdout)
		})
	}
}
