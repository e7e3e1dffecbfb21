package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control"
	"github.com/tamarindworks/tamarindworks/internal/textdiff"
)

const (
	configHelp = `Check, apply, get and compare the fleet configuration.`

	checkHelp = `Check a configuration file. All errors are printed, with their lines.

Example: tamarind config check fleet.toml`

	applyHelp = `Make a file the configuration of the fleet.

--base names the revision that the change was made from; "tamarind config get"
prints it on stderr. If the configuration has been changed since, nothing is
applied, the difference is shown, and the exit code is 3. --wait waits until the
change is in force in every registered daemon and prints how long that took.

Example: tamarind config apply fleet.toml --base 7 --wait 10s`

	getHelp = `Print the configuration in force, as it was written; the revision goes to
stderr.

Example: tamarind config get > fleet.toml`

	diffHelp = `Show the changes to the configuration's text that applying a file would make.

Example: tamarind config diff fleet.toml`
)

func addConfig(app *kingpin.Application, conn *connection) {
	config := app.Command("config", configHelp)
	addCheck(config)
	addApply(config, conn)
	addGet(config, conn)
	addDiff(config, conn)
}

func addCheck(config *kingpin.CmdClause) {
	cmd := config.Command("check", checkHelp)
	file := cmd.Arg("file", "Configuration, TOML.").Required().String()
	cmd.Action(action(func() error {
		source, err := readConfig(*file)
		if err != nil {
			return err
		}
		parsed, err := control.ParseConfig(source)
		if err != nil {
			return err
		}
		fmt.Printf("%s is good: %d pools, %d jobs, %d services\n", *file, len(parsed.Pools), len(parsed.Jobs), len(parsed.Services))
		return nil
	}))
}

func addApply(config *kingpin.CmdClause, conn *connection) {
	cmd := config.Command("apply", applyHelp)
	file := cmd.Arg("file", "Configuration, TOML.").Required().String()
	base := cmd.Flag("base", "Revision that the change was made from; 0 for the first.").Required().Uint64()
	operator := cmd.Flag("operator", "Who applies it.").Envar("USER").String()
	wait := cmd.Flag("wait", "How long to wait until it is in force in every daemon.").Duration()
	cmd.Action(action(func() error {
		source, err := readConfig(*file)
		if err != nil {
			return err
		}
		return conn.withOperator(func(ctx context.Context, o *control.Operator) error {
			accepted, err := o.Apply(ctx, source, *operator, tw.Revision(*base))
			var conflict *control.ConflictError
			if errors.As(err, &conflict) {
				fmt.Fprint(os.Stderr, textdiff.Lines(conflict.Current.Source, source))
			}
			if err != nil {
				return err
			}
			fmt.Printf("revision %d accepted\n", accepted.Revision)
			if *wait == 0 {
				return nil
			}
			return waitInForce(o, accepted, *wait)
		})
	}))
}

func waitInForce(o *control.Operator, accepted tw.AcceptedConfig, wait time.Duration) error {
	parsed, err := control.ParseConfig(accepted.Source)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	start := time.Now()
	daemons, err := o.WaitForRevision(ctx, parsed.Halls, accepted.Revision)
	for _, d := range daemons {
		if !d.Reached || d.Revision < accepted.Revision {
			fmt.Printf("%s in %s: %s\n", d.ID, d.Hall, describeLag(d))
		}
	}
	if err != nil {
		return err
	}
	fmt.Printf("in force in %d daemons after %v\n", len(daemons), time.Since(start).Round(time.Millisecond))
	return nil
}

func describeLag(d control.DaemonState) string {
	if !d.Reached {
		return "not reached"
	}
	return fmt.Sprintf("at revision %d", d.Revision)
}

func addGet(config *kingpin.CmdClause, conn *connection) {
	cmd := config.Command("get", getHelp)
	cmd.Action(action(func() error {
		return conn.withOperator(func(ctx context.Context, o *control.Operator) error {
			current, err := o.Get(ctx)
			if err != nil {
				return err
			}
			fmt.Fprintf(os.Stderr, "revision %d\n", current.Revision)
			fmt.Print(current.Source)
			return nil
		})
	}))
}

func addDiff(config *kingpin.CmdClause, conn *connection) {
	cmd := config.Command("diff", diffHelp)
	file := cmd.Arg("file", "Configuration, TOML.").Required().String()
	cmd.Action(action(func() error {
		source, err := readConfig(*file)
		if err != nil {
			return err
		}
		return conn.withOperator(func(ctx context.Context, o *control.Operator) error {
			current, err := o.Get(ctx)
			if err != nil {
				return err
			}
			fmt.Print(textdiff.Lines(current.Source, source))
			return nil
		})
	}))
}

func readConfig(path string) (string, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("%w: %w", errUsage, err)
	}
	return string(source), nil
}
