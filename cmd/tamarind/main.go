// Command tamarind is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control"
)

const help = `Manage a tamarindworks fleet: change labels, selectors and budgets, and show
its state. There is no command to place, move or drain anything by hand; see
docs/OPERATING.md.

Exit codes: 0 done, 1 failed, 2 invalid configuration or command line (nothing
was changed), 3 conflict with another change (nothing was changed).

Examples:

  tamarind config check fleet.toml
  tamarind config apply fleet.toml --base 7 --wait 10s
  tamarind status
  tamarind explain instance w12
  tamarind queue status --store 10.200.1.7:8621
  tamarind demo
`

// Exit codes.
const (
	exitFailed   = 1
	exitBadInput = 2
	exitConflict = 3
)

func main() {
	app := kingpin.New("tamarind", help)
	app.Terminate(func(code int) {
		if code != 0 {
			code = exitBadInput
		}
		os.Exit(code)
	})
	conn := addConnection(app)
	addConfig(app, conn)
	addStatus(app, conn)
	addExplain(app, conn)
	addPlan(app, conn)
	addEntry(app, conn)
	addQueue(app, conn)
	addDelays(app)
	addDemo(app)
	_, err := app.Parse(os.Args[1:])
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "tamarind: %v\n", err)
	if !commandStarted {
		os.Exit(exitBadInput) // the command line could not be parsed
	}
	os.Exit(exitCode(err))
}

// commandStarted means that the command line was parsed and a command was
// started.
var commandStarted bool

// action wraps the function of a command, to record that it was started.
func action(do func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		commandStarted = true
		return do()
	}
}

func exitCode(err error) int {
	var faults tw.ValidationErrors
	var conflict *control.ConflictError
	switch {
	case errors.As(err, &faults) || errors.Is(err, errUsage):
		return exitBadInput
	case errors.As(err, &conflict):
		return exitConflict
	}
	return exitFailed
}

// errUsage means that the command line is invalid.
var errUsage = errors.New("invalid command line")
