package fleet

import (
	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Input is everything that Decide depends on.
	Input struct {
		Hall     tw.HallID
		Config   *tw.FleetConfig
		Revision tw.Revision
		Epoch    tw.Epoch
		// Plan is the last plan written.
		Plan tw.Plan
		// Instances are the hall's workers in the platform's instance list.
		Instances []tw.Instance
		// Tasks are the hall's tasks. While TasksKnown is false, because the
		// platform could not list them, every step that depends on them waits.
		Tasks      []tw.Task
		TasksKnown bool
		// Members are the daemons in the hall's roster, which must be read after
		// Plan was written.
		Members []MemberStatus
		// Health has the recent request results by instance.
		Health map[tw.InstanceID]Health
		// BusySlots is the measured number of busy slots by job.
		BusySlots map[tw.JobID]float64
		// Allowance is the number of replicas by service that planned drains may
		// still take down now. A service that is missing allows none.
		Allowance map[tw.ServiceID]int
	}

	// MemberStatus is a registered daemon and the content of its last report.
	MemberStatus struct {
		ID tw.DaemonID
		// Acked is 0 for a daemon that has sent no report since it registered.
		Acked    tw.Generation
		InFlight map[InstanceJob]int
	}

	// InstanceJob identifies a job on an instance.
	InstanceJob struct {
		Instance tw.InstanceID
		Job      tw.JobID
	}

	// Health counts requests by result.
	Health struct {
		OK     int
		Failed int
	}

	// Output is the result of Decide.
	Output struct {
		Plan    tw.Plan
		Changed bool
		// Drains are the planned disruptions that Plan starts. They must be
		// recorded in the services' disruption ledgers before Plan is written.
		Drains []Drain
		// Deferred lists the planned disruptions that exceed the allowance or
		// the limit on moves.
		Deferred []Drain
	}

	// Drain is a planned disruption of the services that run on an instance.
	Drain struct {
		Instance tw.InstanceID
		Services []tw.ServiceID
		Reason   tw.Reason
	}
)
