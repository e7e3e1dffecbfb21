package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control"
)

const statusHelp = `Show an overview of the fleet: the configuration, and each hall's daemons,
pools, spares, and jobs that could not be placed.

Example: tamarind status --output json`

type (
	fleetStatus struct {
		Revision tw.Revision  `json:"revision"`
		Halls    []hallStatus `json:"halls"`
	}

	hallStatus struct {
		Hall         tw.HallID             `json:"hall"`
		Generation   tw.Generation         `json:"generation"`
		Revision     tw.Revision           `json:"revision"`
		Daemons      []control.DaemonState `json:"daemons"`
		Pools        []poolStatus          `json:"pools"`
		Spares       int                   `json:"spares"`
		SparesNeeded int                   `json:"spares_needed"`
		Unplaced     []tw.UnplacedJob      `json:"set_aside,omitempty"`
	}

	poolStatus struct {
		Pool   tw.PoolID                `json:"pool"`
		States map[tw.InstanceState]int `json:"states"`
	}
)

func addStatus(app *kingpin.Application, conn *connection) {
	cmd := app.Command("status", statusHelp)
	output := cmd.Flag("output", "text or json.").Default("text").Enum("text", "json")
	cmd.Action(action(func() error {
		return conn.withOperator(func(ctx context.Context, o *control.Operator) error {
			status, err := gatherStatus(ctx, o)
			if err != nil {
				return err
			}
			if *output == "json" {
				return json.NewEncoder(os.Stdout).Encode(status)
			}
			return printStatus(status)
		})
	}))
}

func gatherStatus(ctx context.Context, o *control.Operator) (fleetStatus, error) {
	current, err := o.Get(ctx)
	if err != nil {
		return fleetStatus{}, err
	}
	out := fleetStatus{Revision: current.Revision}
	if current.Revision == 0 {
		return out, nil
	}
	config, err := control.ParseConfig(current.Source)
	if err != nil {
		return out, err
	}
	daemons, err := o.Daemons(ctx, config.Halls)
	if err != nil {
		return out, err
	}
	for _, hall := range config.Halls {
		plan, err := o.Plan(ctx, hall)
		if err != nil {
			return out, err
		}
		out.Halls = append(out.Halls, statusOfHall(hall, config, &plan, daemons))
	}
	return out, nil
}

func statusOfHall(hall tw.HallID, config *tw.FleetConfig, plan *tw.Plan, daemons []control.DaemonState) hallStatus {
	h := hallStatus{
		Hall:         hall,
		Generation:   plan.Generation,
		Revision:     plan.Revision,
		SparesNeeded: plan.SparesNeeded,
		Unplaced:     plan.Unplaced,
	}
	for _, d := range daemons {
		if d.Hall == hall {
			h.Daemons = append(h.Daemons, d)
		}
	}
	for _, pool := range config.Pools {
		states := map[tw.InstanceState]int{}
		for i := range plan.Instances {
			if a := &plan.Instances[i]; a.Pool == pool.ID {
				states[a.State]++
			}
		}
		h.Pools = append(h.Pools, poolStatus{Pool: pool.ID, States: states})
	}
	for i := range plan.Instances {
		if plan.Instances[i].State == tw.InstanceSpare {
			h.Spares++
		}
	}
	return h
}

func printStatus(s fleetStatus) error {
	if s.Revision == 0 {
		fmt.Println("no configuration yet")
		return nil
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "configuration\trevision %d\n", s.Revision)
	for _, h := range s.Halls {
		fmt.Fprintf(out, "\nhall %s\tplan %d\tfollows revision %d\n", h.Hall, h.Generation, h.Revision)
		for _, d := range h.Daemons {
			fmt.Fprintf(out, "  daemon %s\t%s\t%s\n", d.ID, describeDaemon(d, s.Revision), d.Gateway)
		}
		for _, p := range h.Pools {
			fmt.Fprintf(out, "  pool %s\tserving %d\tjoining %d\tdraining %d\n", p.Pool,
				p.States[tw.InstanceServing], p.States[tw.InstanceJoining], p.States[tw.InstanceDraining])
		}
		fmt.Fprintf(out, "  spares\t%d held\t%d needed\n", h.Spares, h.SparesNeeded)
		for _, a := range h.Unplaced {
			fmt.Fprintf(out, "  job %s\tnot placed\t%s\n", a.Job, a.Reason)
		}
	}
	return out.Flush()
}

func describeDaemon(d control.DaemonState, revision tw.Revision) string {
	switch {
	case !d.Reached:
		return "NOT REACHED"
	case d.Revision < revision:
		return fmt.Sprintf("behind, at revision %d", d.Revision)
	}
	return "up to date"
}
