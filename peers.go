package tamarindworks

import "context"

type (
	// Load is what one daemon has on one instance for one job, and what came
	// of the requests it ended since its last heartbeat.
	Load struct {
		Instance InstanceID
		Job      JobID
		InFlight int
		OK       int
		Failed   int
	}

	// Member is a daemon's heartbeat.
	Member struct {
		ID          DaemonID
		Hall        HallID
		Instance    InstanceID
		Incarnation Incarnation
		Beat        uint64 // grows with each heartbeat of an incarnation
		Address     string // IP:port of the peer service
		Gateway     string // IP:port that takes requests
		Revision    Revision
		Planning    bool // holds the lease of its hall's planner
		Demand      int  // requests running and waiting, for slot shares
		// Jobs that the daemon can give to an instance itself. They are sent
		// now and then only; none means no news.
		Jobs []JobID
		// Report is sent to who asks for it.
		Report *Report
	}

	// Report is how far a daemon is with a plan, in its own word.
	Report struct {
		// Acked is the plan generation after which the daemon sends nothing
		// that the plan does not allow. Requests given out before that are in
		// Loads until they end.
		Acked Generation
		Loads []Load
	}

	// SyncRequest is one exchange of heartbeats.
	SyncRequest struct {
		Self   Member
		Others []Member // without loads
		// Generation is the newest plan the sender holds for its hall.
		Generation Generation
		// WantReport asks for the receiver's report.
		WantReport bool
	}

	// SyncResponse answers a heartbeat, with what the sender lacked.
	SyncResponse struct {
		Self   Member
		Others []Member
		Config []byte // stored configuration document, if newer
		Plan   []byte // stored plan document of the hall, if newer
	}

	// ClaimState is how far a claimed request has come.
	ClaimState string

	// Claim is a daemon's hold on an idempotency key.
	Claim struct {
		Scope  string // caller's team, host and key; opaque
		Body   string // digest of method, path and body
		Holder DaemonID
		Nonce  string // tells two claims of one holder apart
		State  ClaimState
	}

	// Peers is how a daemon talks to another one.
	Peers interface {
		// Sync exchanges heartbeats. Both calls fail with ErrGone if no
		// process listens at the address, else with ErrUnavailable.
		Sync(ctx context.Context, address string, req SyncRequest) (SyncResponse, error)
		// Claim records a claim, or returns the one that stands before it.
		Claim(ctx context.Context, address string, claim Claim) (Claim, error)
	}

	// PeerHandler is the receiving side of Peers.
	PeerHandler interface {
		HandleSync(req SyncRequest) SyncResponse
		HandleClaim(claim Claim) Claim
	}
)

// States of a claim.
const (
	ClaimPending  ClaimState = "pending"  // may have been run
	ClaimAnswered ClaimState = "answered" // was run and answered
	ClaimReleased ClaimState = "released" // proved not run; the key is free
)
