package fleet

import (
	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Input is all that a decision is made from.
	Input struct {
		Hall     tw.HallID
		Config   *tw.FleetConfig
		Revision tw.Revision
		Epoch    tw.Epoch
		// Plan is the last one written; decisions start from it.
		Plan tw.Plan
		// Instances are the hall's workers in the platform's list.
		Instances []tw.Instance
		// Tasks are the hall's tasks. While the platform cannot tell
		// (TasksKnown is false), nothing that needs them goes on.
		Tasks      []tw.Task
		TasksKnown bool
		// Members are the daemons in the hall's roster, read after Plan was
		// written.
		Members []Member
		// Health is what came of the requests of late, by instance.
		Health map[tw.InstanceID]Health
		// BusySlots is the measured number of busy slots by job.
		BusySlots map[tw.JobID]float64
		// Allowance says how many more replicas of a service planned work may
		// take now. A service that is not in it allows none.
		Allowance map[tw.ServiceID]int
	}

	// Member is a registered daemon, as far as it has been heard.
	Member struct {
		ID tw.DaemonID
		// Acked is 0 for a daemon that was not heard since it registered.
		Acked    tw.Generation
		InFlight map[InstanceJob]int
	}

	// InstanceJob names the requests of a job on an instance.
	InstanceJob struct {
		Instance tw.InstanceID
		Job      tw.JobID
	}

	// Health counts ended requests.
	Health struct {
		OK     int
		Failed int
	}

	// Output is a decision.
	Output struct {
		Plan    tw.Plan
		Changed bool
		// Drains are the planned disruptions in Plan that were not in the
		// last one. They must be in the ledgers before Plan is written.
		Drains []Drain
		// Deferred lists planned disruptions that lacked an allowance.
		Deferred []Drain
	}

	// Drain is a planned disruption.
	Drain struct {
		Instance tw.InstanceID
		Services []tw.ServiceID
		Reason   tw.Reason
	}
)
