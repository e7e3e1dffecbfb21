package member

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// Outcome is the result of a call to a pool's owner.
type Outcome string

// Outcomes of calls between daemons.
const (
	OutcomeDone     Outcome = "done"
	OutcomeNotOwner Outcome = "not-owner"
	// OutcomeNotApplied means that the call certainly had no effect.
	OutcomeNotApplied Outcome = "not-taken"
	// OutcomeBusy means that the call had no effect because the owner's backlog is already as
	// large as the owner can start in time.
	OutcomeBusy Outcome = "busy"
	// OutcomeAmbiguous means that the call may have had an effect.
	OutcomeAmbiguous Outcome = "unclear"
	// OutcomeUnknownSubmission means that there is no such submission.
	OutcomeUnknownSubmission Outcome = "unknown"
)

type (
	// PingRequest checks whether a daemon is live and carries the sender's gossip.
	PingRequest struct {
		From          tw.DaemonID `json:"from"`
		ConfigVersion tw.Version  `json:"config"`
		// Evacuations are the evacuated halls known to the sender.
		Evacuations *tw.Evacuations `json:"evacuations,omitempty"`
		// Suspicions lists the owners that the sender suspects. OwnersDigest is a digest
		// of the pool owners that it knows.
		Suspicions   []Suspicion `json:"doubts,omitempty"`
		OwnersDigest uint64      `json:"owners,omitempty"`
	}

	// PingResponse describes the daemon that answers and carries its gossip.
	PingResponse struct {
		Daemon        tw.DaemonID    `json:"daemon"`
		Incarnation   tw.Incarnation `json:"life"`
		ConfigVersion tw.Version     `json:"config"`
		// Evacuations are the evacuated halls known to the daemon.
		Evacuations *tw.Evacuations `json:"evacuations,omitempty"`
		// Owned lists the pools that the daemon owns.
		Owned []ledger.Owner `json:"owned"`
		// Suspicions lists the owners that the daemon suspects.
		Suspicions []Suspicion `json:"doubts,omitempty"`
		// Owners lists all pool owners known to the daemon, if the sender's digest
		// differs.
		Owners []ledger.Owner `json:"owners,omitempty"`
		// StoreReachable is true if the daemon reaches the metadata store.
		StoreReachable bool `json:"store_answers"`
	}

	// ConfigRequest requests a daemon's configuration.
	ConfigRequest struct{}

	// ConfigResponse holds the configuration; nil if the daemon has none. It contains
	// only digests of the callers' keys.
	ConfigResponse struct {
		Config *tw.QueueConfig `json:"config"`
	}

	// SubmitRequest submits a submission to the owner of its pool.
	SubmitRequest struct {
		Submission tw.Submission `json:"submission"`
	}

	// SubmitResponse says whether the submission was accepted.
	SubmitResponse struct {
		Outcome Outcome `json:"outcome"`
		// RetryAfter is the time after which to retry if the owner is busy.
		RetryAfter time.Duration `json:"retryAfter,omitempty"`
	}

	// SubmissionRequest refers to one submission of a pool. Submissions of an
	// organisation other than Organisation are treated as nonexistent.
	SubmissionRequest struct {
		Pool         tw.PoolID         `json:"pool"`
		ID           tw.SubmissionID   `json:"id"`
		Organisation tw.OrganisationID `json:"organisation,omitempty"`
	}

	// SubmissionResponse holds the state of a submission, or the result of a cancel.
	SubmissionResponse struct {
		Outcome Outcome            `json:"outcome"`
		State   tw.SubmissionState `json:"state,omitempty"`
	}

	// WaitingRequest requests the number of waiting submissions of a route.
	WaitingRequest struct {
		Pool  tw.PoolID    `json:"pool"`
		Route tw.RouteName `json:"route"`
	}

	// WaitingResponse is the response to a WaitingRequest.
	WaitingResponse struct {
		Outcome Outcome `json:"outcome"`
		Count   int     `json:"count"`
	}

	// TakeRequest asks a daemon to take over a pool.
	TakeRequest struct {
		Pool tw.PoolID `json:"pool"`
		// Fence is the fencing token of the requesting owner, or zero if there is
		// none. Unless it is zero, a daemon that knows an owner with a higher token
		// ignores the request.
		Fence tw.FencingToken `json:"fence"`
	}

	// TakeResponse acknowledges a TakeRequest.
	TakeResponse struct{}

	// ReportRequest requests the load of a pool from its owner and carries
	// directions for it.
	ReportRequest struct {
		Pool       tw.PoolID      `json:"pool"`
		Directions run.Directions `json:"directions"`
	}

	// ReportResponse is the response to a ReportRequest.
	ReportResponse struct {
		Outcome Outcome    `json:"outcome"`
		Report  run.Report `json:"report"`
	}
)
