package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

type (
	// Outcome says whether a request was run.
	Outcome string

	// Reason is a stable name for why a request was refused.
	Reason string

	// Refusal is the response to a request that was not served.
	Refusal struct {
		Reason  Reason
		Outcome Outcome
		Detail  string
		// RetryAfter is how long to wait before a retry; 0 if one would not
		// help.
		RetryAfter time.Duration
	}

	// problem is the body of a refusal (RFC 9457).
	problem struct {
		Type    string  `json:"type"`
		Title   string  `json:"title"`
		Status  int     `json:"status"`
		Detail  string  `json:"detail,omitempty"`
		Reason  Reason  `json:"reason"`
		Outcome Outcome `json:"outcome"`
		Request string  `json:"request,omitempty"`
	}
)

// Outcomes. NotRun is used only if it is certain that the request was not run.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
)

// Reasons.
const (
	ReasonUnknownRoute    Reason = "unknown-route"
	ReasonBadMethod       Reason = "bad-method"
	ReasonBadVersion      Reason = "bad-version"
	ReasonBadTimeout      Reason = "bad-timeout"
	ReasonBadClass        Reason = "bad-class"
	ReasonBadTeam         Reason = "bad-team"
	ReasonBadKey          Reason = "bad-key"
	ReasonHeaderTooLarge  Reason = "header-too-large"
	ReasonBadBody         Reason = "bad-body"
	ReasonBodyTooLarge    Reason = "body-too-large"
	ReasonNoConfiguration Reason = "no-configuration"
	ReasonNoInstance      Reason = "no-instance"
	ReasonQueueFull       Reason = "queue-full"
	ReasonWaitTooLong     Reason = "wait-too-long"
	ReasonTeamQuota       Reason = "team-quota"
	ReasonTeamShare       Reason = "team-share"
	ReasonDeadlineQueued  Reason = "deadline-queued"
	ReasonDeadline        Reason = "deadline"
	ReasonStopping        Reason = "stopping"
	ReasonUnreachable     Reason = "upstream-unreachable"
	ReasonUpstreamRefused Reason = "upstream-refused"
	ReasonUpstreamLost    Reason = "upstream-lost"
	ReasonUnframed        Reason = "upstream-unframed"
	ReasonKeyInProgress   Reason = "key-in-progress"
	ReasonKeyAnswered     Reason = "key-answered"
	ReasonKeyMismatch     Reason = "key-mismatch"
	ReasonKeyUnavailable  Reason = "key-unavailable"
	ReasonCallerGone      Reason = "caller-gone"
)

// statusByReason maps every reason to its HTTP status. 499 (client closed
// request) is never sent, as its caller has gone; the entry is needed because
// Reasons lists the keys.
var statusByReason = map[Reason]int{
	ReasonUnknownRoute:    http.StatusNotFound,
	ReasonBadMethod:       http.StatusMethodNotAllowed,
	ReasonBadVersion:      http.StatusHTTPVersionNotSupported,
	ReasonBadTimeout:      http.StatusBadRequest,
	ReasonBadClass:        http.StatusBadRequest,
	ReasonBadTeam:         http.StatusBadRequest,
	ReasonBadKey:          http.StatusBadRequest,
	ReasonHeaderTooLarge:  http.StatusRequestHeaderFieldsTooLarge,
	ReasonBadBody:         http.StatusBadRequest,
	ReasonBodyTooLarge:    http.StatusRequestEntityTooLarge,
	ReasonNoConfiguration: http.StatusServiceUnavailable,
	ReasonNoInstance:      http.StatusServiceUnavailable,
	ReasonQueueFull:       http.StatusServiceUnavailable,
	ReasonWaitTooLong:     http.StatusServiceUnavailable,
	ReasonTeamQuota:       http.StatusTooManyRequests,
	ReasonTeamShare:       http.StatusServiceUnavailable,
	ReasonDeadlineQueued:  http.StatusGatewayTimeout,
	ReasonDeadline:        http.StatusGatewayTimeout,
	ReasonStopping:        http.StatusServiceUnavailable,
	ReasonUnreachable:     http.StatusBadGateway,
	ReasonUpstreamRefused: http.StatusServiceUnavailable,
	ReasonUpstreamLost:    http.StatusBadGateway,
	ReasonUnframed:        http.StatusBadGateway,
	ReasonKeyInProgress:   http.StatusConflict,
	ReasonKeyAnswered:     http.StatusConflict,
	ReasonKeyMismatch:     http.StatusUnprocessableEntity,
	ReasonKeyUnavailable:  http.StatusServiceUnavailable,
	ReasonCallerGone:      499,
}

// Retry delays of refusals that do not depend on the length of a queue.
const (
	retryAfterPromotion = 2 * time.Second // a spare instance joins a pool within this time
	retryAfterRestart   = time.Second     // the load balancer picks another daemon
	retryAfterUpstream  = time.Second     // a retry is not sent to an ejected instance
	minRetryAfter       = time.Second     // Retry-After has whole seconds
)

// Reasons returns all reasons, in no particular order.
func Reasons() []Reason {
	out := make([]Reason, 0, len(statusByReason))
	for r := range statusByReason {
		out = append(out, r)
	}
	return out
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int { return statusByReason[r.Reason] }

// Error implements error, for logs.
func (r *Refusal) Error() string { return string(r.Reason) + " (" + string(r.Outcome) + ")" }

// write sends the refusal to the caller as application/problem+json.
func (r *Refusal) write(w http.ResponseWriter, request string) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		seconds := math.Ceil(max(r.RetryAfter, minRetryAfter).Seconds())
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(r.Status())
	body := problem{
		Type:    "urn:tamarindworks:" + string(r.Reason),
		Title:   http.StatusText(r.Status()),
		Status:  r.Status(),
		Detail:  r.Detail,
		Reason:  r.Reason,
		Outcome: r.Outcome,
		Request: request,
	}
	// An error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(body)
}

func notRunRefusal(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: NotRun, Detail: detail}
}

func notRunRetryAfter(reason Reason, after time.Duration, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: NotRun, RetryAfter: after, Detail: detail}
}
