package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control"
	"github.com/tamarindworks/tamarindworks/fleet"
	"github.com/tamarindworks/tamarindworks/platform"
)

const planHelp = `Show what a configuration would move, and why, without changing anything.
Disruption budgets are assumed to be unused: actual drains may start later.

Example: tamarind plan fleet.toml`

func addPlan(app *kingpin.Application, conn *connection) {
	cmd := app.Command("plan", planHelp)
	file := cmd.Arg("file", "Configuration, TOML.").Required().String()
	cmd.Action(action(func() error {
		source, err := readConfig(*file)
		if err != nil {
			return err
		}
		config, err := control.ParseConfig(source)
		if err != nil {
			return err
		}
		return conn.withOperator(func(ctx context.Context, o *control.Operator) error {
			return dryRun(ctx, o, *conn.platform, config)
		})
	}))
}

func dryRun(ctx context.Context, o *control.Operator, url string, config *tw.FleetConfig) error {
	client := platform.ClientConfig{URL: url}.New()
	defer client.Close()
	changes := 0
	for _, hall := range config.Halls {
		plan, err := o.Plan(ctx, hall)
		if err != nil {
			return err
		}
		list, err := client.List(ctx, hall, 0)
		if err != nil {
			return errors.Wrap(err, "instance list")
		}
		tasks, err := client.Tasks(ctx, hall)
		if err != nil {
			return errors.Wrap(err, "tasks")
		}
		in := dryRunInput(hall, config, plan, list, tasks)
		changes += printChanges(hall, &plan, fleet.Decide(in))
	}
	fmt.Printf("%d changes\n", changes)
	return nil
}

func dryRunInput(hall tw.HallID, config *tw.FleetConfig, plan tw.Plan, list tw.InstanceSnapshot, tasks []tw.Task) fleet.Input {
	in := fleet.Input{
		Hall:       hall,
		Config:     config,
		Revision:   plan.Revision + 1,
		Epoch:      plan.Epoch,
		Plan:       plan,
		Tasks:      tasks,
		TasksKnown: true,
		Allowance:  map[tw.ServiceID]int{},
	}
	for _, i := range list.Instances {
		if i.Role != tw.RoleEntry {
			in.Instances = append(in.Instances, i)
		}
	}
	for _, s := range config.Services {
		in.Allowance[s.ID] = s.MaxUnavailable
	}
	return in
}

func printChanges(hall tw.HallID, before *tw.Plan, out fleet.Output) int {
	changes := 0
	for i := range out.Plan.Instances {
		a := &out.Plan.Instances[i]
		old := before.Find(a.Instance)
		if old != nil && old.State == a.State && old.Pool == a.Pool {
			continue
		}
		fmt.Printf("%s %s: %s in %s (%s)\n", hall, a.Instance, a.State, a.Pool, a.Reason)
		changes++
	}
	for _, w := range out.Deferred {
		fmt.Printf("%s %s: to drain when the budget allows (%s)\n", hall, w.Instance, w.Reason)
		changes++
	}
	for _, s := range out.Plan.Unplaced {
		fmt.Printf("%s job %s: not placed (%s)\n", hall, s.Job, s.Reason)
	}
	return changes
}
