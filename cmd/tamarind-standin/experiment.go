package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarindworks/tamarindworks/internal/experiment"
)

const experimentHelp = `Measure the product on the stand-ins, in one process. The pages in docs/ quote
these figures; run them on a quiet machine.

Example: tamarind-standin experiment overload`

// experiments by name, with what each measures.
var experiments = []struct {
	name string
	help string
	run  func(ctx context.Context, out io.Writer) error
}{
	{"overload", "Latency and goodput at a tenth and at twice the capacity.", experiment.Overload},
	{"cost", "What the gateway adds to a request.", experiment.Cost},
	{"claims", "Requests that callers repeat, without and with a key.", experiment.Claims},
	{"control", "What a daemon costs at rest, and how long a change takes, in halls of four sizes.", experiment.Control},
	{"schedule", "Policies of placement under turning demand and the cut of a hall, in simulated time; plots waiting against load.", experiment.Schedule},
	{"fleet", "Moves, spares and the time of a planning pass.", experiment.Fleet},
}

func addExperiment(app *kingpin.Application) {
	parent := app.Command("experiment", experimentHelp)
	for _, e := range experiments {
		parent.Command(e.name, e.help).Action(func(*kingpin.ParseContext) error {
			return e.run(context.Background(), os.Stdout)
		})
	}
}
