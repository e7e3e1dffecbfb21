package tamarindworks

type (
	// View is a daemon's snapshot of the fleet.
	View struct {
		Hall HallID
		Self DaemonID
		// Registered means that the daemon is in its hall's roster and may
		// send requests to instances itself. Until then it relays them to its
		// peers.
		Registered bool
		Revision   Revision
		Config     *FleetConfig // nil until known
		Plan       *Plan        // nil until known
		// Leaving lists the instances that the platform is reclaiming. They
		// get no new work, even before the plan reflects it.
		Leaving map[InstanceID]bool
		// Members lists the hall's live daemons, including this one, by id.
		Members []Member
		// Remote lists the live daemons of other halls.
		Remote []Member
	}

	// Dispatcher sends requests to instances as allowed by a view.
	Dispatcher interface {
		// Install replaces the view. After it returns, no new request is sent
		// to an instance that the view does not allow.
		Install(view View)
		// Loads returns the requests in flight and the results of recent ones.
		Loads() []Load
		// Jobs lists the jobs for which this daemon can send requests to an
		// instance itself.
		Jobs() []JobID
		// Demand returns the number of requests running and waiting.
		Demand() int
	}

	// ClaimResult is the result of claiming an idempotency key.
	ClaimResult struct {
		// Granted means that the request may be sent.
		Granted bool
		// Existing is the existing claim on the key if Granted is false. Its
		// holder is empty if too few daemons were reachable.
		Existing Claim
	}
)
