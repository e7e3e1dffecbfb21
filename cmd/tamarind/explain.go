package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control"
)

const (
	explainHelp = `Explain the state of an instance or a job.`

	explainInstanceHelp = `Show an instance's pool and state, the reason, and what it waits for.

Example: tamarind explain instance w12`

	explainJobHelp = `Show where a job runs in each hall, or why it cannot.

Example: tamarind explain job board-check`
)

func addExplain(app *kingpin.Application, conn *connection) {
	explain := app.Command("explain", explainHelp)
	instance := explain.Command("instance", explainInstanceHelp)
	instanceID := instance.Arg("id", "Instance id.").Required().String()
	instance.Action(action(func() error {
		return conn.withOperator(func(ctx context.Context, o *control.Operator) error {
			return explainInstance(ctx, o, tw.InstanceID(*instanceID))
		})
	}))
	job := explain.Command("job", explainJobHelp)
	jobID := job.Arg("id", "Job id.").Required().String()
	job.Action(action(func() error {
		return conn.withOperator(func(ctx context.Context, o *control.Operator) error {
			return explainJob(ctx, o, tw.JobID(*jobID))
		})
	}))
}

// loadPlans reads the configuration and the plans of all halls.
func loadPlans(ctx context.Context, o *control.Operator) (*tw.FleetConfig, []tw.Plan, error) {
	current, err := o.Get(ctx)
	if err != nil {
		return nil, nil, err
	}
	if current.Revision == 0 {
		return nil, nil, errors.New("there is no configuration yet")
	}
	config, err := control.ParseConfig(current.Source)
	if err != nil {
		return nil, nil, err
	}
	var out []tw.Plan
	for _, hall := range config.Halls {
		plan, err := o.Plan(ctx, hall)
		if err != nil {
			return nil, nil, err
		}
		plan.Hall = hall
		out = append(out, plan)
	}
	return config, out, nil
}

func explainInstance(ctx context.Context, o *control.Operator, id tw.InstanceID) error {
	_, plans, err := loadPlans(ctx, o)
	if err != nil {
		return err
	}
	for i := range plans {
		a := plans[i].Find(id)
		if a == nil {
			continue
		}
		fmt.Printf("%s is %s in pool %s of hall %s since plan %d\nreason: %s\n", id, a.State, a.Pool, plans[i].Hall, a.Generation, a.Reason)
		for _, placement := range a.Jobs {
			fmt.Printf("job %s: %s since plan %d\n", placement.Job, placement.State, placement.Generation)
		}
		if a.State != tw.InstanceDraining {
			return nil
		}
		return explainDrainWait(ctx, o, plans[i].Hall, a)
	}
	return errors.Wrapf(tw.ErrNotFound, "instance %s in any plan", id)
}

// explainDrainWait prints the daemons that a drain waits for.
func explainDrainWait(ctx context.Context, o *control.Operator, hall tw.HallID, a *tw.Assignment) error {
	daemons, err := o.Daemons(ctx, []tw.HallID{hall})
	if err != nil {
		return err
	}
	waits := false
	for _, d := range daemons {
		if d.Reached && d.Acked >= a.Generation {
			continue
		}
		waits = true
		fmt.Printf("waits for daemon %s to acknowledge plan %d (reached: %v, acknowledged: %d)\n", d.ID, a.Generation, d.Reached, d.Acked)
	}
	if !waits {
		fmt.Println("waits for requests in flight and tasks to end")
	}
	return nil
}

func explainJob(ctx context.Context, o *control.Operator, id tw.JobID) error {
	config, plans, err := loadPlans(ctx, o)
	if err != nil {
		return err
	}
	job := config.Job(id)
	if job == nil {
		return errors.Wrapf(tw.ErrNotFound, "job %s in the configuration", id)
	}
	for i := range plans {
		explainJobInHall(job, &plans[i])
	}
	return nil
}

func explainJobInHall(job *tw.Job, plan *tw.Plan) {
	if !job.In(plan.Hall) {
		fmt.Printf("hall %s: not configured for this hall\n", plan.Hall)
		return
	}
	for _, s := range plan.Unplaced {
		if s.Job == job.ID {
			fmt.Printf("hall %s: not placed: %s\n", plan.Hall, s.Reason)
			return
		}
	}
	fmt.Printf("hall %s: %d replicas wanted\n", plan.Hall, job.Replicas)
	for i := range plan.Instances {
		a := &plan.Instances[i]
		if placement := a.Placement(job.ID); placement != nil {
			fmt.Printf("  %s: %s on an instance that is %s\n", a.Instance, placement.State, a.State)
		}
	}
}
