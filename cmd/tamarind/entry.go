package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control"
)

const (
	entryHelp = `Entry daemons.`

	forgetHelp = `Confirm that a daemon is gone permanently, so that no move waits for its
acknowledgement.

Only for a daemon whose process cannot run any more: one that is only paused or
partitioned could still send requests to an instance that has moved.

Example: tamarind entry forget --hall h1 entry-3`
)

func addEntry(app *kingpin.Application, conn *connection) {
	entry := app.Command("entry", entryHelp)
	cmd := entry.Command("forget", forgetHelp)
	id := cmd.Arg("id", "Daemon id.").Required().String()
	hall := cmd.Flag("hall", "Data hall of the daemon.").Required().String()
	cmd.Action(action(func() error {
		return conn.withOperator(func(ctx context.Context, o *control.Operator) error {
			if err := o.Forget(ctx, tw.HallID(*hall), tw.DaemonID(*id)); err != nil {
				return err
			}
			fmt.Printf("daemon %s is forgotten\n", *id)
			return nil
		})
	}))
}
