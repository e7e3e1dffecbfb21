package member

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// Outcome says how a call to a pool's owner ended.
type Outcome string

// Outcomes of calls between daemons.
const (
	OutcomeDone     Outcome = "done"
	OutcomeNotOwner Outcome = "not-owner"
	// OutcomeNotApplied proves that nothing was done.
	OutcomeNotApplied Outcome = "not-taken"
	// OutcomeBusy proves so too: the owner has accepted all that it can start in time.
	OutcomeBusy      Outcome = "busy"
	OutcomeAmbiguous Outcome = "unclear"
	OutcomeUnknown   Outcome = "unknown"
)

type (
	// PingRequest asks whether a daemon lives.
	PingRequest struct {
		From          tw.DaemonID `json:"from"`
		ConfigVersion tw.Version  `json:"config"`
		// Evacuations are the evacuated halls as far as the asker knows.
		Evacuations *tw.Evacuations `json:"evacuations,omitempty"`
		// Suspicions are the owners that don't answer as far as the asker knows, Owners is a
		// digest of the ownerships that it knows.
		Suspicions   []Suspicion `json:"doubts,omitempty"`
		OwnersDigest uint64      `json:"owners,omitempty"`
	}

	// PingResponse is a daemon's word of itself.
	PingResponse struct {
		Daemon        tw.DaemonID    `json:"daemon"`
		Incarnation   tw.Incarnation `json:"life"`
		ConfigVersion tw.Version     `json:"config"`
		// Evacuations are the evacuated halls as far as the daemon knows.
		Evacuations *tw.Evacuations `json:"evacuations,omitempty"`
		// Owned are the pools that the daemon owns.
		Owned []ledger.Owner `json:"owned"`
		// Suspicions are the owners that don't answer as far as the daemon knows.
		Suspicions []Suspicion `json:"doubts,omitempty"`
		// Owners are all ownerships that the daemon knows, if the asker knows others.
		Owners []ledger.Owner `json:"owners,omitempty"`
		// StoreReachable: the daemon reaches the metadata store.
		StoreReachable bool `json:"store_answers"`
	}

	// ConfigRequest asks for the configuration that a daemon has.
	ConfigRequest struct{}

	// ConfigResponse holds it; nil if the daemon has none. Keys of callers are in it
	// as digests alone.
	ConfigResponse struct {
		Config *tw.QueueConfig `json:"config"`
	}

	// SubmitRequest hands a submission to the owner of its pool.
	SubmitRequest struct {
		Submission tw.Submission `json:"submission"`
	}

	// SubmitResponse says whether it is kept.
	SubmitResponse struct {
		Outcome Outcome `json:"outcome"`
		// RetryAfter is when to come back to an owner that is busy.
		RetryAfter time.Duration `json:"retryAfter,omitempty"`
	}

	// SubmissionRequest is about one submission of a pool, for the organisation that
	// asks: it is told of no other's.
	SubmissionRequest struct {
		Pool         tw.PoolID         `json:"pool"`
		ID           tw.SubmissionID   `json:"id"`
		Organisation tw.OrganisationID `json:"organisation,omitempty"`
	}

	// SubmissionResponse tells its state, or how a cancel ended.
	SubmissionResponse struct {
		Outcome Outcome            `json:"outcome"`
		State   tw.SubmissionState `json:"state,omitempty"`
	}

	// WaitingRequest asks for the count of a route's waiting submissions.
	WaitingRequest struct {
		Pool  tw.PoolID    `json:"pool"`
		Route tw.RouteName `json:"route"`
	}

	// WaitingResponse is the answer.
	WaitingResponse struct {
		Outcome Outcome `json:"outcome"`
		Count   int     `json:"count"`
	}

	// TakeRequest asks a daemon to take a pool over.
	TakeRequest struct {
		Pool tw.PoolID `json:"pool"`
		// Fence is that of the owner who asks; zero if it names none. A daemon
		// that knows of a newer owner does not take the pool from that one.
		Fence tw.FencingToken `json:"fence"`
	}

	// TakeResponse says that it will.
	TakeResponse struct{}

	// ReportRequest asks a pool's owner how busy the pool is, and gives it
	// directions.
	ReportRequest struct {
		Pool       tw.PoolID      `json:"pool"`
		Directions run.Directions `json:"directions"`
	}

	// ReportResponse is the answer.
	ReportResponse struct {
		Outcome Outcome    `json:"outcome"`
		Report  run.Report `json:"report"`
	}
)
