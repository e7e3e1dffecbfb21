package tamarindworks

import "context"

type (
	// Load is the number of requests that one daemon has in flight on one
	// instance for one job, and the results of those that ended since its
	// last heartbeat.
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
		Beat        uint64 // increases with each heartbeat of an incarnation
		Address     string // IP:port of the peer service
		Gateway     string // IP:port that accepts requests
		Revision    Revision
		Planning    bool // holds the planner lease of its hall
		Demand      int  // requests running and waiting, for slot shares
		// Jobs lists the jobs for which the daemon can send requests to an
		// instance itself. It is not in every heartbeat; empty means unchanged.
		Jobs []JobID
		// Report is present only if it was requested.
		Report *Report
	}

	// Report is a daemon's progress in applying its hall's plan.
	Report struct {
		// Acked is the generation of the plan that the daemon follows: it
		// sends no new request that this plan does not allow. Requests sent
		// earlier are counted in Loads until they end.
		Acked Generation
		Loads []Load
	}

	// SyncRequest is one exchange of heartbeats.
	SyncRequest struct {
		Self   Member
		Others []Member // without their reports and jobs
		// Generation is that of the sender's newest plan of its hall.
		Generation Generation
		// WantReport requests the receiver's report.
		WantReport bool
	}

	// SyncResponse answers a SyncRequest, with the documents that are newer
	// than the sender's.
	SyncResponse struct {
		Self   Member
		Others []Member
		Config []byte // stored configuration document, if newer
		Plan   []byte // stored plan document of the hall, if newer
	}

	// ClaimState is the progress of the request for which a claim was made.
	ClaimState string

	// Claim reserves an idempotency key for a daemon.
	Claim struct {
		Scope  string // caller's team, host and key; opaque
		Body   string // digest of method, path and body
		Holder DaemonID
		Nonce  string // distinguishes claims of the same holder
		State  ClaimState
	}

	// Peers calls other daemons.
	Peers interface {
		// Sync exchanges heartbeats. Both methods fail with ErrNotListening
		// if no process listens at the address, and otherwise with
		// ErrUnavailable.
		Sync(ctx context.Context, address string, req SyncRequest) (SyncResponse, error)
		// Claim records a claim, or returns the existing claim on the key.
		Claim(ctx context.Context, address string, claim Claim) (Claim, error)
	}

	// PeerHandler handles the calls of Peers.
	PeerHandler interface {
		HandleSync(req SyncRequest) SyncResponse
		HandleClaim(claim Claim) Claim
	}
)

// Claim states.
const (
	ClaimPending  ClaimState = "pending"  // the request may have been executed
	ClaimAnswered ClaimState = "answered" // the request was executed and answered
	ClaimReleased ClaimState = "released" // certainly not executed; the key is free
)
