package queue

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// Codec decodes the requests of callers and encodes the responses. Package
	// platform implements it.
	Codec interface {
		ParseID(text string) (tw.SubmissionID, bool)
		DecodeSubmission(body []byte) (tw.Submission, error)
		Timeout(r *http.Request) time.Duration
		// Key returns the key of a request; false if it has none, or several.
		Key(r *http.Request) (string, bool)
		// Challenge returns the value of the WWW-Authenticate header for requests without a valid key.
		Challenge() string
		EncodeState(state tw.SubmissionState) []byte
		EncodeWaitingCount(count int) []byte
	}

	// HandlerConfig configures a Handler.
	HandlerConfig struct {
		Router *Router
		Codec  Codec
		// Config returns the active configuration; nil if there is none yet.
		Config func() *tw.QueueConfig
		// RequireKeys means that the deployment has organisations, whose callers must send a
		// key.
		RequireKeys bool
		Clock       tw.Clock
		Log         *zap.Logger
		Metrics     *metrics.Set
	}

	// Handler handles the HTTP requests of callers.
	Handler struct{ HandlerConfig }

	// target is the route and the organisation of a request.
	target struct {
		config *tw.QueueConfig
		route  *tw.QueueRoute
		// caller is the organisation of the caller; nil if there is none.
		caller *tw.Organisation
	}
)

const (
	// answerMargin is the part of a caller's timeout that is reserved for
	// transmitting the response.
	answerMargin = 200 * time.Millisecond
	// minRequestTime is the minimum time for handling a request, even if the caller's
	// timeout is shorter.
	minRequestTime = 100 * time.Millisecond
	// retryAfter is the Retry-After header in seconds, about the duration of
	// outages of the store and changes of owners.
	retryAfter = "1"
	// capRetryAfter is the Retry-After header in seconds for submissions that
	// cannot be accepted unless the configuration changes.
	capRetryAfter = "30"
	// largeBody is the body size in bytes up to which a submission fits into the store, as no byte of
	// it takes more than six there.
	largeBody = 128 << 10
	// defaultBodyLimit is the maximum body size in bytes if the configuration
	// sets none.
	defaultBodyLimit = 1 << 20
)

// New creates the handler.
func (c HandlerConfig) New() *Handler { return &Handler{HandlerConfig: c} }

// submissionRequest returns the request for a submission of the caller's organisation.
func (t target) submissionRequest(id tw.SubmissionID) member.SubmissionRequest {
	return member.SubmissionRequest{Pool: t.route.Policy.Pool, ID: id, Organisation: t.organisation()}
}

// organisation returns the id of the caller's organisation; empty if there is none.
func (t target) organisation() tw.OrganisationID {
	if t.caller == nil {
		return ""
	}
	return t.caller.ID
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	config := h.Config()
	if config == nil {
		h.refuse(w, r, http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	route := config.Route(host, r.URL.Path)
	if route == nil {
		h.refuse(w, r, http.StatusNotFound, "no such route")
		return
	}
	caller, known := h.caller(r, config, route)
	if !known {
		// The response is the same for missing, revoked and unknown keys.
		w.Header().Set("WWW-Authenticate", h.Codec.Challenge())
		h.refuse(w, r, http.StatusUnauthorized, "no valid key")
		return
	}
	if limit := config.Limits.Header; limit > 0 && headerBytes(r) > limit {
		h.refuse(w, r, http.StatusRequestHeaderFieldsTooLarge, "header over the limit")
		return
	}
	allowed := h.Codec.Timeout(r)
	if route.Timeout > 0 {
		allowed = min(allowed, route.Timeout)
	}
	ctx, cancel := context.WithTimeout(r.Context(), max(minRequestTime, allowed-answerMargin))
	defer cancel()
	h.serve(ctx, w, r, target{config: config, route: route, caller: caller})
}

// caller returns the organisation of a request, nil where no key is required. It returns
// false if the key is missing or invalid.
func (h *Handler) caller(r *http.Request, config *tw.QueueConfig, route *tw.QueueRoute) (*tw.Organisation, bool) {
	if !h.RequireKeys || route.Public {
		return nil, true
	}
	key, single := h.Codec.Key(r)
	if !single {
		return nil, false
	}
	organisation := config.OrganisationOf(key)
	return organisation, organisation != nil
}

func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, t target) {
	rest := strings.TrimPrefix(r.URL.Path, t.route.Prefix)
	if rest == "" && r.Method == http.MethodGet {
		h.count(ctx, w, r, t.route)
		return
	}
	id, valid := h.Codec.ParseID(rest)
	if !valid {
		h.refuse(w, r, http.StatusBadRequest, "the path does not end with an id of 16 hex digits")
		return
	}
	switch r.Method {
	case http.MethodPost:
		h.submit(ctx, w, r, t, id)
	case http.MethodGet:
		h.state(ctx, w, r, t, id)
	case http.MethodDelete:
		h.cancel(ctx, w, r, t, id)
	default:
		w.Header().Set("Allow", "POST, GET, DELETE")
		h.refuse(w, r, http.StatusMethodNotAllowed, "method not allowed")
	}
}

func (h *Handler) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, t target, id tw.SubmissionID) {
	body, err := readBody(w, r, t.config.Limits.Body)
	if err != nil {
		h.refuseBody(w, r, err)
		return
	}
	s, err := h.Codec.DecodeSubmission(body)
	if err != nil {
		h.refuse(w, r, http.StatusBadRequest, err.Error())
		return
	}
	s.ID = id
	s.Organisation = t.organisation()
	s.Policy = t.route.Policy
	s.Accepted = h.Clock.Now()
	if len(body) > largeBody && !ledger.Fits(&s) {
		h.refuse(w, r, http.StatusRequestEntityTooLarge, "submission over the store's limit")
		return
	}
	if t.caller != nil && !t.caller.Fits(&s) && !h.Router.Stored(ctx, &s) {
		w.Header().Set("Retry-After", capRetryAfter)
		h.refuse(w, r, http.StatusServiceUnavailable, "not taken: a gang of it asks for more than the organisation's usage cap")
		return
	}
	start := h.Clock.Now()
	err = h.Router.Submit(ctx, s)
	h.Metrics.GetOrCreateHistogram("tamarind_submit_seconds").Update(h.Clock.Now().Sub(start).Seconds())
	switch {
	case err == nil:
		h.answer(w, r, h.Codec.EncodeState(tw.SubmissionWaiting))
	case notApplied(err):
		if busy := (*run.BusyError)(nil); errors.As(err, &busy) {
			w.Header().Set("Retry-After", wholeSeconds(busy.RetryAfter))
		}
		h.refuse(w, r, http.StatusServiceUnavailable, "not taken: "+err.Error())
	default:
		h.refuse(w, r, http.StatusGatewayTimeout, "it is unclear whether it was taken: "+err.Error())
	}
}

func (h *Handler) state(ctx context.Context, w http.ResponseWriter, r *http.Request, t target, id tw.SubmissionID) {
	state, err := h.Router.State(ctx, t.submissionRequest(id))
	switch {
	case err == nil:
		h.answer(w, r, h.Codec.EncodeState(state))
	case errors.Is(err, run.ErrUnknownSubmission):
		h.refuse(w, r, http.StatusGone, "no such submission")
	default:
		h.refuse(w, r, http.StatusServiceUnavailable, "state not known at present: "+err.Error())
	}
}

func (h *Handler) cancel(ctx context.Context, w http.ResponseWriter, r *http.Request, t target, id tw.SubmissionID) {
	err := h.Router.Cancel(ctx, t.submissionRequest(id))
	switch {
	case err == nil:
		h.answer(w, r, h.Codec.EncodeState(tw.SubmissionCancelled))
	case errors.Is(err, run.ErrUnknownSubmission):
		h.refuse(w, r, http.StatusGone, "no such submission")
	default:
		h.refuse(w, r, http.StatusGatewayTimeout, "it is unclear whether it is cancelled: "+err.Error())
	}
}

func (h *Handler) count(ctx context.Context, w http.ResponseWriter, r *http.Request, route *tw.QueueRoute) {
	count, err := h.Router.Waiting(ctx, route.Policy.Pool, route.Policy.Route)
	if err != nil {
		h.refuse(w, r, http.StatusServiceUnavailable, "count not known at present: "+err.Error())
		return
	}
	h.answer(w, r, h.Codec.EncodeWaitingCount(count))
}

func (h *Handler) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	h.Metrics.GetOrCreateCounter(`tamarind_requests_total{method="` + r.Method + `",status="200"}`).Inc()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // fails only if the caller is gone
}

// refuse responds with an error status and the reason.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, status int, reason string) {
	h.Metrics.GetOrCreateCounter(`tamarind_requests_total{method="` + r.Method + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	h.Log.Info("request: refused", zap.String("method", r.Method), zap.String("host", r.Host),
		zap.String("path", r.URL.Path), zap.Int("status", status), zap.String("why", reason))
	if status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	if h.Router.Members.Isolated() {
		// The load balancer sends the caller's next connection to another hall.
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, `{"title":`+strconv.Quote(http.StatusText(status))+`,"detail":`+strconv.QuoteToASCII(reason)+`}`)
}

// wholeSeconds formats a duration as whole seconds, rounded up and at least one.
func wholeSeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

func (h *Handler) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		h.refuse(w, r, http.StatusRequestEntityTooLarge, "body over the limit")
		return
	}
	h.refuse(w, r, http.StatusBadRequest, "body not readable")
}

func readBody(w http.ResponseWriter, r *http.Request, limit tw.Bytes) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
}

// headerBytes returns the approximate size of the request header on the wire.
func headerBytes(r *http.Request) tw.Bytes {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return tw.Bytes(n)
}
