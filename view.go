package tamarindworks

type (
	// View is what a daemon knows of the fleet at one moment.
	View struct {
		Hall HallID
		Self DaemonID
		// Registered says that the daemon is in its hall's roster, and so may
		// send to instances itself. Until then it relays to its peers.
		Registered bool
		Revision   Revision
		Config     *FleetConfig // nil until one is known
		Plan       *Plan        // nil until one is known
		// Leaving lists instances that the platform is taking back. They get
		// no new work, even before the planner has written it down.
		Leaving map[InstanceID]bool
		// Members are the hall's live daemons, this one included, by id.
		Members []Member
		// Remote are the live daemons of other halls.
		Remote []Member
	}

	// Dispatcher sends requests as a view allows.
	Dispatcher interface {
		// Install replaces the view. When it returns, no request is newly
		// given to an instance that the view does not allow.
		Install(view View)
		// Loads tells what is in flight, and what ended of late.
		Loads() []Load
		// Jobs lists what this daemon can give to an instance itself.
		Jobs() []JobID
		// Demand counts the requests running and waiting.
		Demand() int
	}

	// ClaimResult is what became of asking for an idempotency key.
	ClaimResult struct {
		// Granted says that the request may be sent.
		Granted bool
		// Existing is the claim that was there before, if not granted. Its
		// holder is empty if too few daemons could be asked.
		Existing Claim
	}
)
